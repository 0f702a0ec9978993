/*
 * Runs the dispatchers whose wants are sent to this daemon, each for a service
 * or for one group of its runners, and polls the load of their runners.
 */
#define LOG_PART "capacity"

#include <inttypes.h>

#include "common/log.h"
#include "core/runner_group.h"
#include "daemon/early_wants.h"
#include "daemon/load_poll.h"
#include "daemon/speed_keeper.h"
#include "daemon/route_query.h"
#include "daemon/supervisor.h"

enum {
	US_PER_MS = 1000,
	TICK_MS = 10,
	MAX_RUNNING = 100000, /* grants in progress per dispatcher */
	EXPORT_MS = 500, /* between updates of the metrics */
	SPEEDS_MS = 1000, /* between messages with learned speeds */
	PERCENT = 100,
};

/* Share of an engine's memory from which it counts as nearly full. */
static const double full_memory = 0.9;

typedef struct capacity capacity_t;

/* The dispatcher of one service, or of one group of its runners. */
typedef struct service {
	capacity_t *capacity;
	char name[MEMBER_NAME_SIZE]; /* of the service or the group */
	runner_group_t group;
	dispatcher_t dispatcher;
	GHashTable *runners; /* name to runner_t */
	uint64_t n_expired_logged; /* expired grants logged so far */
	int64_t speeds_sent_at; /* speeds learned before were sent */
} service_t;

/* A runner and the state of its load poll. */
typedef struct runner {
	service_t *service;
	dispatcher_runner_t info;
	load_poll_t load;
	bool is_listed; /* in the newest VM list */
	bool has_requested_load; /* the first poll was started */
} runner_t;

struct capacity {
	supervisor_t *sup;
	config_view_t *config;
	vm_list_t *vms;
	GHashTable *services; /* name to service_t */
	speed_keeper_t speeds; /* of dispatchers that are elsewhere */
	early_wants_t early; /* received before configuration and VM list */
	GHashTable *owners; /* boot ID to name of the daemon */
	GHashTable *partitioned_zones; /* set of zone names */
	bool is_view_stable; /* of the membership, by MESSAGE_VIEW_STABLE */
	uint64_t epoch; /* stall epoch at the last check */
	struct event *tick_timer;
	struct event *export_timer;
	struct event *speeds_timer; /* NULL unless learned_speeds is set */
	struct event *load_timer; /* NULL when load_poll_ms is 0 */
};

static void free_runner(void *data)
{
	runner_t *r = data;

	load_poll_finish(&r->load);
	g_free(r);
}

static void free_service(void *data)
{
	service_t *s = data;

	g_hash_table_destroy(s->runners);
	dispatcher_finish(&s->dispatcher);
	g_free(s);
}

static void post_to_owner(service_t *s, message_type_t type, const want_t *want,
			  message_t *m)
{
	capacity_t *c = s->capacity;
	const char *peer = g_hash_table_lookup(c->owners, &want->id.owner);

	m->type = type;
	m->capacity.want = *want;
	g_strlcpy(m->capacity.peer, peer ? peer : "", sizeof(m->capacity.peer));
	g_strlcpy(m->capacity.service, s->name, sizeof(m->capacity.service));
	supervisor_post(c->sup, TASK_PEERS, m);
}

static void on_grant(void *ctx, const want_t *want,
		     const dispatcher_runner_t *runner)
{
	service_t *s = ctx;
	message_t m = { .capacity.runner = *runner };

	m.capacity.limit =
		dispatcher_limit(&s->dispatcher, str_from(runner->name));
	log_debug("attempt %016" PRIx64 "-%" PRIu64 ": granted runner %s",
		  want->id.owner, want->id.attempt, runner->name);
	post_to_owner(ctx, MESSAGE_GRANT, want, &m);
}

static void on_refuse(void *ctx, const want_t *want, refuse_reason_t reason,
		      uint32_t retry_after_ms)
{
	message_t m = { .capacity = { .reason = reason,
				      .retry_after_ms = retry_after_ms } };

	post_to_owner(ctx, MESSAGE_REFUSE, want, &m);
}

