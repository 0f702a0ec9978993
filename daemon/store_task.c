/*
 * Follows the topics of the platform's store (the operators' configuration,
 * the entries of the runners and those of the daemons) and writes this daemon's
 * own entry. Runs instead of the platform task in a daemon that serves a fleet.
 */
#define LOG_PART "store"

#include <inttypes.h>

#include "common/log.h"
#include "core/catch_up.h"
#include "daemon/fleet_view.h"
#include "daemon/part_records.h"
#include "daemon/release_record.h"
#include "daemon/rollout_conductor.h"
#include "daemon/store_follower.h"
#include "daemon/stream_recorder.h"
#include "platform/fleet_json.h"

enum {
	/* Time for runners to register again after a store outage. */
	RUNNER_GRACE_US = 2300 * 1000,
	/* Maximum age of the daemons' list, as a multiple of other topics'. */
	DAEMONS_AGE_FACTOR = 6,
	/* Assumed until the daemons are counted: all may start at once. */
	INITIAL_DAEMONS = 300,
	LIST_REQUEST_GAP_US = 200 * 1000, /* between two requests to daemons */
	EXPORT_MS = 1000, /* between updates of the metrics */
	RELEASES_GAP_US = 1000 * 1000, /* between looks at runners' releases */
	PUBLISH_MS = 100, /* between checks for changes and due removals */
};

typedef struct store_sync {
	supervisor_t *sup;
	store_t store;
	store_env_t env;
	store_follower_t config, runners, daemons;
	part_records_t parts; /* in the topic of the daemons */
	release_record_t releases; /* in the topic of the daemons */
	stream_recorder_t recorder;
	rollout_conductor_t rollouts;
	runner_list_t runner_list;
	catch_up_t catch_up; /* what was sent to daemons that are behind */
	GHashTable *daemon_list; /* name to listed_daemon_t */
	fleet_t *fleet;
	vm_list_t *vms;
	struct event *publish_timer;
	struct event *export_timer; /* of metrics */
	bool has_entry; /* this daemon's entry is in the store */
	uint64_t entry_epoch; /* of the store, in which it is known to be */
	bool is_writing;
	bool daemons_changed;
	int64_t lists_requested_at; /* last request to another daemon */
	int64_t runners_seen_at; /* as last told to the front task */
} store_sync_t;

static void post_fleet(store_sync_t *s)
{
	static const task_id_t recipients[] = { TASK_PEERS, TASK_CAPACITY,
						TASK_LIMITS, TASK_ADMIN };
	config_view_t *view = fleet_view_config(s->fleet);
	message_t m = { .type = MESSAGE_FLEET, .fleet = fleet_ref(s->fleet) };

	supervisor_post(s->sup, TASK_FRONT, &m);
	m = (message_t){ .type = MESSAGE_CONFIG_NEXT,
			 .number = s->fleet->version };
	supervisor_post(s->sup, TASK_PEERS, &m);
	for (size_t i = 0; i < G_N_ELEMENTS(recipients); i++) {
		m = (message_t){ .type = MESSAGE_CONFIG,
				 .config = config_view_ref(view) };
		supervisor_post(s->sup, recipients[i], &m);
	}
	config_view_unref(view);
}

/*
 * Puts a configuration in force if it is newer. One that can't be parsed here
 * counts as new, so that it is still forwarded to other daemons, which parse it
 * for themselves. BY, for the log: "store", or the daemon that sent it.
 */
static entry_news_t apply_config(store_sync_t *s, str_t text, const char *by)
{
	char reason[ERR_DETAIL_SIZE * 2];
	err_t err = { 0 };
	fleet_t *fleet = fleet_json_parse_config(text, &err);

	if (!fleet) {
		log_warn("ignored a configuration that can't be parsed: %s",
			 err_text(&err, reason, sizeof(reason)));
		metrics_add(&s->sup->metrics, "papaya_config_damaged_total",
			    NULL, 1);
		return ENTRY_NEW;
	}
	if (s->fleet && fleet->version <= s->fleet->version) {
		bool is_old = fleet->version < s->fleet->version;

		fleet_unref(fleet);
		return is_old ? ENTRY_OLD : ENTRY_KNOWN;
	}
	log_event("config-in-force",
		  "version=%" PRIu64 " was=%" PRIu64
		  " routes=%u teams=%u bytes=%zu by=%s",
		  fleet->version, s->fleet ? s->fleet->version : 0,
		  fleet->routes->len, fleet->teams->len, text.len, by);
	metrics_set(&s->sup->metrics, "papaya_config_version", NULL,
		    fleet->version);
	fleet_unref(s->fleet);
	s->fleet = fleet;
	rollout_conductor_set_view(&s->rollouts, s->fleet, s->vms);
	release_history_set_window(&s->releases.history,
				   fleet_longest_stream_ms(fleet) * 1000);
	post_fleet(s);
	return ENTRY_NEW;
}

