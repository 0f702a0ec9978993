#include "core/zone_groups.h"

#include <math.h>

#include "common/str_table.h"

enum {
	MAX_DISPATCHERS = 2, /* that may refuse a request */
	MAX_BACK = 4, /* times that a request leaves and returns */
	MASK_BITS = 64,
};

typedef struct zone_runners {
	char zone[ZONE_GROUPS_NAME_SIZE];
	uint32_t runners;
} zone_runners_t;

typedef struct service {
	GArray *zones; /* zone_runners_t */
	uint32_t runners; /* over all zones */
} service_t;

static void free_service(void *data)
{
	service_t *s = data;

	g_array_unref(s->zones);
	g_free(s);
}

void zone_groups_init(zone_groups_t *z, const char *own_zone)
{
	z->services = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					    free_service);
	z->partitioned =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	g_strlcpy(z->own_zone, own_zone, sizeof(z->own_zone));
}

void zone_groups_finish(zone_groups_t *z)
{
	g_hash_table_destroy(z->services);
	g_hash_table_destroy(z->partitioned);
	z->services = NULL;
	z->partitioned = NULL;
}

void zone_groups_clear(zone_groups_t *z)
{
	g_hash_table_remove_all(z->services);
}

void zone_groups_set_partitioned(zone_groups_t *z, const char *zone,
				 bool is_partitioned)
{
	if (is_partitioned)
		g_hash_table_add(z->partitioned, g_strdup(zone));
	else
		g_hash_table_remove(z->partitioned, zone);
}

static zone_runners_t *find_zone(const service_t *s, const char *zone)
{
	for (guint i = 0; s && i < s->zones->len; i++) {
		zone_runners_t *r = &g_array_index(s->zones, zone_runners_t, i);

		if (!strcmp(r->zone, zone))
			return r;
	}
	return NULL;
}

void zone_groups_add(zone_groups_t *z, const char *service, const char *zone)
{
	service_t *s = g_hash_table_lookup(z->services, service);
	zone_runners_t *r;

	if (!s) {
		s = g_new0(service_t, 1);
		s->zones = g_array_new(FALSE, TRUE, sizeof(zone_runners_t));
		g_hash_table_insert(z->services, g_strdup(service), s);
	}
	r = find_zone(s, zone);
	if (!r) {
		zone_runners_t added = { .runners = 0 };

		g_strlcpy(added.zone, zone, sizeof(added.zone));
		g_array_append_val(s->zones, added);
		r = find_zone(s, zone);
	}
	r->runners++;
	s->runners++;
}

static uint32_t runners_in(const service_t *s, const char *zone)
{
	const zone_runners_t *r = find_zone(s, zone);

	return r ? r->runners : 0;
}

static void pick_group(zone_pick_t *pick, uint32_t runners, GRand *rand)
{
	pick->group.count = runner_group_count(runners);
	pick->group.index = g_rand_int(rand) % pick->group.count;
}

/* On a collision, a usable zone is skipped. */
static uint64_t zone_bit(const char *zone)
{
	return 1ULL << str_hash(str_from(zone)) % MASK_BITS;
}

/* Returns whether the request may go from the own zone to R. */
static bool is_other_zone(const zone_groups_t *z, const zone_runners_t *r,
			  const zone_pick_t *pick)
{
	return strcmp(r->zone, z->own_zone) != 0 &&
	       !(pick->unusable_zones & zone_bit(r->zone)) &&
	       !g_hash_table_contains(z->partitioned, r->zone);
}