static void on_cancel(void *ctx, const want_t *want)
{
	message_t m = { .type = MESSAGE_CANCEL };

	post_to_owner(ctx, MESSAGE_CANCEL, want, &m);
}

static dispatcher_policy_t parse_policy(const char *name)
{
	if (!strcmp(name, "round-robin"))
		return DISPATCHER_POLICY_ROUND_ROBIN;
	if (!strcmp(name, "two-choices"))
		return DISPATCHER_POLICY_TWO_CHOICES;
	return DISPATCHER_POLICY_LEDGER;
}

/* Applies the tiers, window and teams of the service's profile. */
static void apply_profile(service_t *s)
{
	const profile_service_t *service =
		config_view_service(s->capacity->config, s->group.service);
	const profile_t *profile =
		service ? config_view_profile(s->capacity->config,
					      service->profile) :
			  NULL;
	dispatcher_tier_t tiers[PROFILE_MAX_TIERS];

	if (!profile)
		return;
	for (uint32_t i = 0; i < profile->n_tiers; i++) {
		tiers[i].is_protected = profile->tiers[i].is_protected;
		tiers[i].weight = profile->tiers[i].weight;
	}
	dispatcher_set_tiers(&s->dispatcher, tiers, profile->n_tiers);
	dispatcher_set_window(&s->dispatcher,
			      service->is_engine ? service->window_tokens :
						   service->slots,
			      now_us());
	for (uint32_t i = 0; i < profile->n_teams; i++)
		dispatcher_set_team(&s->dispatcher,
				    str_from(profile->teams[i].name),
				    profile->teams[i].weight);
}

/* Applies a load report; NULL: the runner didn't answer. */
static void on_load(void *ctx, const dispatcher_report_t *report)
{
	runner_t *r = ctx;
	dispatcher_t *d = &r->service->dispatcher;

	if (report)
		dispatcher_report(d, str_from(r->info.name), report, now_us());
	else
		dispatcher_suspend_runner(d, str_from(r->info.name), now_us());
}

static void poll_load(runner_t *r)
{
	load_poll_start(&r->load, r->service->capacity->sup->base,
			r->info.address);
}

static void update_runner(service_t *s, const vm_list_runner_t *listed)
{
	runner_t *r = g_hash_table_lookup(s->runners, listed->runner.name);

	if (!r) {
		r = g_new0(runner_t, 1);
		r->service = s;
		load_poll_init(&r->load, on_load, r);
		g_strlcpy(r->info.name, listed->runner.name,
			  sizeof(r->info.name));
		g_hash_table_insert(s->runners, r->info.name, r);
	}
	r->info = listed->runner;
	r->info.is_partitioned = g_hash_table_contains(
		s->capacity->partitioned_zones, listed->zone);
	r->is_listed = true;
	dispatcher_set_runner(&s->dispatcher, &r->info, now_us());
	if (r->has_requested_load || !s->capacity->sup->settings->load_poll_ms)
		return;
	/* It may be leaving: suspend it while its first load report is due. */
	r->has_requested_load = true;
	dispatcher_suspend_runner(&s->dispatcher, str_from(r->info.name),
				  now_us());
	poll_load(r);
}

static bool is_in_group(const service_t *s, const vm_list_runner_t *listed)
{
	const char *zone = s->capacity->sup->settings->zone;

	if (strcmp(listed->service, s->group.service) != 0)
		return false;
	if (s->group.is_regional)
		return true;
	return !strcmp(listed->zone, zone) &&
	       runner_group_index(str_from(listed->runner.name),
				  s->group.count) == s->group.index;
}

