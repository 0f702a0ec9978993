/* Internal state of the membership, private to core/member*.c. */
#ifndef CORE_MEMBER_STATE_H
#define CORE_MEMBER_STATE_H

#include <glib.h>

#include "core/member.h"
#include "core/rendezvous.h"

/* Earlier than any time passed in; subtracting from it can't overflow. */
#define MEMBER_NEVER (G_MININT64 / 4)

/* Another daemon, as known here. */
typedef struct member_entry {
	member_vm_t vm;
	uint64_t incarnation;
	member_state_t state; /* never DRAINING: see is_draining */
	bool is_listed;
	bool is_draining;
	bool has_handed_over; /* this incarnation handed its keys over here */
	bool has_probe_failed;
	int64_t heard_at; /* last direct heartbeat */
	int64_t reported_at; /* last heartbeat that a peer reported */
	int64_t entered_at; /* when this incarnation became live here */
	/* until then its keys may have run without this daemon's knowledge */
	int64_t gap_end;
	int64_t suspect_at;
	int64_t probed_at;
	bool is_asked; /* a peer requested a report on it */
	GHashTable *reported_by; /* peers that reported since suspect_at */
	int64_t link_tried_since; /* since then a link is attempted */
	int64_t host_used_at; /* last use of a dispatcher or role it hosts */
	bool is_unresponsive; /* leaves pings unanswered: hosts nothing */
	/* When its link was lost; it hosts no dispatcher meanwhile; 0: not. */
	int64_t link_lost_at;
} member_entry_t;

struct member_table {
	member_config_t config;
	member_vm_t self;
	uint64_t incarnation;
	member_ops_t ops;
	void *ctx;
	char **zones;
	uint32_t n_zones;
	GHashTable *by_name; /* name -> member_entry_t */
	GPtrArray *entries; /* of member_entry_t, owned */
	bool is_draining;
	bool is_declared_dead;
	int64_t started_at;
	/*
	 * Start of this incarnation, unless changed by a join (earlier) or by
	 * the end of draining or a gap without an entry (later).
	 */
	int64_t known_since;
	int64_t changed_at;
	int64_t ticked_at;
	uint64_t rejected;
};

/* Finds a member by name; NULL if it is not known. */
member_entry_t *member_entry_find(const struct member_table *t, str_t name);
/* Finds or adds a member; NULL for this daemon itself or if full. */
member_entry_t *member_entry_find_or_add(struct member_table *t,
					 const member_vm_t *vm, int64_t now);

/* The rendezvous key that selects a role's host; free it with g_free. */
char *member_role_key(str_t role, uint32_t group);
/*
 * Finds the owner of KEY in the own zone and its weight. PEER is NULL if that
 * is this daemon. Returns false if no daemon may own keys.
 */
bool member_local_owner(const struct member_table *t, str_t key,
			rendezvous_t *best, const member_entry_t **peer);
/* Returns true if all other live daemons of the zone reported on SUSPECT. */
bool member_all_reported(const struct member_table *t,
			 const member_entry_t *suspect);

/* Notifies of a change to member E, or to this daemon if E is NULL. */
void member_notify_change(struct member_table *t, const member_entry_t *e,
			  int64_t now);

static inline bool member_is_own_zone(const struct member_table *t,
				      const member_entry_t *e)
{
	return !strcmp(e->vm.zone, t->self.zone);
}

/* Returns true if E is live or suspected: neither only listed nor dead. */
static inline bool member_is_present(const member_entry_t *e)
{
	return e->state == MEMBER_LIVE || e->state == MEMBER_SUSPECT;
}

/*
 * Returns true unless E is only listed, dead, or suspected with a failed probe.
 * Used for dispatchers and roles, where a wrong guess costs only time.
 */
static inline bool member_is_reachable(const member_entry_t *e)
{
	return member_is_present(e) &&
	       !(e->state == MEMBER_SUSPECT && e->has_probe_failed);
}

/* Returns true if E may own keys and host dispatchers. */
static inline bool member_is_candidate(const member_entry_t *e)
{
	return member_is_present(e) && !e->is_draining;
}

/*
 * Returns true if E may host roles now: its process answers and, with
 * NEEDS_LINK, the link to it is not lost.
 */
static inline bool member_can_host(const member_entry_t *e, bool needs_link)
{
	return member_is_candidate(e) && !e->is_unresponsive &&
	       !(needs_link && e->link_lost_at);
}

/* member_zone_host, with or without hosts whose link is lost. */
bool member_find_zone_host(member_t *m, str_t zone, const char *key,
			   bool needs_link, int64_t now, member_vm_t *out);

/*
 * Returns true if E is draining and has not handed its keys over yet. Its gap
 * ends when it does.
 */
static inline bool member_awaits_handover(const member_entry_t *e)
{
	return member_is_present(e) && e->is_draining && !e->has_handed_over;
}

/*
 * The time until which keys of a member that is no candidate may have run
 * without this daemon's knowledge.
 */
static inline int64_t member_gap_end(const member_entry_t *e)
{
	if (member_awaits_handover(e))
		return MAX(e->heard_at, e->reported_at);
	return e->gap_end;
}

#endif
