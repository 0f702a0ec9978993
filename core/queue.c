#include "core/queue.h"

#include "common/sequence.h"
#include "common/str_table.h"

enum {
	MAX_WEIGHTS = 65536, /* teams with a configured weight */
	PEEKED_TEAMS = 4, /* queue_peek takes at most N / this of each */
	MAX_IDLE_TEAMS = 4096, /* per tier, kept while above fair_share */
};

typedef enum team_state {
	TEAM_IDLE,
	TEAM_WITHIN_SHARE,
	TEAM_OVER_SHARE,
} team_state_t;

typedef struct queue_team {
	char name[DISPATCHER_NAME_SIZE];
	str_t key; /* references name */
	uint32_t weight;
	double used; /* tokens served, divided by the weight */
	uint64_t tokens; /* queued */
	GSequence *entries; /* by deadline */
	team_state_t state;
	GSequenceIter *position; /* in the tier's sequence for STATE */
	GSequenceIter *in_backlog; /* NULL while idle */
} queue_team_t;

typedef struct weight {
	char name[DISPATCHER_NAME_SIZE];
	str_t key;
	uint32_t value;
} weight_t;

static void free_team(gpointer p)
{
	queue_team_t *team = p;

	g_sequence_free(team->entries);
	g_free(team);
}

static int compare_entry_deadline(const queue_entry_t *x,
				  const queue_entry_t *y)
{
	if (x->deadline != y->deadline)
		return x->deadline < y->deadline ? -1 : 1;
	return x->sequence < y->sequence ? -1 : x->sequence > y->sequence;
}

static gint by_deadline(gconstpointer a, gconstpointer b, gpointer data)
{
	return compare_entry_deadline(a, b);
}

static gint by_due(gconstpointer a, gconstpointer b, gpointer data)
{
	const queue_entry_t *x = a, *y = b;

	if (x->due != y->due)
		return x->due < y->due ? -1 : 1;
	return x->sequence < y->sequence ? -1 : x->sequence > y->sequence;
}

static queue_entry_t *first_entry(const queue_team_t *team)
{
	return sequence_first(team->entries);
}

static gint by_head(gconstpointer a, gconstpointer b, gpointer data)
{
	return compare_entry_deadline(first_entry(a), first_entry(b));
}

static gint by_used(gconstpointer a, gconstpointer b, gpointer data)
{
	const queue_team_t *x = a, *y = b;

	if (x->used != y->used)
		return x->used < y->used ? -1 : 1;
	return x < y ? -1 : x > y;
}

static gint by_backlog(gconstpointer a, gconstpointer b, gpointer data)
{
	const queue_team_t *x = a, *y = b;

	if (x->tokens != y->tokens)
		return x->tokens < y->tokens ? -1 : 1;
	return x < y ? -1 : x > y;
}

static void init_tier(queue_tier_t *tier)
{
	tier->config.weight = 1;
	tier->teams = str_table_new(free_team);
	tier->within_share = g_sequence_new(NULL);
	tier->over_share = g_sequence_new(NULL);
	tier->idle = g_sequence_new(NULL);
	tier->by_backlog = g_sequence_new(NULL);
}

void queue_init(queue_t *q, uint32_t quantum)
{
	*q = (queue_t){ .quantum = quantum, .n_tiers = 1 };
	q->weights = str_table_new(g_free);
	q->by_due = g_sequence_new(NULL);
	for (uint32_t i = 0; i < DISPATCHER_MAX_TIERS; i++)
		init_tier(&q->tiers[i]);
}

static void finish_tier(queue_tier_t *tier)
{
	g_sequence_free(tier->within_share);
	g_sequence_free(tier->over_share);
	g_sequence_free(tier->idle);
	g_sequence_free(tier->by_backlog);
	g_hash_table_destroy(tier->teams);
}

void queue_finish(queue_t *q)
{
	for (uint32_t i = 0; i < DISPATCHER_MAX_TIERS; i++)
		finish_tier(&q->tiers[i]);
	g_sequence_free(q->by_due);
	g_hash_table_destroy(q->weights);
}

static uint32_t team_weight(const queue_t *q, str_t name)
{
	const weight_t *weight = g_hash_table_lookup(q->weights, &name);

	return weight ? weight->value : 1;
}