/* Adds, updates and removes runners by the newest VM list. */
static void apply_list(service_t *s)
{
	GHashTableIter iter;
	runner_t *r;

	if (!s->capacity->vms)
		return;
	g_hash_table_iter_init(&iter, s->runners);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&r))
		r->is_listed = false;
	for (guint i = 0; i < s->capacity->vms->runners->len; i++) {
		const vm_list_runner_t *listed = &g_array_index(
			s->capacity->vms->runners, vm_list_runner_t, i);

		if (is_in_group(s, listed))
			update_runner(s, listed);
	}
	g_hash_table_iter_init(&iter, s->runners);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&r)) {
		if (r->is_listed)
			continue;
		dispatcher_remove_runner(&s->dispatcher, str_from(r->info.name),
					 now_us());
		g_hash_table_iter_remove(&iter);
	}
	dispatcher_set_list_received(&s->dispatcher, now_us());
}

/* Uses the runners' speeds that other daemons have learned. */
static void import_speeds(service_t *s)
{
	capacity_t *c = s->capacity;
	uint32_t n = c->vms ? speed_keeper_import(&c->speeds, s->name,
						  &s->dispatcher, now_us()) :
			      0;

	if (!n)
		return;
	log_event("speeds-taken", "service=%s runners=%u", s->name, n);
	metrics_add(&c->sup->metrics, "papaya_speeds_taken_total", NULL, n);
}

/*
 * Sends the speeds learned since the last time to the dispatcher's other host.
 * Those of a runner that no link takes, or that don't fit into one message, are
 * sent after its next answer, or when a link comes up.
 */
static void send_speeds(service_t *s)
{
	message_t m = { .type = MESSAGE_SPEEDS };
	runner_digest_t digests[SPEED_DIGEST_MAX];
	int64_t now = now_us();
	size_t n = dispatcher_export_speeds(&s->dispatcher, digests,
					    SPEED_DIGEST_MAX, s->speeds_sent_at,
					    now);

	s->speeds_sent_at = now;
	if (!n)
		return;
	g_strlcpy(m.speeds.service, s->name, sizeof(m.speeds.service));
	m.speeds.digests = g_array_new(FALSE, FALSE, sizeof(runner_digest_t));
	g_array_append_vals(m.speeds.digests, digests, (guint)n);
	supervisor_post(s->capacity->sup, TASK_PEERS, &m);
}

/* The other host may be a new process, which knows nothing. */
static void resend_all_speeds(service_t *s)
{
	s->speeds_sent_at = 0;
}

static service_t *add_service(capacity_t *c, const char *name,
			      const runner_group_t *group,
			      const profile_service_t *info)
{
	static const dispatcher_ops_t ops = { on_grant, on_refuse, on_cancel };
	const settings_t *set = c->sup->settings;
	service_t *s = g_new0(service_t, 1);
	dispatcher_config_t config = {
		.is_engine = info->is_engine,
		.max_wants = (uint32_t)set->max_wants,
		.max_running = MAX_RUNNING,
		.plain_slots = info->slots,
		.window_tokens = info->window_tokens,
		.engine_slots = info->is_engine ? info->slots : 0,
		.grant_timeout = set->grant_timeout_ms * 1000,
		.seed = g_rand_int(c->sup->rand),
		.grants_if_idle = set->fleet,
		.expires_grants = set->fleet,
		.awaits_list = set->fleet,
		.uses_stated_load = set->runner_load,
		.bounds_memory = set->runner_memory,
		.fits_work = set->placement,
		.prefers_connected = set->reuse_connections,
		.weighs_prompt_cache = set->prompt_cache_weighing,
		.policy = parse_policy(set->policy),
	};

	s->capacity = c;
	s->group = *group;
	g_strlcpy(s->name, name, sizeof(s->name));
	s->runners = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					   free_runner);
	dispatcher_init(&s->dispatcher, &config, &ops, s, now_us());
	g_hash_table_insert(c->services, s->name, s);
	dispatcher_set_view_stable(&s->dispatcher, c->is_view_stable, now_us());
	apply_profile(s);
	apply_list(s);
	import_speeds(s);
	log_info("started dispatcher of service %s", s->name);
	return s;
}

