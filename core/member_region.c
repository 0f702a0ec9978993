#include "core/member_state.h"
#include "core/rendezvous.h"

#include <stdlib.h>

static int by_weight(const void *a, const void *b)
{
	const rendezvous_t *x = a, *y = b;

	return rendezvous_precedes(x, y) ? -1 : rendezvous_precedes(y, x);
}

/* Sorts the n_zones zones by their rendezvous weight for ROLE into OUT. */
static void order_zones(const struct member_table *t, str_t role,
			rendezvous_t *out)
{
	for (uint32_t i = 0; i < t->n_zones; i++)
		out[i] = rendezvous_weigh(str_from(t->zones[i]), role);
	qsort(out, t->n_zones, sizeof(*out), by_weight);
}

/* Returns true if a daemon of another zone can host a role now. */
static bool zone_can_host(const struct member_table *t, str_t zone,
			  bool needs_link)
{
	for (guint i = 0; i < t->entries->len; i++) {
		const member_entry_t *e = t->entries->pdata[i];

		if (member_is_reachable(e) && !e->is_unresponsive &&
		    !(needs_link && e->link_lost_at) &&
		    str_eq(str_from(e->vm.zone), zone))
			return true;
	}
	return false;
}

/* Returns true if a daemon of another zone is reachable. */
static bool zone_is_reachable(const struct member_table *t, str_t zone)
{
	for (guint i = 0; i < t->entries->len; i++) {
		const member_entry_t *e = t->entries->pdata[i];

		if (member_is_reachable(e) &&
		    str_eq(str_from(e->vm.zone), zone))
			return true;
	}
	return false;
}

static bool find_regional_host(member_t *m, str_t role, bool needs_link,
			       int64_t now, member_vm_t *out)
{
	const struct member_table *t = m->table;
	g_autofree char *key = member_role_key(role, 0);
	rendezvous_t zones[MEMBER_MAX_ZONES];

	order_zones(t, role, zones);
	for (uint32_t i = 0; i < t->n_zones; i++) {
		bool is_own = str_eq(zones[i].name, str_from(t->self.zone));

		if (!is_own && !zone_can_host(t, zones[i].name, needs_link))
			continue;
		if (member_find_zone_host(m, zones[i].name, key, needs_link,
					  now, out))
			return true;
		if (!is_own)
			return false;
	}
	return false;
}

bool member_regional_host(member_t *m, str_t role, int64_t now,
			  member_vm_t *out)
{
	return find_regional_host(m, role, false, now, out);
}

bool member_regional_dispatcher_host(member_t *m, str_t dispatcher, int64_t now,
				     member_vm_t *out)
{
	return find_regional_host(m, dispatcher, true, now, out);
}

void member_link_standby(member_t *m, str_t role, int64_t now)
{
	const struct member_table *t = m->table;
	rendezvous_t zones[MEMBER_MAX_ZONES];
	uint32_t n_reachable = 0;
	member_vm_t host;

	order_zones(t, role, zones);
	for (uint32_t i = 0; i < t->n_zones && n_reachable < 2; i++) {
		bool is_own = str_eq(zones[i].name, str_from(t->self.zone));

		if (!is_own && !zone_is_reachable(t, zones[i].name))
			continue;
		n_reachable++;
		if (!is_own)
			member_zone_host(m, zones[i].name, role, 0, now, &host);
	}
}

bool member_is_regional_host(const member_t *m, str_t role)
{
	const struct member_table *t = m->table;
	g_autofree char *key = member_role_key(role, 0);
	rendezvous_t zones[MEMBER_MAX_ZONES];
	const member_entry_t *peer;
	rendezvous_t best;

	order_zones(t, role, zones);
	for (uint32_t i = 0; i < t->n_zones; i++) {
		if (str_eq(zones[i].name, str_from(t->self.zone)) &&
		    member_local_owner(t, str_from(key), &best, &peer))
			return !peer;
		if (zone_is_reachable(t, zones[i].name))
			return false;
	}
	return false;
}

/* Common state of the daemons of one zone. */
typedef struct zone_status {
	/* Last heartbeat of any of them, at least this daemon's start. */
	int64_t heard_at;
	bool is_own;
	bool is_reachable;
} zone_status_t;

static zone_status_t get_zone_status(const struct member_table *t,
				     const char *zone)
{
	zone_status_t status = { .heard_at = t->started_at };

	status.is_own = !strcmp(zone, t->self.zone);
	status.is_reachable = zone_is_reachable(t, str_from(zone));
	for (guint i = 0; i < t->entries->len; i++) {
		const member_entry_t *e = t->entries->pdata[i];

		if (!strcmp(e->vm.zone, zone))
			status.heard_at = MAX(status.heard_at, e->heard_at);
	}
	return status;
}

static bool is_live(const member_entry_t *e, const zone_status_t *zone)
{
	if (member_is_present(e))
		return true;
	return !zone->is_own && zone->is_reachable && e->state == MEMBER_LISTED;
}

/*
 * Returns true if the daemon may still serve requests on the other side of a
 * network partition.
 */
static bool was_heard_since(const struct member_table *t,
			    const member_entry_t *e, const zone_status_t *zone,
			    int64_t since)
{
	int64_t heard_at = e->heard_at;

	if (!zone->is_own && !zone->is_reachable)
		heard_at = zone->heard_at;
	else if (heard_at == MEMBER_NEVER)
		heard_at = t->started_at;
	return heard_at > since;
}

void member_count(const member_t *m, int64_t window, int64_t now,
		  uint32_t *live, uint32_t *known)
{
	const struct member_table *t = m->table;

	*live = 1;
	*known = 1;
	for (uint32_t i = 0; i < t->n_zones; i++) {
		zone_status_t zone = get_zone_status(t, t->zones[i]);

		for (guint n = 0; n < t->entries->len; n++) {
			const member_entry_t *e = t->entries->pdata[n];

			if (strcmp(e->vm.zone, t->zones[i]) != 0)
				continue;
			*live += is_live(e, &zone);
			*known += is_live(e, &zone) ||
				  was_heard_since(t, e, &zone, now - window);
		}
	}
}
