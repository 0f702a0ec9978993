#include "core/byte_budget.h"

#include <glib.h>

enum {
	/*
	 * Of the memory. Two kinds are bounded, and buffers take up to twice
	 * the bytes that they hold; the rest is for everything else.
	 */
	SHARE_DIVISOR = 5,
	/* Enough for a stream whose caller reads. */
	MIN_BACKLOG = 16 * 1024,
};

void byte_budget_init(byte_budget_t *b, uint64_t memory)
{
	*b = (byte_budget_t){ .limit = memory / SHARE_DIVISOR };
}

void byte_budget_add(byte_budget_t *b, uint64_t n)
{
	b->held += n;
	b->peak = MAX(b->peak, b->held);
}

void byte_budget_remove(byte_budget_t *b, uint64_t n)
{
	g_assert(n <= b->held);
	b->held -= n;
}

bool byte_budget_fits(const byte_budget_t *b, uint64_t n)
{
	return b->held + n <= b->limit;
}

size_t byte_budget_backlog(const byte_budget_t *b, size_t most)
{
	return b->held <= b->limit / 2 ? most : MIN(most, MIN_BACKLOG);
}

/* Adds up what is held of each upstream's answers; the caller frees it. */
static GHashTable *sums_by_upstream(const byte_holder_t *holders, size_t n)
{
	GHashTable *sums =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);

	for (size_t i = 0; i < n; i++) {
		uint64_t *sum = g_hash_table_lookup(sums, holders[i].upstream);

		if (!sum) {
			sum = g_new0(uint64_t, 1);
			g_hash_table_insert(sums, (gpointer)holders[i].upstream,
					    sum);
		}
		*sum += holders[i].bytes;
	}
	return sums;
}

size_t byte_budget_victim(const byte_holder_t *holders, size_t n)
{
	g_autoptr(GHashTable) sums = sums_by_upstream(holders, n);
	uint64_t most = 0;
	size_t victim = n;

	for (size_t i = 0; i < n; i++) {
		const uint64_t *sum =
			g_hash_table_lookup(sums, holders[i].upstream);

		if (*sum < most || !holders[i].bytes)
			continue;
		if (*sum > most || victim == n ||
		    holders[i].bytes > holders[victim].bytes)
			victim = i;
		most = *sum;
	}
	return victim;
}
