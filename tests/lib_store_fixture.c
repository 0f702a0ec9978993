#include "tests/lib_store_fixture.h"

#include <stdlib.h>
#include <string.h>

#include "common/log.h"
#include "platform/fleet_json.h"
#include "tests/lib_suite.h"
#include "tests/lib_task_fixture.h"

enum { STATUS_OK = 200, STATUS_GONE = 410, STATUS_UNAVAILABLE = 503 };

static fake_topic_t *topic_of(store_fixture_t *f, const char *path)
{
	for (size_t i = 0; i < STORE_FIXTURE_TOPICS; i++)
		if (strstr(path, f->topics[i].name))
			return &f->topics[i];
	ck_abort_msg("no such topic: %s", path);
	return NULL;
}

static void add_record(fake_topic_t *t, const char *key, char *value,
		       size_t len)
{
	ck_assert_uint_lt(t->n, STORE_FIXTURE_RECORDS);
	t->records[t->n++] = (fake_record_t){ g_strdup(key), value, len };
}

void store_fixture_put(store_fixture_t *f, int topic, const char *key,
		       char *value)
{
	add_record(&f->topics[topic], key, value, strlen(value));
}

void store_fixture_put_stream(store_fixture_t *f, uint64_t stream,
			      uint64_t release)
{
	const uint64_t word[] = { GUINT64_TO_LE(stream),
				  GUINT64_TO_LE(release) };

	add_record(&f->topics[STORE_STREAMS], "s",
		   g_memdup2(word, sizeof(word)), sizeof(word));
}

void store_fixture_put_release(store_fixture_t *f, const char *id,
			       const char *release)
{
	store_fixture_put(
		f, STORE_RUNNERS, id,
		g_strdup_printf(
			"{\"service\":\"s\",\"address\":\"127.0.0.1:9\","
			"\"zone\":\"z\",\"warmup_left_ms\":0,"
			"\"slots\":4,\"state\":\"ready\","
			"\"version\":\"%s\",\"sequence\":1,\"born\":7}",
			release));
}

static char *config_text(int version)
{
	return g_strdup_printf("{\"version\":%d,\"routes\":[],\"services\":[],"
			       "\"limits\":{\"max_header_bytes\":1024,"
			       "\"max_body_bytes\":2048,"
			       "\"header_timeout_ms\":500,"
			       "\"idle_timeout_ms\":600},\"tenants\":[]}",
			       version);
}

void store_fixture_put_config(store_fixture_t *f, int version)
{
	store_fixture_put(f, STORE_CONFIG, "config", config_text(version));
}

void store_fixture_relay_config(store_fixture_t *f, int version)
{
	message_t m = { .type = MESSAGE_CONFIG_RELAYED };
	char *text = config_text(version);
	config_doc_t doc = { .version = (uint64_t)version };

	g_strlcpy(doc.name, "fleet", sizeof(doc.name));
	doc.body = g_bytes_new_take(text, strlen(text));
	g_strlcpy(m.docs.peer, "peer", sizeof(m.docs.peer));
	m.docs.docs = message_docs_new();
	g_array_append_val(m.docs.docs, doc);
	supervisor_post(&f->sup, TASK_PLATFORM, &m);
}

void store_fixture_put_runner(store_fixture_t *f, const char *id, int sequence,
			      const char *state)
{
	store_fixture_put(
		f, STORE_RUNNERS, id,
		g_strdup_printf(
			"{\"service\":\"s\",\"address\":\"127.0.0.1:9\","
			"\"zone\":\"z\",\"version\":\"1\","
			"\"warmup_left_ms\":0,\"slots\":4,\"state\":\"%s\","
			"\"sequence\":%d,\"born\":7}",
			state, sequence));
}

void store_fixture_go_back(store_fixture_t *f, int topic, size_t n)
{
	fake_topic_t *t = &f->topics[topic];

	while (t->n > n) {
		g_free(t->records[--t->n].value);
		g_free(t->records[t->n].key);
	}
}

static void add_number(GString *out, uint64_t value, int bytes)
{
	for (int i = bytes; i-- > 0;)
		g_string_append_c(out, (char)(value >> (8 * i) & 0xff));
}

