#include "core/rendezvous.h"

#include <xxhash.h>

rendezvous_t rendezvous_weigh(str_t name, str_t key)
{
	uint64_t seed = str_hash(name);

	return (rendezvous_t){
		.weight = XXH3_64bits_withSeed(key.ptr, key.len, seed),
		.name = name,
	};
}

bool rendezvous_precedes(const rendezvous_t *a, const rendezvous_t *b)
{
	size_t len = a->name.len < b->name.len ? a->name.len : b->name.len;
	int order;

	if (a->weight != b->weight)
		return a->weight > b->weight;
	order = memcmp(a->name.ptr, b->name.ptr, len);
	return order ? order < 0 : a->name.len < b->name.len;
}
