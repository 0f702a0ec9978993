#include "core/member.h"

#include <glib.h>

#include "core/rendezvous.h"

/* Long before any time that is passed in, and safe to subtract from. */
#define NEVER (G_MININT64 / 4)

enum {
	/* A suspect waits timeout / CONFIRM_DIVISOR for its peers' reports. */
	CONFIRM_DIVISOR = 2,
};

typedef struct entry {
	member_vm_t vm;
	uint64_t incarnation;
	member_state_t state; /* DRAINING is LIVE with is_draining here */
	bool is_listed;
	bool is_draining;
	bool is_handed; /* this incarnation's keys came over to us */
	bool has_probe_failed;
	int64_t heard_at; /* by ourselves */
	int64_t reported_at; /* latest time at which a peer heard it */
	int64_t entered_at; /* when this incarnation became live here */
	int64_t departed_at; /* its keys are newly owned since then */
	int64_t suspect_at;
	int64_t probed_at;
} entry_t;

struct member_table {
	member_config_t config;
	member_vm_t self;
	uint64_t incarnation;
	member_ops_t ops;
	void *ctx;
	char **zones;
	uint32_t n_zones;
	GHashTable *by_name; /* name -> entry_t */
	GPtrArray *entries; /* of entry_t, owned */
	bool is_draining;
	bool is_called_dead;
	int64_t born_at; /* when this incarnation began */
	int64_t changed_at;
	int64_t ticked_at;
	uint64_t refused;
};

static entry_t *find(const struct member_table *t, str_t name)
{
	char buf[MEMBER_NAME_SIZE];

	if (!str_copy(buf, sizeof(buf), name))
		return NULL;
	return g_hash_table_lookup(t->by_name, buf);
}

static bool is_own_zone(const struct member_table *t, const entry_t *e)
{
	return !strcmp(e->vm.zone, t->self.zone);
}

static bool is_present(const entry_t *e)
{
	return e->state == MEMBER_LIVE || e->state == MEMBER_SUSPECT;
}

static bool is_candidate(const entry_t *e)
{
	return is_present(e) && !e->is_draining;
}

static void changed(struct member_table *t, const entry_t *e, int64_t now)
{
	if (!e || is_own_zone(t, e))
		t->changed_at = now;
	if (t->ops.changed)
		t->ops.changed(t->ctx);
}

static void forget(struct member_table *t, entry_t *e)
{
	g_hash_table_remove(t->by_name, e->vm.name);
	g_ptr_array_remove_fast(t->entries, e);
}

/* Makes room by forgetting the unlisted member that left longest ago. */
static bool evict(struct member_table *t, int64_t now)
{
	entry_t *oldest = NULL;

	for (guint i = 0; i < t->entries->len; i++) {
		entry_t *e = t->entries->pdata[i];

		if (e->is_listed || e->state != MEMBER_DEAD ||
		    now - e->departed_at < t->config.quiet_period)
			continue;
		if (!oldest || e->departed_at < oldest->departed_at)
			oldest = e;
	}
	if (oldest)
		forget(t, oldest);
	return oldest != NULL;
}

/* Finds or adds a member; NULL for this daemon itself and when full. */
static entry_t *intern(struct member_table *t, const member_vm_t *vm,
		       int64_t now)
{
	entry_t *e;

	if (!vm->name[0] || !strcmp(vm->name, t->self.name))
		return NULL;
	e = g_hash_table_lookup(t->by_name, vm->name);
	if (e) {
		e->vm = *vm;
		return e;
	}
	if (t->entries->len >= t->config.max_members && !evict(t, now)) {
		t->refused++;
		return NULL;
	}
	e = g_new0(entry_t, 1);
	e->vm = *vm;
	e->state = MEMBER_LISTED;
	e->heard_at = NEVER;
	e->reported_at = NEVER;
	e->departed_at = NEVER;
	g_ptr_array_add(t->entries, e);
	g_hash_table_insert(t->by_name, e->vm.name, e);
	return e;
}

void member_init(member_t *m, const member_config_t *config,
		 const member_vm_t *self, uint64_t incarnation,
		 const str_t *zones, uint32_t n_zones, const member_ops_t *ops,
		 void *ctx, int64_t now)
{
	struct member_table *t = g_new0(struct member_table, 1);

	t->config = *config;
	t->self = *self;
	t->incarnation = incarnation;
	t->ops = *ops;
	t->ctx = ctx;
	t->n_zones = n_zones;
	t->zones = g_new0(char *, n_zones + 1);
	for (uint32_t i = 0; i < n_zones; i++)
		t->zones[i] = g_strndup(zones[i].ptr, zones[i].len);
	t->by_name = g_hash_table_new(g_str_hash, g_str_equal);
	t->entries = g_ptr_array_new_with_free_func(g_free);
	t->born_at = now;
	t->changed_at = now;
	t->ticked_at = now;
	m->table = t;
}

