#include "core/warm_owners.h"

void warm_owners_finish(warm_owners_t *w)
{
	if (w->idle)
		g_array_unref(w->idle);
	w->idle = NULL;
}

static warm_owner_t *entry(const warm_owners_t *w, guint i)
{
	return &g_array_index(w->idle, warm_owner_t, i);
}

static guint count(const warm_owners_t *w)
{
	return w->idle ? w->idle->len : 0;
}

static guint find_first_to_end(const warm_owners_t *w)
{
	guint first = 0;

	for (guint i = 1; i < count(w); i++)
		if (entry(w, i)->until < entry(w, first)->until)
			first = i;
	return first;
}

void warm_owners_add(warm_owners_t *w, uint64_t owner, int64_t until)
{
	warm_owner_t added = { owner, until };

	if (!w->idle)
		w->idle = g_array_new(FALSE, FALSE, sizeof(warm_owner_t));
	if (count(w) >= WARM_OWNERS_MAX)
		g_array_remove_index_fast(w->idle, find_first_to_end(w));
	g_array_append_val(w->idle, added);
}

/* The connection used last, which ends last, is used again first. */
void warm_owners_take(warm_owners_t *w, uint64_t owner)
{
	guint last = G_MAXUINT;

	for (guint i = 0; i < count(w); i++)
		if (entry(w, i)->owner == owner &&
		    (last == G_MAXUINT ||
		     entry(w, i)->until > entry(w, last)->until))
			last = i;
	if (last != G_MAXUINT)
		g_array_remove_index_fast(w->idle, last);
}

bool warm_owners_has(const warm_owners_t *w, uint64_t owner, int64_t now)
{
	for (guint i = 0; i < count(w); i++)
		if (entry(w, i)->owner == owner && entry(w, i)->until > now)
			return true;
	return false;
}
