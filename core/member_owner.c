#include "core/member_state.h"
#include "core/rendezvous.h"

str_t member_home_zone(const member_t *m, str_t key)
{
	const struct member_table *t = m->table;
	const char *slash = memchr(key.ptr, '/', key.len);
	rendezvous_t best = { 0 };

	for (uint32_t i = 0; slash && i < t->n_zones; i++) {
		str_t zone = str_from(t->zones[i]);

		if (str_eq(zone, (str_t){ key.ptr, (size_t)(slash - key.ptr) }))
			return zone;
	}
	for (uint32_t i = 0; i < t->n_zones; i++) {
		rendezvous_t r = rendezvous_weigh(str_from(t->zones[i]), key);

		if (!i || rendezvous_precedes(&r, &best))
			best = r;
	}
	return best.name;
}

/*
 * Finds the member of ZONE with the highest weight for KEY, among the listed
 * ones if WANT_LISTED is set, else among the candidates. Sets BEST.
 */
static const member_entry_t *best_entry(const struct member_table *t,
					str_t zone, str_t key, bool want_listed,
					rendezvous_t *best)
{
	const member_entry_t *winner = NULL;

	for (guint i = 0; i < t->entries->len; i++) {
		const member_entry_t *e = t->entries->pdata[i];
		bool is_wanted = want_listed ? e->state == MEMBER_LISTED :
					       member_is_candidate(e);
		rendezvous_t r;

		if (!is_wanted || !str_eq(str_from(e->vm.zone), zone))
			continue;
		r = rendezvous_weigh(str_from(e->vm.name), key);
		if (winner && !rendezvous_precedes(&r, best))
			continue;
		*best = r;
		winner = e;
	}
	return winner;
}

bool member_local_owner(const struct member_table *t, str_t key,
			rendezvous_t *best, const member_entry_t **peer)
{
	str_t name = str_from(t->self.name);
	rendezvous_t self = rendezvous_weigh(name, key);

	*peer = best_entry(t, str_from(t->self.zone), key, false, best);
	if (t->is_draining || (*peer && rendezvous_precedes(best, &self)))
		return *peer != NULL;
	*best = self;
	*peer = NULL;
	return true;
}

/*
 * The latest time at which this daemon may have become KEY's owner: its own
 * start, or the end of the gap of a member that precedes it as the owner.
 */
static int64_t owned_since(const struct member_table *t, str_t key,
			   const rendezvous_t *self)
{
	int64_t since = t->known_since;

	for (guint i = 0; i < t->entries->len; i++) {
		const member_entry_t *e = t->entries->pdata[i];
		rendezvous_t r;

		if (member_is_candidate(e) || !member_is_own_zone(t, e) ||
		    member_gap_end(e) <= since)
			continue;
		r = rendezvous_weigh(str_from(e->vm.name), key);
		if (rendezvous_precedes(&r, self))
			since = member_gap_end(e);
	}
	return since;
}

static bool is_in_holdoff(const struct member_table *t, int64_t since,
			  int64_t key_age, int64_t now)
{
	if (now - since >= t->config.holdoff_period)
		return false;
	if (key_age < 0)
		return true;
	return now - key_age <= since + t->config.key_age_margin;
}

/* Selects a daemon of another zone: a candidate, else a listed one. */
static const member_entry_t *remote_entry(const struct member_table *t,
					  str_t zone, str_t key)
{
	rendezvous_t best;
	const member_entry_t *e = best_entry(t, zone, key, false, &best);

	return e ? e : best_entry(t, zone, key, true, &best);
}

void member_key_owner(const member_t *m, str_t scoped, str_t home_zone,
		      int64_t key_age, int64_t now, member_owner_t *out)
{
	const struct member_table *t = m->table;
	rendezvous_t best = { 0 };
	const member_entry_t *e;
	int64_t since;

	*out = (member_owner_t){ .kind = MEMBER_OWNER_NONE };
	if (!str_eq(home_zone, str_from(t->self.zone))) {
		e = remote_entry(t, home_zone, scoped);
		if (!e)
			return;
		out->kind = MEMBER_OWNER_ZONE;
		out->vm = e->vm;
		return;
	}
	if (!member_local_owner(t, scoped, &best, &e))
		return;
	if (e) {
		out->kind = MEMBER_OWNER_PEER;
		out->vm = e->vm;
		return;
	}
	since = owned_since(t, scoped, &best);
	out->kind = MEMBER_OWNER_SELF;
	if (!is_in_holdoff(t, since, key_age, now))
		return;
	out->kind = MEMBER_OWNER_HOLDOFF;
	out->holdoff_until = since + t->config.holdoff_period;
}