void member_finish(member_t *m)
{
	struct member_table *t = m->table;

	if (!t)
		return;
	g_hash_table_destroy(t->by_name);
	g_ptr_array_unref(t->entries);
	g_strfreev(t->zones);
	g_free(t);
	m->table = NULL;
}

void member_set_list(member_t *m, const member_vm_t *vms, uint32_t n,
		     int64_t now)
{
	struct member_table *t = m->table;

	for (guint i = 0; i < t->entries->len; i++) {
		entry_t *e = t->entries->pdata[i];

		e->is_listed = false;
	}
	for (uint32_t i = 0; i < n; i++) {
		entry_t *e = intern(t, &vms[i], now);

		if (e)
			e->is_listed = true;
	}
	for (guint i = t->entries->len; i-- > 0;) {
		entry_t *e = t->entries->pdata[i];

		if (!e->is_listed && e->state == MEMBER_LISTED)
			forget(t, e);
	}
}

/*
 * Notes from when on the member's keys may have run elsewhere. Keys that
 * were handed over are known to us, but not what an earlier owner ran
 * before this incarnation began.
 */
static void depart(entry_t *e, int64_t now)
{
	e->departed_at = e->is_handed ? e->entered_at : now;
}

static void enter(struct member_table *t, entry_t *e, uint64_t incarnation,
		  int64_t now)
{
	e->incarnation = incarnation;
	e->state = MEMBER_LIVE;
	e->is_draining = false;
	e->is_handed = false;
	e->entered_at = now;
	changed(t, e, now);
}

static void revive(entry_t *e)
{
	e->state = MEMBER_LIVE;
	e->has_probe_failed = false;
}

void member_heard(member_t *m, const member_vm_t *vm, uint64_t incarnation,
		  bool is_draining, int64_t now)
{
	struct member_table *t = m->table;
	entry_t *e = intern(t, vm, now);

	if (!e)
		return;
	e->heard_at = now;
	if (!is_present(e) || e->incarnation != incarnation) {
		if (e->state == MEMBER_DEAD && e->incarnation == incarnation &&
		    is_own_zone(t, e))
			return;
		enter(t, e, incarnation, now);
	}
	revive(e);
	if (e->is_draining != is_draining) {
		e->is_draining = is_draining;
		changed(t, e, now);
	}
	if (is_draining)
		depart(e, now);
}

void member_heard_by(member_t *m, str_t reporter, str_t name,
		     uint64_t incarnation, int64_t age, int64_t now)
{
	struct member_table *t = m->table;
	entry_t *by = find(t, reporter);
	entry_t *e = find(t, name);

	if (!by || !e || by == e || !is_own_zone(t, e) || age < 0 ||
	    age > t->config.heartbeat_timeout)
		return;
	if (e->state == MEMBER_LISTED)
		enter(t, e, incarnation, now);
	if (!is_present(e) || e->incarnation != incarnation)
		return;
	e->reported_at = MAX(e->reported_at, now - age);
	revive(e);
}

void member_called_dead(member_t *m, str_t name, uint64_t incarnation)
{
	struct member_table *t = m->table;

	if (str_eq(name, str_from(t->self.name)) &&
	    incarnation == t->incarnation)
		t->is_called_dead = true;
}

void member_probed(member_t *m, str_t name, bool is_ok, int64_t now)
{
	entry_t *e = find(m->table, name);

	if (!e || e->state != MEMBER_SUSPECT)
		return;
	if (!is_ok) {
		e->has_probe_failed = true;
		return;
	}
	e->heard_at = now;
	revive(e);
}

void member_handed_over(member_t *m, str_t name, uint64_t incarnation,
			int64_t now)
{
	entry_t *e = find(m->table, name);

	if (!e || e->state == MEMBER_LISTED || e->incarnation != incarnation)
		return;
	e->is_handed = true;
	if (e->is_draining || e->state == MEMBER_DEAD)
		depart(e, now);
	changed(m->table, e, now);
}

static void probe(struct member_table *t, entry_t *e, int64_t now)
{
	e->probed_at = now;
	if (t->ops.probe)
		t->ops.probe(t->ctx, &e->vm);
}

