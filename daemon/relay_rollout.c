/*
 * Roll-outs, at the daemons that own requests: decides for each request whether
 * it goes to the runners of the target release, as the conductor of the
 * roll-out says, and reports how both releases answer.
 *
 * The runners of the target are dispatched apart from the service's other ones,
 * under the name of their pool (rollout_pool_name). What is granted is checked
 * again before anything is sent, as dispatchers may have another list.
 */
#define LOG_PART "relay"

#include <inttypes.h>

#include "common/log.h"
#include "core/release_history.h"
#include "daemon/relay_rollout.h"

enum {
	US_PER_MS = 1000,
	REPORT_US = ROLLOUT_REPORT_MS * US_PER_MS,
	MAX_REPLACED = 16, /* releases; further ones count as newer */
	/*
	 * A reverted target is used again after only it had runners for so
	 * long. Before, its runners may just be about to drain and leave.
	 */
	ALONE_US = 15 * 1000 * US_PER_MS,
	RETRY_MS = 1000, /* Retry-After of a stream that can't go on now */
};

static void free_rollout(void *data)
{
	gateway_rollout_t *o = data;

	g_array_unref(o->tallies);
	g_array_unref(o->replaced);
	g_free(o);
}

void gateway_rollouts_init(gateway_t *g)
{
	g->rollouts = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					    free_rollout);
}

void gateway_rollouts_finish(gateway_t *g)
{
	g_clear_pointer(&g->rollouts, g_hash_table_destroy);
}

/*
 * Whether only the target is left to use: the order names the release that all
 * runners have, it was completed before this process started, or it was
 * reverted and the service's runners were replaced by that release later.
 */
static bool must_use_target(const gateway_rollout_t *o, int64_t now)
{
	if (!o->alone_since)
		return false;
	return !o->had_others || !o->term ||
	       (o->told == ROLLOUT_TAKEN_BACK && o->decided_ms &&
		now - o->alone_since > ALONE_US);
}

/* While the target is tried or moved to, it needs a live lease. */
static rollout_stage_t stage_at(const gateway_rollout_t *o, int64_t now)
{
	bool needs_lease =
		o->told == ROLLOUT_TRYING || o->told == ROLLOUT_MOVING;

	if (must_use_target(o, now))
		return ROLLOUT_MOVED;
	if (needs_lease && !rollout_lease_is_live(&o->lease, now))
		return ROLLOUT_HELD;
	return o->told;
}

static bool is_replaced(const gateway_rollout_t *o, uint64_t release)
{
	for (guint i = 0; i < o->replaced->len; i++)
		if (g_array_index(o->replaced, uint64_t, i) == release)
			return true;
	return false;
}

/* Releases first listed after the completion are newer than the target. */
static void count_other(gateway_rollout_t *o, uint64_t release)
{
	o->other_runners++;
	o->had_others = true;
	if (o->told != ROLLOUT_DONE && !is_replaced(o, release) &&
	    o->replaced->len < MAX_REPLACED)
		g_array_append_val(o->replaced, release);
	o->newer_runners += !is_replaced(o, release);
}

static void count_runners(const gateway_t *g, gateway_rollout_t *o)
{
	o->target_runners = o->other_runners = o->newer_runners = 0;
	for (guint i = 0; g->vms && i < g->vms->runners->len; i++) {
		const vm_list_runner_t *r =
			&g_array_index(g->vms->runners, vm_list_runner_t, i);

		if (r->runner.is_leaving)
			continue;
		if (gateway_is_target(o, r->runner.release))
			o->target_runners++;
		else if (!strcmp(r->service, o->order.service))
			count_other(o, r->runner.release);
	}
	if (!o->target_runners || o->other_runners)
		o->alone_since = 0;
	else if (!o->alone_since)
		o->alone_since = now_us();
}

static void check_relays(gateway_t *g, int64_t now);

static void update_runners(gateway_t *g)
{
	GHashTableIter iter;
	gateway_rollout_t *o;

	g_hash_table_iter_init(&iter, g->rollouts);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&o))
		count_runners(g, o);
}

void gateway_on_rollout_runners(gateway_t *g)
{
	update_runners(g);
}

