/*
 * Counts teams' limits: for each team one daemon of the zone, found by
 * rendezvous hashing, counts the zone's share; in a fleet one daemon counts
 * for all zones. A daemon that can't reach it counts its own share meanwhile.
 */
#define LOG_PART "limits"

#include "core/limit.h"
#include "daemon/supervisor.h"

enum { MAX_TEAMS = 32768, PERCENT = 100 };

typedef struct limits {
	supervisor_t *sup;
	config_view_t *config;
	limit_t zone; /* for teams that this daemon counts for the zone */
	limit_t own; /* while the team's counter is out of reach */
	limit_tolerance_t tolerance; /* none but in a fleet */
	GHashTable *held; /* "peer\nteam" to the number in progress */
	/* Of the zone, or of the whole fleet: */
	uint32_t live, known; /* daemons; a cut makes them differ */
	uint32_t daemons; /* by the VM list; at least 1 */
} limits_t;

/* Teams of two profiles are two teams. */
static char *team_name(const message_limit_t *l)
{
	return g_strconcat(l->profile, "/", l->team, NULL);
}

/* Changes what a daemon holds of a team's places; never below nothing. */
static bool count_held(limits_t *s, const message_limit_t *l, int change)
{
	g_autofree char *name =
		g_strconcat(l->peer, "\n", l->profile, "/", l->team, NULL);
	int held = GPOINTER_TO_INT(g_hash_table_lookup(s->held, name));

	if (held + change < 0)
		return false;
	if (held + change == 0)
		g_hash_table_remove(s->held, name);
	else
		g_hash_table_insert(s->held, g_steal_pointer(&name),
				    GINT_TO_POINTER(held + change));
	return true;
}

/*
 * Brings a team's terms up to the profile in force, when it is asked for:
 * most of the many teams are idle.
 */
static limit_terms_t set_terms(limits_t *s, const message_limit_t *l,
			       const char *name)
{
	const profile_t *profile = config_view_profile(s->config, l->profile);
	const profile_team_t *team =
		profile ? profile_team(profile, str_from(l->team)) : NULL;
	/* A fleet's teams are counted for all zones together. */
	uint32_t zones = s->sup->settings->fleet ?
				 1 :
				 g_strv_length(s->sup->settings->zones);
	limit_t *limit = l->is_fallback ? &s->own : &s->zone;
	limit_terms_t t = { 0 };

	if (!team)
		return t;
	t = limit_share(
		(limit_terms_t){ team->rate, team->burst, team->concurrency },
		1, l->is_fallback ? zones * s->daemons : zones);
	/* Callers choose unnamed teams: those must be forgotten again. */
	/* Beyond a cut another limiter may count for the daemons there. */
	if (!l->is_fallback) {
		t = limit_share(t, s->live, s->known);
		t = limit_lend(t, &s->tolerance);
	}
	if (team == &profile->other_teams)
		limit_set_other(limit, t.rate, t.burst, t.concurrency);
	else
		limit_set(limit, str_from(name), t.rate, t.burst,
			  t.concurrency);
	return t;
}

static void ask(limits_t *s, const message_limit_t *asked)
{
	g_autofree char *name = team_name(asked);
	message_t m = { .type = MESSAGE_LIMIT_ANSWER, .limit = *asked };
	message_limit_t *l = &m.limit;
	limit_t *limit = asked->is_fallback ? &s->own : &s->zone;
	limit_terms_t terms = set_terms(s, asked, name);
	limit_ask_t take;

	take = (limit_ask_t){ .cost = MAX(l->cost, 1),
			      .reserve = (double)l->reserve / PERCENT };
	l->is_ok = limit_take_many(limit, str_from(name), &take, now_us(),
				   &l->retry_after_ms);
	/* Without a limit on requests in progress none is ever given back. */
	if (l->is_ok && !terms.concurrency)
		limit_release(limit, str_from(name));
	else if (l->is_ok && !l->is_fallback)
		count_held(s, l, 1);
	supervisor_post(s->sup, TASK_PEERS, &m);
}

static void release(limits_t *s, const message_limit_t *l)
{
	g_autofree char *name = team_name(l);

	if (l->is_fallback)
		limit_release(&s->own, str_from(name));
	else if (count_held(s, l, -1))
		limit_release(&s->zone, str_from(name));
}

/* A daemon died: what it held is free again. */
static void lose_holder(limits_t *s, const char *peer)
{
	g_autofree char *prefix = g_strconcat(peer, "\n", NULL);
	GHashTableIter iter;
	const char *name;
	void *held;

	g_hash_table_iter_init(&iter, s->held);
	while (g_hash_table_iter_next(&iter, (void **)&name, &held)) {
		str_t team = str_from(name + strlen(prefix));

		if (!g_str_has_prefix(name, prefix))
			continue;
		for (int i = GPOINTER_TO_INT(held); i > 0; i--)
			limit_release(&s->zone, team);
		g_hash_table_iter_remove(&iter);
	}
}

static void take_config(limits_t *s, config_view_t *config)
{
	config_view_unref(s->config);
	s->config = config_view_ref(config);
}

static void take_list(limits_t *s, const vm_view_t *vms)
{
	const member_vm_t *list = (const member_vm_t *)vms->entries->data;
	uint32_t daemons = 0;

	for (guint i = 0; i < vms->entries->len; i++)
		daemons += s->sup->settings->fleet ||
			   !strcmp(list[i].zone, s->sup->settings->zone);
	s->daemons = MAX(daemons, 1);
}

static void handle(void *state, const message_t *m)
{
	limits_t *s = state;

	switch (m->type) {
	case MESSAGE_CONFIG:
		take_config(s, m->config);
		break;
	case MESSAGE_VMS:
		take_list(s, m->vms);
		break;
	case MESSAGE_LIVE:
		s->live = m->daemons.live;
		s->known = m->daemons.known;
		break;
	case MESSAGE_LIMIT_ASK:
		ask(s, &m->limit);
		break;
	case MESSAGE_LIMIT_RELEASE:
		release(s, &m->limit);
		break;
	case MESSAGE_OWNER_LOST:
		lose_holder(s, m->capacity.peer);
		break;
	default:
		break;
	}
}

static void *start(supervisor_t *sup, err_t *err)
{
	limits_t *s = g_new0(limits_t, 1);

	s->sup = sup;
	s->daemons = 1;
	s->live = 1;
	s->known = 1;
	if (sup->settings->fleet)
		s->tolerance = (limit_tolerance_t){
			.overrun = sup->settings->limit_overrun,
			.slack = sup->settings->limit_slack,
			.window_s =
				(double)sup->settings->limit_window_ms / 1000,
		};
	limit_init(&s->zone, MAX_TEAMS, now_us());
	limit_init(&s->own, MAX_TEAMS, now_us());
	s->zone.starts_low = sup->settings->fleet;
	s->own.starts_low = sup->settings->fleet;
	s->held = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return s;
}

static void stop(void *state)
{
	limits_t *s = state;

	limit_finish(&s->zone);
	limit_finish(&s->own);
	g_hash_table_destroy(s->held);
	config_view_unref(s->config);
	g_free(s);
}

const task_spec_t limits_task = { "limits", 2, start, handle, stop };
