#include "core/handover_state.h"

#include <string.h>
#include <xxhash.h>

enum {
	/* Delay before an unacknowledged transfer is repeated. */
	RETRY_US = 2000 * 1000,
	/*
	 * RETRY_US of a draining daemon. Shorter, because requests with these
	 * keys can't run until the transfer is done.
	 */
	DRAINING_RETRY_US = 300 * 1000,
	/*
	 * After this time a new daemon is ready even if hand-overs are
	 * outstanding.
	 */
	READY_LIMIT_US = 5 * 1000 * 1000,
};

/* A daemon that this one hands keys over to. */
typedef struct target {
	char name[MEMBER_NAME_SIZE];
	uint64_t incarnation;
	bool is_current; /* still a candidate */
	bool is_draining; /* transfer started while this daemon drains */
	bool is_started, is_sent, is_acked;
	uint32_t serial;
	uint32_t index; /* of the next part */
	GPtrArray *keys; /* GBytes, scoped */
	guint next_key, next_answer;
	int64_t sent_at;
	uint64_t digest; /* candidates_digest at the start of the transfer */
} target_t;

/* Arrays that the last part of each transfer points to. */
typedef struct part_lists {
	GArray *members; /* handover_member_t */
	GArray *gaps; /* member_gap_t */
} part_lists_t;

static void free_target(void *data)
{
	target_t *t = data;

	g_ptr_array_unref(t->keys);
	g_free(t);
}

void handover_init(handover_t *h, member_t *member, dedup_t *dedup,
		   const handover_ops_t *ops, void *ctx)
{
	struct handover_table *t = g_new0(struct handover_table, 1);

	t->member = member;
	t->dedup = dedup;
	t->ops = *ops;
	t->ctx = ctx;
	t->targets = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					   free_target);
	t->sources = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					   handover_free_source);
	t->departures = g_array_new(FALSE, FALSE, sizeof(handover_departure_t));
	t->gap_end = HANDOVER_NO_GAP;
	h->table = t;
}

void handover_finish(handover_t *h)
{
	struct handover_table *t = h->table;

	if (!t)
		return;
	g_hash_table_unref(t->targets);
	g_hash_table_unref(t->sources);
	g_array_unref(t->departures);
	g_free(t);
	h->table = NULL;
}

void handover_reset(handover_t *h)
{
	struct handover_table *t = h->table;

	g_hash_table_remove_all(t->targets);
	g_hash_table_remove_all(t->sources);
	g_array_set_size(t->departures, 0);
	t->gap_end = HANDOVER_NO_GAP;
	t->has_joined = false;
}

static void add_gap(void *ctx, const member_gap_t *gap)
{
	GArray *gaps = ctx;

	g_array_append_vals(gaps, gap, 1);
}

static void lists_init(part_lists_t *lists, const struct handover_table *t,
		       int64_t now)
{
	lists->members = g_array_new(FALSE, FALSE, sizeof(handover_member_t));
	lists->gaps = g_array_new(FALSE, FALSE, sizeof(member_gap_t));
	member_each_candidate(t->member, handover_add_member, lists->members);
	member_each_gap(t->member, add_gap, lists->gaps, now);
}

static void lists_finish(part_lists_t *lists)
{
	g_array_unref(lists->members);
	g_array_unref(lists->gaps);
}

static handover_part_t make_part(const struct handover_table *t,
				 const target_t *target)
{
	return (handover_part_t){
		.incarnation = member_incarnation(t->member),
		.to_incarnation = target->incarnation,
		.serial = target->serial,
		.index = target->index,
		.is_draining = target->is_draining,
	};
}

/* The drained daemons that sent the target its keys directly. */
static GArray *owing_to(const struct handover_table *t, const target_t *target)
{
	GArray *owing = g_array_new(FALSE, FALSE, sizeof(handover_member_t));

	for (guint i = 0; i < t->departures->len; i++) {
		const handover_departure_t *departure =
			&g_array_index(t->departures, handover_departure_t, i);

		if (!strcmp(departure->to, target->name) &&
		    departure->to_incarnation == target->incarnation)
			handover_add_member(owing, str_from(departure->from),
					    departure->from_incarnation);
	}
	return owing;
}