/* Updates the runner list from a valid entry. */
static entry_news_t set_runner(store_sync_t *s, const listed_runner_t *runner)
{
	static const entry_news_t news[] = {
		[RUNNER_ENTRY_KNOWN] = ENTRY_KNOWN,
		[RUNNER_ENTRY_NEW] = ENTRY_NEW,
		[RUNNER_ENTRY_OLD] = ENTRY_OLD,
	};
	runner_entry_t result = runner_list_set(&s->runner_list, runner);

	if (result == RUNNER_ENTRY_NEW)
		log_event("runner-changed",
			  "runner=%s service=%s address=%s release=%s "
			  "leaving=%s next=%" PRIu64 " by=%s",
			  runner->id, runner->service, runner->address,
			  runner->release[0] ? runner->release : "-",
			  runner->is_leaving ? "yes" : "no",
			  s->runners.state.known.next, s->runners.source);
	else if (result == RUNNER_ENTRY_OLD)
		log_event("runner-old-entry",
			  "runner=%s leaving=%s sequence=%" PRIu64
			  " epoch=%" PRIu64,
			  runner->id, runner->is_leaving ? "yes" : "no",
			  runner->sequence, s->runners.state.known.epoch);
	/* It may be gone before the list is looked at as a whole. */
	if (result == RUNNER_ENTRY_NEW)
		release_history_see(&s->releases.history, runner->service,
				    runner->release, now_us());
	return news[result];
}

/*
 * Updates the runner list from an entry; an empty or invalid one removes the
 * runner.
 */
static entry_news_t apply_runner(store_sync_t *s, str_t id, str_t text)
{
	listed_runner_t runner;
	char reason[ERR_DETAIL_SIZE * 2];
	err_t err = { 0 };

	if (!text.len) {
		log_event("runner-dropped",
			  "runner=%.*s next=%" PRIu64 " put_off_ms=%" PRId64
			  " store=%s by=%s",
			  (int)MIN(id.len, FLEET_NAME_SIZE), id.ptr,
			  s->runners.state.known.next,
			  runner_list_removal_delay(&s->runner_list, now_us()) /
				  1000,
			  s->runner_list.is_store_down ? "down" : "up",
			  s->runners.source);
		runner_list_remove(&s->runner_list, id, now_us());
		return ENTRY_NEW;
	}
	if (fleet_json_parse_runner(id, text, &runner, &err))
		return set_runner(s, &runner);
	metrics_add(&s->sup->metrics, "papaya_runner_entries_refused_total",
		    NULL, 1);
	log_warn("removing runner %.*s: invalid entry: %s",
		 (int)MIN(id.len, FLEET_NAME_SIZE), id.ptr,
		 err_text(&err, reason, sizeof(reason)));
	runner_list_remove(&s->runner_list, id, now_us());
	return ENTRY_NEW;
}

/* Updates the daemon list from an entry. */
static entry_news_t apply_daemon(store_sync_t *s, str_t name, str_t text)
{
	const listed_daemon_t *known;
	listed_daemon_t daemon;

	if (!fleet_json_parse_daemon(name, text, &daemon, NULL))
		return ENTRY_KNOWN;
	known = g_hash_table_lookup(s->daemon_list, daemon.name);
	if (known && !strcmp(known->zone, daemon.zone) &&
	    !strcmp(known->address, daemon.address) &&
	    !strcmp(known->peer_address, daemon.peer_address))
		return ENTRY_KNOWN;
	g_hash_table_replace(s->daemon_list, g_strdup(daemon.name),
			     g_memdup2(&daemon, sizeof(daemon)));
	s->daemons_changed = true;
	return ENTRY_NEW;
}

