/*
 * Enforces the limits of teams. For each team, one daemon of the zone, chosen
 * by rendezvous hashing, enforces the zone's share of the limit. A daemon that
 * can't reach that daemon enforces its own share of the limit meanwhile
 * (fallback). In a fleet one daemon enforces a limit for all zones; see
 * daemon/fleet_limiter.h.
 */
#define LOG_PART "limits"

#include "daemon/fleet_limiter.h"

enum { MAX_TEAMS = 32768, PERCENT = 100 };

typedef struct limits {
	supervisor_t *sup;
	config_view_t *config;
	limit_t assigned; /* teams whose limit this daemon enforces */
	limit_t fallback; /* teams whose limiter is unreachable */
	/* "peer\nprofile/team" to the number of requests in progress. */
	GHashTable *held_counts;
	/* Daemons of all zones; these differ during a network partition: */
	uint32_t live, known;
	uint32_t daemons; /* of the own zone, in the VM list; at least 1 */
	fleet_limiter_t fleet; /* used instead of all this in a fleet */
} limits_t;

/* Teams of the same name in two profiles are distinct. */
static char *profile_team_key(const message_limit_t *l)
{
	return g_strconcat(l->profile, "/", l->team, NULL);
}

/*
 * Adds CHANGE to the number of requests that a daemon has in progress for a
 * team. Returns false and changes nothing when it would become negative.
 */
static bool add_held(limits_t *s, const message_limit_t *l, int change)
{
	g_autofree char *name =
		g_strconcat(l->peer, "\n", l->profile, "/", l->team, NULL);
	int held = GPOINTER_TO_INT(g_hash_table_lookup(s->held_counts, name));

	if (held + change < 0)
		return false;
	if (held + change == 0)
		g_hash_table_remove(s->held_counts, name);
	else
		g_hash_table_insert(s->held_counts, g_steal_pointer(&name),
				    GINT_TO_POINTER(held + change));
	return true;
}

/* The quota that the profile in force states for a team; NULL: none. */
static const profile_team_t *find_team(const limits_t *s,
				       const message_limit_t *l,
				       bool *is_default)
{
	const profile_t *profile = config_view_profile(s->config, l->profile);
	const profile_team_t *team =
		profile ? profile_find_team(profile, str_from(l->team)) : NULL;

	*is_default = team && team == &profile->other_teams;
	return team;
}

/*
 * Sets a team's quota from the profile in force. This is done for each request
 * and not for all teams when the profile changes, as most teams are idle.
 */
static limit_quota_t update_quota(limits_t *s, const message_limit_t *l,
				  const char *name)
{
	uint32_t zones = g_strv_length(s->sup->settings->zones);
	limit_t *limit = l->is_fallback ? &s->fallback : &s->assigned;
	limit_quota_t t = { 0 };
	bool is_default;
	const profile_team_t *team = find_team(s, l, &is_default);

	if (!team)
		return t;
	t = limit_share(
		(limit_quota_t){ team->rate, team->burst, team->concurrency },
		1, l->is_fallback ? zones * s->daemons : zones);
	/*
	 * In a network partition another limiter may serve the daemons of the
	 * other side, so take only the share of the daemons that are live.
	 */
	if (!l->is_fallback)
		t = limit_share(t, s->live, s->known);
	/*
	 * Callers choose the names of teams that the profile doesn't name, so
	 * those get the default quota and limit_t may evict them.
	 */
	if (is_default)
		limit_set_default(limit, t.rate, t.burst, t.concurrency);
	else
		limit_set(limit, str_from(name), t.rate, t.burst,
			  t.concurrency);
	return t;
}

static void take_in_fleet(limits_t *s, const char *name,
			  const limit_cost_t *cost, message_limit_t *l)
{
	limit_quota_t quota = { 0 };
	bool is_default;
	const profile_team_t *team = find_team(s, l, &is_default);

	if (team)
		quota = (limit_quota_t){ team->rate, team->burst, 0 };
	fleet_limiter_take(&s->fleet, name, &quota, cost, l);
}