/* Sends the next keys; returns false if the link is down or full. */
static bool send_keys(struct handover_table *t, target_t *target,
		      const part_lists_t *lists, int64_t now)
{
	guint left = target->keys->len - target->next_key;
	guint n = MIN(left, HANDOVER_MAX_KEYS);
	g_autofree handover_key_t *keys = g_new0(handover_key_t, n + 1);
	handover_part_t part = make_part(t, target);
	GArray *owing = owing_to(t, target);
	bool is_sent;

	for (guint i = 0; i < n; i++) {
		GBytes *scoped = target->keys->pdata[target->next_key + i];
		const dedup_entry_t *entry = dedup_find(t->dedup, scoped);

		if (!entry)
			continue;
		keys[part.n_keys].scoped = scoped;
		keys[part.n_keys++].fingerprint = entry->fingerprint;
	}
	part.keys = keys;
	part.is_last = n == left;
	if (part.is_last) {
		part.members = (handover_member_t *)lists->members->data;
		part.n_members = lists->members->len;
		part.gaps = (member_gap_t *)lists->gaps->data;
		part.n_gaps = lists->gaps->len;
		part.owing = (handover_member_t *)owing->data;
		part.n_owing = owing->len;
	}
	is_sent = t->ops.send_part(t->ctx, str_from(target->name), &part);
	g_array_unref(owing);
	if (!is_sent)
		return false;
	target->next_key += n;
	target->index++;
	target->is_sent = part.is_last;
	target->sent_at = now;
	return true;
}

static bool send_answer(struct handover_table *t, const target_t *target,
			GBytes *scoped, uint64_t fingerprint,
			const dedup_answer_t *answer)
{
	handover_key_t key = { scoped, fingerprint, *answer };
	handover_part_t part = make_part(t, target);

	if (answer->body && g_bytes_get_size(answer->body) > HANDOVER_MAX_BODY)
		key.answer.body = NULL;
	part.is_answers = true;
	part.keys = &key;
	part.n_keys = 1;
	return t->ops.send_part(t->ctx, str_from(target->name), &part);
}

/* Sends the answers of requests that ended before the hand-over. */
static void send_answers(struct handover_table *t, target_t *target)
{
	for (; target->next_answer < target->keys->len; target->next_answer++) {
		GBytes *scoped = target->keys->pdata[target->next_answer];
		const dedup_entry_t *e = dedup_find(t->dedup, scoped);

		if (!e || e->state != DEDUP_ENDED ||
		    e->answer.outcome == OUTCOME_UNKNOWN)
			continue;
		if (!send_answer(t, target, scoped, e->fingerprint, &e->answer))
			return;
	}
}

/* Adds a daemon that may own keys to the targets, or updates its target. */
static void add_target(void *ctx, str_t name, uint64_t incarnation)
{
	struct handover_table *t = ctx;
	char buf[MEMBER_NAME_SIZE];
	target_t *target;

	if (handover_is_self(t, name) || !str_copy(buf, sizeof(buf), name))
		return;
	target = g_hash_table_lookup(t->targets, buf);
	if (!target) {
		target = g_new0(target_t, 1);
		memcpy(target->name, buf, sizeof(buf));
		target->keys = g_ptr_array_new_with_free_func(
			(GDestroyNotify)g_bytes_unref);
		g_hash_table_insert(t->targets, target->name, target);
	}
	target->is_current = true;
	if (target->is_started && target->incarnation == incarnation &&
	    target->is_draining == t->is_draining)
		return;
	target->incarnation = incarnation;
	target->is_draining = t->is_draining;
	target->is_started = false;
	target->is_acked = false;
}

static gboolean is_obsolete(void *key, void *value, void *ctx)
{
	target_t *target = value;
	bool is_current = target->is_current;

	target->is_current = false;
	return !is_current;
}

/* Returns the target that owns a key now, or NULL. */
static target_t *target_of(const struct handover_table *t, GBytes *scoped,
			   int64_t now)
{
	gsize len;
	const char *bytes = g_bytes_get_data(scoped, &len);
	str_t zone = str_from(member_self(t->member)->zone);
	member_owner_t owner;

	member_key_owner(t->member, (str_t){ bytes, len }, zone, -1, now,
			 &owner);
	if (owner.kind != MEMBER_OWNER_PEER)
		return NULL;
	return g_hash_table_lookup(t->targets, owner.vm.name);
}

/* Context of collect_key. */
typedef struct collect {
	const struct handover_table *table;
	int64_t now;
} collect_t;

static void collect_key(void *ctx, const dedup_entry_t *entry)
{
	const collect_t *c = ctx;
	target_t *target;

	if (entry->is_ticket)
		return;
	target = target_of(c->table, entry->scoped, c->now);
	if (target && !target->is_started)
		g_ptr_array_add(target->keys, g_bytes_ref(entry->scoped));
}

