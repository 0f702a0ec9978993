#include "core/member_state.h"

enum {
	/*
	 * Reports are requested on a member without a heartbeat for the
	 * timeout divided by this.
	 */
	REQUEST_DIVISOR = 2,
	/* Average number of daemons of a zone that report a new member. */
	NEW_MEMBER_REPORTERS = 8,
};

bool member_all_reported(const struct member_table *t,
			 const member_entry_t *suspect)
{
	for (guint i = 0; i < t->entries->len; i++) {
		const member_entry_t *e = t->entries->pdata[i];

		if (e != suspect && e->state == MEMBER_LIVE &&
		    member_is_own_zone(t, e) &&
		    !g_hash_table_contains(suspect->reported_by, e->vm.name))
			return false;
	}
	return true;
}

/*
 * Returns true if this daemon reports the new member E. Every daemon gets
 * heartbeats directly from a new one, so the reports only serve daemons whose
 * link to it is not established yet. In a large zone a few reporters suffice.
 */
static bool reports_new_member(const struct member_table *t,
			       const member_entry_t *e)
{
	rendezvous_t r =
		rendezvous_weigh(str_from(t->self.name), str_from(e->vm.name));
	guint n = t->entries->len;

	return n <= NEW_MEMBER_REPORTERS || r.weight % n < NEW_MEMBER_REPORTERS;
}

static bool must_report(const struct member_table *t, const member_entry_t *e,
			int64_t now)
{
	int64_t timeout = t->config.heartbeat_timeout;

	if (e->state == MEMBER_DEAD)
		return e->is_asked || now - e->heard_at <= timeout;
	return e->is_asked ||
	       (member_is_present(e) && now - e->entered_at <= timeout &&
		reports_new_member(t, e));
}

static bool needs_reports(const struct member_table *t, const member_entry_t *e,
			  int64_t now)
{
	int64_t heard_at = MAX(e->heard_at, e->reported_at);

	return member_is_present(e) &&
	       now - heard_at > t->config.heartbeat_timeout / REQUEST_DIVISOR;
}

void member_each_gossip(member_t *m,
			void (*fn)(void *ctx, const member_gossip_t *gossip),
			void *ctx, int64_t now)
{
	const struct member_table *t = m->table;

	for (guint i = 0; i < t->entries->len; i++) {
		member_entry_t *e = t->entries->pdata[i];
		member_gossip_t gossip = {
			.name = str_from(e->vm.name),
			.incarnation = e->incarnation,
			.age = e->heard_at == MEMBER_NEVER ? -1 :
							     now - e->heard_at,
			.is_dead = e->state == MEMBER_DEAD,
			.is_asked = needs_reports(t, e, now),
		};

		if (!member_is_own_zone(t, e))
			continue;
		if (gossip.is_asked || must_report(t, e, now))
			fn(ctx, &gossip);
		e->is_asked = false;
	}
}

void member_on_gossip(member_t *m, str_t reporter,
		      const member_gossip_t *gossip, int64_t now)
{
	member_entry_t *e = member_entry_find(m->table, gossip->name);

	if (gossip->is_dead)
		member_on_declared_dead(m, gossip->name, gossip->incarnation);
	else if (gossip->age >= 0)
		member_on_peer_report(m, reporter, gossip->name,
				      gossip->incarnation, gossip->age, now);
	if (!e)
		return;
	if (gossip->is_asked)
		e->is_asked = true;
	if (e->state == MEMBER_SUSPECT)
		g_hash_table_add(e->reported_by,
				 g_strndup(reporter.ptr, reporter.len));
}