static queue_team_t *find_or_add_team(queue_t *q, queue_tier_t *tier,
				      str_t name)
{
	queue_team_t *team = g_hash_table_lookup(tier->teams, &name);

	if (team)
		return team;
	team = g_new0(queue_team_t, 1);
	str_copy(team->name, sizeof(team->name), name);
	team->key = str_from(team->name);
	team->weight = team_weight(q, name);
	team->used = tier->fair_share;
	team->entries = g_sequence_new(NULL);
	team->position =
		g_sequence_insert_sorted(tier->idle, team, by_used, NULL);
	g_hash_table_insert(tier->teams, &team->key, team);
	return team;
}

static void free_idle_team(queue_tier_t *tier, queue_team_t *team)
{
	g_sequence_remove(team->position);
	g_hash_table_remove(tier->teams, &team->key);
}

/* Frees idle teams that are within their share again or exceed the limit. */
static void trim_idle(queue_tier_t *tier)
{
	queue_team_t *team;

	while ((team = sequence_first(tier->idle))) {
		if (tier->entries && team->used > tier->fair_share &&
		    g_sequence_get_length(tier->idle) <= MAX_IDLE_TEAMS)
			break;
		free_idle_team(tier, team);
	}
}

static bool within_share(const queue_t *q, const queue_tier_t *tier,
			 const queue_team_t *team)
{
	return team->used <= tier->fair_share + q->quantum;
}

/* Updates a team's state and moves it to the sequence of that state. */
static void update_state(const queue_t *q, queue_tier_t *tier,
			 queue_team_t *team)
{
	g_sequence_remove(team->position);
	if (g_sequence_is_empty(team->entries)) {
		team->state = TEAM_IDLE;
		team->position = g_sequence_insert_sorted(tier->idle, team,
							  by_used, NULL);
	} else if (within_share(q, tier, team)) {
		team->state = TEAM_WITHIN_SHARE;
		team->position = g_sequence_insert_sorted(tier->within_share,
							  team, by_head, NULL);
	} else {
		team->state = TEAM_OVER_SHARE;
		team->position = g_sequence_insert_sorted(tier->over_share,
							  team, by_used, NULL);
	}
}

/* Raises the share when every team with entries has exceeded it. */
static void raise_fair_share(const queue_t *q, queue_tier_t *tier)
{
	queue_team_t *team = sequence_first(tier->over_share);

	if (!team || !g_sequence_is_empty(tier->within_share))
		return;
	tier->fair_share = team->used;
	while (team && within_share(q, tier, team)) {
		update_state(q, tier, team);
		team = sequence_first(tier->over_share);
	}
}

static void update_backlog(queue_tier_t *tier, queue_team_t *team)
{
	if (g_sequence_is_empty(team->entries)) {
		sequence_remove(&team->in_backlog);
		return;
	}
	if (team->in_backlog)
		g_sequence_sort_changed(team->in_backlog, by_backlog, NULL);
	else
		team->in_backlog = g_sequence_insert_sorted(
			tier->by_backlog, team, by_backlog, NULL);
}

static void activate_tier(queue_t *q, queue_tier_t *tier)
{
	if (!tier->entries)
		tier->used = MAX(tier->used, q->used);
}

static void push_team_entry(queue_t *q, queue_tier_t *tier, queue_entry_t *e)
{
	queue_team_t *team = find_or_add_team(q, tier, e->team);

	if (team->state == TEAM_IDLE)
		team->used = MAX(team->used, tier->fair_share);
	e->team_queue = team;
	e->in_team =
		g_sequence_insert_sorted(team->entries, e, by_deadline, NULL);
	team->tokens += e->cost;
	update_backlog(tier, team);
	update_state(q, tier, team);
}

void queue_push(queue_t *q, queue_entry_t *e)
{
	queue_tier_t *tier;

	e->tier = queue_tier_index(q, e->tier);
	e->sequence = q->next_sequence++;
	tier = &q->tiers[e->tier];
	activate_tier(q, tier);
	push_team_entry(q, tier, e);
	e->in_due = g_sequence_insert_sorted(q->by_due, e, by_due, NULL);
	tier->entries++;
	tier->tokens += e->cost;
	q->entries++;
	raise_fair_share(q, tier);
}