static service_t *find_service(capacity_t *c, const char *name)
{
	service_t *s = g_hash_table_lookup(c->services, name);
	const profile_service_t *info;
	runner_group_t group;

	if (s)
		return s;
	if (!runner_group_parse(name, &group))
		return NULL;
	info = config_view_service(c->config, group.service);
	return info ? add_service(c, name, &group, info) : NULL;
}

/* Returns a tier's index; wants of an unknown tier use the last one. */
static int tier_index(const capacity_t *c, const char *service,
		      const char *tier)
{
	const profile_service_t *info = config_view_service(c->config, service);
	const profile_t *profile =
		info ? config_view_profile(c->config, info->profile) : NULL;
	int index = profile ? profile_tier_index(profile, str_from(tier)) : -1;

	return index >= 0 ? index : PROFILE_MAX_TIERS - 1;
}

static void add_owner(capacity_t *c, uint64_t owner, const char *peer)
{
	if (!g_hash_table_contains(c->owners, &owner))
		g_hash_table_insert(c->owners, g_memdup2(&owner, sizeof(owner)),
				    g_strdup(peer));
}

static void refuse_unknown_service(capacity_t *c,
				   const message_capacity_t *request)
{
	message_t m = { .type = MESSAGE_REFUSE, .capacity = *request };

	m.capacity.reason = REFUSE_NO_RUNNER;
	m.capacity.retry_after_ms = 1000;
	supervisor_post(c->sup, TASK_PEERS, &m);
}

/* Confirms to the owner that its want is queued and was not lost. */
static void post_queued(capacity_t *c, const message_capacity_t *request)
{
	message_t m = { .type = MESSAGE_QUEUED, .capacity = *request };

	supervisor_post(c->sup, TASK_PEERS, &m);
}

/* Confirms the want at once if it is queued and came from another daemon. */
static void handle_new_want(capacity_t *c, service_t *s,
			    const message_capacity_t *request,
			    const want_t *want)
{
	dispatcher_want(&s->dispatcher, want, now_us());
	if (request->peer[0] && dispatcher_is_waiting(&s->dispatcher, want->id))
		post_queued(c, request);
}

static void for_each_service(capacity_t *c, void (*fn)(service_t *s))
{
	GHashTableIter iter;
	service_t *s;

	g_hash_table_iter_init(&iter, c->services);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&s))
		fn(s);
}

/*
 * Calls FN for every dispatcher and every known boot ID of PEER; NULL: of all
 * other daemons.
 */
static void for_each_owner_of(capacity_t *c, const char *peer,
			      void (*fn)(dispatcher_t *d, uint64_t owner))
{
	GHashTableIter owners, services;
	uint64_t *owner;
	const char *name;
	service_t *s;

	g_hash_table_iter_init(&owners, c->owners);
	while (g_hash_table_iter_next(&owners, (void **)&owner,
				      (void **)&name)) {
		if (peer ? strcmp(name, peer) : !name[0])
			continue;
		g_hash_table_iter_init(&services, c->services);
		while (g_hash_table_iter_next(&services, NULL, (void **)&s))
			fn(&s->dispatcher, *owner);
	}
}

static void doubt_grants(dispatcher_t *d, uint64_t owner)
{
	dispatcher_doubt_grants(d, owner, now_us());
}

static void apply_view_stable(service_t *s)
{
	dispatcher_set_view_stable(&s->dispatcher, s->capacity->is_view_stable,
				   now_us());
}

static void set_view_stable(capacity_t *c, bool is_view_stable)
{
	if (c->is_view_stable == is_view_stable)
		return;
	c->is_view_stable = is_view_stable;
	for_each_service(c, apply_view_stable);
}

/*
 * After a stall the view isn't stable: another daemon may have granted the
 * same runners meanwhile, and was told of the ends of grants.
 */
static void check_stall(capacity_t *c)
{
	uint64_t epoch = supervisor_stall_epoch(c->sup);

	if (epoch == c->epoch)
		return;
	c->epoch = epoch;
	set_view_stable(c, false);
	for_each_owner_of(c, NULL, doubt_grants);
}

