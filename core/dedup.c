#include "core/dedup.h"

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
	dedup_entry_t *entry = data;

	g_bytes_unref(entry->scoped);
	g_free(entry->answer.content_type);
	g_clear_pointer(&entry->answer.body, g_bytes_unref);
	g_free(entry);
}

void dedup_init(dedup_t *d, const dedup_config_t *config)
{
	d->config = *config;
	d->entries = g_hash_table_new_full(g_bytes_hash, g_bytes_equal, NULL,
					   free_entry);
	g_queue_init(&d->ended);
	g_queue_init(&d->issued);
	d->bytes = 0;
}

void dedup_finish(dedup_t *d)
{
	g_queue_clear(&d->ended);
	g_queue_clear(&d->issued);
	g_hash_table_destroy(d->entries);
}

GBytes *dedup_scope(str_t team, str_t key)
{
	GByteArray *bytes = g_byte_array_new();

	g_byte_array_append(bytes, (const guint8 *)team.ptr, team.len);
	g_byte_array_append(bytes, (const guint8 *)"\n", 1);
	g_byte_array_append(bytes, (const guint8 *)key.ptr, key.len);
	return g_byte_array_free_to_bytes(bytes);
}

static bool is_full(const dedup_t *d)
{
	return g_hash_table_size(d->entries) >= d->config.max_entries;
}

static dedup_entry_t *add_entry(dedup_t *d, GBytes *scoped, dedup_state_t state)
{
	dedup_entry_t *entry = g_new0(dedup_entry_t, 1);

	entry->scoped = g_bytes_ref(scoped);
	entry->state = state;
	g_hash_table_insert(d->entries, entry->scoped, entry);
	return entry;
}

static void set_issued(dedup_t *d, dedup_entry_t *entry, int64_t now)
{
	entry->state = DEDUP_ISSUED;
	entry->user_data = NULL;
	entry->expires = now + d->config.ticket_ttl;
	g_queue_push_tail(&d->issued, entry);
}

bool dedup_issue_ticket(dedup_t *d, GBytes *scoped, int64_t now)
{
	dedup_entry_t *entry;

	if (is_full(d) || dedup_find(d, scoped))
		return false;
	entry = add_entry(d, scoped, DEDUP_ISSUED);
	entry->is_ticket = true;
	set_issued(d, entry, now);
	return true;
}

dedup_entry_t *dedup_find(const dedup_t *d, GBytes *scoped)
{
	return g_hash_table_lookup(d->entries, scoped);
}

static dedup_verdict_t claim_entry(dedup_t *d, dedup_entry_t *entry,
				   uint64_t fingerprint, uint64_t epoch)
{
	g_queue_remove(&d->issued, entry);
	entry->state = DEDUP_WAITING;
	entry->fingerprint = fingerprint;
	entry->epoch = epoch;
	return DEDUP_NEW;
}

dedup_verdict_t dedup_claim(dedup_t *d, GBytes *scoped, bool is_ticket,
			    uint64_t fingerprint, uint64_t epoch,
			    dedup_entry_t **out)
{
	dedup_entry_t *entry = dedup_find(d, scoped);

	if (!entry && is_ticket)
		return DEDUP_NO_TICKET;
	if (!entry && is_full(d))
		return DEDUP_FULL;
	if (!entry)
		entry = add_entry(d, scoped, DEDUP_ISSUED);
	*out = entry;
	if (entry->state == DEDUP_ISSUED)
		return claim_entry(d, entry, fingerprint, epoch);
	if (entry->fingerprint != fingerprint)
		return DEDUP_MISMATCH;
	return entry->state == DEDUP_ENDED ? DEDUP_REPLAY : DEDUP_JOIN;
}

bool dedup_mark_dispatched(dedup_entry_t *entry, uint64_t epoch)
{
	if (entry->state != DEDUP_WAITING)
		return false;
	/* Another daemon may have become the owner during the stall. */
	if (!entry->is_ticket && entry->epoch != epoch)
		return false;
	entry->state = DEDUP_DISPATCHED;
	return true;
}

void dedup_end(dedup_t *d, dedup_entry_t *entry, const dedup_answer_t *answer,
	       int64_t now)
{
	gsize size = answer->body ? g_bytes_get_size(answer->body) : 0;

	entry->state = DEDUP_ENDED;
	entry->user_data = NULL;
	entry->expires = now + d->config.answer_ttl;
	entry->answer = *answer;
	entry->answer.content_type = g_strdup(answer->content_type);
	if (answer->body && d->bytes + size <= d->config.max_bytes) {
		g_bytes_ref(entry->answer.body);
		d->bytes += size;
	} else {
		entry->answer.body = NULL;
	}
	g_queue_push_tail(&d->ended, entry);
}

void dedup_release(dedup_t *d, dedup_entry_t *entry, int64_t now)
{
	if (entry->is_ticket)
		set_issued(d, entry, now);
	else
		g_hash_table_remove(d->entries, entry->scoped);
}

static void remove_entry(dedup_t *d, dedup_entry_t *entry)
{
	if (entry->answer.body)
		d->bytes -= g_bytes_get_size(entry->answer.body);
	g_hash_table_remove(d->entries, entry->scoped);
}

static void expire_queue(dedup_t *d, GQueue *queue, int64_t now)
{
	dedup_entry_t *entry;

	while ((entry = g_queue_peek_head(queue)) && entry->expires <= now) {
		g_queue_pop_head(queue);
		remove_entry(d, entry);
	}
}

void dedup_expire(dedup_t *d, int64_t now)
{
	expire_queue(d, &d->ended, now);
	expire_queue(d, &d->issued, now);
}

/* Replaces the outcome UNKNOWN of an entry that was handed over. */
static void replace_answer(dedup_t *d, dedup_entry_t *entry,
			   const dedup_answer_t *answer, int64_t now)
{
	g_queue_remove(&d->ended, entry);
	if (answer->outcome == OUTCOME_NOT_RUN)
		remove_entry(d, entry);
	else
		dedup_end(d, entry, answer, now);
}

bool dedup_import(dedup_t *d, GBytes *scoped, uint64_t fingerprint,
		  const dedup_answer_t *answer, int64_t now)
{
	dedup_entry_t *entry = dedup_find(d, scoped);

	if (entry) {
		if (entry->is_imported &&
		    entry->answer.outcome == OUTCOME_UNKNOWN &&
		    answer->outcome != OUTCOME_UNKNOWN)
			replace_answer(d, entry, answer, now);
		return true;
	}
	if (answer->outcome == OUTCOME_NOT_RUN)
		return true;
	if (is_full(d))
		return false;
	entry = add_entry(d, scoped, DEDUP_DISPATCHED);
	entry->fingerprint = fingerprint;
	entry->is_imported = true;
	dedup_end(d, entry, answer, now);
	return true;
}

void dedup_each(const dedup_t *d,
		void (*fn)(void *ctx, const dedup_entry_t *entry), void *ctx)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, d->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		fn(ctx, value);
}
