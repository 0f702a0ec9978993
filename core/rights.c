#include "core/rights.h"

static const char *const outcome_names[] = {
	[OUTCOME_NONE] = "none",       [OUTCOME_COMPLETED] = "completed",
	[OUTCOME_NOT_RUN] = "not-run", [OUTCOME_FAILED] = "failed",
	[OUTCOME_UNKNOWN] = "unknown",
};

const char *outcome_name(outcome_t outcome)
{
	return outcome_names[outcome];
}

outcome_t outcome_parse(const char *name)
{
	for (int i = OUTCOME_COMPLETED; i <= OUTCOME_UNKNOWN; i++)
		if (name && !strcmp(outcome_names[i], name))
			return i;
	return OUTCOME_NONE;
}

static void free_entry(void *data)
{
	rights_entry_t *entry = data;

	g_bytes_unref(entry->scoped);
	g_free(entry->answer.content_type);
	g_clear_pointer(&entry->answer.body, g_bytes_unref);
	g_free(entry);
}

void rights_init(rights_t *r, const rights_config_t *config)
{
	r->config = *config;
	r->entries = g_hash_table_new_full(g_bytes_hash, g_bytes_equal, NULL,
					   free_entry);
	g_queue_init(&r->ended);
	g_queue_init(&r->issued);
	r->bytes = 0;
}

void rights_finish(rights_t *r)
{
	g_queue_clear(&r->ended);
	g_queue_clear(&r->issued);
	g_hash_table_destroy(r->entries);
}

GBytes *rights_scope(str_t team, str_t key)
{
	GByteArray *bytes = g_byte_array_new();

	g_byte_array_append(bytes, (const guint8 *)team.ptr, team.len);
	g_byte_array_append(bytes, (const guint8 *)"\n", 1);
	g_byte_array_append(bytes, (const guint8 *)key.ptr, key.len);
	return g_byte_array_free_to_bytes(bytes);
}

static bool is_full(const rights_t *r)
{
	return g_hash_table_size(r->entries) >= r->config.max_entries;
}

static rights_entry_t *add_entry(rights_t *r, GBytes *scoped,
				 rights_state_t state)
{
	rights_entry_t *entry = g_new0(rights_entry_t, 1);

	entry->scoped = g_bytes_ref(scoped);
	entry->state = state;
	g_hash_table_insert(r->entries, entry->scoped, entry);
	return entry;
}

static void set_issued(rights_t *r, rights_entry_t *entry, int64_t now)
{
	entry->state = RIGHTS_ISSUED;
	entry->work = NULL;
	entry->expires = now + r->config.ticket_life;
	g_queue_push_tail(&r->issued, entry);
}

bool rights_issue(rights_t *r, GBytes *scoped, int64_t now)
{
	rights_entry_t *entry;

	if (is_full(r) || rights_find(r, scoped))
		return false;
	entry = add_entry(r, scoped, RIGHTS_ISSUED);
	entry->is_ticket = true;
	set_issued(r, entry, now);
	return true;
}

rights_entry_t *rights_find(const rights_t *r, GBytes *scoped)
{
	return g_hash_table_lookup(r->entries, scoped);
}

static rights_verdict_t claim_entry(rights_t *r, rights_entry_t *entry,
				    uint64_t fingerprint, uint64_t epoch)
{
	g_queue_remove(&r->issued, entry);
	entry->state = RIGHTS_WAITING;
	entry->fingerprint = fingerprint;
	entry->epoch = epoch;
	return RIGHTS_NEW;
}

rights_verdict_t rights_begin(rights_t *r, GBytes *scoped, bool is_ticket,
			      uint64_t fingerprint, uint64_t epoch,
			      rights_entry_t **out)
{
	rights_entry_t *entry = rights_find(r, scoped);

	if (!entry && is_ticket)
		return RIGHTS_NO_TICKET;
	if (!entry && is_full(r))
		return RIGHTS_FULL;
	if (!entry)
		entry = add_entry(r, scoped, RIGHTS_ISSUED);
	*out = entry;
	if (entry->state == RIGHTS_ISSUED)
		return claim_entry(r, entry, fingerprint, epoch);
	if (entry->fingerprint != fingerprint)
		return RIGHTS_MISMATCH;
	return entry->state == RIGHTS_ENDED ? RIGHTS_KEPT : RIGHTS_JOIN;
}

bool rights_mark_dispatched(rights_entry_t *entry, uint64_t epoch)
{
	if (entry->state != RIGHTS_WAITING)
		return false;
	/* Another daemon may have become the owner during the stall. */
	if (!entry->is_ticket && entry->epoch != epoch)
		return false;
	entry->state = RIGHTS_DISPATCHED;
	return true;
}

void rights_end(rights_t *r, rights_entry_t *entry,
		const rights_answer_t *answer, int64_t now)
{
	gsize size = answer->body ? g_bytes_get_size(answer->body) : 0;

	entry->state = RIGHTS_ENDED;
	entry->work = NULL;
	entry->expires = now + r->config.keep;
	entry->answer = *answer;
	entry->answer.content_type = g_strdup(answer->content_type);
	if (answer->body && r->bytes + size <= r->config.max_bytes) {
		g_bytes_ref(entry->answer.body);
		r->bytes += size;
	} else {
		entry->answer.body = NULL;
	}
	g_queue_push_tail(&r->ended, entry);
}

void rights_release(rights_t *r, rights_entry_t *entry, int64_t now)
{
	if (entry->is_ticket)
		set_issued(r, entry, now);
	else
		g_hash_table_remove(r->entries, entry->scoped);
}

static void remove_entry(rights_t *r, rights_entry_t *entry)
{
	if (entry->answer.body)
		r->bytes -= g_bytes_get_size(entry->answer.body);
	g_hash_table_remove(r->entries, entry->scoped);
}

static void expire_queue(rights_t *r, GQueue *queue, int64_t now)
{
	rights_entry_t *entry;

	while ((entry = g_queue_peek_head(queue)) && entry->expires <= now) {
		g_queue_pop_head(queue);
		remove_entry(r, entry);
	}
}

void rights_expire(rights_t *r, int64_t now)
{
	expire_queue(r, &r->ended, now);
	expire_queue(r, &r->issued, now);
}

/* Replaces the outcome UNKNOWN of an entry that was handed over. */
static void replace_answer(rights_t *r, rights_entry_t *entry,
			   const rights_answer_t *answer, int64_t now)
{
	g_queue_remove(&r->ended, entry);
	if (answer->outcome == OUTCOME_NOT_RUN)
		remove_entry(r, entry);
	else
		rights_end(r, entry, answer, now);
}

bool rights_take(rights_t *r, GBytes *scoped, uint64_t fingerprint,
		 const rights_answer_t *answer, int64_t now)
{
	rights_entry_t *entry = rights_find(r, scoped);

	if (entry) {
		if (entry->is_taken &&
		    entry->answer.outcome == OUTCOME_UNKNOWN &&
		    answer->outcome != OUTCOME_UNKNOWN)
			replace_answer(r, entry, answer, now);
		return true;
	}
	if (answer->outcome == OUTCOME_NOT_RUN)
		return true;
	if (is_full(r))
		return false;
	entry = add_entry(r, scoped, RIGHTS_DISPATCHED);
	entry->fingerprint = fingerprint;
	entry->is_taken = true;
	rights_end(r, entry, answer, now);
	return true;
}

void rights_each(const rights_t *r,
		 void (*fn)(void *ctx, const rights_entry_t *entry), void *ctx)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, r->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		fn(ctx, value);
}