static void reply(store_fixture_t *f, fake_reply_t *out, int status,
		  const GString *body)
{
	g_string_append_printf(out->bytes,
			       "HTTP/1.1 %d x\r\nStore-Era: %d\r\n"
			       "Content-Length: %zu\r\n\r\n",
			       status, f->epoch, (size_t)body->len);
	g_string_append_len(out->bytes, body->str, (gssize)body->len);
}

static void reply_read(store_fixture_t *f, const fake_topic_t *t, size_t from,
		       fake_reply_t *out)
{
	g_autoptr(GString) body = g_string_new("");

	if (from > t->n) {
		reply(f, out, STATUS_GONE, body);
		return;
	}
	add_number(body, t->n, 8);
	add_number(body, 0, 8);
	for (size_t i = from; i < t->n; i++) {
		const fake_record_t *r = &t->records[i];
		size_t key = strlen(r->key);

		add_number(body, 1 + key + r->len, 4);
		add_number(body, key, 1);
		g_string_append(body, r->key);
		g_string_append_len(body, r->value, (gssize)r->len);
	}
	reply(f, out, STATUS_OK, body);
}

static bool is_newest(const fake_topic_t *t, size_t i)
{
	for (size_t k = i + 1; k < t->n; k++)
		if (!strcmp(t->records[k].key, t->records[i].key))
			return false;
	return true;
}

static void reply_list(store_fixture_t *f, const fake_topic_t *t,
		       fake_reply_t *out)
{
	g_autoptr(GString) body = g_string_new("{\"entries\":[");
	const char *separator = "";

	for (size_t i = 0; i < t->n; i++) {
		const fake_record_t *r = &t->records[i];
		g_autofree char *value =
			g_base64_encode((const guchar *)r->value, r->len);

		if (!is_newest(t, i) || !r->len)
			continue;
		g_string_append_printf(body,
				       "%s{\"key\":\"%s\",\"value\":\"%s\","
				       "\"offset\":%zu}",
				       separator, r->key, value, i);
		separator = ",";
	}
	g_string_append_printf(body, "],\"has_more\":false,\"end_offset\":%zu}",
			       t->n);
	reply(f, out, STATUS_OK, body);
}

/* The daemon, whose name is "d", writes its own entry or another record. */
static void reply_append(store_fixture_t *f, fake_topic_t *t, str_t record,
			 fake_reply_t *out)
{
	enum { LENGTH_SIZE = 4 }; /* bytes; then the key, after its length */
	g_autoptr(GString) empty = g_string_new("{}");
	g_autofree char *key = NULL;
	size_t head, len;
	char *value;

	if (f->refused_appends > 0) {
		f->refused_appends--;
		reply(f, out, STATUS_UNAVAILABLE, empty);
		return;
	}
	ck_assert_uint_gt(record.len, LENGTH_SIZE);
	head = LENGTH_SIZE + 1 + (unsigned char)record.ptr[LENGTH_SIZE];
	ck_assert_uint_ge(record.len, head);
	key = g_strndup(record.ptr + LENGTH_SIZE + 1, head - LENGTH_SIZE - 1);
	/* Its NUL is for the tests that read it as text. */
	len = record.len - head;
	value = g_malloc0(len + 1);
	memcpy(value, record.ptr + head, len);
	add_record(t, key, value, len);
	if (t == &f->topics[STORE_STREAMS])
		f->stream_appends++;
	else if (!strcmp(key, "d"))
		f->appends++;
	else
		f->part_appends++;
	reply(f, out, STATUS_OK, empty);
}

/* Another daemon sends its list of the configuration, as it was before. */
static void send_old_list(store_fixture_t *f)
{
	message_t m = { .type = MESSAGE_TOPIC_UPDATE };

	m.update.topic = STORE_CONFIG;
	m.update.is_list = true;
	m.update.to.epoch = 1;
	m.update.to.next = (uint64_t)f->old_peer_next;
	m.update.records = message_records_new();
	supervisor_post(&f->sup, TASK_PLATFORM, &m);
}

