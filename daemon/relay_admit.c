/*
 * Admission of a request: parses its head, waits until a daemon that just
 * started is ready, finds the route and the team, and asks the limiter for the
 * team's limit. An admitted request is sent to a dispatcher (relay.c).
 */
#define LOG_PART "relay"

#include "common/log.h"
#include "common/timeval.h"
#include "daemon/held_bytes.h"
#include "daemon/relay.h"

enum {
	US_PER_MS = 1000,
	/* After this time without an answer, this daemon's share applies. */
	LIMIT_TIMEOUT_US = 150 * US_PER_MS,
	/* While shares of limits are on their way to a new counter: */
	LIMIT_RETRY_US = 100 * US_PER_MS,
	MAX_LIMIT_WAIT_US = 1500 * US_PER_MS,
	LIMIT_WAIT_DIVISOR = 2, /* of the time until the deadline */
	/* Longest wait for readiness: the caller's deadline / this. */
	READY_WAIT_DIVISOR = 4,
	MAX_READY_WAIT_MS = 1500,
	MAX_PENDING = 512, /* requests that wait until ready */
	UNREADY_RETRY_MS = 500,
	STOPPING_RETRY_MS = 50, /* other daemons can take it at once */
	MIN_AFFINITY_TOKENS = 500, /* shorter prefixes are prefilled quickly */
	MAX_EVENT_BYTES = 256 * 1024, /* one server-sent event */
	PERCENT = 100,
	/* Part of the time after which the caller of a stream leaves. */
	TAKE_UP_WAIT_DIVISOR = 2,
};

void relay_fail_unready(relay_t *r)
{
	relay_fail(r, 503, UNREADY_RETRY_MS, "no configuration is known yet");
}

uint32_t relay_limit_cost(const fleet_team_t *team, const call_head_t *call)
{
	if (!team->counts_tokens)
		return 1;
	if (!call->has_tokens)
		return MAX(team->default_tokens, 1);
	return call->prompt_tokens + call->max_output_tokens;
}

/*
 * The share of the limit to leave to more urgent work. Streams that have begun
 * go on before others begin.
 */
static uint32_t reserved_percent(const relay_t *r)
{
	if (relay_is_take_up(r))
		return 0;
	return (uint32_t)(fleet_reserved_share(r->fleet, r->route) * PERCENT);
}

static void post_limit(relay_t *r)
{
	message_t m = { .type = MESSAGE_LIMIT_ASK };
	message_limit_t *l = &m.limit;

	r->requested_at = now_us();
	r->stall_epoch = supervisor_stall_epoch(r->gateway->sup);
	l->attempt = r->attempt;
	l->owner = r->gateway->sup->boot_id;
	l->is_fallback = r->is_limit_fallback;
	l->is_young = r->is_counter_young;
	l->cost = relay_limit_cost(r->team, &r->call);
	l->reserve = reserved_percent(r);
	g_strlcpy(l->team, r->team->name, sizeof(l->team));
	g_strlcpy(l->profile, FLEET_PROFILE, sizeof(l->profile));
	supervisor_post(r->gateway->sup, TASK_PEERS, &m);
}

/*
 * Returns whether the request can wait until shares of the limit have reached
 * their counter, and then still be answered in time.
 */
static bool may_wait_for_limit(const relay_t *r)
{
	int64_t waited = now_us() - r->arrived_at;
	int64_t target = r->route->target_ms * US_PER_MS;
	int64_t in_time = (r->deadline - r->arrived_at) / LIMIT_WAIT_DIVISOR;
	int64_t most = MAX_LIMIT_WAIT_US;

	if (relay_is_take_up(r))
		most = fleet_caller_wait_ms(r->route) * US_PER_MS /
		       TAKE_UP_WAIT_DIVISOR;
	else if (target)
		most = MIN(most, target);
	return waited + LIMIT_RETRY_US < MIN(most, in_time);
}

/* Nothing of the team's limit is reserved for more urgent requests. */
static bool is_urgent(const relay_t *r)
{
	return relay_is_take_up(r) ||
	       fleet_reserved_share(r->fleet, r->route) <= 0;
}