/* Outside a fleet there may be no VM list at all. */
static bool is_too_early(const capacity_t *c)
{
	return c->sup->settings->fleet && (!c->config || !c->vms);
}

/* Keeps a want until it can be decided. Returns false if it can be now. */
static bool keep_early_want(capacity_t *c, const message_capacity_t *request)
{
	if (!is_too_early(c))
		return false;
	if (!early_wants_add(&c->early, request, now_us()))
		refuse_unknown_service(c, request);
	else if (request->peer[0] && !request->running_on[0])
		post_queued(c, request);
	return true;
}

static void handle_want(capacity_t *c, const message_capacity_t *request)
{
	want_t want = request->want;
	service_t *s;

	/* Owners confirm their grants only once, right after a stall. */
	check_stall(c);
	if (keep_early_want(c, request))
		return;
	s = find_service(c, request->service);
	if (!s) {
		refuse_unknown_service(c, request);
		return;
	}
	add_owner(c, want.id.owner, request->peer);
	want.tier = (uint32_t)tier_index(c, s->group.service, request->tier);
	want.is_fallback = request->is_local_only;
	if (request->running_on[0])
		dispatcher_adopt(&s->dispatcher, &want,
				 str_from(request->running_on), now_us());
	else if (request->is_resent &&
		 dispatcher_want_again(&s->dispatcher, &want, now_us()))
		post_queued(c, request);
	else if (!request->is_resent)
		handle_new_want(c, s, request, &want);
}

static void handle_early_wants(capacity_t *c)
{
	uint32_t n = early_wants_count(&c->early);
	message_capacity_t want;

	if (!n || is_too_early(c))
		return;
	log_event("early-wants",
		  "wants=%u why=\"configuration and runners are known now\"",
		  n);
	while (early_wants_pop(&c->early, &want))
		handle_want(c, &want);
}

/* Their owners may find another dispatcher. */
static void refuse_late_early_wants(capacity_t *c)
{
	message_capacity_t want;

	while (early_wants_pop_late(&c->early, now_us(), &want))
		refuse_unknown_service(c, &want);
}

static void set_owner_lost(dispatcher_t *d, uint64_t owner)
{
	dispatcher_owner_lost(d, owner, now_us());
}

static void set_owner_unresponsive(dispatcher_t *d, uint64_t owner)
{
	dispatcher_set_owner_unresponsive(d, owner, true, now_us());
}

static void set_owner_responsive(dispatcher_t *d, uint64_t owner)
{
	dispatcher_set_owner_unresponsive(d, owner, false, now_us());
}

static gboolean is_of_peer(void *owner, void *name, void *peer)
{
	return !strcmp(name, peer);
}

static void remove_owner(capacity_t *c, const char *peer)
{
	early_wants_remove_peer(&c->early, peer);
	for_each_owner_of(c, peer, set_owner_lost);
	g_hash_table_foreach_remove(c->owners, is_of_peer, (void *)peer);
}

static void set_zone_partitioned(capacity_t *c, const char *zone,
				 bool is_partitioned)
{
	if (is_partitioned)
		g_hash_table_add(c->partitioned_zones, g_strdup(zone));
	else
		g_hash_table_remove(c->partitioned_zones, zone);
	for_each_service(c, apply_list);
}

static void handle_speeds(capacity_t *c, const message_speeds_t *speeds)
{
	service_t *s = g_hash_table_lookup(c->services, speeds->service);

	if (!c->speeds_timer)
		return;
	speed_keeper_add(&c->speeds, speeds->service, speeds->digests,
			 now_us());
	if (s)
		import_speeds(s);
}

