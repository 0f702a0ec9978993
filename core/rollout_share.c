#include "core/rollout_share.h"

#include "common/str.h"

/*
 * A safety margin of the bound: requests may be counted here that the operator
 * counts later or not at all, such as one that its caller cancelled.
 */
static const double margin_slack = 0.4;
static const double margin_share = 0.12;
/* Reserved beyond what is leased, as a part of what may be used. */
static const double reserve_ahead = 0.1;

enum {
	MIN_RESERVE_AHEAD = 10, /* requests */
	/* Limit of a daemon's credit, which grows while the budget is short. */
	MAX_CREDIT = 2,
};

/* What is known of a daemon. */
typedef struct rollout_owner {
	rollout_counts_t counts; /* last reported */
	uint64_t granted; /* to its process, by this one, in all */
	uint64_t takeovers; /* of the budget, when it last reported */
	uint64_t fresh; /* requests since the report before */
	double credit; /* of leases, not given yet */
} rollout_owner_t;

void rollout_budget_init(rollout_budget_t *b, uint64_t self, double share,
			 double slack)
{
	*b = (rollout_budget_t){ .self = self, .share = share, .slack = slack };
	b->owners =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

void rollout_budget_finish(rollout_budget_t *b)
{
	g_clear_pointer(&b->owners, g_hash_table_destroy);
}

/* Unlike any other process's, and any of this one's before. */
static uint64_t new_granter(const rollout_budget_t *b)
{
	const uint64_t parts[] = { b->self, b->takeovers + 1 };

	return str_hash((str_t){ (const char *)parts, sizeof(parts) }) | 1;
}

void rollout_budget_begin(rollout_budget_t *b, uint64_t reserved,
			  uint64_t counted)
{
	GHashTableIter iter;
	rollout_owner_t *o;

	b->reserved = MAX(b->reserved, reserved);
	b->before = b->reserved;
	b->leased = 0;
	b->granter = new_granter(b);
	g_hash_table_iter_init(&iter, b->owners);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&o)) {
		o->granted = o->counts.used = o->counts.returned = 0;
		o->credit = 0;
	}
	/* Another conductor may have counted what daemons report next. */
	b->counted = counted;
	b->takeovers++;
}

void rollout_budget_set_reserved(rollout_budget_t *b, uint64_t reserved)
{
	b->reserved = MAX(b->reserved, reserved);
}

static rollout_owner_t *find_owner(rollout_budget_t *b, const char *name)
{
	rollout_owner_t *o = g_hash_table_lookup(b->owners, name);

	if (o || g_hash_table_size(b->owners) >= ROLLOUT_MAX_OWNERS)
		return o;
	o = g_new0(rollout_owner_t, 1);
	g_hash_table_insert(b->owners, g_strdup(name), o);
	return o;
}

/* Unused leases of the daemon's earlier process are never returned. */
static void begin_process(rollout_owner_t *o, const rollout_counts_t *counts)
{
	*o = (rollout_owner_t){ .counts = *counts };
	o->counts.used = o->counts.returned = 0;
}

/* Reclaims the leases that the daemon reports as returned. */
static void take_back(rollout_budget_t *b, rollout_owner_t *o,
		      const rollout_counts_t *counts)
{
	uint64_t news;

	if (counts->granter != b->granter ||
	    counts->used + counts->returned > o->granted ||
	    counts->returned <= o->counts.returned)
		return;
	news = counts->returned - o->counts.returned;
	b->leased -= MIN(news, b->leased);
	o->counts.returned = counts->returned;
}

void rollout_budget_report(rollout_budget_t *b, const char *name,
			   const rollout_counts_t *counts)
{
	rollout_owner_t *o = find_owner(b, name);

	if (!o)
		return;
	/* Another conductor may have had the report of earlier counts. */
	if (o->counts.process != counts->process)
		begin_process(o, counts);
	if (o->takeovers != b->takeovers)
		o->counts.requests = counts->requests;
	o->takeovers = b->takeovers;
	o->fresh = counts->requests > o->counts.requests ?
			   counts->requests - o->counts.requests :
			   0;
	o->counts.requests += o->fresh;
	b->counted += o->fresh;
	take_back(b, o, counts);
}

uint64_t rollout_budget_earned(const rollout_budget_t *b)
{
	return (uint64_t)(b->slack * (1 - margin_slack) +
			  b->share * (1 - margin_share) * (double)b->counted);
}

static uint64_t usable(const rollout_budget_t *b, double part)
{
	return (uint64_t)(CLAMP(part, 0, 1) * (double)rollout_budget_earned(b));
}

uint64_t rollout_budget_wanted(const rollout_budget_t *b, double part)
{
	uint64_t most = usable(b, part);
	uint64_t ahead =
		MAX(MIN_RESERVE_AHEAD, (uint64_t)(reserve_ahead * most));

	return MAX(b->reserved, MIN(most, b->before + b->leased + ahead));
}

/* Returns what may be leased now. */
static uint64_t left(const rollout_budget_t *b, double part)
{
	uint64_t most = MIN(usable(b, part), b->reserved);
	uint64_t gone = b->before + b->leased;

	return most > gone ? most - gone : 0;
}

uint64_t rollout_budget_lease(rollout_budget_t *b, const char *name,
			      double probability, double part)
{
	rollout_owner_t *o = g_hash_table_lookup(b->owners, name);
	uint64_t n;

	if (!o)
		return 0;
	o->credit += probability * (double)o->fresh;
	o->fresh = 0;
	n = MIN((uint64_t)o->credit, left(b, part));
	o->credit = MIN(o->credit - (double)n, MAX_CREDIT);
	o->granted += n;
	b->leased += n;
	return o->granted;
}

void rollout_lease_set(rollout_lease_t *l, uint64_t granter, uint64_t granted,
		       int64_t sent_at, int64_t now)
{
	int64_t duration = l->duration ? l->duration : ROLLOUT_LEASE_US;

	if (l->granter != granter)
		*l = (rollout_lease_t){ .granter = granter,
					.duration = l->duration };
	l->granted = MAX(l->granted, granted);
	l->ends_at = MAX(l->ends_at, MIN(sent_at, now) + duration);
	rollout_lease_tick(l, now);
}

bool rollout_lease_is_live(const rollout_lease_t *l, int64_t now)
{
	return l->granter && now < l->ends_at;
}

bool rollout_lease_take(rollout_lease_t *l, int64_t now)
{
	if (!rollout_lease_is_live(l, now) ||
	    l->used + l->returned >= l->granted)
		return false;
	l->used++;
	return true;
}

void rollout_lease_drop(rollout_lease_t *l)
{
	if (l->used + l->returned < l->granted)
		l->returned = l->granted - l->used;
}

void rollout_lease_tick(rollout_lease_t *l, int64_t now)
{
	if (!rollout_lease_is_live(l, now))
		rollout_lease_drop(l);
}
