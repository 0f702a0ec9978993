/*
 * Reads the configuration log and the VM list, builds the documents from the
 * log's records, appends snapshots before old records expire, and appends
 * accounts.
 */
#define LOG_PART "platform"

#include <malloc.h>

#include "common/log.h"
#include "daemon/supervisor.h"

enum {
	MAX_READ_RECORDS = 256, /* in one read */
	MAX_PENDING_EXCHANGES = 64, /* HTTP exchanges with the platform */
	SNAPSHOT_RECORDS = 256, /* not covered by a snapshot, at most */
	/* From exceeding SNAPSHOT_RECORDS to the next snapshot, plus jitter. */
	SNAPSHOT_DELAY_MS = 5000,
};

typedef struct platform {
	supervisor_t *sup;
	platform_client_t client;
	config_docs_t docs;
	config_view_t *view;
	vm_list_t *vms;
	struct event *config_timer;
	struct event *vms_timer;
	bool is_reading;
	bool is_listing;
	bool has_changed;
	bool is_log_down;
	bool is_list_down;
	bool is_snapshotting;
	uint64_t covered; /* offset up to which snapshots cover the log */
	int64_t snapshot_due; /* monotonic */
} platform_t;

static const task_id_t recipients[] = { TASK_PEERS, TASK_CAPACITY, TASK_LIMITS,
					TASK_FRONT, TASK_ADMIN };

static void read_config(platform_t *p);

static void add_document(void *ctx, const config_doc_t *doc)
{
	config_view_t *view = ctx;
	gsize len;
	const char *text = g_bytes_get_data(doc->body, &len);
	str_t name = str_from(doc->name);
	str_t body = { text, len };

	if (g_str_has_prefix(doc->name, "service/")) {
		profile_service_t *service = g_new0(profile_service_t, 1);

		if (profile_service_parse(service, name, doc->version, body,
					  NULL))
			g_hash_table_replace(view->services, service->name,
					     service);
		else
			g_free(service);
		return;
	}
	profile_t *profile = g_new0(profile_t, 1);
	if (profile_parse(profile, name, doc->version, body, NULL))
		g_hash_table_replace(view->profiles, profile->name, profile);
	else
		g_free(profile);
}

static void post_config(platform_t *p)
{
	message_t next = { .type = MESSAGE_CONFIG_NEXT,
			   .number = config_docs_next_offset(&p->docs) };

	supervisor_post(p->sup, TASK_PEERS, &next);
	if (!p->view)
		return;
	for (size_t i = 0; i < G_N_ELEMENTS(recipients); i++) {
		message_t m = { .type = MESSAGE_CONFIG,
				.config = config_view_ref(p->view) };

		supervisor_post(p->sup, recipients[i], &m);
	}
}

/*
 * Publishes the documents. Does nothing while they may depend on records that
 * expired unread: an older version must never be in force.
 */
static void rebuild_config_view(platform_t *p)
{
	if (!config_docs_is_complete(&p->docs))
		return;
	if (p->has_changed || !p->view) {
		p->has_changed = false;
		config_view_unref(p->view);
		p->view = config_view_new();
		config_docs_each(&p->docs, add_document, p->view);
		/* Parsing a large profile leaves much free heap memory. */
		malloc_trim(0);
		log_info("documents in force up to offset %" G_GUINT64_FORMAT,
			 config_docs_next_offset(&p->docs));
	}
	post_config(p);
}

static void on_changed(void *ctx, const config_doc_t *doc)
{
	platform_t *p = ctx;

	p->has_changed = true;
	log_info("document %s changed to version %" G_GUINT64_FORMAT, doc->name,
		 doc->version);
}

static bool check_document(void *ctx, const char *doc, str_t body, err_t *err)
{
	return profile_check(str_from(doc), body, err);
}

/* Adds jitter: daemons with the same deadline would all append at once. */
static int64_t snapshot_deadline(platform_t *p, int64_t ms)
{
	int64_t jitter = g_rand_int_range(p->sup->rand, 0, (gint32)ms / 2 + 1);

	return now_us() + (ms + jitter) * 1000;
}

static void postpone_snapshot(platform_t *p)
{
	p->snapshot_due = snapshot_deadline(p, p->sup->settings->snapshot_ms);
}

