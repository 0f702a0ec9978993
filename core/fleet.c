#include "core/fleet.h"

enum {
	MAX_TEAM_PRIORITY = 15,
	MAX_ROUTE_PRIORITY = 15,
	/*
	 * Callers wait for an event of a stream for the longest of these
	 * three times.
	 */
	MIN_CALLER_WAIT_MS = 2000,
	CALLER_WAIT_TARGETS = 4, /* multiple of the route's target_ms */
	CALLER_WAIT_PAUSES = 8, /* multiple of the route's pause_ms */
	DEFAULT_STREAM_MS = 60 * 1000, /* where no route states a timeout */
	LIST_DELAY_MS = 3000, /* until all daemons know a change of the list */
};

/* Share of a team's limit that the least urgent routes leave to the others. */
static const double max_reserve = 0.5;

void fleet_route_free(fleet_route_t *route)
{
	g_free(route->name);
	g_free(route->host);
	g_free(route->prefix);
	g_array_unref(route->shares);
	g_free(route);
}

static void free_service(void *data)
{
	fleet_service_t *service = data;

	g_free(service->health_path);
	g_free(service);
}

fleet_t *fleet_new(uint64_t version)
{
	fleet_t *f = g_rc_box_new0(fleet_t);

	f->version = version;
	f->routes = g_ptr_array_new_with_free_func(
		(GDestroyNotify)fleet_route_free);
	f->by_host = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					   (GDestroyNotify)g_ptr_array_unref);
	f->services = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					    free_service);
	f->teams = g_ptr_array_new_with_free_func(g_free);
	f->keys = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return f;
}

fleet_t *fleet_ref(fleet_t *f)
{
	return g_rc_box_acquire(f);
}

static void free_contents(void *data)
{
	fleet_t *f = data;

	g_hash_table_unref(f->by_host);
	g_ptr_array_unref(f->routes);
	g_hash_table_unref(f->services);
	g_hash_table_unref(f->keys);
	g_ptr_array_unref(f->teams);
}

void fleet_unref(fleet_t *f)
{
	if (f)
		g_rc_box_release_full(f, free_contents);
}

static uint32_t priority_of(const fleet_route_t *route)
{
	return MIN(route->priority, MAX_ROUTE_PRIORITY);
}

/*
 * Returns where a route stands among those of its host: the longest prefix
 * first, and behind others of the same length.
 */
static guint position_of(const GPtrArray *routes, const fleet_route_t *route)
{
	size_t len = strlen(route->prefix);
	guint from = 0, to = routes->len;

	while (from < to) {
		guint middle = from + (to - from) / 2;
		const fleet_route_t *other = g_ptr_array_index(routes, middle);

		if (strlen(other->prefix) >= len)
			from = middle + 1;
		else
			to = middle;
	}
	return from;
}

void fleet_add_route(fleet_t *f, fleet_route_t *route)
{
	GPtrArray *of_host = g_hash_table_lookup(f->by_host, route->host);

	if (!of_host) {
		of_host = g_ptr_array_new();
		g_hash_table_insert(f->by_host, route->host, of_host);
	}
	f->priorities |= 1U << priority_of(route);
	g_ptr_array_add(f->routes, route);
	g_ptr_array_insert(of_host, (gint)position_of(of_host, route), route);
}

void fleet_add_service(fleet_t *f, fleet_service_t *service)
{
	g_hash_table_replace(f->services, service->name, service);
}

void fleet_add_team(fleet_t *f, fleet_team_t *team)
{
	g_ptr_array_add(f->teams, team);
}

void fleet_add_key(fleet_t *f, const char *key, fleet_team_t *team)
{
	g_hash_table_replace(f->keys, g_strdup(key), team);
}

static str_t without_port(str_t host)
{
	const char *colon = memchr(host.ptr, ':', host.len);

	if (colon)
		host.len = colon - host.ptr;
	return host;
}

const fleet_route_t *fleet_find_route(const fleet_t *f, str_t host, str_t path)
{
	str_t plain = without_port(host);
	g_autofree char *name = g_ascii_strdown(plain.ptr, (gssize)plain.len);
	const GPtrArray *of_host = g_hash_table_lookup(f->by_host, name);

	for (guint i = 0; of_host && i < of_host->len; i++) {
		const fleet_route_t *route = of_host->pdata[i];
		size_t n = strlen(route->prefix);

		if (path.len >= n && !memcmp(path.ptr, route->prefix, n))
			return route;
	}
	return NULL;
}

const fleet_service_t *fleet_find_service(const fleet_t *f, const char *name)
{
	return g_hash_table_lookup(f->services, name);
}

const fleet_team_t *fleet_find_team_by_key(const fleet_t *f, str_t key)
{
	g_autofree char *text = g_strndup(key.ptr, key.len);

	return strlen(text) == key.len ? g_hash_table_lookup(f->keys, text) :
					 NULL;
}

const char *fleet_pick_service(const fleet_route_t *route, uint64_t spread)
{
	const fleet_share_t *shares = (fleet_share_t *)route->shares->data;
	uint64_t total = 0;
	uint64_t point;

	for (guint i = 0; i < route->shares->len; i++)
		total += shares[i].weight;
	if (!total)
		return shares[0].service;
	point = spread % total;
	for (guint i = 0; i < route->shares->len; i++) {
		if (point < shares[i].weight)
			return shares[i].service;
		point -= shares[i].weight;
	}
	return shares[0].service;
}

uint32_t fleet_rank(const fleet_team_t *team, const fleet_route_t *route)
{
	uint32_t team_priority =
		team && team->has_priority ? team->priority : 0;

	return MIN(team_priority, MAX_TEAM_PRIORITY) *
		       (MAX_ROUTE_PRIORITY + 1) +
	       priority_of(route);
}

int64_t fleet_caller_wait_ms(const fleet_route_t *route)
{
	int64_t ms = MAX(route->target_ms * CALLER_WAIT_TARGETS,
			 route->pause_ms * CALLER_WAIT_PAUSES);

	return MAX(ms, MIN_CALLER_WAIT_MS);
}

int64_t fleet_longest_stream_ms(const fleet_t *f)
{
	int64_t longest = 0;

	for (guint i = 0; i < f->routes->len; i++) {
		const fleet_route_t *route = f->routes->pdata[i];

		if (route->kind == FLEET_STREAM)
			longest = MAX(longest, route->timeout_ms);
	}
	return (longest ? longest : DEFAULT_STREAM_MS) + LIST_DELAY_MS;
}

double fleet_reserved_share(const fleet_t *f, const fleet_route_t *route)
{
	uint32_t more_urgent = f->priorities & ((1U << priority_of(route)) - 1);
	int n_priorities = __builtin_popcount(f->priorities);

	return n_priorities > 1 ?
		       max_reserve * __builtin_popcount(more_urgent) /
			       (n_priorities - 1) :
		       0;
}

bool fleet_may_repeat(const fleet_route_t *route)
{
	return route->kind == FLEET_SAFE ||
	       (route->kind == FLEET_STREAM && route->is_resumable);
}
