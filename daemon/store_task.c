/*
 * Follows the platform's store: the operators' configuration, the runners'
 * entries and the other daemons', and writes this daemon's own entry. In the
 * place of the platform task where a fleet is served.
 */
#define LOG_PART "store"

#include <inttypes.h>

#include "common/log.h"
#include "common/timeval.h"
#include "core/runner_list.h"
#include "daemon/fleet_view.h"
#include "daemon/supervisor.h"
#include "platform/fleet_text.h"
#include "platform/store.h"

enum {
	RETURN_US = 2300 * 1000, /* for runners to return after an outage */
	RETRY_MS = 200, /* after a failed call */
	DAEMONS_POLL_MS = 5000,
	APPLY_MS = 100, /* between looks for drops that are due */
};

/* What one topic was read up to. */
typedef struct follower {
	struct store_follow *owner;
	store_topic_t topic;
	struct event *timer;
	uint64_t next; /* offset to read from; has_list */
	bool has_list; /* the whole of it was listed once */
	bool is_calling;
	bool is_down;
} follower_t;

typedef struct store_follow {
	supervisor_t *sup;
	store_t store;
	follower_t config, runners, daemons;
	runner_list_t runner_list;
	GHashTable *daemon_list; /* name to listed_daemon_t */
	fleet_t *fleet;
	vm_view_t *vms;
	struct event *apply;
	bool has_entry; /* our own is in the store */
	bool is_writing;
	bool daemons_changed;
} store_follow_t;

static void follow(follower_t *f);

static void post_fleet(store_follow_t *s)
{
	static const task_id_t readers[] = { TASK_PEERS, TASK_CAPACITY,
					     TASK_LIMITS, TASK_ADMIN };
	config_view_t *view = fleet_view_profile(s->fleet);
	message_t m = { .type = MESSAGE_FLEET, .fleet = fleet_ref(s->fleet) };

	supervisor_post(s->sup, TASK_FRONT, &m);
	for (size_t i = 0; i < G_N_ELEMENTS(readers); i++) {
		m = (message_t){ .type = MESSAGE_CONFIG,
				 .config = config_view_ref(view) };
		supervisor_post(s->sup, readers[i], &m);
	}
	config_view_unref(view);
}

static void take_config(store_follow_t *s, str_t text)
{
	char reason[ERR_DETAIL_SIZE * 2];
	err_t err = { 0 };
	fleet_t *fleet = fleet_text_config(text, &err);

	if (!fleet) {
		log_warn("configuration passed over: %s",
			 err_text(&err, reason, sizeof(reason)));
		metrics_add(&s->sup->metrics, "papaya_config_damaged_total",
			    NULL, 1);
		return;
	}
	if (s->fleet && fleet->version <= s->fleet->version) {
		fleet_unref(fleet);
		return;
	}
	log_info("configuration version %" PRIu64 " in force: %u routes, "
		 "%u teams",
		 fleet->version, fleet->routes->len, fleet->teams->len);
	metrics_set(&s->sup->metrics, "papaya_config_version", NULL,
		    fleet->version);
	fleet_unref(s->fleet);
	s->fleet = fleet;
	post_fleet(s);
}

static void take_runner(store_follow_t *s, str_t id, str_t text)
{
	listed_runner_t runner;
	char reason[ERR_DETAIL_SIZE * 2];
	err_t err = { 0 };

	if (!text.len) {
		runner_list_drop(&s->runner_list, id, now_us());
	} else if (fleet_text_runner(id, text, &runner, &err)) {
		runner_list_set(&s->runner_list, &runner);
	} else {
		log_warn("entry of runner %.*s names none to use: %s",
			 (int)MIN(id.len, FLEET_NAME_SIZE), id.ptr,
			 err_text(&err, reason, sizeof(reason)));
		runner_list_drop(&s->runner_list, id, now_us());
	}
}

static void take_daemon(store_follow_t *s, str_t name, str_t text)
{
	listed_daemon_t daemon;

	if (!fleet_text_daemon(name, text, &daemon, NULL))
		return;
	g_hash_table_replace(s->daemon_list, g_strdup(daemon.name),
			     g_memdup2(&daemon, sizeof(daemon)));
	s->daemons_changed = true;
}

static void take_entry(follower_t *f, const store_entry_t *entry)
{
	switch (f->topic) {
	case STORE_CONFIG:
		if (store_is_config_key(entry->key) && entry->value.len)
			take_config(f->owner, entry->value);
		break;
	case STORE_RUNNERS:
		take_runner(f->owner, entry->key, entry->value);
		break;
	case STORE_DAEMONS:
		take_daemon(f->owner, entry->key, entry->value);
		break;
	}
}

static void note_down(follower_t *f, const err_t *err)
{
	char text[ERR_DETAIL_SIZE * 2];

	if (f->topic == STORE_RUNNERS)
		runner_list_away(&f->owner->runner_list, err != NULL, now_us());
	if (f->is_down == (err != NULL))
		return;
	f->is_down = err != NULL;
	if (err)
		log_warn("store: %s can't be read: %s",
			 store_topic_name(f->topic),
			 err_text(err, text, sizeof(text)));
	else
		log_info("store: %s can be read again",
			 store_topic_name(f->topic));
}

static void follow_later(follower_t *f, int64_t ms)
{
	struct timeval delay = timeval_from_ms(ms);

	event_add(f->timer, &delay);
}

static int64_t pause_ms(const follower_t *f)
{
	const settings_t *s = f->owner->sup->settings;

	if (f->is_down || !f->has_list)
		return RETRY_MS;
	if (f->topic == STORE_CONFIG)
		return 1;
	return f->topic == STORE_RUNNERS ? s->runners_poll_ms : DAEMONS_POLL_MS;
}

