#include "core/connected_owners.h"

void connected_owners_finish(connected_owners_t *w)
{
	if (w->idle)
		g_array_unref(w->idle);
	w->idle = NULL;
}

static connected_owner_t *entry(const connected_owners_t *w, guint i)
{
	return &g_array_index(w->idle, connected_owner_t, i);
}

static guint count(const connected_owners_t *w)
{
	return w->idle ? w->idle->len : 0;
}

static guint find_first_to_end(const connected_owners_t *w)
{
	guint first = 0;

	for (guint i = 1; i < count(w); i++)
		if (entry(w, i)->until < entry(w, first)->until)
			first = i;
	return first;
}

static void remove_ended(connected_owners_t *w, int64_t now)
{
	for (guint i = count(w); i-- > 0;)
		if (entry(w, i)->until <= now)
			g_array_remove_index_fast(w->idle, i);
}

void connected_owners_add(connected_owners_t *w, uint64_t owner, int64_t until,
			  int64_t now)
{
	connected_owner_t added = { owner, until };

	remove_ended(w, now);
	if (!w->idle)
		w->idle = g_array_new(FALSE, FALSE, sizeof(connected_owner_t));
	if (count(w) >= CONNECTED_OWNERS_MAX)
		g_array_remove_index_fast(w->idle, find_first_to_end(w));
	g_array_append_val(w->idle, added);
}

/* The connection used last, which ends last, is used again first. */
void connected_owners_take(connected_owners_t *w, uint64_t owner)
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

bool connected_owners_has(const connected_owners_t *w, uint64_t owner,
			  int64_t now)
{
	for (guint i = 0; i < count(w); i++)
		if (entry(w, i)->owner == owner && entry(w, i)->until > now)
			return true;
	return false;
}
