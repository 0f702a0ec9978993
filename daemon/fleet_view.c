#include "daemon/fleet_view.h"

#include <stdlib.h>

#include "core/release_history.h"

enum {
	RANK_WEIGHT_FACTOR = 64, /* a rank's weight / the next rank's weight */
	DEFAULT_SLOTS = 4, /* concurrent calls of a plain service's runner */
	/* Tokens of an engine whose memory isn't configured. */
	DEFAULT_WINDOW_TOKENS = 1 << 20,
	NEED_MS = 60000, /* default time until a call's answer is useless */
};

static gint compare_ranks(gconstpointer a, gconstpointer b)
{
	uint32_t x = *(const uint32_t *)a, y = *(const uint32_t *)b;

	return x < y ? -1 : x > y;
}

static void add_distinct_rank(GArray *ranks, uint32_t rank)
{
	for (guint i = 0; i < ranks->len; i++)
		if (g_array_index(ranks, uint32_t, i) == rank)
			return;
	g_array_append_val(ranks, rank);
}

static GArray *collect_ranks(const fleet_t *fleet)
{
	GArray *ranks = g_array_new(FALSE, FALSE, sizeof(uint32_t));

	for (guint i = 0; i < fleet->routes->len; i++) {
		const fleet_route_t *route = fleet->routes->pdata[i];

		if (route->is_anonymous || !fleet->teams->len)
			add_distinct_rank(ranks, fleet_rank(NULL, route));
		for (guint t = 0; t < fleet->teams->len; t++)
			add_distinct_rank(
				ranks,
				fleet_rank(fleet->teams->pdata[t], route));
	}
	g_array_sort(ranks, compare_ranks);
	return ranks;
}

static void fill_tiers(profile_t *profile, const fleet_t *fleet)
{
	g_autoptr(GArray) ranks = collect_ranks(fleet);
	uint32_t weight = 1;

	profile->n_tiers = MIN(ranks->len, PROFILE_MAX_TIERS);
	for (uint32_t i = profile->n_tiers; i-- > 0;) {
		profile_tier_t *tier = &profile->tiers[i];

		g_snprintf(tier->name, sizeof(tier->name), "%u",
			   g_array_index(ranks, uint32_t, i));
		tier->weight = weight;
		tier->need_ms = NEED_MS;
		if (weight < UINT32_MAX / RANK_WEIGHT_FACTOR)
			weight *= RANK_WEIGHT_FACTOR;
	}
}

static int compare_team_names(const void *a, const void *b)
{
	const profile_team_t *x = a, *y = b;

	return strcmp(x->name, y->name);
}

static void fill_teams(profile_t *profile, const fleet_t *fleet)
{
	profile->n_teams = fleet->teams->len;
	profile->teams = g_new0(profile_team_t, fleet->teams->len + 1);
	for (guint i = 0; i < fleet->teams->len; i++) {
		const fleet_team_t *team = fleet->teams->pdata[i];
		profile_team_t *out = &profile->teams[i];

		g_strlcpy(out->name, team->name, sizeof(out->name));
		out->weight = 1;
		out->rate = team->rate;
		out->burst = team->burst;
	}
	qsort(profile->teams, profile->n_teams, sizeof(*profile->teams),
	      compare_team_names);
}

static profile_service_t *new_service(const fleet_service_t *service,
				      uint64_t version)
{
	profile_service_t *out = g_new0(profile_service_t, 1);

	g_strlcpy(out->name, service->name, sizeof(out->name));
	g_strlcpy(out->profile, FLEET_PROFILE, sizeof(out->profile));
	out->version = version;
	out->is_engine = service->is_engine;
	out->slots = service->slots;
	if (!out->slots && !service->is_engine)
		out->slots = DEFAULT_SLOTS;
	out->window_tokens = service->cache_tokens ? service->cache_tokens :
						     DEFAULT_WINDOW_TOKENS;
	return out;
}

config_view_t *fleet_view_config(const fleet_t *fleet)
{
	config_view_t *view = config_view_new();
	profile_t *profile = g_new0(profile_t, 1);
	GHashTableIter iter;
	fleet_service_t *service;

	g_strlcpy(profile->name, FLEET_PROFILE, sizeof(profile->name));
	profile->version = fleet->version;
	fill_tiers(profile, fleet);
	fill_teams(profile, fleet);
	g_hash_table_replace(view->profiles, profile->name, profile);
	g_hash_table_iter_init(&iter, fleet->services);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&service)) {
		profile_service_t *out = new_service(service, fleet->version);

		g_hash_table_replace(view->services, out->name, out);
	}
	return view;
}

typedef struct runner_collector {
	const settings_t *settings;
	GArray *runners; /* vm_list_runner_t */
} runner_collector_t;

static void add_runner(void *ctx, const listed_runner_t *runner)
{
	runner_collector_t *collector = ctx;
	vm_list_runner_t out = { .has_fencing = false };

	g_strlcpy(out.runner.name, runner->id, sizeof(out.runner.name));
	g_strlcpy(out.runner.address, runner->address,
		  sizeof(out.runner.address));
	out.runner.is_leaving = runner->is_leaving;
	out.runner.slots = runner->slots;
	out.runner.born_ms = runner->born_ms;
	out.runner.release =
		release_history_hash(runner->service, runner->release);
	g_strlcpy(out.service, runner->service, sizeof(out.service));
	g_strlcpy(out.zone,
		  settings_place_zone(collector->settings, runner->zone),
		  sizeof(out.zone));
	g_array_append_val(collector->runners, out);
}

static void add_daemon(GArray *entries, const listed_daemon_t *daemon)
{
	member_vm_t vm = { .is_leaving = false };

	g_strlcpy(vm.name, daemon->name, sizeof(vm.name));
	g_strlcpy(vm.zone, daemon->zone, sizeof(vm.zone));
	g_strlcpy(vm.address, daemon->address, sizeof(vm.address));
	g_strlcpy(vm.peer_address, daemon->peer_address,
		  sizeof(vm.peer_address));
	g_array_append_val(entries, vm);
}

vm_list_t *fleet_view_vms(const runner_list_t *runners, GHashTable *daemons,
			  const settings_t *settings)
{
	g_autoptr(GArray) entries =
		g_array_new(FALSE, FALSE, sizeof(member_vm_t));
	g_autoptr(GArray) listed =
		g_array_new(FALSE, FALSE, sizeof(vm_list_runner_t));
	runner_collector_t collector = { settings, listed };
	GHashTableIter iter;
	listed_daemon_t *daemon;

	runner_list_each(runners, add_runner, &collector);
	g_hash_table_iter_init(&iter, daemons);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&daemon))
		add_daemon(entries, daemon);
	return vm_list_new((member_vm_t *)entries->data, entries->len,
			   (vm_list_runner_t *)listed->data, listed->len);
}

void fleet_view_count_runners(const vm_list_t *vms, zone_groups_t *out)
{
	zone_groups_clear(out);
	for (guint i = 0; i < vms->runners->len; i++) {
		const vm_list_runner_t *r =
			&g_array_index(vms->runners, vm_list_runner_t, i);

		zone_groups_add(out, r->service, r->zone);
	}
}
