#include "core/member.h"

#include "core/member_state.h"

enum {
	/* Heartbeat timeouts within which a dead member is detected. */
	LINK_LOST_TIMEOUTS = 3,
};

member_entry_t *member_entry_find(const struct member_table *t, str_t name)
{
	char buf[MEMBER_NAME_SIZE];

	if (!str_copy(buf, sizeof(buf), name))
		return NULL;
	return g_hash_table_lookup(t->by_name, buf);
}

void member_notify_change(struct member_table *t, const member_entry_t *e,
			  int64_t now)
{
	if (!e || member_is_own_zone(t, e))
		t->changed_at = now;
	if (t->ops.changed)
		t->ops.changed(t->ctx);
}

static void remove_entry(struct member_table *t, member_entry_t *e)
{
	g_hash_table_remove(t->by_name, e->vm.name);
	g_ptr_array_remove_fast(t->entries, e);
}

/*
 * Makes room by removing the unlisted dead member whose gap ended longest ago,
 * if that is past the hold-off period. Returns false if there is none.
 */
static bool evict(struct member_table *t, int64_t now)
{
	member_entry_t *oldest = NULL;

	for (guint i = 0; i < t->entries->len; i++) {
		member_entry_t *e = t->entries->pdata[i];

		if (e->is_listed || e->state != MEMBER_DEAD ||
		    now - e->gap_end < t->config.holdoff_period)
			continue;
		if (!oldest || e->gap_end < oldest->gap_end)
			oldest = e;
	}
	if (oldest)
		remove_entry(t, oldest);
	return oldest != NULL;
}

member_entry_t *member_entry_find_or_add(struct member_table *t,
					 const member_vm_t *vm, int64_t now)
{
	member_entry_t *e;

	if (!vm->name[0] || !strcmp(vm->name, t->self.name))
		return NULL;
	e = g_hash_table_lookup(t->by_name, vm->name);
	if (e) {
		e->vm = *vm;
		return e;
	}
	if (t->entries->len >= t->config.max_members && !evict(t, now)) {
		t->rejected++;
		return NULL;
	}
	e = g_new0(member_entry_t, 1);
	e->vm = *vm;
	e->state = MEMBER_LISTED;
	e->heard_at = MEMBER_NEVER;
	e->reported_at = MEMBER_NEVER;
	e->gap_end = MEMBER_NEVER;
	e->link_tried_since = MEMBER_NEVER;
	e->host_used_at = MEMBER_NEVER;
	e->reported_by =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	g_ptr_array_add(t->entries, e);
	g_hash_table_insert(t->by_name, e->vm.name, e);
	return e;
}

static void free_entry(void *data)
{
	member_entry_t *e = data;

	g_hash_table_unref(e->reported_by);
	g_free(e);
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
	t->entries = g_ptr_array_new_with_free_func(free_entry);
	t->started_at = now;
	t->known_since = now;
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
		member_entry_t *e = t->entries->pdata[i];

		e->is_listed = false;
	}
	for (uint32_t i = 0; i < n; i++) {
		member_entry_t *e = member_entry_find_or_add(t, &vms[i], now);

		if (e)
			e->is_listed = true;
	}
	for (guint i = t->entries->len; i-- > 0;) {
		member_entry_t *e = t->entries->pdata[i];

		if (!e->is_listed && e->state == MEMBER_LISTED &&
		    now - e->gap_end >= t->config.holdoff_period)
			remove_entry(t, e);
	}
}

/* Sets gap_end of a dead or restarted member unless it handed its keys over. */
static void set_departure_gap(member_entry_t *e, int64_t now)
{
	if (!e->has_handed_over)
		e->gap_end = MAX(e->gap_end, now);
}

static void set_live(struct member_table *t, member_entry_t *e,
		     uint64_t incarnation, int64_t now)
{
	if (member_is_present(e))
		set_departure_gap(e, now);
	e->incarnation = incarnation;
	e->state = MEMBER_LIVE;
	e->is_draining = false;
	e->has_handed_over = false;
	e->link_lost_at = 0;
	e->entered_at = now;
	member_notify_change(t, e, now);
}

static void clear_suspicion(member_entry_t *e)
{
	e->state = MEMBER_LIVE;
	e->has_probe_failed = false;
}

void member_on_heartbeat(member_t *m, const member_vm_t *vm,
			 uint64_t incarnation, bool is_draining, int64_t now)
{
	struct member_table *t = m->table;
	member_entry_t *e = member_entry_find_or_add(t, vm, now);

	if (!e)
		return;
	e->heard_at = now;
	if (!member_is_present(e) || e->incarnation != incarnation) {
		if (e->state == MEMBER_DEAD && e->incarnation == incarnation &&
		    member_is_own_zone(t, e))
			return;
		set_live(t, e, incarnation, now);
	}
	clear_suspicion(e);
	if (e->is_draining != is_draining) {
		e->is_draining = is_draining;
		e->has_handed_over = false;
		member_notify_change(t, e, now);
	}
}

