#include "core/member_state.h"
#include "core/rendezvous.h"

enum {
	/* Heartbeat timeouts for which the link to an unused host is kept. */
	HOST_LINK_TIMEOUTS = 20,
};

/* Returns true for a listed, live or suspected member with an address. */
static bool is_linkable(const member_entry_t *e)
{
	return e->vm.peer_address[0] && (e->is_listed || member_is_present(e));
}

/* A daemon of another zone with its rendezvous weight for this daemon. */
typedef struct ranked_entry {
	member_entry_t *entry;
	rendezvous_t weight;
} ranked_entry_t;

static int by_weight(const void *a, const void *b)
{
	const ranked_entry_t *x = a, *y = b;

	return rendezvous_precedes(&x->weight, &y->weight) ? -1 : 1;
}

/* All linkable daemons of ZONE, by descending weight for this daemon. */
static GArray *rank_zone(const struct member_table *t, const char *zone)
{
	str_t self = str_from(t->self.name);
	GArray *ranked = g_array_new(FALSE, FALSE, sizeof(ranked_entry_t));

	for (guint i = 0; i < t->entries->len; i++) {
		member_entry_t *e = t->entries->pdata[i];
		ranked_entry_t ranked_entry = { e, { 0 } };

		if (strcmp(e->vm.zone, zone) || !is_linkable(e))
			continue;
		ranked_entry.weight =
			rendezvous_weigh(str_from(e->vm.name), self);
		g_array_append_val(ranked, ranked_entry);
	}
	g_array_sort(ranked, by_weight);
	return ranked;
}

/* Returns true if a link to it works or may still be established. */
static bool may_be_linked(const struct member_table *t, const member_entry_t *e,
			  int64_t now)
{
	if (member_is_present(e))
		return member_is_reachable(e);
	return e->state == MEMBER_LISTED &&
	       (e->link_tried_since == MEMBER_NEVER ||
		now - e->link_tried_since <= t->config.heartbeat_timeout);
}

static void link_zone(const struct member_table *t, const char *zone,
		      void (*fn)(void *ctx, const member_vm_t *vm), void *ctx,
		      int64_t now)
{
	GArray *ranked = rank_zone(t, zone);
	int n_linked = 0;

	for (guint i = 0; i < ranked->len; i++) {
		member_entry_t *e =
			g_array_index(ranked, ranked_entry_t, i).entry;
		bool is_selected = n_linked < MEMBER_ZONE_LINKS &&
				   i < MEMBER_MAX_ZONE_LINKS;
		bool is_needed =
			now - e->host_used_at <=
			HOST_LINK_TIMEOUTS * t->config.heartbeat_timeout;

		if (!is_selected && !is_needed) {
			e->link_tried_since = MEMBER_NEVER;
			continue;
		}
		if (is_selected && may_be_linked(t, e, now))
			n_linked++;
		if (e->link_tried_since == MEMBER_NEVER)
			e->link_tried_since = now;
		fn(ctx, &e->vm);
	}
	g_array_unref(ranked);
}

void member_each_link(member_t *m, void (*fn)(void *ctx, const member_vm_t *vm),
		      void *ctx, int64_t now)
{
	const struct member_table *t = m->table;

	for (guint i = 0; i < t->entries->len; i++) {
		const member_entry_t *e = t->entries->pdata[i];

		if (member_is_own_zone(t, e) && is_linkable(e))
			fn(ctx, &e->vm);
	}
	for (uint32_t i = 0; i < t->n_zones; i++)
		if (strcmp(t->zones[i], t->self.zone))
			link_zone(t, t->zones[i], fn, ctx, now);
}