/* At most half of the bound, as the judge and messages take time as well. */
static int64_t lease_time(const settings_t *s)
{
	return MIN(ROLLOUT_LEASE_US, s->rollout_revert_ms * US_PER_MS / 2);
}

static bool is_ordered(const GArray *orders, const char *service)
{
	for (guint i = 0; i < orders->len; i++)
		if (!strcmp(g_array_index(orders, rollout_order_t, i).service,
			    service))
			return true;
	return false;
}

static gboolean is_over(void *service, void *value, void *orders)
{
	return !is_ordered(orders, service);
}

void gateway_on_rollout_orders(gateway_t *g, const GArray *orders)
{
	g_hash_table_foreach_remove(g->rollouts, is_over, (gpointer)orders);
	for (guint i = 0; i < orders->len; i++) {
		const rollout_order_t *order =
			&g_array_index(orders, rollout_order_t, i);
		const gateway_rollout_t *known =
			g_hash_table_lookup(g->rollouts, order->service);
		gateway_rollout_t *o;

		if (known && known->order_id == rollout_order_id(order))
			continue;
		o = g_new0(gateway_rollout_t, 1);
		o->lease.duration = lease_time(g->sup->settings);
		o->order = *order;
		o->order_id = rollout_order_id(order);
		o->target = release_history_hash(order->service, order->target);
		rollout_pool_name(order->service, order->target, o->pool);
		o->tallies = g_array_new(FALSE, FALSE, sizeof(rollout_tally_t));
		o->replaced = g_array_new(FALSE, FALSE, sizeof(uint64_t));
		g_hash_table_replace(g->rollouts, o->order.service, o);
	}
	update_runners(g);
	check_relays(g, now_us());
}

/* Sends the request to the target, if a lease allows one more. */
static bool take_share(relay_t *r, gateway_rollout_t *o, int64_t now)
{
	if (!r->rollout.has_share)
		r->rollout.has_share = rollout_lease_take(&o->lease, now);
	return r->rollout.has_share;
}

/* Whether a request that may use any release goes to the target. */
static bool chooses_target(relay_t *r, gateway_rollout_t *o, int64_t now)
{
	uint32_t all = o->target_runners + o->newer_runners;

	if (!o->target_runners)
		return false;
	switch (stage_at(o, now)) {
	case ROLLOUT_TRYING:
		/* A retry goes to a release that is known to be good. */
		return !r->sends && !r->rollout.was_refused &&
		       take_share(r, o, now);
	case ROLLOUT_MOVING:
	case ROLLOUT_MOVED:
		return true;
	case ROLLOUT_DONE:
		return g_rand_int_range(r->gateway->sup->rand, 0,
					(gint32)all) >=
		       (gint32)o->newer_runners;
	default:
		return false;
	}
}

/* Whether a stream that began on the target may go on there. */
static bool may_go_on(relay_t *r, gateway_rollout_t *o, int64_t now)
{
	switch (stage_at(o, now)) {
	case ROLLOUT_TRYING:
		return take_share(r, o, now);
	case ROLLOUT_MOVING:
	case ROLLOUT_MOVED:
	case ROLLOUT_DONE:
		return true;
	default:
		return false;
	}
}

/* Whether a request that was sent to a pool may stay there. */
static bool may_stay(const relay_t *r, const gateway_rollout_t *o, int64_t now)
{
	rollout_stage_t stage = stage_at(o, now);

	if (r->rollout.in_pool)
		return (stage == ROLLOUT_TRYING && r->rollout.has_share) ||
		       (stage >= ROLLOUT_MOVING && stage <= ROLLOUT_DONE);
	return stage < ROLLOUT_MOVING || stage == ROLLOUT_TAKEN_BACK ||
	       !o->target_runners ||
	       (stage == ROLLOUT_DONE && o->newer_runners);
}

const char *relay_pool(const relay_t *r)
{
	const gateway_rollout_t *o = gateway_find_rollout(r);

	return o && r->rollout.order == o->order_id && r->rollout.in_pool ?
		       o->pool :
		       r->service;
}