/* Selects another zone at random, weighted by its number of runners. */
static bool pick_other_zone(const zone_groups_t *z, const service_t *s,
			    GRand *rand, zone_pick_t *pick)
{
	uint32_t others = 0;
	uint32_t at;

	for (guint i = 0; s && i < s->zones->len; i++) {
		const zone_runners_t *r =
			&g_array_index(s->zones, zone_runners_t, i);

		others += is_other_zone(z, r, pick) ? r->runners : 0;
	}
	at = others ? g_rand_int(rand) % others : 0;
	for (guint i = 0; others && i < s->zones->len; i++) {
		const zone_runners_t *r =
			&g_array_index(s->zones, zone_runners_t, i);

		if (!is_other_zone(z, r, pick))
			continue;
		if (at < r->runners) {
			g_strlcpy(pick->zone, r->zone, sizeof(pick->zone));
			pick_group(pick, r->runners, rand);
			return true;
		}
		at -= r->runners;
	}
	return false;
}

/*
 * Weighted rendezvous hashing: the group with the least -ln(u) / weight, where
 * u is the hash scaled to (0, 1), owns the key.
 */
static double rendezvous_distance(const char *zone, uint32_t index,
				  uint64_t key, double weight)
{
	struct {
		uint64_t zone, index, key;
	} hashed = { str_hash(str_from(zone)), index, key };
	uint64_t hash = str_hash((str_t){ (char *)&hashed, sizeof(hashed) });
	double u = ((double)(hash >> 11) + 1) / ((double)(1ULL << 53) + 1);

	return -log(u) / weight;
}

/*
 * Selects, over all zones that can be reached, the group that the hash KEY maps
 * to. Other prefixes keep theirs when a zone is partitioned.
 */
static void pick_prefix_owner(const zone_groups_t *z, const service_t *s,
			      uint64_t key, zone_pick_t *pick)
{
	double best = INFINITY;

	for (guint i = 0; i < s->zones->len; i++) {
		const zone_runners_t *r =
			&g_array_index(s->zones, zone_runners_t, i);
		uint32_t count = runner_group_count(r->runners);

		if (g_hash_table_contains(z->partitioned, r->zone))
			continue;
		for (uint32_t n = 0; n < count; n++) {
			double d = rendezvous_distance(
				r->zone, n, key, (double)r->runners / count);

			if (d >= best)
				continue;
			best = d;
			pick->group.index = n;
			pick->group.count = count;
			g_strlcpy(pick->zone,
				  strcmp(r->zone, z->own_zone) ? r->zone : "",
				  sizeof(pick->zone));
		}
	}
	pick->is_prefix_owner = true;
}

uint32_t zone_groups_count(const zone_groups_t *z, const char *service)
{
	const service_t *s = g_hash_table_lookup(z->services, service);
	uint32_t n = 0;

	if (!s || runner_group_is_regional(s->runners))
		return 1;
	for (guint i = 0; i < s->zones->len; i++)
		n += runner_group_count(
			g_array_index(s->zones, zone_runners_t, i).runners);
	return n;
}

void zone_groups_pick_first(const zone_groups_t *z, const char *service,
			    const zone_affinity_t *affinity, GRand *rand,
			    zone_pick_t *out)
{
	const service_t *s = g_hash_table_lookup(z->services, service);
	uint32_t own = runners_in(s, z->own_zone);

	*out = (zone_pick_t){ .group.count = 1 };
	g_strlcpy(out->group.service, service, sizeof(out->group.service));
	out->session = affinity->session;
	out->group.is_regional = runner_group_is_regional(s ? s->runners : 0);
	if (out->group.is_regional || !s)
		return;
	if (affinity->prefix) {
		pick_prefix_owner(z, s, affinity->prefix, out);
		return;
	}
	if (own || !pick_other_zone(z, s, rand, out))
		pick_group(out, own, rand);
	if (affinity->session)
		out->group.index =
			(uint32_t)(affinity->session % out->group.count);
}

static uint64_t group_bit(uint32_t index)
{
	return 1ULL << index % MASK_BITS;
}

/* Selects the first usable one of COUNT groups of the own zone, from FIRST. */
static bool pick_own_group(uint32_t first, uint32_t count, zone_pick_t *pick)
{
	for (uint32_t n = 0; n < count; n++) {
		uint32_t index = (first + n) % count;

		if (pick->unusable_groups & group_bit(index))
			continue;
		pick->zone[0] = '\0';
		pick->group.index = index;
		pick->group.count = count;
		return true;
	}
	return false;
}