void store_fixture_send_runners(store_fixture_t *f, uint64_t from, uint64_t to,
				const char *gone, bool is_stable)
{
	message_t m = { .type = MESSAGE_TOPIC_UPDATE };

	m.update.topic = STORE_RUNNERS;
	m.update.from = (topic_position_t){ 1, from };
	m.update.to = (topic_position_t){ 1, to };
	m.update.is_stable = is_stable;
	m.update.records = message_records_new();
	if (gone) {
		message_record_t record = {
			.key = g_bytes_new(gone, strlen(gone)),
			.value = g_bytes_new(NULL, 0),
		};

		g_array_append_val(m.update.records, record);
	}
	supervisor_post(&f->sup, TASK_PLATFORM, &m);
}

static void refuse(store_fixture_t *f, const fake_topic_t *t, fake_reply_t *out)
{
	g_autoptr(GString) empty = g_string_new("{}");

	f->refused[t - f->topics]++;
	reply(f, out, STATUS_UNAVAILABLE, empty);
}

static void on_request(void *ctx, const fake_request_t *request,
		       fake_reply_t *out)
{
	store_fixture_t *f = ctx;
	const char *source = strstr(request->path, "source=");
	fake_topic_t *t = topic_of(f, request->path);

	if (f->is_down)
		refuse(f, t, out);
	else if (source)
		reply_read(f, t, (size_t)atoi(source + strlen("source=")), out);
	else if (strstr(request->path, "log-newest"))
		reply_list(f, t, out);
	else
		reply_append(f, t, request->body, out);
	/* It is asked at the same time, and nearer than the store. */
	if (f->has_old_peer && !source)
		send_old_list(f);
}

static void count_runners(store_fixture_t *f, const vm_list_t *vms)
{
	f->runners = (int)vms->runners->len;
	f->leaving = 0;
	for (guint i = 0; i < vms->runners->len; i++)
		f->leaving += g_array_index(vms->runners, vm_list_runner_t, i)
				      .runner.is_leaving;
}

static void read_version(store_fixture_t *f, const config_doc_t *doc)
{
	err_t err = { 0 };
	fleet_t *fleet = fleet_json_parse_config(
		(str_t){ g_bytes_get_data(doc->body, NULL),
			 g_bytes_get_size(doc->body) },
		&err);

	ck_assert_msg(fleet != NULL, "%s", err.detail);
	ck_assert_uint_eq(fleet->version, doc->version);
	f->sent_version = (int)fleet->version;
	f->configs_sent++;
	fleet_unref(fleet);
}

/* Notes removals of runners, and the entry that precedes each. */
static void read_removals(store_fixture_t *f, const GArray *records)
{
	static const char field[] = "\"sequence\":";

	for (guint i = 0; i < records->len; i++) {
		const message_record_t *r =
			&g_array_index(records, message_record_t, i);
		g_autofree char *text =
			g_strndup(g_bytes_get_size(r->value) ?
					  g_bytes_get_data(r->value, NULL) :
					  "",
				  g_bytes_get_size(r->value));
		const char *number = strstr(text, field);

		if (number)
			f->last_sequence = atoi(number + strlen(field));
		f->removals += !text[0];
	}
}

static void fake_handle(void *state, const message_t *m)
{
	store_fixture_t *f = state;

	if (m->type == MESSAGE_TOPIC_UPDATE && m->update.topic == STORE_CONFIG)
		f->configs_told += (int)m->update.records->len;
	if (m->type == MESSAGE_TOPIC_UPDATE && m->update.topic == STORE_RUNNERS)
		read_removals(f, m->update.records);
	if (m->type == MESSAGE_CONFIG_NEXT) {
		if ((int)m->number < f->version)
			f->lowest_version = (int)m->number;
		f->version = (int)m->number;
	} else if (m->type == MESSAGE_STREAM_ANSWER) {
		f->last_stream = m->streams.stream;
		f->stream_answers++;
	} else if (m->type == MESSAGE_VMS) {
		f->only_release = vm_list_release(m->vms, "s");
		f->lists++;
		count_runners(f, m->vms);
	} else if (m->type == MESSAGE_CONFIG_SEND) {
		read_version(f, &g_array_index(m->docs.docs, config_doc_t, 0));
	} else if (m->type == MESSAGE_TOPIC_UPDATE &&
		   m->update.topic == STORE_CONFIG &&
		   m->update.from.epoch != m->update.to.epoch) {
		f->told_from = m->update.from;
		f->told_to = m->update.to;
		f->tells++;
	}
}