static bool is_in_old_pool(const relay_t *r, const gateway_rollout_t *o)
{
	return r->rollout.in_pool && (!o || r->rollout.order != o->order_id);
}

/* What the request chose belongs to an order that is replaced, or gone. */
static void leave_old_pool(relay_t *r, const gateway_rollout_t *o)
{
	bool was_in_pool = is_in_old_pool(r, o);

	if (r->rollout.order == (o ? o->order_id : 0))
		return;
	r->rollout = (relay_rollout_t){ .order = o ? o->order_id : 0,
					.is_counted = r->rollout.is_counted };
	if (was_in_pool)
		relay_pick_dispatcher(r);
}

bool relay_choose_pool(relay_t *r)
{
	gateway_rollout_t *o = gateway_find_rollout(r);
	int64_t now = now_us();
	bool in_pool;

	leave_old_pool(r, o);
	if (!o)
		return true;
	if (r->release && gateway_is_target(o, r->release)) {
		if (!may_go_on(r, o, now)) {
			relay_fail(r,
				   r->possible_runs || r->has_begun ? 502 : 503,
				   r->possible_runs ? 0 : RETRY_MS,
				   "the stream's release is not used now");
			return false;
		}
		in_pool = true;
	} else if (r->release) {
		in_pool = false;
	} else if (r->rollout.is_chosen && !r->sends && may_stay(r, o, now)) {
		in_pool = r->rollout.in_pool;
	} else {
		in_pool = chooses_target(r, o, now);
	}
	r->rollout.is_chosen = true;
	if (in_pool == r->rollout.in_pool)
		return true;
	r->rollout.in_pool = in_pool;
	relay_pick_dispatcher(r);
	return true;
}

bool relay_may_send(const relay_t *r)
{
	const gateway_rollout_t *o = gateway_find_rollout(r);
	rollout_stage_t stage;

	if (!o)
		return true;
	stage = stage_at(o, now_us());
	if (gateway_is_target(o, r->runner.release))
		return (stage == ROLLOUT_TRYING && r->rollout.has_share) ||
		       (stage >= ROLLOUT_MOVING && stage <= ROLLOUT_DONE);
	if (!o->target_runners)
		return true;
	if (stage == ROLLOUT_DONE)
		return !is_replaced(o, r->runner.release);
	return stage != ROLLOUT_MOVED;
}

bool relay_leave_pool(relay_t *r)
{
	const gateway_rollout_t *o = gateway_find_rollout(r);

	if (!o || !r->rollout.in_pool || r->release ||
	    stage_at(o, now_us()) != ROLLOUT_TRYING)
		return false;
	r->rollout.was_refused = true;
	r->rollout.is_chosen = false;
	relay_request_runner(r);
	return true;
}

/* Makes a request that may not stay in its pool choose again, if unsent. */
static void check_place(relay_t *r, const gateway_rollout_t *o, int64_t now)
{
	if (!is_in_old_pool(r, o) &&
	    (!o || may_stay(r, o, now) || (r->release && !r->rollout.in_pool)))
		return;
	if (r->state == RELAY_AWAITING_GRANT) {
		relay_release_grant(r, DONE_CANCELLED);
		relay_request_runner(r);
	} else if (r->state == RELAY_GRANTED) {
		relay_reroute_unsent(r, "the release is not used any more");
	}
}

static void check_relays(gateway_t *g, int64_t now)
{
	g_autoptr(GList) relays = g_hash_table_get_values(g->relays);

	for (GList *link = relays; link; link = link->next) {
		relay_t *r = link->data;
		const gateway_rollout_t *o = gateway_find_rollout(r);

		if (o)
			relay_check_late(r, now);
		check_place(r, o, now);
	}
}

/* Requests on runners of other releases, or on their way there. */
static uint32_t count_running(const gateway_t *g, const gateway_rollout_t *o)
{
	GHashTableIter iter;
	uint32_t n = 0;
	relay_t *r;

	g_hash_table_iter_init(&iter, g->relays);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&r)) {
		if (gateway_find_rollout(r) != o)
			continue;
		n += r->state == RELAY_GRANTED &&
		     !gateway_is_target(o, r->runner.release);
		n += r->state == RELAY_AWAITING_GRANT && !r->rollout.in_pool;
	}
	return n;
}