/*
 * Keeps an operator's order of a roll-out. Its target's runners get a name
 * of their own in the next list of VMs.
 */
static entry_news_t apply_order(store_sync_t *s, const store_entry_t *entry)
{
	str_t service = store_rollout_service(entry->key);

	if (!service.len || !s->sup->settings->rollouts ||
	    !rollout_conductor_set_order(&s->rollouts, service, entry->value))
		return ENTRY_KNOWN;
	s->daemons_changed = true;
	return ENTRY_NEW;
}

/* Keeps a record of another kind; it is read when the topic is listed. */
static entry_news_t apply_record(const store_sync_t *s,
				 const store_entry_t *entry)
{
	GBytes *known = topic_records_get(&s->daemons.records, entry->key);

	return known && str_eq(topic_records_view(known), entry->value) ?
		       ENTRY_KNOWN :
		       ENTRY_NEW;
}

/* Applies an entry of any topic. */
static entry_news_t apply_entry(void *ctx, store_topic_t topic,
				const store_entry_t *entry)
{
	store_sync_t *s = ctx;

	switch (topic) {
	case STORE_CONFIG:
		if (store_is_config_key(entry->key) && entry->value.len)
			return apply_config(s, entry->value, s->config.source);
		return apply_order(s, entry);
	case STORE_RUNNERS:
		return apply_runner(s, entry->key, entry->value);
	case STORE_DAEMONS:
		if (part_records_is_key(entry->key) ||
		    release_record_is_key(entry->key))
			return apply_record(s, entry);
		return apply_daemon(s, entry->key, entry->value);
	case STORE_STREAMS: /* this topic and the next aren't followed */
	case STORE_STATUS:
		break;
	}
	return ENTRY_KNOWN;
}

static void on_written(void *ctx, const err_t *err)
{
	store_sync_t *s = ctx;

	s->is_writing = false;
	/*
	 * An append reported as failed may be in the store; a second one of the
	 * same entry changes nothing.
	 */
	s->has_entry = !err;
	s->entry_epoch = s->daemons.state.known.epoch;
	if (s->has_entry)
		log_info("wrote this daemon's entry to the store");
}

static void write_entry(store_sync_t *s)
{
	const settings_t *set = s->sup->settings;
	listed_daemon_t own = { .name = "" };
	g_autofree char *text = NULL;

	g_strlcpy(own.zone, set->zone, sizeof(own.zone));
	g_strlcpy(own.address, set->listen, sizeof(own.address));
	g_strlcpy(own.peer_address, set->peer_listen, sizeof(own.peer_address));
	text = fleet_json_write_daemon(&own);
	s->is_writing =
		store_append(&s->store, STORE_DAEMONS, str_from(set->name),
			     str_from(text), on_written, s, NULL);
}

/* After a return from an old copy the store may lack this daemon's entry. */
static void check_entry(store_sync_t *s)
{
	uint64_t epoch = s->daemons.state.known.epoch;
	const char *name = s->sup->settings->name;

	if (!s->has_entry || epoch <= s->entry_epoch)
		return;
	s->entry_epoch = epoch;
	s->has_entry =
		topic_records_get(&s->daemons.records, str_from(name)) != NULL;
	log_event("own-entry", "epoch=%" PRIu64 " found=%s", epoch,
		  s->has_entry ? "yes" : "no");
}

static void post_vms(store_sync_t *s)
{
	static const task_id_t recipients[] = { TASK_PEERS, TASK_CAPACITY,
						TASK_LIMITS, TASK_FRONT };

	for (size_t i = 0; i < G_N_ELEMENTS(recipients); i++) {
		message_t m = { .type = MESSAGE_VMS,
				.vms = vm_list_ref(s->vms) };

		supervisor_post(s->sup, recipients[i], &m);
	}
}

static uint32_t count_leaving(const vm_list_t *vms)
{
	uint32_t n = 0;

	for (guint i = 0; i < vms->runners->len; i++)
		n += g_array_index(vms->runners, vm_list_runner_t, i)
			     .runner.is_leaving;
	return n;
}

static uint32_t missing_list_bit(const store_follower_t *f)
{
	return topic_follow_needs_list(&f->state) ? 1U << f->topic : 0;
}

