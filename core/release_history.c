#include "core/release_history.h"

#include "common/str.h"

typedef struct seen_release {
	char name[FLEET_NAME_SIZE];
	int64_t seen_at;
} seen_release_t;

typedef struct service_releases {
	GArray *releases; /* seen_release_t, sorted by name */
	bool is_complete; /* with those from before this process */
} service_releases_t;

static void free_service(void *data)
{
	service_releases_t *s = data;

	g_array_unref(s->releases);
	g_free(s);
}

void release_history_init(release_history_t *h)
{
	*h = (release_history_t){ .window = 0 };
	h->services = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					    free_service);
}

void release_history_finish(release_history_t *h)
{
	g_hash_table_destroy(h->services);
}

void release_history_set_window(release_history_t *h, int64_t window)
{
	h->window = window;
}

void release_history_begin(release_history_t *h, int64_t now)
{
	if (!h->began_at)
		h->began_at = now;
}

uint64_t release_history_hash(const char *service, const char *release)
{
	const uint64_t hashes[] = { str_hash(str_from(service)),
				    str_hash(str_from(release)) };
	uint64_t hash =
		str_hash((str_t){ (const char *)hashes, sizeof(hashes) });

	return hash ? hash : 1;
}

static seen_release_t *release_at(const service_releases_t *s, guint i)
{
	return &g_array_index(s->releases, seen_release_t, i);
}

static service_releases_t *add_service(release_history_t *h,
				       const char *service)
{
	service_releases_t *s = g_hash_table_lookup(h->services, service);

	if (s)
		return s;
	s = g_new0(service_releases_t, 1);
	s->releases = g_array_new(FALSE, TRUE, sizeof(seen_release_t));
	g_hash_table_insert(h->services, g_strdup(service), s);
	return s;
}

static void remove_oldest(service_releases_t *s)
{
	guint oldest = 0;

	for (guint i = 1; i < s->releases->len; i++)
		if (release_at(s, i)->seen_at < release_at(s, oldest)->seen_at)
			oldest = i;
	g_array_remove_index(s->releases, oldest);
}

static void insert_release(service_releases_t *s, const char *release,
			   int64_t now)
{
	seen_release_t added = { .seen_at = now };
	guint i = 0;

	if (s->releases->len >= RELEASE_HISTORY_MAX)
		remove_oldest(s);
	while (i < s->releases->len &&
	       strcmp(release_at(s, i)->name, release) < 0)
		i++;
	g_strlcpy(added.name, release, sizeof(added.name));
	g_array_insert_val(s->releases, i, added);
}

void release_history_see(release_history_t *h, const char *service,
			 const char *release, int64_t now)
{
	service_releases_t *s = add_service(h, service);

	for (guint i = 0; i < s->releases->len; i++) {
		if (strcmp(release_at(s, i)->name, release) != 0)
			continue;
		release_at(s, i)->seen_at = now;
		return;
	}
	insert_release(s, release, now);
}

void release_history_set_complete(release_history_t *h, const char *service)
{
	add_service(h, service)->is_complete = true;
}

static bool is_recent(const release_history_t *h, const seen_release_t *r,
		      int64_t now)
{
	return now - r->seen_at <= h->window;
}

/* The process has watched the service for a whole window, or was told. */
static bool is_known(const release_history_t *h, const service_releases_t *s,
		     int64_t now)
{
	return s->is_complete ||
	       (h->began_at && h->window && now - h->began_at > h->window);
}

uint64_t release_history_only(const release_history_t *h, const char *service,
			      int64_t now)
{
	const service_releases_t *s = g_hash_table_lookup(h->services, service);
	const char *only = NULL;

	if (!s || !is_known(h, s, now))
		return 0;
	for (guint i = 0; i < s->releases->len; i++) {
		if (!is_recent(h, release_at(s, i), now))
			continue;
		if (only)
			return 0;
		only = release_at(s, i)->name;
	}
	return only ? release_history_hash(service, only) : 0;
}

void release_history_each_only(const release_history_t *h, int64_t now,
			       void (*fn)(void *ctx, const char *service,
					  uint64_t only),
			       void *ctx)
{
	GHashTableIter iter;
	void *service;

	g_hash_table_iter_init(&iter, h->services);
	while (g_hash_table_iter_next(&iter, &service, NULL))
		fn(ctx, service, release_history_only(h, service, now));
}

void release_history_each(const release_history_t *h, int64_t now,
			  release_history_fn fn, void *ctx)
{
	g_autoptr(GList) names = g_hash_table_get_keys(h->services);

	names = g_list_sort(names, (GCompareFunc)strcmp);
	for (GList *link = names; link; link = link->next) {
		const service_releases_t *s =
			g_hash_table_lookup(h->services, link->data);

		for (guint i = 0; i < s->releases->len; i++)
			if (is_recent(h, release_at(s, i), now))
				fn(ctx, link->data, release_at(s, i)->name);
	}
}