/* Silence leads to suspicion and a probe; a failed probe to death. */
static void tick_entry(struct member_table *t, entry_t *e, int64_t now)
{
	int64_t timeout = t->config.heartbeat_timeout;
	int64_t heard_at = MAX(e->heard_at, e->reported_at);

	if (!is_present(e) || now - heard_at <= timeout)
		return;
	if (e->state == MEMBER_LIVE) {
		e->state = MEMBER_SUSPECT;
		e->has_probe_failed = false;
		e->suspect_at = now;
		probe(t, e, now);
		return;
	}
	if (e->has_probe_failed &&
	    now - e->suspect_at >= timeout / CONFIRM_DIVISOR) {
		e->state = MEMBER_DEAD;
		depart(e, now);
		changed(t, e, now);
		return;
	}
	if (!e->has_probe_failed && now - e->probed_at > timeout)
		probe(t, e, now);
}

void member_tick(member_t *m, int64_t now)
{
	struct member_table *t = m->table;

	if (member_is_stalled(m, now))
		return;
	t->ticked_at = now;
	for (guint i = 0; i < t->entries->len; i++)
		tick_entry(t, t->entries->pdata[i], now);
}

bool member_is_stalled(const member_t *m, int64_t now)
{
	const struct member_table *t = m->table;

	return t->is_called_dead ||
	       now - t->ticked_at > t->config.heartbeat_timeout;
}

void member_reincarnate(member_t *m, uint64_t incarnation, int64_t now)
{
	struct member_table *t = m->table;

	t->incarnation = incarnation;
	t->is_called_dead = false;
	t->born_at = now;
	t->ticked_at = now;
	/* The silence was ours: peers get a whole timeout to be heard. */
	for (guint i = 0; i < t->entries->len; i++) {
		entry_t *e = t->entries->pdata[i];

		if (!is_present(e))
			continue;
		e->heard_at = now;
		revive(e);
	}
	changed(t, NULL, now);
}

void member_set_draining(member_t *m, bool is_draining, int64_t now)
{
	struct member_table *t = m->table;

	if (t->is_draining == is_draining)
		return;
	t->is_draining = is_draining;
	/* What ran elsewhere meanwhile is unknown here. */
	if (!is_draining)
		t->born_at = now;
	changed(t, NULL, now);
}

str_t member_home_zone(const member_t *m, str_t key)
{
	const struct member_table *t = m->table;
	const char *slash = memchr(key.ptr, '/', key.len);
	rendezvous_t best = { 0 };

	for (uint32_t i = 0; slash && i < t->n_zones; i++) {
		str_t zone = str_from(t->zones[i]);

		if (str_eq(zone, (str_t){ key.ptr, (size_t)(slash - key.ptr) }))
			return zone;
	}
	for (uint32_t i = 0; i < t->n_zones; i++) {
		rendezvous_t r = rendezvous_weigh(str_from(t->zones[i]), key);

		if (!i || rendezvous_beats(&r, &best))
			best = r;
	}
	return best.name;
}

/* The member of ZONE with the highest weight among those in STATE. */
static const entry_t *best_entry(const struct member_table *t, str_t zone,
				 str_t key, bool want_listed,
				 rendezvous_t *best)
{
	const entry_t *winner = NULL;

	for (guint i = 0; i < t->entries->len; i++) {
		const entry_t *e = t->entries->pdata[i];
		bool is_wanted = want_listed ? e->state == MEMBER_LISTED :
					       is_candidate(e);
		rendezvous_t r;

		if (!is_wanted || !str_eq(str_from(e->vm.zone), zone))
			continue;
		r = rendezvous_weigh(str_from(e->vm.name), key);
		if (winner && !rendezvous_beats(&r, best))
			continue;
		*best = r;
		winner = e;
	}
	return winner;
}

/* Who has KEY in the own zone; false when nobody has. */
static bool local_owner(const struct member_table *t, str_t key,
			rendezvous_t *best, const entry_t **peer)
{
	str_t name = str_from(t->self.name);
	rendezvous_t self = rendezvous_weigh(name, key);

	*peer = best_entry(t, str_from(t->self.zone), key, false, best);
	if (t->is_draining || (*peer && rendezvous_beats(best, &self)))
		return *peer != NULL;
	*best = self;
	*peer = NULL;
	return true;
}

/*
 * Since when this daemon owns KEY, at the latest: since its own start, or
 * since the last departure of a member that would have the key before it.
 */
