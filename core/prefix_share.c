#include "core/prefix_share.h"

enum {
	FAIR_PARTS = 2, /* of a group's part of the traffic, for one prefix */
	MIN_COUNT = 4, /* fewer of the same say nothing */
};

static uint32_t count_of(const prefix_share_t *p, uint64_t hash)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < p->n; i++)
		n += p->recent[i] == hash;
	return n;
}

bool prefix_share_note(prefix_share_t *p, uint64_t hash, uint32_t groups)
{
	uint32_t count;

	p->recent[p->at] = hash;
	p->at = (p->at + 1) % PREFIX_SHARE_WINDOW;
	p->n = MIN(p->n + 1, PREFIX_SHARE_WINDOW);
	count = count_of(p, hash);
	return count >= MIN_COUNT && count * groups > FAIR_PARTS * p->n;
}