void relay_on_limit_answer(relay_t *r, const message_limit_t *answer)
{
	if (r->state != RELAY_AWAITING_LIMIT)
		return;
	if (relay_is_stale(r)) {
		post_limit(r);
		return;
	}
	if (answer->is_ok) {
		relay_request_runner(r);
		return;
	}
	/* The counter has little to give yet: this daemon may have more. */
	if (answer->is_young && !r->is_limit_fallback && is_urgent(r)) {
		r->is_limit_fallback = true;
		r->is_counter_young = true;
		post_limit(r);
		return;
	}
	if ((answer->is_young || relay_is_take_up(r)) &&
	    may_wait_for_limit(r)) {
		r->limit_retry_at = now_us() + LIMIT_RETRY_US;
		return;
	}
	relay_fail(r, 429, MAX(answer->retry_after_ms, 1),
		   "the team's limit is reached");
}

void relay_check_limit_timeout(relay_t *r, int64_t now)
{
	if (r->limit_retry_at) {
		if (now < r->limit_retry_at)
			return;
		r->limit_retry_at = 0;
		r->is_limit_fallback = false;
		r->is_counter_young = false;
		post_limit(r);
		return;
	}
	if (r->is_limit_fallback || now - r->requested_at <= LIMIT_TIMEOUT_US)
		return;
	r->is_limit_fallback = true;
	post_limit(r);
}

/* Parses the request's head; false when the request was refused. */
static bool parse_call(relay_t *r)
{
	err_t err = { 0 };

	if (!call_head_read(r->head, &r->call, &err)) {
		relay_fail(r, 400, 0, err.detail);
		return false;
	}
	g_free(r->id);
	r->id = g_strndup(r->call.attempt_id.ptr, r->call.attempt_id.len);
	return true;
}

/* Finds the route and the team; false when the request was refused. */
static bool find_route_and_team(relay_t *r)
{
	fleet_t *fleet = r->gateway->fleet;

	r->fleet = fleet_ref(fleet);
	r->route = fleet_find_route(fleet, r->call.host, r->call.path);
	if (!r->route) {
		relay_fail(r, 404, 0, "no route fits");
		return false;
	}
	if (r->call.api_key.len)
		r->team = fleet_find_team_by_key(fleet, r->call.api_key);
	if (!r->team && !r->route->is_anonymous && fleet->teams->len) {
		relay_fail(r, 401, 0, "the key is not known");
		return false;
	}
	return true;
}

/* The caller is named by its team, whose keys may change. */
static uint64_t find_fingerprint(const relay_t *r)
{
	gsize len;
	const char *body = g_bytes_get_data(r->body, &len);
	str_t caller = r->team ? str_from(r->team->name) : r->call.api_key;
	const uint64_t hashes[] = {
		str_hash(r->call.method),	str_hash(r->call.host),
		str_hash(r->call.target),	str_hash(caller),
		str_hash((str_t){ body, len }),
	};

	return str_hash((str_t){ (const char *)hashes, sizeof(hashes) });
}

/* The caller takes up a stream that broke off, here or at another daemon. */
static void log_take_up(const relay_t *r)
{
	if (!relay_is_take_up(r))
		return;
	log_event("take-up", "request=%s resumes=%.*s after=%.*s", r->id,
		  (int)r->call.resumed_attempt.len, r->call.resumed_attempt.ptr,
		  (int)r->call.last_event_id.len, r->call.last_event_id.ptr);
}

static void set_parts(relay_t *r)
{
	r->fingerprint = find_fingerprint(r);
	prompt_parts_add(&r->parts, r->fingerprint);
	for (uint32_t i = 0; i < r->call.parts.n; i++)
		prompt_parts_add(&r->parts, r->call.parts.ids[i]);
}

