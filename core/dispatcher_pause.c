/*
 * Pauses that a runner requests from individual owners. The dispatcher grants
 * the runner to none of the owner's wants until the pause ends. A runner that
 * rejected a request of one owner may serve the other owners meanwhile.
 */
#include "core/dispatcher_state.h"

enum { MAX_PAUSES = 1024 }; /* per runner; the earliest to end is evicted */

typedef struct pause {
	uint64_t owner;
	int64_t until;
} pause_t;

static pause_t *find_pause(const runner_t *runner, uint64_t owner)
{
	for (guint i = 0; runner->pauses && i < runner->pauses->len; i++) {
		pause_t *p = &g_array_index(runner->pauses, pause_t, i);

		if (p->owner == owner)
			return p;
	}
	return NULL;
}

static void drop_ended(runner_t *runner, int64_t now)
{
	for (guint i = runner->pauses->len; i-- > 0;)
		if (g_array_index(runner->pauses, pause_t, i).until <= now)
			g_array_remove_index_fast(runner->pauses, i);
}

static pause_t *add_pause(runner_t *runner, uint64_t owner, int64_t now)
{
	pause_t added = { .owner = owner };
	pause_t *earliest;

	if (!runner->pauses)
		runner->pauses = g_array_new(FALSE, FALSE, sizeof(pause_t));
	drop_ended(runner, now);
	if (runner->pauses->len < MAX_PAUSES) {
		g_array_append_val(runner->pauses, added);
		return &g_array_index(runner->pauses, pause_t,
				      runner->pauses->len - 1);
	}
	earliest = &g_array_index(runner->pauses, pause_t, 0);
	for (guint i = 1; i < runner->pauses->len; i++) {
		pause_t *p = &g_array_index(runner->pauses, pause_t, i);

		if (p->until < earliest->until)
			earliest = p;
	}
	*earliest = added;
	return earliest;
}

void dispatcher_add_pause(struct dispatcher_state *s, runner_t *runner,
			  uint64_t owner, int64_t until, int64_t now)
{
	pause_t *p = find_pause(runner, owner);

	if (!p)
		p = add_pause(runner, owner, now);
	p->until = MAX(p->until, until);
	s->paused_until = MAX(s->paused_until, until);
}

static int64_t paused_until(const runner_t *runner, uint64_t owner)
{
	const pause_t *p = find_pause(runner, owner);

	return p ? p->until : 0;
}

bool dispatcher_is_paused(const struct dispatcher_state *s,
			  const runner_t *runner, uint64_t owner, int64_t now)
{
	return s->paused_until > now && paused_until(runner, owner) > now;
}

bool dispatcher_has_pauses(const struct dispatcher_state *s, uint64_t owner,
			   int64_t now)
{
	for (guint i = 0; s->paused_until > now && i < s->available->len; i++)
		if (paused_until(s->available->pdata[i], owner) > now)
			return true;
	return false;
}

int64_t dispatcher_pause_end(const struct dispatcher_state *s, uint64_t owner,
			     int64_t now)
{
	int64_t earliest = INT64_MAX;

	if (s->paused_until <= now || !s->available->len)
		return now;
	for (guint i = 0; i < s->available->len; i++)
		earliest = MIN(earliest,
			       paused_until(s->available->pdata[i], owner));
	return MAX(earliest, now);
}