static void detach(queue_t *q, queue_entry_t *e, uint64_t charge)
{
	queue_tier_t *tier = &q->tiers[e->tier];
	queue_team_t *team = e->team_queue;

	team->used += (double)charge / team->weight;
	team->tokens -= e->cost;
	g_sequence_remove(e->in_team);
	g_sequence_remove(e->in_due);
	e->team_queue = NULL;
	tier->entries--;
	tier->tokens -= e->cost;
	q->entries--;
	update_backlog(tier, team);
	update_state(q, tier, team);
	raise_fair_share(q, tier);
	trim_idle(tier);
}

void queue_remove(queue_t *q, queue_entry_t *e)
{
	detach(q, e, 0);
}

void queue_serve(queue_t *q, queue_entry_t *e)
{
	queue_tier_t *tier = &q->tiers[e->tier];

	if (!tier->config.is_protected) {
		q->used = tier->used;
		tier->used += (double)e->cost / tier->config.weight;
	}
	detach(q, e, e->cost);
}

static const queue_tier_t *next_tier(const queue_t *q)
{
	const queue_tier_t *best = NULL;

	for (uint32_t i = 0; i < q->n_tiers; i++) {
		const queue_tier_t *tier = &q->tiers[q->by_rank[i]];

		if (!tier->entries)
			continue;
		if (tier->config.is_protected)
			return tier;
		if (!best || tier->used < best->used)
			best = tier;
	}
	return best;
}

queue_entry_t *queue_head(const queue_t *q)
{
	const queue_tier_t *tier = next_tier(q);

	if (!tier)
		return NULL;
	return first_entry(sequence_first(tier->within_share));
}

/* Like queue_peek for one tier; takes only a part of N from each team. */
static uint32_t peek_tier(const queue_tier_t *tier, uint32_t n,
			  queue_entry_t **out)
{
	GSequenceIter *i = g_sequence_get_begin_iter(tier->within_share);
	uint32_t found = 0;

	for (; found < n && !g_sequence_iter_is_end(i);
	     i = g_sequence_iter_next(i)) {
		const queue_team_t *team = g_sequence_get(i);
		GSequenceIter *k = g_sequence_get_begin_iter(team->entries);
		uint32_t of_team = MAX(n / PEEKED_TEAMS, 1);

		for (; found < n && of_team && !g_sequence_iter_is_end(k);
		     k = g_sequence_iter_next(k), of_team--)
			out[found++] = g_sequence_get(k);
	}
	return found;
}

uint32_t queue_peek(const queue_t *q, uint32_t n, queue_entry_t **out)
{
	uint32_t found = 0;

	for (uint32_t i = 0; i < q->n_tiers; i++)
		found += peek_tier(&q->tiers[q->by_rank[i]], n, out + found);
	return found;
}

queue_entry_t *queue_first_due(const queue_t *q)
{
	return sequence_first(q->by_due);
}

void queue_set_due(queue_t *q, queue_entry_t *e, int64_t due)
{
	e->due = due;
	g_sequence_sort_changed(e->in_due, by_due, NULL);
}

static queue_team_t *largest_team(const queue_tier_t *tier)
{
	return sequence_last(tier->by_backlog);
}

static queue_entry_t *last_entry(const queue_team_t *team)
{
	return sequence_last(team->entries);
}

static queue_entry_t *victim_in_own_tier(const queue_tier_t *tier, str_t name,
					 uint64_t cost)
{
	const queue_team_t *own = g_hash_table_lookup(tier->teams, &name);
	queue_team_t *largest = largest_team(tier);

	if (largest == own || largest->tokens <= cost + (own ? own->tokens : 0))
		return NULL;
	return last_entry(largest);
}

queue_entry_t *queue_victim(const queue_t *q, uint32_t tier, str_t team,
			    uint64_t cost)
{
	uint32_t own = q->tiers[queue_tier_index(q, tier)].rank;

	for (uint32_t rank = q->n_tiers; rank-- > own;) {
		const queue_tier_t *lowest = &q->tiers[q->by_rank[rank]];

		if (!lowest->entries)
			continue;
		if (rank == own)
			return victim_in_own_tier(lowest, team, cost);
		return last_entry(largest_team(lowest));
	}
	return NULL;
}