static void take_in_zone(limits_t *s, const char *name,
			 const limit_cost_t *cost, message_limit_t *l)
{
	limit_t *limit = l->is_fallback ? &s->fallback : &s->assigned;
	limit_quota_t quota = update_quota(s, l, name);

	l->is_ok = limit_take_cost(limit, str_from(name), cost, now_us(),
				   &l->retry_after_ms);
	/* Without a concurrency limit, requests in progress aren't counted. */
	if (l->is_ok && !quota.concurrency)
		limit_release(limit, str_from(name));
	else if (l->is_ok && !l->is_fallback)
		add_held(s, l, 1);
}

static void handle_request(limits_t *s, const message_limit_t *request)
{
	g_autofree char *name = profile_team_key(request);
	message_t m = { .type = MESSAGE_LIMIT_ANSWER, .limit = *request };
	limit_cost_t cost = { .cost = MAX(request->cost, 1),
			      .reserve = (double)request->reserve / PERCENT };

	if (s->sup->settings->fleet)
		take_in_fleet(s, name, &cost, &m.limit);
	else
		take_in_zone(s, name, &cost, &m.limit);
	supervisor_post(s->sup, TASK_PEERS, &m);
}

static void handle_release(limits_t *s, const message_limit_t *l)
{
	g_autofree char *name = profile_team_key(l);

	if (l->is_fallback)
		limit_release(&s->fallback, str_from(name));
	else if (add_held(s, l, -1))
		limit_release(&s->assigned, str_from(name));
}

/* Releases all requests in progress of a dead daemon. */
static void release_all_held(limits_t *s, const char *peer)
{
	g_autofree char *prefix = g_strconcat(peer, "\n", NULL);
	GHashTableIter iter;
	const char *name;
	void *held;

	g_hash_table_iter_init(&iter, s->held_counts);
	while (g_hash_table_iter_next(&iter, (void **)&name, &held)) {
		str_t team = str_from(name + strlen(prefix));

		if (!g_str_has_prefix(name, prefix))
			continue;
		for (int i = GPOINTER_TO_INT(held); i > 0; i--)
			limit_release(&s->assigned, team);
		g_hash_table_iter_remove(&iter);
	}
}

static void set_config(limits_t *s, config_view_t *config)
{
	config_view_unref(s->config);
	s->config = config_view_ref(config);
}

static void set_vm_list(limits_t *s, const vm_list_t *vms)
{
	const member_vm_t *list = (const member_vm_t *)vms->daemons->data;
	uint32_t daemons = 0;

	for (guint i = 0; i < vms->daemons->len; i++)
		daemons += !strcmp(list[i].zone, s->sup->settings->zone);
	s->daemons = MAX(daemons, 1);
	if (s->sup->settings->fleet)
		fleet_limiter_set_daemons(&s->fleet, vms->daemons->len);
}

static void handle(void *state, const message_t *m)
{
	limits_t *s = state;

	if (s->sup->settings->fleet && fleet_limiter_handle(&s->fleet, m))
		return;
	switch (m->type) {
	case MESSAGE_CONFIG:
		set_config(s, m->config);
		break;
	case MESSAGE_VMS:
		set_vm_list(s, m->vms);
		break;
	case MESSAGE_DAEMON_COUNT:
		s->live = m->daemons.live;
		s->known = m->daemons.known;
		break;
	case MESSAGE_LIMIT_ASK:
		handle_request(s, &m->limit);
		break;
	case MESSAGE_LIMIT_RELEASE:
		handle_release(s, &m->limit);
		break;
	case MESSAGE_OWNER_LOST:
		release_all_held(s, m->capacity.peer);
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
		fleet_limiter_init(&s->fleet, sup, MAX_TEAMS);
	limit_init(&s->assigned, MAX_TEAMS, now_us());
	limit_init(&s->fallback, MAX_TEAMS, now_us());
	s->held_counts =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return s;
}

static void stop(void *state)
{
	limits_t *s = state;

	if (s->sup->settings->fleet)
		fleet_limiter_finish(&s->fleet);
	limit_finish(&s->assigned);
	limit_finish(&s->fallback);
	g_hash_table_destroy(s->held_counts);
	config_view_unref(s->config);
	g_free(s);
}

const task_spec_t limits_task = { "limits", 2, start, handle, stop };
