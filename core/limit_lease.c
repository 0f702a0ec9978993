#include "core/limit_lease.h"

#include <string.h>

enum {
	US_PER_MS = 1000,
	/*
	 * Between renewals: grows with the fleet, so that a counter's rate of
	 * frames stays bounded.
	 */
	MIN_RENEWAL_US = 80 * US_PER_MS,
	RENEWAL_PER_DAEMON_NS = 5 * 1000 * US_PER_MS / 3,
	/*
	 * A lease is counted from a stamp that is a renewal old when it is
	 * returned, and outlives the next renewal if that is late by less than
	 * this. A new process waits for a whole lease, so it is no longer.
	 */
	RENEWALS_PER_LEASE = 2,
	RENEWAL_SLACK_US = 280 * US_PER_MS,
	/* Before the size of the fleet is known. */
	MAX_DURATION_US = 6000 * US_PER_MS,
	NS_PER_US = 1000,
	/* Its counter stops using it so much earlier, as it checks by timer. */
	CHECK_MARGIN_US = 2 * LIMIT_LEASE_TICK_US,
};

uint32_t limit_role(str_t team)
{
	return (uint32_t)(str_hash(team) % LIMIT_ROLES);
}

/* The last stamp of a daemon that may be a counter. */
typedef struct counter {
	limit_stamp_t stamp;
	int64_t received_at;
	int64_t sent_at; /* when shares were last sent to it; 0: never */
} counter_t;

void limit_lease_init(limit_lease_t *l, const char *self, uint64_t process,
		      int64_t now)
{
	*l = (limit_lease_t){ .process = process,
			      .started_at = now,
			      .void_until = now };
	g_strlcpy(l->self, self, sizeof(l->self));
	l->counters =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	for (int i = 0; i < LIMIT_ROLES; i++)
		l->lenders[i] = g_hash_table_new_full(g_str_hash, g_str_equal,
						      g_free, g_free);
	/* How long earlier leases last is known with the number of daemons. */
	l->duration = MAX_DURATION_US;
	l->renewal = (l->duration - RENEWAL_SLACK_US) / RENEWALS_PER_LEASE;
	for (int i = 0; i < LIMIT_ROLES; i++)
		l->shares[i].free_at = INT64_MAX;
}

void limit_lease_set_daemons(limit_lease_t *l, uint32_t daemons)
{
	int64_t per_daemon = RENEWAL_PER_DAEMON_NS;

	if (!daemons)
		return;
	l->renewal = CLAMP(daemons * per_daemon / NS_PER_US, MIN_RENEWAL_US,
			   (MAX_DURATION_US - RENEWAL_SLACK_US) /
				   RENEWALS_PER_LEASE);
	l->duration = RENEWALS_PER_LEASE * l->renewal + RENEWAL_SLACK_US;
	/* The process before this one may have lent its shares for so long. */
	for (int i = 0; i < LIMIT_ROLES; i++) {
		limit_share_state_t *s = &l->shares[i];
		int64_t first = l->started_at + l->duration;

		s->free_at = s->free_at == INT64_MAX ? first :
						       MAX(s->free_at, first);
	}
}

void limit_lease_finish(limit_lease_t *l)
{
	for (int i = 0; i < LIMIT_ROLES; i++)
		g_hash_table_destroy(l->lenders[i]);
	g_hash_table_destroy(l->counters);
}

void limit_lease_set_host(limit_lease_t *l, uint32_t role, const char *host)
{
	g_strlcpy(l->shares[role].host, host, sizeof(l->shares[role].host));
}

limit_stamp_t limit_lease_stamp(const limit_lease_t *l, int64_t now)
{
	return (limit_stamp_t){ l->process, now, l->duration };
}

/* The process that the share was lent to has ended: nobody can use it now. */
static void release_from_ended(limit_lease_t *l, const char *peer,
			       uint64_t process, int64_t now)
{
	for (int i = 0; i < LIMIT_ROLES; i++) {
		limit_share_state_t *s = &l->shares[i];

		if (s->use == LIMIT_SHARE_OWN || strcmp(s->counter, peer) ||
		    s->process == process)
			continue;
		s->use = LIMIT_SHARE_WAITING;
		s->counter[0] = '\0';
		s->free_at = MIN(s->free_at, now);
	}
}

void limit_lease_on_stamp(limit_lease_t *l, const char *peer,
			  const limit_stamp_t *stamp, int64_t now)
{
	counter_t *c = g_hash_table_lookup(l->counters, peer);

	if (!c) {
		c = g_new0(counter_t, 1);
		g_hash_table_insert(l->counters, g_strdup(peer), c);
	}
	release_from_ended(l, peer, stamp->process, now);
	c->stamp = *stamp;
	c->received_at = now;
}

void limit_lease_on_lend(limit_lease_t *l, const char *peer, uint32_t roles,
			 const limit_stamp_t *stamp, int64_t now)
{
	int64_t end = stamp->at + stamp->duration - CHECK_MARGIN_US;

	if (stamp->process != l->process || stamp->at < l->void_until)
		return;
	for (int i = 0; i < LIMIT_ROLES; i++)
		if (roles & (1U << i))
			g_hash_table_insert(l->lenders[i], g_strdup(peer),
					    g_memdup2(&end, sizeof(end)));
}