uint32_t queue_tier_index(const queue_t *q, uint32_t tier)
{
	return MIN(tier, q->n_tiers - 1);
}

bool queue_is_protected(const queue_t *q, uint32_t tier)
{
	return q->tiers[queue_tier_index(q, tier)].config.is_protected;
}

bool queue_is_lower(const queue_t *q, uint32_t a, uint32_t b)
{
	return q->tiers[queue_tier_index(q, b)].rank >
	       q->tiers[queue_tier_index(q, a)].rank;
}

bool queue_has_lower(const queue_t *q, uint32_t tier)
{
	uint32_t own = q->tiers[queue_tier_index(q, tier)].rank;

	for (uint32_t rank = own + 1; rank < q->n_tiers; rank++)
		if (q->tiers[q->by_rank[rank]].entries)
			return true;
	return false;
}

/* Tokens of tier T served, by weight, while OWN is served TOKENS. */
static uint64_t tokens_meanwhile(const queue_tier_t *t, const queue_tier_t *own,
				 uint64_t tokens)
{
	double share =
		(double)tokens * t->config.weight / MAX(own->config.weight, 1);

	return (uint64_t)MIN((double)t->tokens, share);
}

uint64_t queue_tokens_ahead(const queue_t *q, uint32_t tier, uint64_t cost)
{
	const queue_tier_t *own = &q->tiers[queue_tier_index(q, tier)];
	uint64_t tokens = own->tokens;

	for (uint32_t i = 0; i < q->n_tiers; i++) {
		const queue_tier_t *t = &q->tiers[i];

		if (t == own)
			continue;
		if (t->config.is_protected && t->rank < own->rank)
			tokens += t->tokens;
		else if (!t->config.is_protected && !own->config.is_protected)
			tokens += tokens_meanwhile(t, own, own->tokens + cost);
	}
	return tokens;
}

uint64_t queue_tokens(const queue_t *q)
{
	uint64_t tokens = 0;

	for (uint32_t i = 0; i < q->n_tiers; i++)
		tokens += q->tiers[i].tokens;
	return tokens;
}

static void rank_tiers(queue_t *q)
{
	uint32_t rank = 0;

	for (int pass = 0; pass < 2; pass++)
		for (uint32_t i = 0; i < q->n_tiers; i++) {
			if (q->tiers[i].config.is_protected != (pass == 0))
				continue;
			q->by_rank[rank] = i;
			q->tiers[i].rank = rank++;
		}
}

static void move_entries(queue_t *q, uint32_t from, uint32_t to)
{
	queue_tier_t *tier = &q->tiers[from];

	while (tier->entries) {
		queue_entry_t *e = first_entry(largest_team(tier));

		queue_remove(q, e);
		e->tier = to;
		queue_push(q, e);
	}
}

void queue_set_tiers(queue_t *q, const dispatcher_tier_t *tiers, uint32_t n)
{
	uint32_t old = q->n_tiers;

	q->n_tiers = CLAMP(n, 1, DISPATCHER_MAX_TIERS);
	for (uint32_t i = 0; i < n && i < q->n_tiers; i++) {
		q->tiers[i].config = tiers[i];
		q->tiers[i].config.weight = MAX(tiers[i].weight, 1);
	}
	rank_tiers(q);
	for (uint32_t i = q->n_tiers; i < old; i++)
		move_entries(q, i, q->n_tiers - 1);
}

void queue_set_team(queue_t *q, str_t team, uint32_t weight)
{
	weight_t *own = g_hash_table_lookup(q->weights, &team);

	/* There may be many teams with the default weight: store none. */
	if (!own && weight <= 1)
		return;
	if (!own) {
		if (team.len >= DISPATCHER_NAME_SIZE ||
		    g_hash_table_size(q->weights) >= MAX_WEIGHTS)
			return;
		own = g_new0(weight_t, 1);
		str_copy(own->name, sizeof(own->name), team);
		own->key = str_from(own->name);
		g_hash_table_insert(q->weights, &own->key, own);
	}
	own->value = MAX(weight, 1);
	for (uint32_t i = 0; i < DISPATCHER_MAX_TIERS; i++) {
		queue_team_t *t = g_hash_table_lookup(q->tiers[i].teams, &team);

		if (t)
			t->weight = own->value;
	}
}
