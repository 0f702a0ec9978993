#include "core/intake_budget.h"

enum {
	US_PER_S = 1000000,
	KIB = 1024,
	/*
	 * A request is timely unless it stalls for longer, or arrives at a
	 * lower rate.
	 */
	TIMELY_SILENCE_US = 100 * 1000,
	TIMELY_BYTES_PER_S = 256 * KIB,
	/* The first bytes of a new connection may be on their way. */
	NEW_GRACE_US = 200 * 1000,
	/* A request that is small takes this part of the limit at most. */
	SMALL_DIVISOR = 32,
	/* Assumed final size, over the bytes received, if none is announced. */
	MANY_TIMES = 8,
	/* A timely request is closed only for one smaller by this factor. */
	LARGER_FACTOR = 2,
	/* So that requests that just began are compared by their bytes. */
	LEAST_AGE_US = 1000,
};

void intake_budget_init(intake_budget_t *b, const intake_limits_t *limits)
{
	*b = (intake_budget_t){ .limits = *limits };
}

static void link_last(intake_budget_t *b, intake_t *i, intake_state_t state,
		      int64_t now)
{
	i->state = state;
	i->since = now;
	i->last_growth = now;
	g_queue_push_tail_link(&b->by_state[state], &i->link);
}

static void unlink_intake(intake_budget_t *b, intake_t *i)
{
	b->held -= i->bytes;
	i->bytes = 0;
	i->expected = 0;
	g_queue_unlink(&b->by_state[i->state], &i->link);
}

void intake_budget_add(intake_budget_t *b, intake_t *i, void *ctx, int64_t now)
{
	*i = (intake_t){ .ctx = ctx };
	i->link.data = i;
	b->connections++;
	link_last(b, i, INTAKE_NEW, now);
}

void intake_budget_remove(intake_budget_t *b, intake_t *i)
{
	unlink_intake(b, i);
	b->connections--;
}

void intake_budget_enter(intake_budget_t *b, intake_t *i, intake_state_t state,
			 int64_t now)
{
	unlink_intake(b, i);
	link_last(b, i, state, now);
}

void intake_budget_hold(intake_budget_t *b, intake_t *i, uint64_t bytes,
			int64_t now)
{
	g_assert(i->state == INTAKE_READING);
	if (bytes > i->bytes)
		i->last_growth = now;
	b->held = b->held - i->bytes + bytes;
	b->peak = MAX(b->peak, b->held);
	i->bytes = bytes;
}

bool intake_budget_fits(const intake_budget_t *b, const intake_t *i, uint64_t n)
{
	return b->held == i->bytes || b->held + n <= b->limits.bytes;
}

/* The bytes held, times how long the request has been incomplete. */
static double cost(const intake_t *i, int64_t now)
{
	return (double)i->bytes * (double)MAX(now - i->since, LEAST_AGE_US);
}

static bool is_timely(const intake_t *i, int64_t now)
{
	int64_t fair_time =
		(int64_t)((double)i->bytes / TIMELY_BYTES_PER_S * US_PER_S);

	return now - i->last_growth < TIMELY_SILENCE_US &&
	       now - i->since < TIMELY_SILENCE_US + fair_time;
}

/* Returns the expected size of a request; an unannounced one may be large. */
static uint64_t final_size(const intake_t *i, uint64_t bytes)
{
	return i->expected ? MAX(bytes, i->expected) : bytes * MANY_TIMES;
}

/* Finds the costliest request that is slow or will have LEAST bytes. */
static intake_t *costliest(const intake_budget_t *b, uint64_t least,
			   int64_t now)
{
	const GList *link = b->by_state[INTAKE_READING].head;
	intake_t *worst = NULL;

	for (; link; link = link->next) {
		intake_t *i = link->data;

		if (i->bytes &&
		    (final_size(i, i->bytes) >= least || !is_timely(i, now)) &&
		    (!worst || cost(i, now) > cost(worst, now)))
			worst = i;
	}
	return worst;
}

intake_t *intake_budget_victim(const intake_budget_t *b, const intake_t *i,
			       uint64_t n, int64_t now)
{
	uint64_t wanted = final_size(i, i->bytes + n);
	intake_t *worst = costliest(b, UINT64_MAX, now);

	/* Among equals the first ones are to be completed. */
	if (!worst && wanted <= b->limits.bytes / SMALL_DIVISOR)
		worst = costliest(b, wanted * LARGER_FACTOR, now);
	return worst == i ? NULL : worst;
}

static intake_t *oldest(const intake_budget_t *b, intake_state_t state)
{
	const GList *link = b->by_state[state].head;

	return link ? link->data : NULL;
}

intake_t *intake_budget_spare(const intake_budget_t *b, int64_t now)
{
	intake_t *kept = oldest(b, INTAKE_KEPT);
	intake_t *silent = oldest(b, INTAKE_NEW);
	intake_t *read;

	if (oldest(b, INTAKE_CLOSING))
		return oldest(b, INTAKE_CLOSING);
	if (silent && now - silent->since >= NEW_GRACE_US)
		return silent;
	read = costliest(b, 0, now);
	if (kept && (!read || kept->since <= read->since))
		return kept;
	if (!read)
		read = oldest(b, INTAKE_READING);
	return read ? read : silent;
}

bool intake_budget_is_crowded(const intake_budget_t *b, uint32_t other)
{
	return (uint64_t)b->connections + other >= b->limits.connections;
}

int64_t intake_budget_due(const intake_budget_t *b, const intake_t *i,
			  uint64_t received)
{
	if (!b->limits.rate)
		return INT64_MAX;
	return i->since + b->limits.grace +
	       (int64_t)((double)received / (double)b->limits.rate * US_PER_S);
}