static void on_snapshot(void *ctx, uint64_t offset, const err_t *err)
{
	platform_t *p = ctx;

	p->is_snapshotting = false;
	if (err)
		return;
	log_info("appended a snapshot at offset %" G_GUINT64_FORMAT, offset);
}

static void append_due_snapshot(platform_t *p)
{
	g_autofree char *text = NULL;

	if (p->is_snapshotting || !config_docs_is_complete(&p->docs) ||
	    config_docs_next_offset(&p->docs) == 0 ||
	    now_us() < p->snapshot_due)
		return;
	postpone_snapshot(p);
	text = config_docs_write_snapshot(&p->docs);
	p->is_snapshotting = platform_client_append(
		&p->client, "config", str_from(text), on_snapshot, p, NULL);
}

/*
 * Sets the deadline by the offset that snapshots cover, not by when one was
 * appended: a daemon that was paused may append an old snapshot late.
 */
static void schedule_snapshot(platform_t *p)
{
	uint64_t covered = config_docs_snapshot_as_of(&p->docs);
	int64_t soon;

	if (covered > p->covered)
		postpone_snapshot(p);
	p->covered = covered;
	if (config_docs_next_offset(&p->docs) <= covered + SNAPSHOT_RECORDS)
		return;
	soon = snapshot_deadline(p, SNAPSHOT_DELAY_MS);
	p->snapshot_due = MIN(p->snapshot_due, soon);
}

static void apply_records(platform_t *p, const platform_record_t *records,
			  size_t n, uint64_t oldest)
{
	config_docs_set_oldest(&p->docs, oldest);
	for (size_t i = 0; i < n; i++)
		if (config_docs_apply(&p->docs, records[i].offset, oldest,
				      records[i].data) == CONFIG_DAMAGED)
			log_warn("skipped a damaged record of the "
				 "configuration log at offset "
				 "%" G_GUINT64_FORMAT,
				 records[i].offset);
	schedule_snapshot(p);
}

static void on_records(void *ctx, const platform_record_t *records, size_t n,
		       uint64_t oldest, uint64_t next, const err_t *err)
{
	platform_t *p = ctx;
	char text[ERR_DETAIL_SIZE * 2];

	p->is_reading = false;
	metrics_add(&p->sup->metrics, "papaya_config_reads_total",
		    err ? "result=\"error\"" : "result=\"ok\"", 1);
	if (err) {
		if (!p->is_log_down)
			log_warn("can't read the configuration log: %s",
				 err_text(err, text, sizeof(text)));
		p->is_log_down = true;
		return;
	}
	p->is_log_down = false;
	apply_records(p, records, n, oldest);
	if (n && config_docs_next_offset(&p->docs) < next) {
		read_config(p);
		return;
	}
	rebuild_config_view(p);
	append_due_snapshot(p);
}

static void read_config(platform_t *p)
{
	if (p->is_reading)
		return;
	p->is_reading = platform_client_read(
		&p->client, "config", config_docs_next_offset(&p->docs),
		MAX_READ_RECORDS, on_records, p, NULL);
}

static void on_config_timer(evutil_socket_t fd, short what, void *arg)
{
	read_config(arg);
}

static void post_vms(platform_t *p)
{
	for (size_t i = 0; i < G_N_ELEMENTS(recipients); i++) {
		message_t m = { .type = MESSAGE_VMS,
				.vms = vm_list_ref(p->vms) };

		supervisor_post(p->sup, recipients[i], &m);
	}
}

/* Uses another daemon's list until one was read from the platform. */
static void apply_relayed_list(platform_t *p, vm_list_t *vms)
{
	if (p->vms)
		return;
	log_info("using the VM list of another daemon");
	p->vms = vm_list_ref(vms);
	post_vms(p);
}

static void on_vms(void *ctx, const member_vm_t *entries, size_t n,
		   const vm_list_runner_t *runners, size_t n_runners,
		   const err_t *err)
{
	platform_t *p = ctx;
	char text[ERR_DETAIL_SIZE * 2];

	p->is_listing = false;
	if (err) {
		if (!p->is_list_down)
			log_warn("can't read the VM list: %s",
				 err_text(err, text, sizeof(text)));
		p->is_list_down = true;
		return;
	}
	p->is_list_down = false;
	vm_list_unref(p->vms);
	p->vms = vm_list_new(entries, n, runners, n_runners);
	post_vms(p);
}