/* Returns the end of a lease that is counted from the counter's last stamp. */
static int64_t lease_end(const counter_t *c)
{
	return c->received_at + c->stamp.duration;
}

static bool is_fresh(const counter_t *c, int64_t now)
{
	return c && now < lease_end(c);
}

static void lend_to_self(limit_lease_t *l, limit_share_state_t *s)
{
	s->use = LIMIT_SHARE_LENT;
	g_strlcpy(s->counter, l->self, sizeof(s->counter));
	s->process = l->process;
}

static void lend_to(limit_share_state_t *s, const counter_t *c)
{
	s->use = LIMIT_SHARE_LENT;
	g_strlcpy(s->counter, s->host, sizeof(s->counter));
	s->process = c->stamp.process;
	s->free_at = lease_end(c);
}

/* Decides who may use the share now. Returns whether it is newly lent. */
static bool update_share(limit_lease_t *l, limit_share_state_t *s, int64_t now)
{
	bool is_at_self = !strcmp(s->counter, l->self);
	bool is_at_host =
		s->use == LIMIT_SHARE_LENT && !strcmp(s->counter, s->host);
	const counter_t *c = g_hash_table_lookup(l->counters, s->host);

	/* This daemon knows that it doesn't use a share that it has itself. */
	if (s->use == LIMIT_SHARE_LENT && is_at_self && !is_at_host)
		s->free_at = now;
	if (is_at_host && (is_at_self || now < s->free_at))
		return false;
	if (now < s->free_at) {
		s->use = LIMIT_SHARE_WAITING;
		return false;
	}
	if (!strcmp(s->host, l->self)) {
		lend_to_self(l, s);
		return false;
	}
	if (s->host[0] && is_fresh(c, now)) {
		lend_to(s, c);
		return true;
	}
	s->use = LIMIT_SHARE_OWN;
	s->counter[0] = '\0';
	return false;
}

/* Renews the leases of HOST; returns their roles. */
static uint32_t renew(limit_lease_t *l, const char *host, const counter_t *c)
{
	uint32_t roles = 0;

	for (int i = 0; i < LIMIT_ROLES; i++) {
		limit_share_state_t *s = &l->shares[i];

		if (s->use != LIMIT_SHARE_LENT || strcmp(s->counter, host) ||
		    s->process != c->stamp.process)
			continue;
		s->free_at = MAX(s->free_at, lease_end(c));
		roles |= 1U << i;
	}
	return roles;
}

/* Sends HOST what it is lent, or a request for its first stamp. */
static void send_due(limit_lease_t *l, const char *host, bool is_new,
		     limit_lend_fn lend, void *ctx, int64_t now)
{
	counter_t *c = g_hash_table_lookup(l->counters, host);
	uint32_t roles;

	if (!c) {
		c = g_new0(counter_t, 1);
		g_hash_table_insert(l->counters, g_strdup(host), c);
	}
	if (c->sent_at == now)
		return;
	if (!is_new && c->sent_at && now - c->sent_at < l->renewal)
		return;
	c->sent_at = now;
	roles = is_fresh(c, now) ? renew(l, host, c) : 0;
	lend(ctx, host, roles, &c->stamp);
}

void limit_lease_tick(limit_lease_t *l, limit_lend_fn lend, void *ctx,
		      int64_t now)
{
	bool is_new[LIMIT_ROLES];

	for (int i = 0; i < LIMIT_ROLES; i++)
		is_new[i] = update_share(l, &l->shares[i], now);
	for (int i = 0; i < LIMIT_ROLES; i++) {
		const char *host = l->shares[i].host;

		if (host[0] && strcmp(host, l->self))
			send_due(l, host, is_new[i], lend, ctx, now);
	}
}

void limit_lease_void(limit_lease_t *l, int64_t now)
{
	l->void_until = now;
	for (int i = 0; i < LIMIT_ROLES; i++)
		g_hash_table_remove_all(l->lenders[i]);
}

static gboolean has_ended(void *name, void *end, void *now)
{
	return *(int64_t *)end <= *(int64_t *)now;
}

uint32_t limit_lease_held(limit_lease_t *l, uint32_t role, int64_t now)
{
	const limit_share_state_t *s = &l->shares[role];
	bool has_own =
		s->use == LIMIT_SHARE_LENT && !strcmp(s->counter, l->self);

	g_hash_table_foreach_remove(l->lenders[role], has_ended, &now);
	return g_hash_table_size(l->lenders[role]) + has_own;
}

limit_share_use_t limit_lease_use(const limit_lease_t *l, uint32_t role)
{
	return l->shares[role].use;
}

int64_t limit_lease_wait(const limit_lease_t *l, uint32_t role, int64_t now)
{
	const limit_share_state_t *s = &l->shares[role];

	if (s->use != LIMIT_SHARE_WAITING || s->free_at <= now)
		return 0;
	return MIN(s->free_at - now, MAX_DURATION_US);
}