static void export_stats(capacity_t *c, service_t *s)
{
	g_autofree char *label = g_strdup_printf("service=\"%s\"", s->name);
	metrics_t *m = &c->sup->metrics;
	dispatcher_stats_t stats;

	dispatcher_stats(&s->dispatcher, &stats);
	metrics_set(m, "papaya_dispatcher_wants_total", label, stats.wants);
	metrics_set(m, "papaya_dispatcher_grants_total", label, stats.grants);
	metrics_set(m, "papaya_dispatcher_cancels_total", label, stats.cancels);
	metrics_set(m, "papaya_dispatcher_foreign_total", label, stats.unknown);
	if (stats.expired != s->n_expired_logged)
		log_event("grants-forgotten",
			  "service=%s grants=%" PRIu64
			  " why=\"no done message came from their owners\"",
			  s->name, stats.expired - s->n_expired_logged);
	s->n_expired_logged = stats.expired;
	metrics_set(m, "papaya_dispatcher_forgotten_total", label,
		    stats.expired);
	metrics_set(m, "papaya_dispatcher_cache_grants_total", label,
		    stats.cache_choices);
	metrics_set(m, "papaya_dispatcher_cache_passed_total", label,
		    stats.cache_passed);
	metrics_set(m, "papaya_dispatcher_cache_saved_ms_total", label,
		    stats.cache_saved / US_PER_MS);
	metrics_set(m, "papaya_dispatcher_fit_grants_total", label,
		    stats.fit_choices);
	metrics_set(m, "papaya_dispatcher_fit_missed_total", label,
		    stats.fit_misses);
	metrics_set(m, "papaya_dispatcher_spare_grants_total", label,
		    stats.spare_choices);
	metrics_set(m, "papaya_dispatcher_queued", label, stats.queued);
	metrics_set(m, "papaya_dispatcher_running", label, stats.running);
	metrics_set(m, "papaya_dispatcher_runners", label, stats.runners);
}

static void on_load_timer(evutil_socket_t fd, short what, void *arg)
{
	capacity_t *c = arg;
	GHashTableIter services, runners;
	service_t *s;
	runner_t *r;

	g_hash_table_iter_init(&services, c->services);
	while (g_hash_table_iter_next(&services, NULL, (void **)&s)) {
		g_hash_table_iter_init(&runners, s->runners);
		while (g_hash_table_iter_next(&runners, NULL, (void **)&r))
			poll_load(r);
	}
}

static void on_export_timer(evutil_socket_t fd, short what, void *arg)
{
	capacity_t *c = arg;
	GHashTableIter services;
	service_t *s;

	g_hash_table_iter_init(&services, c->services);
	while (g_hash_table_iter_next(&services, NULL, (void **)&s))
		export_stats(c, s);
}

static void on_speeds_timer(evutil_socket_t fd, short what, void *arg)
{
	for_each_service(arg, send_speeds);
}

static void on_tick_timer(evutil_socket_t fd, short what, void *arg)
{
	capacity_t *c = arg;
	GHashTableIter iter;
	service_t *s;

	check_stall(c);
	refuse_late_early_wants(c);
	g_hash_table_iter_init(&iter, c->services);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&s))
		dispatcher_tick(&s->dispatcher, now_us());
}

/* Takes over what the owner of a grant knows of its runner's limit. */
static void handle_limit(service_t *s, const message_capacity_t *c)
{
	static const char *const states[] = {
		[RUNNER_LIMIT_UNKNOWN] = "unknown",
		[RUNNER_LIMIT_NAMED] = "named",
		[RUNNER_LIMIT_LIFTED] = "lifted",
	};
	const runner_limit_t *limit = &c->done.limit;

	if (dispatcher_runner_limited(&s->dispatcher, c->want.id, limit,
				      now_us()))
		log_event("runner-limit-counted",
			  "service=%s owner=%s attempt=%" PRIu64
			  " state=%s rate=%g age_ms=%" PRId64,
			  s->name, c->peer[0] ? c->peer : "own",
			  c->want.id.attempt, states[limit->state], limit->rate,
			  (now_us() - limit->at) / 1000);
}