static void front_handle(void *state, const message_t *m)
{
	store_fixture_t *f = state;

	if (m->type != MESSAGE_PART_NOTICE)
		return;
	ck_assert_int_eq(m->part.kind, PART_NOTICE_QUARANTINE);
	f->last_quarantined = m->part.entry;
	f->quarantined++;
}

static const task_spec_t fake_peers = { "peers", 2, task_fixture_start,
					fake_handle, task_fixture_stop };
static const task_spec_t fake_front = { "front", 1, task_fixture_start,
					front_handle, task_fixture_stop };
static const task_spec_t *const specs[TASK_COUNT] = {
	[TASK_PLATFORM] = &store_task,
	[TASK_PEERS] = &fake_peers,
	[TASK_CAPACITY] = &task_fixture_idle,
	[TASK_LIMITS] = &task_fixture_idle,
	[TASK_FRONT] = &fake_front,
	[TASK_ACCOUNTS] = &task_fixture_idle,
	[TASK_ADMIN] = &task_fixture_idle,
};

static void start_tasks(store_fixture_t *f)
{
	message_t reader = { .type = MESSAGE_READER_ROLE, .number = true };
	message_t count = { .type = MESSAGE_DAEMON_COUNT, .daemons = { 1, 1 } };
	err_t err = { 0 };

	supervisor_init(&f->sup, f->base, &f->settings);
	ck_assert_msg(supervisor_start(&f->sup, specs, &err), "%s", err.detail);
	supervisor_post(&f->sup, TASK_PLATFORM, &reader);
	supervisor_post(&f->sup, TASK_PLATFORM, &count);
}

void store_fixture_restart(store_fixture_t *f)
{
	supervisor_finish(&f->sup);
	start_tasks(f);
}

void store_fixture_restart_as_seed(store_fixture_t *f)
{
	g_strfreev(f->settings.seed_addresses);
	f->settings.seed_addresses =
		g_strsplit(f->settings.peer_listen, ",", 0);
	ck_assert(settings_is_seed(&f->settings));
	store_fixture_restart(f);
}

void store_fixture_init(store_fixture_t *f)
{
	g_autofree char *members = NULL;

	*f = (store_fixture_t){ .epoch = 1 };
	f->topics[STORE_CONFIG].name = "keyed.op";
	f->topics[STORE_RUNNERS].name = "keyed.servers";
	f->topics[STORE_DAEMONS].name = "keyed.daemons";
	f->topics[STORE_STREAMS].name = "topic=streams";
	task_fixture_set_state(f);
	log_init("error");
	f->base = event_base_new();
	fake_http_init(&f->http, f->base, on_request, f);
	members = g_strdup_printf("\"platform\":\"%s\","
				  "\"platform_timeout_ms\":100,"
				  "\"runners_poll_ms\":50,"
				  "\"config_wait_ms\":50",
				  f->http.address);
	task_fixture_parse_settings(&f->settings, members);
	start_tasks(f);
}

void store_fixture_finish(store_fixture_t *f)
{
	supervisor_finish(&f->sup);
	fake_http_finish(&f->http);
	event_base_loop(f->base, EVLOOP_NONBLOCK);
	event_base_free(f->base);
	settings_finish(&f->settings);
	for (int i = 0; i < STORE_FIXTURE_TOPICS; i++)
		store_fixture_go_back(f, i, 0);
}

bool store_fixture_await(store_fixture_t *f, const int *value, int wanted)
{
	int64_t limit = g_get_monotonic_time() + STORE_FIXTURE_LIMIT_US;

	while (*value != wanted && g_get_monotonic_time() < limit)
		event_base_loop(f->base, EVLOOP_ONCE);
	return *value == wanted;
}

void store_fixture_run(store_fixture_t *f, int64_t us)
{
	int64_t limit = g_get_monotonic_time() + us;

	while (g_get_monotonic_time() < limit)
		event_base_loop(f->base, EVLOOP_ONCE);
}