static void add_to_digest(void *ctx, str_t name, uint64_t incarnation)
{
	uint64_t *digest = ctx;

	*digest ^= XXH3_64bits_withSeed(name.ptr, name.len, incarnation);
}

/* Hash of the set of candidates; does not depend on their order. */
static uint64_t candidates_digest(const struct handover_table *t)
{
	uint64_t digest = 0;

	member_each_candidate(t->member, add_to_digest, &digest);
	return digest;
}

/*
 * An unacknowledged transfer may be lost, so it is repeated after a delay. A
 * receiver also rejects the transfer of a draining daemon if it knows other
 * candidates. So a draining daemon restarts it at once if its set changed.
 */
static bool must_restart(const target_t *target, uint64_t digest, int64_t now)
{
	int64_t retry = target->is_draining ? DRAINING_RETRY_US : RETRY_US;

	if (!target->is_started || target->is_acked)
		return false;
	return (target->is_draining && target->digest != digest) ||
	       (target->is_sent && now - target->sent_at >= retry);
}

/* Starts all transfers that are due, in one pass over the key table. */
static void start_transfers(struct handover_table *t, int64_t now)
{
	uint64_t digest = candidates_digest(t);
	collect_t collect = { t, now };
	GHashTableIter iter;
	bool needs_start = false;
	void *value;

	g_hash_table_iter_init(&iter, t->targets);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		target_t *target = value;

		if (must_restart(target, digest, now))
			target->is_started = false;
		if (!target->is_started)
			g_ptr_array_set_size(target->keys, 0);
		needs_start |= !target->is_started;
	}
	if (!needs_start)
		return;
	dedup_each(t->dedup, collect_key, &collect);
	g_hash_table_iter_init(&iter, t->targets);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		target_t *target = value;

		if (target->is_started)
			continue;
		target->is_started = true;
		target->is_sent = false;
		target->serial = ++t->serial;
		target->digest = digest;
		target->index = 0;
		target->next_key = 0;
		target->next_answer = 0;
	}
}

void handover_tick(handover_t *h, int64_t now)
{
	struct handover_table *t = h->table;
	part_lists_t lists;
	GHashTableIter iter;
	void *value;

	if (member_is_stalled(t->member, now))
		return;
	if (!t->has_joined)
		handover_try_join(t);
	handover_expire_departures(t, now);
	t->is_draining = member_is_draining(t->member);
	member_each_candidate(t->member, add_target, t);
	g_hash_table_foreach_remove(t->targets, is_obsolete, NULL);
	start_transfers(t, now);
	lists_init(&lists, t, now);
	g_hash_table_iter_init(&iter, t->targets);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		target_t *target = value;

		while (!target->is_sent && send_keys(t, target, &lists, now))
			;
		if (target->is_acked)
			send_answers(t, target);
	}
	lists_finish(&lists);
}

void handover_on_ack(handover_t *h, str_t from, uint64_t incarnation,
		     uint32_t serial)
{
	struct handover_table *t = h->table;
	char name[MEMBER_NAME_SIZE];
	target_t *target;

	if (!str_copy(name, sizeof(name), from))
		return;
	target = g_hash_table_lookup(t->targets, name);
	if (target && target->is_sent && target->serial == serial &&
	    incarnation == member_incarnation(t->member))
		target->is_acked = true;
}

void handover_on_request_end(handover_t *h, GBytes *scoped,
			     uint64_t fingerprint, const dedup_answer_t *answer,
			     int64_t now)
{
	target_t *target = target_of(h->table, scoped, now);

	if (target && target->is_sent)
		send_answer(h->table, target, scoped, fingerprint, answer);
}

bool handover_is_done(const handover_t *h)
{
	GHashTableIter iter;
	void *value;

	if (!h->table->is_draining)
		return false;
	g_hash_table_iter_init(&iter, h->table->targets);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const target_t *target = value;

		if (!target->is_acked || !target->is_draining)
			return false;
	}
	return true;
}

bool handover_has_joined(const handover_t *h)
{
	return h->table->has_joined;
}

uint32_t handover_n_outstanding(const handover_t *h)
{
	return h->table->has_joined ? 0 : handover_count_outstanding(h->table);
}

bool handover_is_ready(const handover_t *h, int64_t age)
{
	if (h->table->has_joined || age >= READY_LIMIT_US)
		return true;
	/* After one timeout, heartbeats of all live daemons have arrived. */
	return age >= member_heartbeat_timeout(h->table->member) &&
	       !handover_n_outstanding(h);
}
