#include "core/handover_state.h"

#include <string.h>

void handover_free_source(void *data)
{
	handover_source_t *s = data;

	g_hash_table_unref(s->members);
	g_hash_table_unref(s->owing);
	g_free(s);
}

bool handover_is_self(const struct handover_table *t, str_t name)
{
	return str_eq(name, str_from(member_self(t->member)->name));
}

void handover_add_member(void *ctx, str_t name, uint64_t incarnation)
{
	GArray *members = ctx;
	handover_member_t m = { name, incarnation };

	g_array_append_val(members, m);
}

static handover_source_t *source_of(struct handover_table *t, const char *name,
				    const handover_part_t *part)
{
	handover_source_t *s = g_hash_table_lookup(t->sources, name);

	if (!s) {
		s = g_new0(handover_source_t, 1);
		g_strlcpy(s->name, name, sizeof(s->name));
		s->members = g_hash_table_new_full(g_str_hash, g_str_equal,
						   g_free, g_free);
		s->owing = g_hash_table_new_full(g_str_hash, g_str_equal,
						 g_free, g_free);
		g_hash_table_insert(t->sources, s->name, s);
	}
	if (s->incarnation != part->incarnation) {
		s->is_accepted = false;
		s->is_established = false;
	}
	s->incarnation = part->incarnation;
	if (!part->index) {
		s->serial = part->serial;
		s->next_index = 0;
		s->is_failed = false;
	}
	return s;
}

static bool import_keys(struct handover_table *t, const handover_part_t *part,
			int64_t now)
{
	static const dedup_answer_t running = { .outcome = OUTCOME_UNKNOWN };
	bool is_ok = true;

	for (size_t i = 0; i < part->n_keys; i++) {
		const handover_key_t *key = &part->keys[i];

		is_ok &= dedup_import(
			t->dedup, key->scoped, key->fingerprint,
			part->is_answers ? &key->answer : &running, now);
	}
	return is_ok;
}

/* Returns true if the sender knew the same candidates as this daemon. */
static bool has_same_candidates(const struct handover_table *t, str_t sender,
				const handover_part_t *part)
{
	g_autoptr(GArray) own =
		g_array_new(FALSE, FALSE, sizeof(handover_member_t));
	size_t n = 0;

	member_each_candidate(t->member, handover_add_member, own);
	for (guint i = 0; i < own->len; i++) {
		const handover_member_t *m =
			&g_array_index(own, handover_member_t, i);
		size_t k = 0;

		if (str_eq(m->name, sender))
			continue;
		while (k < part->n_members &&
		       (!str_eq(part->members[k].name, m->name) ||
			part->members[k].incarnation != m->incarnation))
			k++;
		if (k == part->n_members)
			return false;
		n++;
	}
	return n == part->n_members;
}

/*
 * Accepts the keys of a draining daemon. Until the end of the gap that it
 * reports for itself, its keys may have been dispatched without its knowledge.
 */
static void accept_draining(struct handover_table *t, str_t sender,
			    const handover_part_t *part, int64_t now)
{
	int64_t since = HANDOVER_NO_GAP;

	for (size_t i = 0; i < part->n_gaps; i++) {
		const member_gap_t *gap = &part->gaps[i];

		if (str_eq(gap->name, sender))
			since = now - gap->age;
		else
			member_add_gap(t->member, gap, now);
	}
	member_on_handed_over(t->member, sender, part->incarnation, since, now);
}

static void set_members(GHashTable *table, const handover_member_t *members,
			size_t n)
{
	g_hash_table_remove_all(table);
	for (size_t i = 0; i < n; i++)
		g_hash_table_insert(
			table,
			g_strndup(members[i].name.ptr, members[i].name.len),
			g_memdup2(&members[i].incarnation,
				  sizeof(members[i].incarnation)));
}

/*
 * A sender that is new itself reports a gap from its own start, which is not
 * counted here: handover_try_join() also waits for all the daemons that the
 * sender waits for, and for one that is not new. The keys dispatched before the
 * sender's start come from those.
 */
static void accept_source(struct handover_table *t, handover_source_t *s,
			  const handover_part_t *part, int64_t now)
{
	s->is_accepted = true;
	s->is_established = true;
	set_members(s->members, part->members, part->n_members);
	set_members(s->owing, part->owing, part->n_owing);
	for (size_t i = 0; i < part->n_gaps; i++) {
		const member_gap_t *gap = &part->gaps[i];

		if (str_eq(gap->name, str_from(s->name)))
			s->is_established = false;
		else
			t->gap_end = MAX(t->gap_end, now - gap->age);
	}
}

/*
 * Records that a draining sender sent the keys of the other candidates directly
 * to them. This daemon does not have those keys, so a new daemon among the
 * candidates needs the sender's own transfer.
 */