void relay_pick_group(const zone_groups_t *zones, hot_prefix_t *prefixes,
		      const call_head_t *call, const char *pool, GRand *rand,
		      zone_pick_t *out)
{
	uint32_t groups = zone_groups_count(zones, pool);
	zone_affinity_t affinity = { .session = call->session_hash };

	if (call->prefix_tokens >= MIN_AFFINITY_TOKENS &&
	    !hot_prefix_record(prefixes, call->prefix_hash, groups))
		affinity.prefix = call->prefix_hash;
	zone_groups_pick_first(zones, pool, &affinity, rand, out);
}

void relay_pick_dispatcher(relay_t *r)
{
	gateway_t *g = r->gateway;

	relay_pick_group(&g->groups, &g->prefixes, &r->call, relay_pool(r),
			 g->sup->rand, &r->pick);
}

static void start_deadline(relay_t *r)
{
	int64_t ms = r->route->timeout_ms;
	struct timeval left;

	if (r->call.timeout_ms && (!ms || r->call.timeout_ms < ms))
		ms = r->call.timeout_ms;
	if (!ms)
		ms = r->gateway->sup->settings->max_deadline_ms;
	r->deadline = r->arrived_at + ms * US_PER_MS;
	left = timeval_from_ms(ms);
	event_add(r->timer, &left);
}

/*
 * Waits for the first configuration and list of runners, which arrive shortly
 * after the start. Uses only a part of the caller's deadline, so that the
 * caller has time to try another daemon.
 */
static void await_ready(relay_t *r)
{
	gateway_t *g = r->gateway;
	int64_t ms =
		MIN(r->call.timeout_ms / READY_WAIT_DIVISOR, MAX_READY_WAIT_MS);
	struct timeval timeout = timeval_from_ms(ms);

	if (g_hash_table_size(g->pending) >= MAX_PENDING || !ms) {
		relay_fail_unready(r);
		return;
	}
	r->state = RELAY_AWAITING_READY;
	g_hash_table_add(g->pending, r);
	event_add(r->timer, &timeout);
}

/* A stream that is taken up goes on at the service that began it. */
static str_t stream_attempt(const relay_t *r)
{
	return relay_is_take_up(r) && r->call.resumed_attempt.len ?
		       r->call.resumed_attempt :
		       r->call.attempt_id;
}

void relay_admit(relay_t *r)
{
	gateway_t *g = r->gateway;

	g_hash_table_remove(g->pending, r);
	if (!find_route_and_team(r))
		return;
	set_parts(r);
	log_take_up(r);
	if (relay_refuse_quarantined(r))
		return;
	r->service = fleet_pick_service(r->route, str_hash(stream_attempt(r)));
	r->rank = fleet_rank(r->team, r->route);
	relay_pick_dispatcher(r);
	retry_budget_count_first(&g->retries, r->service);
	start_deadline(r);
	if (gateway_ends_before(g, r->deadline)) {
		relay_fail(r, 503, STOPPING_RETRY_MS, "the daemon is stopping");
		return;
	}
	if (relay_find_release(r))
		relay_request_limit(r);
}

void relay_request_limit(relay_t *r)
{
	if (!r->team || r->team->rate <= 0) {
		relay_request_runner(r);
		return;
	}
	relay_new_attempt(r);
	r->state = RELAY_AWAITING_LIMIT;
	post_limit(r);
}

void relay_start(gateway_t *g, ingress_t *c, const http1_head_t *head,
		 GBytes *body)
{
	relay_t *r = g_new0(relay_t, 1);

	r->gateway = g;
	r->caller = c;
	r->head = head;
	r->body = g_bytes_ref(body);
	r->id = g_strdup("-");
	r->arrived_at = now_us();
	r->timer = evtimer_new(g->sup->base, relay_on_deadline, r);
	r->answer_body = evbuffer_new();
	held_bytes_watch(&g->answers, r->answer_body);
	r->last_event_id = g_string_new("");
	relay_answer_init(r, MAX_EVENT_BYTES);
	ingress_set_relay(c, r);
	if (!parse_call(r))
		return;
	if (gateway_is_ready(g))
		relay_admit(r);
	else
		await_ready(r);
}
