#include "core/limit.h"

#include "common/str_table.h"

enum {
	US_PER_S = 1000000,
	MIN_PEAK_DIVISOR = 4, /* least peak of a bucket: its size / this */
	US_PER_MS = 1000,
	MAX_RETRY_AFTER_MS = 60000,
	MEAN_COST_REQUESTS = 64, /* requests in the running mean of costs */
	/* Fixed: the end of a request in progress can't be predicted. */
	CONCURRENCY_RETRY_AFTER_MS = 200,
};

/* Parts of the tolerance that enlarge the bucket, and that are spare. */
static const double burst_tolerance_part = 0.5;
static const double spare_tolerance_part = 0.4;

typedef struct team {
	char name[LIMIT_NAME_SIZE];
	str_t key; /* view of the name */
	bool has_own_quota; /* false: the default limits apply */
	limit_quota_t quota;
	double tokens;
	double peak_tokens; /* most tokens that the bucket has held so far */
	double mean_cost; /* of recent requests; 0: none yet */
	double refilled; /* limit_t.earned when the bucket was last refilled */
	uint32_t running; /* requests in progress */
	GList *idle; /* link in limit_t.idle; NULL: not in it */
} team_t;

void limit_init(limit_t *l, uint32_t max_teams, int64_t now)
{
	*l = (limit_t){ .max_teams = max_teams,
			.fraction = 1,
			.earned_at = now };
	l->teams = str_table_new(g_free);
	g_queue_init(&l->idle);
}

void limit_finish(limit_t *l)
{
	g_queue_clear(&l->idle);
	g_hash_table_destroy(l->teams);
}

static double bucket_size(const limit_t *l, const limit_quota_t *quota)
{
	return MAX(quota->burst, 1.0) * l->fraction;
}

/*
 * Returns the tokens in a new bucket. With starts_empty, limiters take over
 * from each other, and the team may just have spent its tokens at the previous
 * one, so the bucket has only what it earns from this limiter's start on.
 */
static double initial_tokens(const limit_t *l, const limit_quota_t *quota)
{
	return l->starts_empty ? 0 : bucket_size(l, quota);
}

static void idle_remove(limit_t *l, team_t *team)
{
	if (!team->idle)
		return;
	g_queue_delete_link(&l->idle, team->idle);
	team->idle = NULL;
}

static void idle_add(limit_t *l, team_t *team)
{
	if (team->has_own_quota || team->idle)
		return;
	g_queue_push_tail(&l->idle, team);
	team->idle = l->idle.tail;
}

/* Makes room by evicting the default-limit team that was idle the longest. */
static bool make_room(limit_t *l)
{
	team_t *oldest;

	if (g_hash_table_size(l->teams) < l->max_teams)
		return true;
	oldest = g_queue_pop_head(&l->idle);
	if (!oldest)
		return false;
	oldest->idle = NULL;
	g_hash_table_remove(l->teams, &oldest->key);
	return true;
}

static team_t *find_or_add(limit_t *l, str_t name)
{
	team_t *team = g_hash_table_lookup(l->teams, &name);

	if (team)
		return team;
	if (name.len >= LIMIT_NAME_SIZE || !make_room(l))
		return NULL;
	team = g_new0(team_t, 1);
	if (!str_copy(team->name, sizeof(team->name), name)) {
		g_free(team);
		return NULL;
	}
	team->key = (str_t){ team->name, name.len };
	team->quota = l->default_quota;
	team->tokens = initial_tokens(l, &team->quota);
	team->peak_tokens = team->tokens;
	g_hash_table_insert(l->teams, &team->key, team);
	idle_add(l, team);
	return team;
}

static void set_quota(const limit_t *l, team_t *team,
		      const limit_quota_t *quota)
{
	bool had_rate = team->quota.rate > 0;

	team->quota = *quota;
	if (!had_rate) {
		team->tokens = initial_tokens(l, quota);
		team->peak_tokens = team->tokens;
	}
	team->tokens = MIN(team->tokens, bucket_size(l, quota));
	team->peak_tokens = MIN(team->peak_tokens, bucket_size(l, quota));
}

bool limit_set(limit_t *l, str_t name, double rate, double burst,
	       uint32_t concurrency)
{
	limit_quota_t quota = { rate, burst, concurrency };
	team_t *team = find_or_add(l, name);

	if (!team)
		return false;
	idle_remove(l, team);
	team->has_own_quota = true;
	set_quota(l, team, &quota);
	return true;
}

void limit_set_default(limit_t *l, double rate, double burst,
		       uint32_t concurrency)
{
	GHashTableIter iter;
	gpointer value;

	l->default_quota = (limit_quota_t){ rate, burst, concurrency };
	g_hash_table_iter_init(&iter, l->teams);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		team_t *team = value;

		if (!team->has_own_quota)
			set_quota(l, team, &l->default_quota);
	}
}

/* Brings limit_t.earned up to date. */
static void earn(limit_t *l, int64_t now)
{
	if (now <= l->earned_at)
		return;
	l->earned += (double)(now - l->earned_at) * l->fraction;
	l->earned_at = now;
}