static void on_vms_timer(evutil_socket_t fd, short what, void *arg)
{
	platform_t *p = arg;

	if (!p->is_listing)
		p->is_listing =
			platform_client_list_vms(&p->client, on_vms, p, NULL);
}

static void add_if_new(void *ctx, const config_doc_t *doc)
{
	message_docs_t *docs = ctx;
	config_doc_t copy = *doc;

	if (doc->offset < docs->next)
		return;
	copy.body = g_bytes_ref(doc->body);
	g_array_append_val(docs->docs, copy);
}

static void send_documents(platform_t *p, const message_docs_t *request)
{
	message_t m = { .type = MESSAGE_CONFIG_SEND };

	if (!config_docs_is_complete(&p->docs))
		return;
	m.docs = *request;
	m.docs.docs = message_docs_new();
	config_docs_each(&p->docs, add_if_new, &m.docs);
	m.docs.next = config_docs_next_offset(&p->docs);
	supervisor_post(p->sup, TASK_PEERS, &m);
}

static void apply_relayed_docs(platform_t *p, const message_docs_t *docs)
{
	for (guint i = 0; i < docs->docs->len; i++)
		config_docs_add_relayed(
			&p->docs, &g_array_index(docs->docs, config_doc_t, i));
	config_docs_end_relay(&p->docs, docs->next);
	if (p->has_changed || !p->view)
		rebuild_config_view(p);
}

/* Context of an append until the platform answers. */
typedef struct append {
	platform_t *platform;
	uint64_t seq;
} append_t;

static void on_appended(void *ctx, uint64_t offset, const err_t *err)
{
	g_autofree append_t *append = ctx;
	message_t m = { .type = MESSAGE_APPENDED,
			.append = { .seq = append->seq, .is_ok = !err } };

	supervisor_post(append->platform->sup, TASK_ACCOUNTS, &m);
}

static void append_accounts(platform_t *p, const message_append_t *a)
{
	append_t *append = g_new0(append_t, 1);
	gsize len;
	const char *text = g_bytes_get_data(a->data, &len);

	append->platform = p;
	append->seq = a->seq;
	if (!platform_client_append(&p->client, "accounts",
				    (str_t){ text, len }, on_appended, append,
				    NULL)) {
		err_t err = { .code = ERR_LIMIT };

		on_appended(append, 0, &err);
	}
}

static void handle(void *state, const message_t *m)
{
	platform_t *p = state;

	switch (m->type) {
	case MESSAGE_CONFIG_REQUEST:
		send_documents(p, &m->docs);
		break;
	case MESSAGE_CONFIG_RELAYED:
		apply_relayed_docs(p, &m->docs);
		break;
	case MESSAGE_VMS_RELAYED:
		apply_relayed_list(p, m->vms);
		break;
	case MESSAGE_APPEND:
		append_accounts(p, &m->append);
		break;
	default:
		break;
	}
}

static void *start(supervisor_t *sup, err_t *err)
{
	static const config_docs_ops_t ops = { on_changed, NULL,
					       check_document };
	platform_t *p = g_new0(platform_t, 1);
	platform_client_config_t config = {
		.address = sup->settings->platform,
		.timeout_ms = sup->settings->platform_timeout_ms,
		.max_pending = MAX_PENDING_EXCHANGES,
	};

	p->sup = sup;
	platform_client_init(&p->client, sup->base, &config);
	config_docs_init(&p->docs, CONFIG_MAX_DOCS, CONFIG_MAX_BYTES, &ops, p);
	postpone_snapshot(p);
	p->config_timer = supervisor_add_timer(
		sup, sup->settings->config_poll_ms, on_config_timer, p);
	p->vms_timer = supervisor_add_timer(sup, sup->settings->vms_poll_ms,
					    on_vms_timer, p);
	on_vms_timer(-1, 0, p);
	read_config(p);
	return p;
}

static void stop(void *state)
{
	platform_t *p = state;

	event_free(p->config_timer);
	event_free(p->vms_timer);
	platform_client_finish(&p->client);
	config_docs_finish(&p->docs);
	config_view_unref(p->view);
	vm_list_unref(p->vms);
	g_free(p);
}

const task_spec_t platform_task = { "platform", 0, start, handle, stop };