/* Requests the lists that this daemon lacks from another daemon. */
static void request_lists(store_sync_t *s)
{
	message_t m = { .type = MESSAGE_REQUEST_LISTS };
	int64_t now = now_us();

	m.lists.topics = missing_list_bit(&s->config) |
			 missing_list_bit(&s->runners) |
			 missing_list_bit(&s->daemons);
	if (!m.lists.topics ||
	    now - s->lists_requested_at < LIST_REQUEST_GAP_US)
		return;
	s->lists_requested_at = now;
	supervisor_post(s->sup, TASK_PEERS, &m);
}

static void on_export_timer(evutil_socket_t fd, short what, void *arg)
{
	store_sync_t *s = arg;
	metrics_t *m = &s->sup->metrics;
	store_stats_t stats;

	store_stats(&s->store, &stats);
	for (int kind = 0; kind < STORE_CALL_KINDS; kind++) {
		g_autofree char *label = g_strdup_printf(
			"kind=\"%s\"", store_call_kind_name(kind));

		metrics_set(m, "papaya_store_calls_total", label,
			    stats.calls_by_kind[kind]);
	}
	metrics_set(m, "papaya_store_failed_total", NULL, stats.failed);
	metrics_set(m, "papaya_store_bytes_in_total", NULL, stats.bytes_in);
}

/* Sends the list of runners and daemons to other tasks if it changed. */
static void publish_changes(store_sync_t *s)
{
	int64_t now = now_us();
	bool has_changed = runner_list_apply_due(&s->runner_list, now);

	if (s->runners.state.is_listed &&
	    (has_changed || now - s->releases.seen_at > RELEASES_GAP_US))
		release_record_see(&s->releases, &s->runner_list, now);
	if (!has_changed && !s->daemons_changed &&
	    !(s->vms && release_record_has_news(&s->releases, s->vms, now)))
		return;
	s->daemons_changed = false;
	vm_list_unref(s->vms);
	s->vms = fleet_view_vms(&s->runner_list, s->daemon_list,
				s->sup->settings);
	rollout_conductor_split(&s->rollouts, s->vms);
	rollout_conductor_set_view(&s->rollouts, s->fleet, s->vms);
	release_record_set_only(&s->releases, s->vms, now);
	log_event("runners-in-force",
		  "runners=%u leaving=%u daemons=%u next=%" PRIu64
		  " list_age_ms=%" PRId64,
		  s->vms->runners->len, count_leaving(s->vms),
		  s->vms->daemons->len, s->runners.state.known.next,
		  (now_us() - s->runners.state.updated_at) / 1000);
	post_vms(s);
}

/* Tells the front task how new the list of runners is that it has. */
static void post_runners_seen(store_sync_t *s)
{
	message_t m = { .type = MESSAGE_RUNNERS_SEEN,
			.number = (uint64_t)s->runners.state.updated_at };

	if (s->runners_seen_at == s->runners.state.updated_at)
		return;
	s->runners_seen_at = s->runners.state.updated_at;
	supervisor_post(s->sup, TASK_FRONT, &m);
}

/*
 * Requests missing lists, publishes changes, and writes this daemon's entry and
 * the records of prompt parts until the writes succeed.
 */
static void on_publish_timer(evutil_socket_t fd, short what, void *arg)
{
	store_sync_t *s = arg;
	uint64_t epoch = s->daemons.state.known.epoch;
	int64_t now = now_us();

	request_lists(s);
	check_entry(s);
	if (!s->has_entry && !s->is_writing && s->daemons.state.is_listed)
		write_entry(s);
	if (s->daemons.state.is_listed) {
		part_records_load(&s->parts, now);
		release_record_load(&s->releases, now);
	}
	rollout_conductor_set_orders_read(&s->rollouts,
					  s->config.state.updated_at);
	part_records_tick(&s->parts, epoch, now);
	stream_recorder_tick(&s->recorder, epoch, now);
	publish_changes(s);
	post_runners_seen(s);
	if (s->daemons.state.is_reader && s->vms)
		release_record_tick(&s->releases, now);
}

static void set_daemon_count(store_sync_t *s, uint32_t daemons)
{
	int64_t max_update_age =
		topic_follow_max_update_age(daemons, s->env.jitter);

	s->env.daemons = daemons;
	s->config.state.max_update_age = max_update_age;
	s->runners.state.max_update_age = max_update_age;
	s->daemons.state.max_update_age = max_update_age * DAEMONS_AGE_FACTOR;
}

