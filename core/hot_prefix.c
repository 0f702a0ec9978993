#include "core/hot_prefix.h"

enum {
	HOT_SHARES = 2, /* hot: more than 2 equal shares of the requests */
	MIN_COUNT = 4, /* fewer requests are not significant */
};

static uint32_t count_of(const hot_prefix_t *p, uint64_t hash)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < p->n; i++)
		n += p->recent[i] == hash;
	return n;
}

bool hot_prefix_record(hot_prefix_t *p, uint64_t hash, uint32_t groups)
{
	uint32_t count;

	p->recent[p->next_index] = hash;
	p->next_index = (p->next_index + 1) % HOT_PREFIX_WINDOW;
	p->n = MIN(p->n + 1, HOT_PREFIX_WINDOW);
	count = count_of(p, hash);
	return count >= MIN_COUNT && count * groups > HOT_SHARES * p->n;
}