static void record_departures(struct handover_table *t, str_t sender,
			      const handover_part_t *part, int64_t now)
{
	for (size_t i = 0; i < part->n_members; i++) {
		const handover_member_t *m = &part->members[i];
		handover_departure_t departure = {
			.from_incarnation = part->incarnation,
			.to_incarnation = m->incarnation,
			.at = now,
		};

		if (handover_is_self(t, m->name))
			continue;
		str_copy(departure.from, sizeof(departure.from), sender);
		str_copy(departure.to, sizeof(departure.to), m->name);
		g_array_append_val(t->departures, departure);
	}
}

void handover_expire_departures(struct handover_table *t, int64_t now)
{
	guint n = 0;

	while (n < t->departures->len &&
	       now - g_array_index(t->departures, handover_departure_t, n).at >=
		       member_holdoff_period(t->member))
		n++;
	if (n)
		g_array_remove_range(t->departures, 0, n);
}

static bool is_accepted(const struct handover_table *t, const char *name,
			uint64_t incarnation)
{
	const handover_source_t *s = g_hash_table_lookup(t->sources, name);

	return s && s->is_accepted && s->incarnation == incarnation;
}

static bool are_accepted(const struct handover_table *t, GHashTable *members)
{
	const char *self = member_self(t->member)->name;
	GHashTableIter iter;
	void *name, *incarnation;

	g_hash_table_iter_init(&iter, members);
	while (g_hash_table_iter_next(&iter, &name, &incarnation))
		if (strcmp(name, self) &&
		    !is_accepted(t, name, *(uint64_t *)incarnation))
			return false;
	return true;
}

/*
 * Returns true if the source knew this incarnation of this daemon, and all
 * daemons in its lists of members and owing have handed over too.
 */
static bool is_complete(const struct handover_table *t,
			const handover_source_t *s)
{
	const char *self = member_self(t->member)->name;
	const uint64_t *own = g_hash_table_lookup(s->members, self);

	return own && *own == member_incarnation(t->member) &&
	       are_accepted(t, s->members) && are_accepted(t, s->owing);
}

/* Context of count_if_outstanding. */
typedef struct outstanding_count {
	const struct handover_table *table;
	uint32_t n;
} outstanding_count_t;

static void count_if_outstanding(void *ctx, str_t name, uint64_t incarnation)
{
	outstanding_count_t *c = ctx;

	if (!handover_is_self(c->table, name))
		c->n += !is_accepted(c->table, name.ptr, incarnation);
}

uint32_t handover_count_outstanding(const struct handover_table *t)
{
	outstanding_count_t c = { .table = t };

	member_each_candidate(t->member, count_if_outstanding, &c);
	return c.n;
}

void handover_try_join(struct handover_table *t)
{
	GHashTableIter iter;
	bool has_established = false;
	void *value;

	if (handover_count_outstanding(t))
		return;
	g_hash_table_iter_init(&iter, t->sources);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const handover_source_t *s = value;

		if (s->is_accepted && !is_complete(t, s))
			return;
		has_established |= s->is_accepted && s->is_established;
	}
	/* Daemons that are all new don't know whether older ones exist. */
	if (!has_established)
		return;
	t->has_joined = true;
	member_on_joined(t->member, t->gap_end);
}

/*
 * Returns true if the part was sent between the current incarnations of FROM
 * and of this daemon, and both are in the same zone.
 */
static bool is_valid(const struct handover_table *t, str_t from,
		     const handover_part_t *part, member_vm_t *vm, int64_t now)
{
	member_state_t state;
	uint64_t incarnation;

	/* A message that is read after a stall may be of any age. */
	return !member_is_stalled(t->member, now) &&
	       part->to_incarnation == member_incarnation(t->member) &&
	       member_find(t->member, from, vm, &state, &incarnation) &&
	       incarnation == part->incarnation && state != MEMBER_LISTED &&
	       state != MEMBER_DEAD &&
	       !strcmp(vm->zone, member_self(t->member)->zone);
}

void handover_on_part(handover_t *h, str_t from, const handover_part_t *part,
		      int64_t now)
{
	struct handover_table *t = h->table;
	member_vm_t vm;
	handover_source_t *s;

	if (!is_valid(t, from, part, &vm, now))
		return;
	if (part->is_answers) {
		import_keys(t, part, now);
		return;
	}
	s = source_of(t, vm.name, part);
	if (s->serial != part->serial || s->next_index != part->index)
		return;
	s->next_index++;
	if (!import_keys(t, part, now))
		s->is_failed = true;
	if (!part->is_last || s->is_failed)
		return;
	if (part->is_draining && !has_same_candidates(t, from, part))
		return;
	accept_source(t, s, part, now);
	if (part->is_draining) {
		accept_draining(t, from, part, now);
		record_departures(t, from, part, now);
	}
	if (!t->has_joined)
		handover_try_join(t);
	t->ops.send_ack(t->ctx, from, part->incarnation, part->serial);
}