static void refill(limit_t *l, team_t *team, int64_t now)
{
	double seconds;

	earn(l, now);
	seconds = (l->earned - team->refilled) / US_PER_S;
	team->refilled = l->earned;
	team->tokens = MIN(team->tokens + seconds * team->quota.rate,
			   bucket_size(l, &team->quota));
	team->peak_tokens = MAX(team->peak_tokens, team->tokens);
}

void limit_set_fraction(limit_t *l, double fraction, int64_t now)
{
	GHashTableIter iter;
	team_t *team;

	if (fraction == l->fraction)
		return;
	g_hash_table_iter_init(&iter, l->teams);
	while (fraction < l->fraction &&
	       g_hash_table_iter_next(&iter, NULL, (void **)&team)) {
		double size = MAX(team->quota.burst, 1.0) * fraction;

		refill(l, team, now);
		team->tokens = MIN(team->tokens, size);
		team->peak_tokens = MIN(team->peak_tokens, size);
	}
	earn(l, now);
	l->fraction = fraction;
}

static uint32_t refill_time_ms(const limit_t *l, const team_t *team,
			       double needed)
{
	double rate = team->quota.rate * l->fraction;
	double ms = rate > 0 ? (needed - team->tokens) * 1000 / rate :
			       MAX_RETRY_AFTER_MS;

	return (uint32_t)CLAMP(ms + 1, 1, MAX_RETRY_AFTER_MS);
}

static void update_mean_cost(team_t *team, uint32_t cost)
{
	if (team->mean_cost <= 0)
		team->mean_cost = cost;
	team->mean_cost += (cost - team->mean_cost) / MEAN_COST_REQUESTS;
}

/*
 * Returns how many tokens the bucket must hold for the request to be admitted:
 * its cost and the reserve for more urgent requests. The reserve shrinks for a
 * request below the team's mean cost, as that takes little from urgent ones. It
 * is a fraction of the bucket's peak rather than of its size: a bucket that
 * began empty is low without the team having used too much. It is a part of the
 * size at least, or all of what a new bucket earns would go to whoever is first.
 */
static double tokens_needed(const limit_t *l, const team_t *team,
			    const limit_cost_t *usage)
{
	double size = bucket_size(l, &team->quota);
	double scale = MIN(usage->cost / team->mean_cost, 1);
	double peak = MAX(team->peak_tokens, size / MIN_PEAK_DIVISOR);
	double needed = MIN(usage->cost + usage->reserve * scale * peak, size);

	return l->fraction < 1 ? MAX(needed, usage->cost) : needed;
}

bool limit_take_cost(limit_t *l, str_t name, const limit_cost_t *usage,
		     int64_t now, uint32_t *retry_after_ms)
{
	team_t *team = find_or_add(l, name);
	double needed;

	*retry_after_ms = CONCURRENCY_RETRY_AFTER_MS;
	if (!team)
		return false;
	if (team->quota.concurrency && team->running >= team->quota.concurrency)
		return false;
	if (team->quota.rate > 0) {
		refill(l, team, now);
		update_mean_cost(team, usage->cost);
		needed = tokens_needed(l, team, usage);
		if (team->tokens < needed) {
			*retry_after_ms = refill_time_ms(l, team, needed);
			return false;
		}
		team->tokens -= usage->cost;
	}
	*retry_after_ms = 0;
	team->running++;
	idle_remove(l, team);
	return true;
}

bool limit_take(limit_t *l, str_t name, int64_t now, uint32_t *retry_after_ms)
{
	const limit_cost_t one = { .cost = 1 };

	return limit_take_cost(l, name, &one, now, retry_after_ms);
}

void limit_release(limit_t *l, str_t name)
{
	team_t *team = g_hash_table_lookup(l->teams, &name);

	if (!team || !team->running)
		return;
	team->running--;
	if (!team->running)
		idle_add(l, team);
}

limit_quota_t limit_share(limit_quota_t whole, uint32_t weight,
			  uint32_t total_weight)
{
	double share = total_weight ? (double)weight / total_weight : 1;
	limit_quota_t part = {
		.rate = whole.rate * share,
		.burst = whole.burst * share,
		.concurrency = (uint32_t)(whole.concurrency * share),
	};

	if (whole.concurrency)
		part.concurrency = MAX(part.concurrency, 1);
	return part;
}

/* Returns what the tolerance adds to the limits in a window. */
static double tolerated(const limit_quota_t *quota,
			const limit_tolerance_t *tolerance)
{
	double allowed = quota->rate * tolerance->window_s + quota->burst;

	return tolerance->overrun * allowed + tolerance->slack;
}

limit_quota_t limit_add_tolerance(limit_quota_t quota,
				  const limit_tolerance_t *tolerance)
{
	if (quota.rate > 0)
		quota.burst +=
			burst_tolerance_part * tolerated(&quota, tolerance);
	return quota;
}

limit_quota_t limit_spare(limit_quota_t quota,
			  const limit_tolerance_t *tolerance, uint32_t daemons)
{
	double part = spare_tolerance_part * tolerated(&quota, tolerance) /
		      MAX(daemons, 1);

	if (quota.rate <= 0)
		return quota;
	/* A window begins with a full bucket and earns another one. */
	return (limit_quota_t){
		.rate = part / 2 / MAX(tolerance->window_s, 1),
		.burst = part / 2,
	};
}