/* Takes over what the answer to a grant's request says of the runner. */
static void handle_brittle(service_t *s, const message_capacity_t *c)
{
	if (!c->done.is_brittle ||
	    !dispatcher_runner_brittle(&s->dispatcher, c->want.id,
				       c->done.refusals_borne, now_us()))
		return;
	log_event("runner-brittle",
		  "service=%s owner=%s attempt=%" PRIu64 " refusals_borne=%u",
		  s->name, c->peer[0] ? c->peer : "own", c->want.id.attempt,
		  c->done.refusals_borne);
	metrics_add(&s->capacity->sup->metrics, "papaya_runner_brittle_total",
		    NULL, 1);
}

static void handle_first_token(service_t *s, const message_capacity_t *c)
{
	handle_limit(s, c);
	handle_brittle(s, c);
	dispatcher_runner_load(&s->dispatcher, c->want.id, &c->done.load,
			       now_us());
	dispatcher_first_token(&s->dispatcher, c->want.id, now_us());
	if (c->done.says_leaving)
		dispatcher_runner_leaves(&s->dispatcher, c->want.id, now_us());
}

/* Logs that an engine broke off when it may have run out of memory. */
static void log_if_broke_full(service_t *s, const message_capacity_t *c)
{
	double part;

	if (c->done.result != DONE_BROKEN ||
	    !s->capacity->sup->settings->runner_memory)
		return;
	part = dispatcher_memory_part(&s->dispatcher, c->want.id);
	if (part < full_memory)
		return;
	log_event("runner-broke-full",
		  "service=%s owner=%s attempt=%" PRIu64
		  " memory_percent=%.0f why=\"it broke off with its memory "
		  "nearly full\"",
		  s->name, c->peer[0] ? c->peer : "own", c->want.id.attempt,
		  part * PERCENT);
	metrics_add(&s->capacity->sup->metrics,
		    "papaya_runner_broke_full_total", NULL, 1);
}

/* The end of a grant had its runner suspended. */
static void log_suspension(service_t *s, const message_capacity_t *c,
			   uint64_t before)
{
	static const char *const results[] = {
		[DONE_COMPLETED] = "completed",
		[DONE_FAILED] = "failed",
		[DONE_CANCELLED] = "cancelled",
		[DONE_UNREACHABLE] = "unreachable",
		[DONE_BROKEN] = "broken",
		[DONE_LEAVING] = "leaving",
	};
	dispatcher_stats_t stats;

	dispatcher_stats(&s->dispatcher, &stats);
	if (stats.suspensions == before)
		return;
	log_event("runner-suspended",
		  "service=%s owner=%s attempt=%" PRIu64
		  " result=%s available=%u runners=%u",
		  s->name, c->peer[0] ? c->peer : "own", c->want.id.attempt,
		  results[c->done.result], stats.available, stats.runners);
	metrics_add(&s->capacity->sup->metrics,
		    "papaya_runner_suspensions_total", NULL, 1);
}

static void handle_done(service_t *s, const message_capacity_t *c)
{
	dispatcher_stats_t stats;

	log_if_broke_full(s, c);
	handle_limit(s, c);
	handle_brittle(s, c);
	dispatcher_runner_load(&s->dispatcher, c->want.id, &c->done.load,
			       now_us());
	dispatcher_stats(&s->dispatcher, &stats);
	dispatcher_done(&s->dispatcher, c->want.id, &c->done, now_us());
	log_suspension(s, c, stats.suspensions);
}

/* Starts no dispatcher for an operator's question. */
static void explain(capacity_t *c, route_query_t *q)
{
	service_t *s = g_hash_table_lookup(c->services, q->capacity.service);
	want_t want = q->capacity.want;

	if (s) {
		want.tier = (uint32_t)tier_index(c, s->group.service,
						 q->capacity.tier);
		dispatcher_explain(&s->dispatcher, &want, now_us(),
				   &q->explanation);
		q->is_explained = true;
	}
	route_query_post(c->sup, TASK_ADMIN, q);
}