static void post_report(gateway_t *g, gateway_rollout_t *o, int64_t now)
{
	message_t m = { .type = MESSAGE_ROLLOUT_REPORT };
	rollout_report_t *report = &m.rollout.report;

	o->reported_at = now;
	rollout_lease_tick(&o->lease, now);
	g_strlcpy(m.rollout.service, o->order.service,
		  sizeof(m.rollout.service));
	report->order = o->order_id;
	report->counts = (rollout_counts_t){ .process = g->sup->boot_id,
					     .requests = o->requests,
					     .granter = o->lease.granter,
					     .used = o->lease.used,
					     .returned = o->lease.returned };
	report->stage = stage_at(o, now);
	report->term = o->term;
	report->running = count_running(g, o);
	report->stamp = now;
	report->longest = o->longest;
	o->longest = 0;
	m.rollout.tallies = o->tallies;
	o->tallies = g_array_new(FALSE, FALSE, sizeof(rollout_tally_t));
	supervisor_post(g->sup, TASK_PEERS, &m);
}

static void log_stage(const gateway_rollout_t *o, rollout_stage_t stage)
{
	log_event("rollout-applied",
		  "service=%s target=%s stage=%s was=%s told=%s term=%" PRIu64
		  " requests=%" PRIu64 " leased=%" PRIu64 " used=%" PRIu64
		  " returned=%" PRIu64 " target_runners=%u other_runners=%u",
		  o->order.service, o->order.target, rollout_stage_name(stage),
		  rollout_stage_name(o->applied), rollout_stage_name(o->told),
		  o->term, o->requests, o->lease.granted, o->lease.used,
		  o->lease.returned, o->target_runners, o->other_runners);
}

static void export_counts(gateway_t *g, const gateway_rollout_t *o)
{
	g_autofree char *label =
		g_strdup_printf("service=\"%s\"", o->order.service);
	metrics_t *m = &g->sup->metrics;

	metrics_set(m, "papaya_rollout_applied_stage", label, o->applied);
	metrics_set(m, "papaya_rollout_requests_total", label, o->requests);
	metrics_set(m, "papaya_rollout_leases_used_total", label,
		    o->lease.used);
}

void gateway_check_rollouts(gateway_t *g)
{
	int64_t now = now_us();
	GHashTableIter iter;
	gateway_rollout_t *o;

	if (!g_hash_table_size(g->rollouts))
		return;
	g_hash_table_iter_init(&iter, g->rollouts);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&o)) {
		rollout_stage_t stage = stage_at(o, now);

		if (stage != o->applied)
			log_stage(o, stage);
		o->applied = stage;
		export_counts(g, o);
		if (!o->decided_ms && now - o->reported_at >= REPORT_US)
			post_report(g, o, now);
	}
	check_relays(g, now);
}

/* A stored decision is final; before it, the highest term counts. */
static bool is_outdated(const gateway_rollout_t *o, const rollout_told_t *told)
{
	return o->decided_ms || told->order != o->order_id ||
	       told->term < o->term;
}

void gateway_on_rollout_told(gateway_t *g, const message_rollout_t *m)
{
	gateway_rollout_t *o = g_hash_table_lookup(g->rollouts, m->service);
	const rollout_told_t *told = &m->told;
	int64_t now = now_us();

	if (!o || is_outdated(o, told))
		return;
	/*
	 * This process began after the completion: the releases that the target
	 * replaced have stopped, and those that were listed are newer.
	 */
	if (!o->term && told->stage == ROLLOUT_DONE)
		g_array_set_size(o->replaced, 0);
	o->term = told->term;
	o->told = told->stage;
	o->decided_ms = told->decided_ms;
	if (told->process == g->sup->boot_id)
		rollout_lease_set(&o->lease, told->granter, told->granted,
				  told->stamp, now);
	if (o->told != ROLLOUT_TRYING)
		rollout_lease_drop(&o->lease);
	if (o->decided_ms)
		count_runners(g, o);
	if (stage_at(o, now) != o->applied)
		gateway_check_rollouts(g);
}
