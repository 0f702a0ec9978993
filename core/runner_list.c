#include "core/runner_list.h"

/* How long a removed runner is remembered: far longer than copies are old. */
#define MEMORY_US (INT64_C(5) * 60 * 1000 * 1000)

enum {
	/* An entry doesn't expire sooner after the runner's last heartbeat. */
	MIN_EXPIRY_US = 1500 * 1000,
};

typedef struct entry {
	listed_runner_t runner;
	uint64_t epoch; /* of the store that it was read from */
	int64_t remove_at; /* when its removal takes effect; 0: listed */
	bool is_removed; /* only remembered */
	bool is_seen; /* in the current listing */
} entry_t;

void runner_list_init(runner_list_t *l, int64_t grace_period)
{
	*l = (runner_list_t){ .grace_period = grace_period };
	l->runners =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
}

void runner_list_finish(runner_list_t *l)
{
	g_hash_table_destroy(l->runners);
}

static bool is_same(const listed_runner_t *a, const listed_runner_t *b)
{
	return !strcmp(a->id, b->id) && !strcmp(a->service, b->service) &&
	       !strcmp(a->address, b->address) && !strcmp(a->zone, b->zone) &&
	       !strcmp(a->release, b->release) && a->born_ms == b->born_ms &&
	       a->slots == b->slots && a->is_leaving == b->is_leaving;
}

/*
 * Tells whether RUNNER was written before E, by the same incarnation or by an
 * earlier one. An entry that was removed, or that says that the runner leaves,
 * is followed only by a later one.
 */
static bool is_old(const entry_t *e, const listed_runner_t *runner)
{
	if (runner->born_ms != e->runner.born_ms)
		return runner->born_ms < e->runner.born_ms;
	if (runner->sequence != e->runner.sequence)
		return runner->sequence < e->runner.sequence;
	return e->is_removed || (e->runner.is_leaving && !runner->is_leaving);
}

/*
 * An old copy of the store still lists the runner, which ends a pending
 * removal. A late write doesn't: the runner may be gone.
 */
static void see_old(const runner_list_t *l, entry_t *e)
{
	e->is_seen = true;
	if (!e->is_removed && e->epoch < l->epoch)
		e->remove_at = 0;
}

static entry_t *add_entry(runner_list_t *l, const char *id)
{
	entry_t *e = g_new0(entry_t, 1);

	g_strlcpy(e->runner.id, id, sizeof(e->runner.id));
	g_hash_table_insert(l->runners, e->runner.id, e);
	return e;
}

runner_entry_t runner_list_set(runner_list_t *l, const listed_runner_t *runner)
{
	entry_t *e = g_hash_table_lookup(l->runners, runner->id);
	bool is_new = !e || e->is_removed || !is_same(&e->runner, runner);
	bool was_being_removed = e && e->remove_at;

	if (e && is_old(e, runner)) {
		see_old(l, e);
		return RUNNER_ENTRY_OLD;
	}
	if (!e)
		e = add_entry(l, runner->id);
	e->runner = *runner;
	e->epoch = l->epoch;
	l->has_changed |= is_new;
	e->remove_at = 0;
	e->is_removed = false;
	e->is_seen = true;
	return is_new || was_being_removed ? RUNNER_ENTRY_NEW :
					     RUNNER_ENTRY_KNOWN;
}

void runner_list_set_epoch(runner_list_t *l, uint64_t epoch, int64_t now)
{
	if (epoch <= l->epoch)
		return;
	if (l->epoch)
		l->outage_ended_at = now;
	l->epoch = epoch;
}

bool runner_list_is_stable(const runner_list_t *l, int64_t now)
{
	return !l->is_store_down &&
	       (!l->outage_ended_at ||
		now - l->outage_ended_at >= l->grace_period);
}

int64_t runner_list_removal_delay(const runner_list_t *l, int64_t now)
{
	if (runner_list_is_stable(l, now))
		return 0;
	return (l->is_store_down ? now : l->outage_ended_at) + l->grace_period -
	       now;
}

/* Returns whether the removal is new. */
static bool schedule_removal(runner_list_t *l, entry_t *e, int64_t now)
{
	if (e->remove_at)
		return false;
	e->remove_at = now + runner_list_removal_delay(l, now);
	return true;
}

void runner_list_remove(runner_list_t *l, str_t id, int64_t now)
{
	char name[FLEET_NAME_SIZE];
	entry_t *e;

	/* No runner has such an id. */
	if (!str_copy(name, sizeof(name), id))
		return;
	e = g_hash_table_lookup(l->runners, name);
	if (e)
		schedule_removal(l, e, now);
}

void runner_list_begin(runner_list_t *l)
{
	GHashTableIter iter;
	entry_t *e;

	g_hash_table_iter_init(&iter, l->runners);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&e))
		e->is_seen = false;
}

guint runner_list_end(runner_list_t *l, int64_t now)
{
	GHashTableIter iter;
	guint missing = 0;
	entry_t *e;

	g_hash_table_iter_init(&iter, l->runners);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&e))
		if (!e->is_seen)
			missing += schedule_removal(l, e, now);
	return missing;
}

/* Somebody read the store just now, so it is available. */
static void on_read(runner_list_t *l, int64_t now)
{
	if (l->is_store_down && now - l->read_at >= MIN_EXPIRY_US)
		l->outage_ended_at = now;
	l->is_store_down = false;
	l->read_at = now;
}

void runner_list_set_outage(runner_list_t *l, bool is_down, int64_t now)
{
	if (is_down)
		l->is_store_down = true;
	else
		on_read(l, now);
}

void runner_list_on_update(runner_list_t *l, bool is_stable, int64_t now)
{
	if (!l->read_at && !is_stable)
		l->is_store_down = true;
	on_read(l, now);
}

bool runner_list_apply_due(runner_list_t *l, int64_t now)
{
	GHashTableIter iter;
	bool has_changed;
	entry_t *e;

	g_hash_table_iter_init(&iter, l->runners);
	while (!l->is_store_down &&
	       g_hash_table_iter_next(&iter, NULL, (void **)&e)) {
		if (!e->remove_at || e->remove_at > now)
			continue;
		if (!e->is_removed) {
			e->is_removed = true;
			l->has_changed = true;
		} else if (now - e->remove_at > MEMORY_US) {
			g_hash_table_iter_remove(&iter);
		}
	}
	has_changed = l->has_changed;
	l->has_changed = false;
	return has_changed;
}

void runner_list_each(const runner_list_t *l,
		      void (*fn)(void *ctx, const listed_runner_t *runner),
		      void *ctx)
{
	GHashTableIter iter;
	entry_t *e;

	g_hash_table_iter_init(&iter, l->runners);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&e))
		if (!e->is_removed)
			fn(ctx, &e->runner);
}