static void handle(void *state, const message_t *m)
{
	capacity_t *c = state;
	service_t *s;

	switch (m->type) {
	case MESSAGE_CONFIG:
		if (c->config == m->config)
			return;
		config_view_unref(c->config);
		c->config = config_view_ref(m->config);
		for_each_service(c, apply_profile);
		handle_early_wants(c);
		return;
	case MESSAGE_VMS:
		vm_list_unref(c->vms);
		c->vms = vm_list_ref(m->vms);
		for_each_service(c, apply_list);
		handle_early_wants(c);
		return;
	case MESSAGE_VIEW_STABLE:
		set_view_stable(c, m->number);
		return;
	case MESSAGE_ZONE_PARTITION:
		set_zone_partitioned(c, m->contact.name, m->contact.is_lost);
		return;
	case MESSAGE_PEER_UNRESPONSIVE:
		for_each_owner_of(c, m->contact.name,
				  m->contact.is_lost ? set_owner_unresponsive :
						       set_owner_responsive);
		return;
	case MESSAGE_LINK_UP:
		for_each_owner_of(c, m->contact.name, doubt_grants);
		for_each_service(c, resend_all_speeds);
		return;
	case MESSAGE_SPEEDS:
		handle_speeds(c, &m->speeds);
		return;
	case MESSAGE_DRAIN:
		if (!c->speeds_timer)
			return;
		for_each_service(c, resend_all_speeds);
		for_each_service(c, send_speeds);
		return;
	case MESSAGE_WANT:
		handle_want(c, &m->capacity);
		return;
	case MESSAGE_ROUTE_QUERY:
		explain(c, m->query);
		return;
	case MESSAGE_OWNER_LOST:
		remove_owner(c, m->capacity.peer);
		return;
	default:
		break;
	}
	if (m->type != MESSAGE_WITHDRAW && m->type != MESSAGE_FIRST_TOKEN &&
	    m->type != MESSAGE_DONE)
		return;
	if (m->type != MESSAGE_FIRST_TOKEN)
		early_wants_remove(&c->early, m->capacity.want.id);
	s = g_hash_table_lookup(c->services, m->capacity.service);
	if (!s)
		return;
	if (m->type == MESSAGE_WITHDRAW)
		dispatcher_withdraw(&s->dispatcher, m->capacity.want.id,
				    now_us());
	else if (m->type == MESSAGE_FIRST_TOKEN)
		handle_first_token(s, &m->capacity);
	else
		handle_done(s, &m->capacity);
}

static void *start(supervisor_t *sup, err_t *err)
{
	capacity_t *c = g_new0(capacity_t, 1);

	c->sup = sup;
	c->services = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					    free_service);
	c->partitioned_zones =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	early_wants_init(&c->early);
	speed_keeper_init(&c->speeds);
	c->owners = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free,
					  g_free);
	c->tick_timer = supervisor_add_timer(sup, TICK_MS, on_tick_timer, c);
	c->export_timer =
		supervisor_add_timer(sup, EXPORT_MS, on_export_timer, c);
	if (sup->settings->fleet && sup->settings->learned_speeds)
		c->speeds_timer = supervisor_add_timer(sup, SPEEDS_MS,
						       on_speeds_timer, c);
	if (sup->settings->load_poll_ms)
		c->load_timer = supervisor_add_timer(
			sup, sup->settings->load_poll_ms, on_load_timer, c);
	return c;
}

static void stop(void *state)
{
	capacity_t *c = state;

	event_free(c->tick_timer);
	event_free(c->export_timer);
	if (c->speeds_timer)
		event_free(c->speeds_timer);
	if (c->load_timer)
		event_free(c->load_timer);
	g_hash_table_destroy(c->services);
	g_hash_table_destroy(c->partitioned_zones);
	g_hash_table_destroy(c->owners);
	early_wants_finish(&c->early);
	speed_keeper_finish(&c->speeds);
	config_view_unref(c->config);
	vm_list_unref(c->vms);
	g_free(c);
}

const task_spec_t capacity_task = { "capacity", 2, start, handle, stop };