static void set_reader(store_sync_t *s, bool is_reader)
{
	store_stats_t stats;

	if (s->config.state.is_reader == is_reader)
		return;
	store_stats(&s->store, &stats);
	log_event("reader",
		  "reads=%s daemons=%u calls=%" PRIu64 " failed=%" PRIu64,
		  is_reader ? "yes" : "no", s->env.daemons, stats.calls,
		  stats.failed);
	s->config.state.is_reader = is_reader;
	s->runners.state.is_reader = is_reader;
	s->daemons.state.is_reader = is_reader;
}

/*
 * Sends the configuration to a peer that can't read the store itself. Only
 * readers of the store, and daemons whose own last call to it failed, do so,
 * at the pace of core/catch_up.h.
 */
static void send_config(store_sync_t *s, const char *peer)
{
	message_t m = { .type = MESSAGE_CONFIG_SEND };
	config_doc_t doc = { .offset = 0 };
	GBytes *text =
		topic_records_get(&s->config.records, store_config_key());

	if (!s->fleet || !text ||
	    (!s->config.state.is_reader && !s->config.is_down) ||
	    !catch_up_may_send(&s->catch_up, peer, s->fleet->version,
			       g_bytes_get_size(text), now_us()))
		return;
	g_strlcpy(m.docs.peer, peer, sizeof(m.docs.peer));
	g_strlcpy(doc.name, FLEET_PROFILE, sizeof(doc.name));
	doc.version = s->fleet->version;
	doc.body = g_bytes_ref(text);
	m.docs.next = s->fleet->version;
	m.docs.docs = message_docs_new();
	g_array_append_val(m.docs.docs, doc);
	supervisor_post(s->sup, TASK_PEERS, &m);
}

static void apply_relayed_config(store_sync_t *s, const message_docs_t *relayed)
{
	const GArray *docs = relayed->docs;
	const char *from = relayed->peer;

	for (guint i = 0; i < docs->len; i++) {
		const config_doc_t *doc = &g_array_index(docs, config_doc_t, i);

		if (!strcmp(doc->name, FLEET_PROFILE) &&
		    apply_config(s, topic_records_view(doc->body), from) ==
			    ENTRY_NEW)
			store_follower_keep_relayed(
				&s->config, topic_records_view(doc->body));
	}
}

/* A peer has a later version than this daemon; it is on its way, or lost. */
static void on_stated_config(store_sync_t *s, uint64_t stated)
{
	uint64_t version = s->fleet ? s->fleet->version : 0;

	if (stated <= version ||
	    !topic_follow_on_lag(&s->config.state, version, now_us()))
		return;
	log_event("config-behind",
		  "version=%" PRIu64 " stated=%" PRIu64 " known=%" PRIu64
		  " known_age_ms=%" PRId64 " why=\"a peer has a later one\"",
		  version, stated, s->config.state.known.next,
		  (now_us() - s->config.state.updated_at) / 1000);
}

/* The store answers for each topic again, whichever showed it first. */
static void on_back(void *ctx)
{
	store_sync_t *s = ctx;

	store_follower_end_wait(&s->config);
	store_follower_end_wait(&s->runners);
	store_follower_end_wait(&s->daemons);
}

/* A cut from another zone has ended, and with it maybe one from the store. */
static void on_zone_contact(store_sync_t *s, bool is_lost)
{
	if (is_lost)
		return;
	store_follower_call_soon(&s->config);
	store_follower_call_soon(&s->runners);
	store_follower_call_soon(&s->daemons);
}

/* Each topic is of the store's epoch, whichever showed it first. */
static void on_epoch(void *ctx, uint64_t epoch)
{
	store_sync_t *s = ctx;

	store_follower_require_epoch(&s->config, epoch);
	store_follower_require_epoch(&s->runners, epoch);
	store_follower_require_epoch(&s->daemons, epoch);
}

static void on_update(store_sync_t *s, store_follower_t *f,
		      const message_update_t *update)
{
	store_follower_on_update(f, update);
	/* Callers' requests wait for the first list, so publish it at once. */
	if (!s->vms && s->runners.state.is_listed)
		publish_changes(s);
}