static int64_t owned_since(const struct member_table *t, str_t key,
			   const rendezvous_t *self)
{
	int64_t since = t->born_at;

	for (guint i = 0; i < t->entries->len; i++) {
		const entry_t *e = t->entries->pdata[i];
		rendezvous_t r;

		if (is_candidate(e) || !is_own_zone(t, e) ||
		    e->departed_at <= since)
			continue;
		r = rendezvous_weigh(str_from(e->vm.name), key);
		if (rendezvous_beats(&r, self))
			since = e->departed_at;
	}
	return since;
}

static bool is_quiet(const struct member_table *t, int64_t since,
		     int64_t mint_age, int64_t now)
{
	if (now - since >= t->config.quiet_period)
		return false;
	if (mint_age < 0)
		return true;
	return now - mint_age <= since + t->config.mint_margin;
}

/* A daemon of another zone; live ones first, else one never heard. */
static const entry_t *remote_entry(const struct member_table *t, str_t zone,
				   str_t key)
{
	rendezvous_t best;
	const entry_t *e = best_entry(t, zone, key, false, &best);

	return e ? e : best_entry(t, zone, key, true, &best);
}

void member_key_owner(const member_t *m, str_t scoped, str_t home_zone,
		      int64_t mint_age, int64_t now, member_owner_t *out)
{
	const struct member_table *t = m->table;
	rendezvous_t best = { 0 };
	const entry_t *e;
	int64_t since;

	*out = (member_owner_t){ .kind = MEMBER_OWNER_NONE };
	if (!str_eq(home_zone, str_from(t->self.zone))) {
		e = remote_entry(t, home_zone, scoped);
		if (!e)
			return;
		out->kind = MEMBER_OWNER_ZONE;
		out->vm = e->vm;
		return;
	}
	if (!local_owner(t, scoped, &best, &e))
		return;
	if (e) {
		out->kind = MEMBER_OWNER_PEER;
		out->vm = e->vm;
		return;
	}
	since = owned_since(t, scoped, &best);
	out->kind = MEMBER_OWNER_SELF;
	if (!is_quiet(t, since, mint_age, now))
		return;
	out->kind = MEMBER_OWNER_QUIET;
	out->quiet_until = since + t->config.quiet_period;
}

bool member_dispatcher(const member_t *m, str_t zone, str_t service,
		       uint32_t group, member_vm_t *out)
{
	const struct member_table *t = m->table;
	g_autofree char *key = g_strdup_printf("%.*s#%u", (int)service.len,
					       service.ptr, group);
	rendezvous_t best;
	const entry_t *e;

	if (!str_eq(zone, str_from(t->self.zone))) {
		e = remote_entry(t, zone, str_from(key));
		if (e)
			*out = e->vm;
		return e != NULL;
	}
	if (!local_owner(t, str_from(key), &best, &e))
		return false;
	*out = e ? e->vm : t->self;
	return true;
}

static member_state_t shown_state(const entry_t *e)
{
	return is_present(e) && e->is_draining ? MEMBER_DRAINING : e->state;
}

bool member_find(const member_t *m, str_t name, member_vm_t *out,
		 member_state_t *state, uint64_t *incarnation)
{
	const struct member_table *t = m->table;
	const entry_t *e = find(t, name);
	bool is_self = str_eq(name, str_from(t->self.name));

	if (!e && !is_self)
		return false;
	if (out)
		*out = is_self ? t->self : e->vm;
	if (incarnation)
		*incarnation = is_self ? t->incarnation : e->incarnation;
	if (!state)
		return true;
	if (is_self)
		*state = t->is_draining ? MEMBER_DRAINING : MEMBER_LIVE;
	else
		*state = shown_state(e);
	return true;
}

bool member_is_settled(const member_t *m, int64_t now)
{
	const struct member_table *t = m->table;

	if (now - t->changed_at <= t->config.heartbeat_timeout)
		return false;
	for (guint i = 0; i < t->entries->len; i++) {
		const entry_t *e = t->entries->pdata[i];

		if (e->state == MEMBER_SUSPECT && is_own_zone(t, e))
			return false;
	}
	return true;
}

void member_each(const member_t *m,
		 void (*fn)(void *ctx, const member_vm_t *vm,
			    member_state_t state, uint64_t incarnation,
			    int64_t heard_age),
		 void *ctx, int64_t now)
{
	const struct member_table *t = m->table;

	for (guint i = 0; i < t->entries->len; i++) {
		const entry_t *e = t->entries->pdata[i];
		int64_t age = e->heard_at == NEVER ? -1 : now - e->heard_at;

		fn(ctx, &e->vm, shown_state(e), e->incarnation, age);
	}
}

uint64_t member_incarnation(const member_t *m)
{
	return m->table->incarnation;
}

uint64_t member_refused(const member_t *m)
{
	return m->table->refused;
}
