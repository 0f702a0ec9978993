#define LOG_PART "limits"

#include "daemon/fleet_limiter.h"

#include <inttypes.h>

#include "common/log.h"

enum {
	US_PER_MS = 1000,
	TICK_MS = LIMIT_LEASE_TICK_US / US_PER_MS,
	LOG_MS = 1000, /* between lines on the shares that are held */
	/*
	 * A counter refuses for want of time rather than of rate for so long
	 * after it began; spare tokens stand in meanwhile.
	 */
	YOUNG_US = 3000 * US_PER_MS,
};

static const char *const use_texts[] = {
	[LIMIT_SHARE_WAITING] = "waiting",
	[LIMIT_SHARE_OWN] = "own",
	[LIMIT_SHARE_LENT] = "lent",
};

static void start_limit(limit_t *l, uint32_t max_teams, double fraction)
{
	limit_init(l, max_teams, now_us());
	l->starts_empty = true;
	limit_set_fraction(l, fraction, now_us());
}

static void send_lend(void *ctx, const char *peer, uint32_t roles,
		      const limit_stamp_t *stamp)
{
	fleet_limiter_t *f = ctx;
	message_t m = { .type = MESSAGE_LIMIT_LEND,
			.lease = { .roles = roles, .stamp = *stamp } };

	g_strlcpy(m.lease.peer, peer, sizeof(m.lease.peer));
	supervisor_post(f->sup, TASK_PEERS, &m);
}

static void log_use(fleet_limiter_t *f, uint32_t role)
{
	const limit_share_state_t *s = &f->lease.shares[role];

	if (s->use == f->logged_use[role])
		return;
	f->logged_use[role] = s->use;
	log_event(
		"limit-share",
		"role=%u use=%s counter=%s host=%s daemons=%u wait_ms=%" PRId64,
		role, use_texts[s->use], s->counter[0] ? s->counter : "-",
		s->host[0] ? s->host : "-", f->daemons,
		limit_lease_wait(&f->lease, role, now_us()) / US_PER_MS);
}

/* Sets which fraction of the limits of a role this daemon may use. */
static void update_role(fleet_limiter_t *f, uint32_t role, int64_t now)
{
	bool is_own = limit_lease_use(&f->lease, role) == LIMIT_SHARE_OWN;
	double daemons = f->daemons;

	f->held[role] = limit_lease_held(&f->lease, role, now);
	if (!f->held[role])
		f->counts_since[role] = now;
	limit_set_fraction(&f->counted[role],
			   daemons ? MIN(f->held[role] / daemons, 1) : 0, now);
	limit_set_fraction(&f->own[role], daemons && is_own ? 1 / daemons : 0,
			   now);
	log_use(f, role);
}

/* Drops what others lent before a stall of this process. */
static void check_stall(fleet_limiter_t *f)
{
	uint64_t epoch = supervisor_stall_epoch(f->sup);

	if (epoch != f->epoch)
		limit_lease_void(&f->lease, now_us());
	f->epoch = epoch;
}

static void update(fleet_limiter_t *f)
{
	int64_t now = now_us();

	check_stall(f);
	for (uint32_t role = 0; role < LIMIT_ROLES; role++)
		update_role(f, role, now);
	f->updated_at = now;
}

static void on_timer(evutil_socket_t fd, short what, void *arg)
{
	fleet_limiter_t *f = arg;

	limit_lease_tick(&f->lease, send_lend, f, now_us());
	update(f);
}

static void on_log_timer(evutil_socket_t fd, short what, void *arg)
{
	fleet_limiter_t *f = arg;

	for (uint32_t role = 0; role < LIMIT_ROLES; role++) {
		if (f->held[role] == f->logged_held[role])
			continue;
		log_event("limit-counter",
			  "role=%u shares=%u was=%u daemons=%u for_ms=%" PRId64,
			  role, f->held[role], f->logged_held[role], f->daemons,
			  (now_us() - f->counts_since[role]) / US_PER_MS);
		f->logged_held[role] = f->held[role];
	}
}

void fleet_limiter_init(fleet_limiter_t *f, supervisor_t *sup,
			uint32_t max_teams)
{
	const settings_t *s = sup->settings;

	f->sup = sup;
	f->epoch = supervisor_stall_epoch(sup);
	f->tolerance = (limit_tolerance_t){
		.overrun = s->limit_overrun,
		.slack = s->limit_slack,
		.window_s = (double)s->limit_window_ms / 1000,
	};
	limit_lease_init(&f->lease, s->name, sup->boot_id, now_us());
	for (int i = 0; i < LIMIT_ROLES; i++) {
		start_limit(&f->counted[i], max_teams, 0);
		start_limit(&f->own[i], max_teams, 0);
	}
	start_limit(&f->spare, max_teams, 1);
	f->timer = supervisor_add_timer(sup, TICK_MS, on_timer, f);
	f->log_timer = supervisor_add_timer(sup, LOG_MS, on_log_timer, f);
}