/* Finds the host among all daemons of another zone that may be up. */
static member_entry_t *remote_host(const struct member_table *t, str_t zone,
				   str_t key, bool needs_link, int64_t now)
{
	member_entry_t *winner = NULL;
	rendezvous_t best = { 0 };

	for (guint i = 0; i < t->entries->len; i++) {
		member_entry_t *e = t->entries->pdata[i];
		rendezvous_t r;

		if (!is_linkable(e) || e->is_draining || e->is_unresponsive ||
		    (needs_link && e->link_lost_at) ||
		    !may_be_linked(t, e, now) ||
		    !str_eq(str_from(e->vm.zone), zone))
			continue;
		r = rendezvous_weigh(str_from(e->vm.name), key);
		if (winner && !rendezvous_precedes(&r, &best))
			continue;
		best = r;
		winner = e;
	}
	return winner;
}

char *member_role_key(str_t role, uint32_t group)
{
	return g_strdup_printf("%.*s#%u", (int)role.len, role.ptr, group);
}

/* Finds the other daemon of the own zone with the greatest weight. */
static const member_entry_t *local_peer(const struct member_table *t, str_t key,
					bool needs_link, rendezvous_t *best)
{
	const member_entry_t *peer = NULL;

	for (guint i = 0; i < t->entries->len; i++) {
		const member_entry_t *e = t->entries->pdata[i];
		rendezvous_t r;

		if (!member_is_own_zone(t, e) ||
		    !member_can_host(e, needs_link))
			continue;
		r = rendezvous_weigh(str_from(e->vm.name), key);
		if (peer && !rendezvous_precedes(&r, best))
			continue;
		*best = r;
		peer = e;
	}
	return peer;
}

/* Finds the host in the own zone; PEER is NULL if it is this daemon. */
static bool local_host(const struct member_table *t, str_t key, bool needs_link,
		       const member_entry_t **peer)
{
	rendezvous_t self = rendezvous_weigh(str_from(t->self.name), key);
	rendezvous_t best;

	*peer = local_peer(t, key, needs_link, &best);
	if (t->is_draining || (*peer && rendezvous_precedes(&best, &self)))
		return *peer != NULL;
	*peer = NULL;
	return true;
}

void member_set_unresponsive(member_t *m, str_t name, bool is_unresponsive)
{
	member_entry_t *e = member_entry_find(m->table, name);

	if (e)
		e->is_unresponsive = is_unresponsive;
}

void member_set_link_lost(member_t *m, str_t name, bool is_lost, int64_t now)
{
	member_entry_t *e = member_entry_find(m->table, name);

	if (e)
		e->link_lost_at = is_lost ? MAX(now, 1) : 0;
}

bool member_next_host(const member_t *m, str_t dispatcher, member_vm_t *out)
{
	g_autofree char *key = member_role_key(dispatcher, 0);
	rendezvous_t best;
	const member_entry_t *e =
		local_peer(m->table, str_from(key), true, &best);

	if (e)
		*out = e->vm;
	return e != NULL;
}

bool member_find_zone_host(member_t *m, str_t zone, const char *key,
			   bool needs_link, int64_t now, member_vm_t *out)
{
	struct member_table *t = m->table;
	bool is_own = str_eq(zone, str_from(t->self.zone));
	const member_entry_t *peer;
	member_entry_t *e;

	if (is_own) {
		if (!local_host(t, str_from(key), needs_link, &peer))
			return false;
		*out = peer ? peer->vm : t->self;
		return true;
	}
	e = remote_host(t, zone, str_from(key), needs_link, now);
	if (!e)
		return false;
	e->host_used_at = now;
	*out = e->vm;
	return member_is_candidate(e);
}

bool member_zone_host(member_t *m, str_t zone, str_t role, uint32_t group,
		      int64_t now, member_vm_t *out)
{
	g_autofree char *key = member_role_key(role, group);

	return member_find_zone_host(m, zone, key, false, now, out);
}

bool member_dispatcher_host(member_t *m, str_t zone, str_t dispatcher,
			    int64_t now, member_vm_t *out)
{
	g_autofree char *key = member_role_key(dispatcher, 0);

	return member_find_zone_host(m, zone, key, true, now, out);
}