static void handle(void *state, const message_t *m)
{
	store_sync_t *s = state;
	store_follower_t *followers[] = { [STORE_CONFIG] = &s->config,
					  [STORE_RUNNERS] = &s->runners,
					  [STORE_DAEMONS] = &s->daemons };

	if (m->type == MESSAGE_READER_ROLE)
		set_reader(s, m->number);
	else if (m->type == MESSAGE_TOPIC_UPDATE &&
		 m->update.topic < G_N_ELEMENTS(followers))
		on_update(s, followers[m->update.topic], &m->update);
	else if (m->type == MESSAGE_DAEMON_COUNT)
		set_daemon_count(s, m->daemons.live);
	else if (m->type == MESSAGE_LISTS_REQUESTED)
		for (size_t i = 0; i < G_N_ELEMENTS(followers); i++) {
			if (m->lists.topics & (1U << i))
				store_follower_send_list(followers[i],
							 m->lists.peer);
		}
	else if (m->type == MESSAGE_CONFIG_STATED)
		on_stated_config(s, m->number);
	else if (m->type == MESSAGE_CONFIG_REQUEST)
		send_config(s, m->docs.peer);
	else if (m->type == MESSAGE_CONFIG_RELAYED)
		apply_relayed_config(s, &m->docs);
	else if (m->type == MESSAGE_ZONE_PARTITION)
		on_zone_contact(s, m->contact.is_lost);
	else if (m->type == MESSAGE_PART_NOTICE)
		part_records_on_notice(&s->parts, &m->part);
	else
		stream_recorder_handle(&s->recorder, m);
	rollout_conductor_handle(&s->rollouts, m);
	/* Sent by the gateway task when it starts, to get the current state. */
	if (m->type == MESSAGE_VIEW_CHANGED && s->fleet) {
		rollout_conductor_post_orders(&s->rollouts);
		post_fleet(s);
		if (s->vms)
			post_vms(s);
	}
}

static void *start(supervisor_t *sup, err_t *err)
{
	store_sync_t *s = g_new0(store_sync_t, 1);

	s->sup = sup;
	store_init(&s->store, sup->base, sup->settings->platform,
		   sup->settings->platform_timeout_ms);
	runner_list_init(&s->runner_list, RUNNER_GRACE_US);
	catch_up_init(&s->catch_up);
	s->daemon_list =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	s->env = (store_env_t){
		.sup = sup,
		.store = &s->store,
		.runner_list = &s->runner_list,
		.jitter = g_rand_double(sup->rand),
		.on_entry = apply_entry,
		.on_back = on_back,
		.on_epoch = on_epoch,
		.ctx = s,
	};
	store_follower_init(&s->config, &s->env, STORE_CONFIG);
	store_follower_init(&s->runners, &s->env, STORE_RUNNERS);
	store_follower_init(&s->daemons, &s->env, STORE_DAEMONS);
	part_records_init(&s->parts, sup, &s->store, &s->daemons.records);
	release_record_init(&s->releases, &s->store, &s->daemons.records);
	stream_recorder_init(&s->recorder, sup, &s->store,
			     &s->releases.history);
	rollout_conductor_init(&s->rollouts, sup, &s->store);
	set_daemon_count(s, INITIAL_DAEMONS);
	s->publish_timer =
		supervisor_add_timer(sup, PUBLISH_MS, on_publish_timer, s);
	s->export_timer =
		supervisor_add_timer(sup, EXPORT_MS, on_export_timer, s);
	return s;
}

static void stop(void *state)
{
	store_sync_t *s = state;

	store_finish(&s->store);
	store_follower_finish(&s->config);
	store_follower_finish(&s->runners);
	store_follower_finish(&s->daemons);
	part_records_finish(&s->parts);
	stream_recorder_finish(&s->recorder);
	rollout_conductor_finish(&s->rollouts);
	release_record_finish(&s->releases);
	event_free(s->publish_timer);
	event_free(s->export_timer);
	runner_list_finish(&s->runner_list);
	catch_up_finish(&s->catch_up);
	g_hash_table_destroy(s->daemon_list);
	fleet_unref(s->fleet);
	vm_list_unref(s->vms);
	g_free(s);
}

const task_spec_t store_task = { "store", 0, start, handle, stop };