void fleet_limiter_finish(fleet_limiter_t *f)
{
	event_free(f->timer);
	event_free(f->log_timer);
	for (int i = 0; i < LIMIT_ROLES; i++) {
		limit_finish(&f->counted[i]);
		limit_finish(&f->own[i]);
	}
	limit_finish(&f->spare);
	limit_lease_finish(&f->lease);
}

void fleet_limiter_set_daemons(fleet_limiter_t *f, uint32_t daemons)
{
	f->daemons = daemons;
	limit_lease_set_daemons(&f->lease, daemons);
	update(f);
}

static void answer_lend(fleet_limiter_t *f, const message_lease_t *lend)
{
	message_t m = { .type = MESSAGE_LIMIT_STAMP };

	limit_lease_on_lend(&f->lease, lend->peer, lend->roles, &lend->stamp,
			    now_us());
	m.lease.stamp = limit_lease_stamp(&f->lease, now_us());
	g_strlcpy(m.lease.peer, lend->peer, sizeof(m.lease.peer));
	supervisor_post(f->sup, TASK_PEERS, &m);
}

bool fleet_limiter_handle(fleet_limiter_t *f, const message_t *m)
{
	switch (m->type) {
	case MESSAGE_LIMIT_HOSTS:
		for (uint32_t i = 0; i < LIMIT_ROLES; i++)
			limit_lease_set_host(&f->lease, i,
					     m->limit_hosts.hosts[i]);
		return true;
	case MESSAGE_LIMIT_LEND:
		check_stall(f);
		answer_lend(f, &m->lease);
		return true;
	case MESSAGE_LIMIT_STAMP:
		limit_lease_on_stamp(&f->lease, m->lease.peer, &m->lease.stamp,
				     now_us());
		return true;
	default:
		return false;
	}
}

static bool take(limit_t *l, const char *name, const limit_quota_t *quota,
		 const limit_cost_t *cost, uint32_t *retry_after_ms)
{
	str_t team = str_from(name);

	limit_set(l, team, quota->rate, quota->burst, quota->concurrency);
	if (!limit_take_cost(l, team, cost, now_us(), retry_after_ms))
		return false;
	/* Limits of a fleet are rates: requests in progress don't count. */
	limit_release(l, team);
	return true;
}

static void count_answer(fleet_limiter_t *f, const char *by, bool is_ok)
{
	g_autofree char *label = g_strdup_printf(
		"by=\"%s\",answer=\"%s\"", by, is_ok ? "admitted" : "refused");

	metrics_add(&f->sup->metrics, "papaya_limit_answers_total", label, 1);
}

static void take_counted(fleet_limiter_t *f, uint32_t role, const char *name,
			 const limit_quota_t *quota, const limit_cost_t *cost,
			 message_limit_t *answer)
{
	limit_quota_t enlarged = limit_add_tolerance(*quota, &f->tolerance);

	answer->is_ok = take(&f->counted[role], name, &enlarged, cost,
			     &answer->retry_after_ms);
	answer->is_young =
		!answer->is_ok && now_us() - f->counts_since[role] < YOUNG_US;
	count_answer(f, "counter", answer->is_ok);
}

static void take_fallback(fleet_limiter_t *f, uint32_t role, const char *name,
			  const limit_quota_t *quota, const limit_cost_t *cost,
			  message_limit_t *answer)
{
	limit_quota_t enlarged = limit_add_tolerance(*quota, &f->tolerance);
	limit_quota_t spare = limit_spare(*quota, &f->tolerance, f->daemons);
	int64_t wait = limit_lease_wait(&f->lease, role, now_us());
	uint32_t spare_retry_ms;

	answer->is_ok = take(&f->own[role], name, &enlarged, cost,
			     &answer->retry_after_ms);
	count_answer(f, "own", answer->is_ok);
	if (answer->is_ok)
		return;
	/* Without a list of daemons, nobody knows what a share is. */
	if (f->daemons) {
		answer->is_ok =
			take(&f->spare, name, &spare, cost, &spare_retry_ms);
		count_answer(f, "spare", answer->is_ok);
	}
	answer->is_young |= wait || !f->daemons;
	if (wait)
		answer->retry_after_ms = (uint32_t)(wait / US_PER_MS + 1);
}

void fleet_limiter_take(fleet_limiter_t *f, const char *name,
			const limit_quota_t *quota, const limit_cost_t *cost,
			message_limit_t *answer)
{
	uint32_t role = limit_role(str_from(answer->team));
	limit_quota_t rate_only = *quota;

	rate_only.concurrency = 0;
	if (now_us() - f->updated_at > LIMIT_LEASE_TICK_US)
		update(f);
	if (answer->is_fallback)
		take_fallback(f, role, name, &rate_only, cost, answer);
	else
		take_counted(f, role, name, &rate_only, cost, answer);
}
