#include "core/member_state.h"

void member_on_handed_over(member_t *m, str_t name, uint64_t incarnation,
			   int64_t since, int64_t now)
{
	member_entry_t *e = member_entry_find(m->table, name);

	if (!e || e->state == MEMBER_LISTED || e->state == MEMBER_DEAD ||
	    e->incarnation != incarnation)
		return;
	e->has_handed_over = true;
	e->is_draining = true;
	e->gap_end = MAX(e->gap_end, since);
	member_notify_change(m->table, e, now);
}

void member_on_joined(member_t *m, int64_t since)
{
	struct member_table *t = m->table;

	t->known_since = MIN(t->known_since, since);
}

void member_each_gap(const member_t *m,
		     void (*fn)(void *ctx, const member_gap_t *gap), void *ctx,
		     int64_t now)
{
	const struct member_table *t = m->table;
	const member_gap_t own = { .name = str_from(t->self.name),
				   .age = now - t->known_since };

	if (own.age < t->config.holdoff_period)
		fn(ctx, &own);
	for (guint i = 0; i < t->entries->len; i++) {
		const member_entry_t *e = t->entries->pdata[i];
		member_gap_t gap = { .name = str_from(e->vm.name),
				     .age = now - member_gap_end(e) };

		if (member_awaits_handover(e))
			gap.leaving_incarnation = e->incarnation;
		if (member_is_own_zone(t, e) &&
		    gap.age < t->config.holdoff_period)
			fn(ctx, &gap);
	}
}

void member_add_gap(member_t *m, const member_gap_t *gap, int64_t now)
{
	struct member_table *t = m->table;
	member_vm_t vm = { .is_leaving = false };
	member_entry_t *e;

	if (gap->age < 0 || gap->age >= t->config.holdoff_period)
		return;
	e = member_entry_find(t, gap->name);
	if (e && gap->leaving_incarnation == e->incarnation &&
	    member_is_present(e) && e->is_draining)
		return;
	if (!e && str_copy(vm.name, sizeof(vm.name), gap->name)) {
		g_strlcpy(vm.zone, t->self.zone, sizeof(vm.zone));
		e = member_entry_find_or_add(t, &vm, now);
	}
	if (e)
		e->gap_end = MAX(e->gap_end, now - gap->age);
	else
		t->known_since = MAX(t->known_since, now - gap->age);
}

void member_each_candidate(const member_t *m,
			   void (*fn)(void *ctx, str_t name,
				      uint64_t incarnation),
			   void *ctx)
{
	const struct member_table *t = m->table;

	if (!t->is_draining)
		fn(ctx, str_from(t->self.name), t->incarnation);
	for (guint i = 0; i < t->entries->len; i++) {
		const member_entry_t *e = t->entries->pdata[i];

		if (member_is_candidate(e) && member_is_own_zone(t, e))
			fn(ctx, str_from(e->vm.name), e->incarnation);
	}
}

bool member_is_draining(const member_t *m)
{
	return m->table->is_draining;
}

int64_t member_known_since(const member_t *m)
{
	return m->table->known_since;
}

int64_t member_holdoff_period(const member_t *m)
{
	return m->table->config.holdoff_period;
}

int64_t member_heartbeat_timeout(const member_t *m)
{
	return m->table->config.heartbeat_timeout;
}

const member_vm_t *member_self(const member_t *m)
{
	return &m->table->self;
}