void member_on_peer_report(member_t *m, str_t reporter, str_t name,
			   uint64_t incarnation, int64_t age, int64_t now)
{
	struct member_table *t = m->table;
	member_entry_t *by = member_entry_find(t, reporter);
	member_entry_t *e = member_entry_find(t, name);

	if (!by || !e || by == e || !member_is_own_zone(t, e) || age < 0 ||
	    age > t->config.heartbeat_timeout)
		return;
	if (e->state == MEMBER_LISTED)
		set_live(t, e, incarnation, now);
	if (!member_is_present(e) || e->incarnation != incarnation)
		return;
	e->reported_at = MAX(e->reported_at, now - age);
	clear_suspicion(e);
}

void member_on_declared_dead(member_t *m, str_t name, uint64_t incarnation)
{
	struct member_table *t = m->table;

	if (str_eq(name, str_from(t->self.name)) &&
	    incarnation == t->incarnation)
		t->is_declared_dead = true;
}

void member_on_probe_result(member_t *m, str_t name, bool is_ok, int64_t now)
{
	member_entry_t *e = member_entry_find(m->table, name);

	if (!e || e->state != MEMBER_SUSPECT)
		return;
	if (!is_ok) {
		e->has_probe_failed = true;
		return;
	}
	e->heard_at = now;
	clear_suspicion(e);
}

static void probe(struct member_table *t, member_entry_t *e, int64_t now)
{
	e->probed_at = now;
	if (t->ops.probe)
		t->ops.probe(t->ctx, &e->vm);
}

/*
 * A heartbeat timeout makes a member suspected and starts a probe. A suspected
 * member is declared dead once the probe failed, and all peers reported on it
 * or another timeout passed.
 */
static void tick_entry(struct member_table *t, member_entry_t *e, int64_t now)
{
	int64_t timeout = t->config.heartbeat_timeout;
	int64_t heard_at = MAX(e->heard_at, e->reported_at);

	if (e->link_lost_at &&
	    now - e->link_lost_at > LINK_LOST_TIMEOUTS * timeout)
		e->link_lost_at = 0;
	if (!member_is_present(e) || now - heard_at <= timeout)
		return;
	/* No link to it is kept, so no heartbeat can arrive. */
	if (!member_is_own_zone(t, e) && e->link_tried_since == MEMBER_NEVER) {
		e->state = MEMBER_LISTED;
		return;
	}
	if (e->state == MEMBER_LIVE) {
		e->state = MEMBER_SUSPECT;
		e->has_probe_failed = false;
		e->suspect_at = now;
		g_hash_table_remove_all(e->reported_by);
		probe(t, e, now);
		return;
	}
	if (e->has_probe_failed &&
	    (member_all_reported(t, e) || now - e->suspect_at >= timeout)) {
		e->state = MEMBER_DEAD;
		set_departure_gap(e, now);
		member_notify_change(t, e, now);
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

	return t->is_declared_dead ||
	       now - t->ticked_at > t->config.heartbeat_timeout;
}

void member_begin_incarnation(member_t *m, uint64_t incarnation, int64_t now)
{
	struct member_table *t = m->table;

	t->incarnation = incarnation;
	t->is_declared_dead = false;
	t->known_since = now;
	t->ticked_at = now;
	/*
	 * Heartbeats are missing because this daemon was stalled: give the
	 * peers a full timeout.
	 */
	for (guint i = 0; i < t->entries->len; i++) {
		member_entry_t *e = t->entries->pdata[i];

		if (!member_is_present(e))
			continue;
		e->heard_at = now;
		clear_suspicion(e);
	}
	member_notify_change(t, NULL, now);
}

void member_set_draining(member_t *m, bool is_draining, int64_t now)
{
	struct member_table *t = m->table;

	if (t->is_draining == is_draining)
		return;
	t->is_draining = is_draining;
	/* Keys dispatched by other owners while draining are unknown here. */
	if (!is_draining)
		t->known_since = now;
	member_notify_change(t, NULL, now);
}

static member_state_t effective_state(const member_entry_t *e)
{
	return member_is_present(e) && e->is_draining ? MEMBER_DRAINING :
							e->state;
}

bool member_find(const member_t *m, str_t name, member_vm_t *out,
		 member_state_t *state, uint64_t *incarnation)
{
	const struct member_table *t = m->table;
	const member_entry_t *e = member_entry_find(t, name);
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
		*state = effective_state(e);
	return true;
}

bool member_is_stable(const member_t *m, int64_t now)
{
	const struct member_table *t = m->table;

	if (now - t->changed_at <= t->config.heartbeat_timeout)
		return false;
	for (guint i = 0; i < t->entries->len; i++) {
		const member_entry_t *e = t->entries->pdata[i];

		if (e->state == MEMBER_SUSPECT && member_is_own_zone(t, e))
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
		const member_entry_t *e = t->entries->pdata[i];
		int64_t age =
			e->heard_at == MEMBER_NEVER ? -1 : now - e->heard_at;

		fn(ctx, &e->vm, effective_state(e), e->incarnation, age);
	}
}

uint64_t member_incarnation(const member_t *m)
{
	return m->table->incarnation;
}

uint64_t member_n_rejected(const member_t *m)
{
	return m->table->rejected;
}