static void on_page(void *ctx, const store_page_t *page, const err_t *err)
{
	follower_t *f = ctx;
	bool was_listing = !f->has_list;

	f->is_calling = false;
	note_down(f, err);
	if (err) {
		follow_later(f, RETRY_MS);
		return;
	}
	if (page->has_gap) {
		log_info("store: %s is listed anew, records are gone",
			 store_topic_name(f->topic));
		f->has_list = false;
		follow(f);
		return;
	}
	if (was_listing && f->topic == STORE_RUNNERS)
		runner_list_begin(&f->owner->runner_list);
	for (size_t i = 0; i < page->n_entries; i++)
		take_entry(f, &page->entries[i]);
	if (was_listing && f->topic == STORE_RUNNERS)
		runner_list_end(&f->owner->runner_list, now_us());
	f->next = page->next;
	f->has_list = true;
	follow_later(f, pause_ms(f));
}

/* Lists a topic first, then reads what is new. */
static void follow(follower_t *f)
{
	store_t *store = &f->owner->store;
	int64_t wait = f->topic == STORE_CONFIG ?
			       f->owner->sup->settings->config_wait_ms :
			       0;
	bool is_begun;

	if (f->is_calling)
		return;
	if (f->has_list)
		is_begun = store_read(store, f->topic, f->next, wait, on_page,
				      f, NULL);
	else
		is_begun = store_list(store, f->topic, on_page, f, NULL);
	f->is_calling = is_begun;
	if (!is_begun)
		follow_later(f, RETRY_MS);
}

static void on_follow(evutil_socket_t fd, short what, void *arg)
{
	follow(arg);
}

static void on_written(void *ctx, const err_t *err)
{
	store_follow_t *s = ctx;

	s->is_writing = false;
	/* Writing the entry twice changes nothing. */
	s->has_entry = !err;
	if (s->has_entry)
		log_info("this daemon is listed in the store");
}

static void write_entry(store_follow_t *s)
{
	const settings_t *set = s->sup->settings;
	listed_daemon_t own = { .name = "" };
	g_autofree char *text = NULL;

	g_strlcpy(own.zone, set->zone, sizeof(own.zone));
	g_strlcpy(own.address, set->listen, sizeof(own.address));
	g_strlcpy(own.peer_address, set->peer_listen, sizeof(own.peer_address));
	text = fleet_text_daemon_write(&own);
	s->is_writing =
		store_append(&s->store, STORE_DAEMONS, str_from(set->name),
			     str_from(text), on_written, s, NULL);
}

static void post_vms(store_follow_t *s)
{
	static const task_id_t readers[] = { TASK_PEERS, TASK_CAPACITY,
					     TASK_LIMITS, TASK_FRONT };

	for (size_t i = 0; i < G_N_ELEMENTS(readers); i++) {
		message_t m = { .type = MESSAGE_VMS,
				.vms = vm_view_ref(s->vms) };

		supervisor_post(s->sup, readers[i], &m);
	}
}

/* Publishes what changed, and writes the own entry until it is there. */
static void on_apply(evutil_socket_t fd, short what, void *arg)
{
	store_follow_t *s = arg;
	bool has_changed = runner_list_poll(&s->runner_list, now_us());
	store_stats_t stats;

	if (!s->has_entry && !s->is_writing && s->daemons.has_list)
		write_entry(s);
	if (!has_changed && !s->daemons_changed)
		return;
	s->daemons_changed = false;
	vm_view_unref(s->vms);
	s->vms = fleet_view_vms(&s->runner_list, s->daemon_list,
				s->sup->settings);
	log_info("runners in force: %u; daemons known: %u",
		 s->vms->runners->len, s->vms->entries->len);
	post_vms(s);
	store_stats(&s->store, &stats);
	metrics_set(&s->sup->metrics, "papaya_store_calls_total", NULL,
		    stats.calls);
	metrics_set(&s->sup->metrics, "papaya_store_failed_total", NULL,
		    stats.failed);
	metrics_set(&s->sup->metrics, "papaya_store_bytes_in_total", NULL,
		    stats.bytes_in);
}

static void follower_init(follower_t *f, store_follow_t *s, store_topic_t topic)
{
	f->owner = s;
	f->topic = topic;
	f->timer = evtimer_new(s->sup->base, on_follow, f);
	follow(f);
}

static void handle(void *state, const message_t *m)
{
	store_follow_t *s = state;

	/* A task of the group that restarted asks with its first message. */
	if (m->type == MESSAGE_VIEW_CHANGED && s->fleet) {
		post_fleet(s);
		if (s->vms)
			post_vms(s);
	}
}

static void *start(supervisor_t *sup, err_t *err)
{
	store_follow_t *s = g_new0(store_follow_t, 1);

	s->sup = sup;
	store_init(&s->store, sup->base, sup->settings->platform,
		   sup->settings->platform_timeout_ms);
	runner_list_init(&s->runner_list, RETURN_US);
	s->daemon_list =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	follower_init(&s->config, s, STORE_CONFIG);
	follower_init(&s->runners, s, STORE_RUNNERS);
	follower_init(&s->daemons, s, STORE_DAEMONS);
	s->apply = supervisor_every(sup, APPLY_MS, on_apply, s);
	return s;
}

static void stop(void *state)
{
	store_follow_t *s = state;

	store_finish(&s->store);
	event_free(s->config.timer);
	event_free(s->runners.timer);
	event_free(s->daemons.timer);
	event_free(s->apply);
	runner_list_finish(&s->runner_list);
	g_hash_table_destroy(s->daemon_list);
	fleet_unref(s->fleet);
	vm_view_unref(s->vms);
	g_free(s);
}

const task_spec_t store_task = { "store", 0, start, handle, stop };