/* Selects another group of the zone that the request is in. */
static bool pick_next_group(zone_pick_t *pick)
{
	uint32_t before = pick->group.index;
	uint32_t next = (before + 1) % MAX(pick->group.count, 1);

	if (pick->zone[0])
		pick->group.index = next;
	else
		pick_own_group(next, pick->group.count, pick);
	return pick->group.index != before;
}

bool zone_groups_pick_next(const zone_groups_t *z, GRand *rand,
			   zone_pick_t *pick)
{
	const service_t *s =
		g_hash_table_lookup(z->services, pick->group.service);
	uint32_t own = runners_in(s, z->own_zone);

	pick->has_left = false;
	if (pick->group.is_regional || !s ||
	    ++pick->n_refused >= MAX_DISPATCHERS)
		return false;
	if (pick->is_prefix_owner && pick->zone[0] && own) {
		pick->zone[0] = '\0';
		pick_group(pick, own, rand);
		return true;
	}
	if (pick_other_zone(z, s, rand, pick))
		return true;
	return pick_next_group(pick);
}

bool zone_groups_leave(const zone_groups_t *z, GRand *rand, zone_pick_t *pick)
{
	if (pick->n_back >= MAX_BACK || !zone_groups_pick_next(z, rand, pick))
		return false;
	pick->has_left = true;
	return true;
}

/*
 * Returns the request from another zone to its own one. If it left that one
 * undecided, this undoes the counted refusal, and other zones may be tried
 * again when it leaves the next time.
 */
static bool go_back(uint32_t runners, GRand *rand, zone_pick_t *pick)
{
	uint32_t count = runner_group_count(runners);
	uint32_t first = pick->session ? (uint32_t)(pick->session % count) :
					 g_rand_int(rand) % count;

	if (!runners || !pick_own_group(first, count, pick))
		return false;
	if (!pick->has_left)
		return true;
	pick->has_left = false;
	pick->n_refused--;
	pick->n_back++;
	pick->unusable_zones = pick->silent_zones;
	return true;
}

bool zone_groups_pick_usable(const zone_groups_t *z, GRand *rand,
			     bool is_silent, zone_pick_t *pick)
{
	const service_t *s =
		g_hash_table_lookup(z->services, pick->group.service);
	uint32_t own = runners_in(s, z->own_zone);
	bool is_own = !pick->zone[0];

	if (pick->group.is_regional || !s)
		return false;
	if (is_own) {
		pick->unusable_groups |= group_bit(pick->group.index);
		return pick_own_group(pick->group.index, pick->group.count,
				      pick) ||
		       pick_other_zone(z, s, rand, pick);
	}
	pick->unusable_zones |= zone_bit(pick->zone);
	if (is_silent)
		pick->silent_zones |= zone_bit(pick->zone);
	if (pick->is_prefix_owner && go_back(own, rand, pick))
		return true;
	return pick_other_zone(z, s, rand, pick) || go_back(own, rand, pick);
}

void zone_groups_each_regional(const zone_groups_t *z,
			       void (*fn)(void *ctx, const char *dispatcher),
			       void *ctx)
{
	GHashTableIter iter;
	const char *name;
	service_t *s;

	g_hash_table_iter_init(&iter, z->services);
	while (g_hash_table_iter_next(&iter, (void **)&name, (void **)&s)) {
		runner_group_t group = { .count = 1, .is_regional = true };
		char dispatcher[2 * ZONE_GROUPS_NAME_SIZE];

		if (!runner_group_is_regional(s->runners))
			continue;
		g_strlcpy(group.service, name, sizeof(group.service));
		runner_group_name(&group, dispatcher, sizeof(dispatcher));
		fn(ctx, dispatcher);
	}
}
