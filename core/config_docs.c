#include "core/config_docs.h"

#include "core/config_record.h"

/* A publication read while there is a gap before it; see open_gap(). */
typedef struct deferred {
	uint64_t offset;
	GBytes *data;
} deferred_t;

struct config_docs_state {
	config_docs_ops_t ops;
	void *ctx;
	GHashTable *docs; /* name to config_doc_t */
	GQueue deferred; /* deferred_t, in the order of offsets */
	uint64_t deferred_bytes;
	uint64_t doc_bytes;
	uint32_t max_docs;
	uint64_t max_bytes;
	uint64_t next; /* offset of the next record to read */
	/* every offset from this one up to NEXT was read */
	uint64_t contiguous_from;
	uint64_t snapshot_as_of; /* largest as_of of a valid snapshot */
	bool is_complete; /* there is no gap */
	config_docs_stats_t stats;
};

static void free_doc(void *p)
{
	config_doc_t *doc = p;

	g_bytes_unref(doc->body);
	g_free(doc);
}

static void free_deferred(void *p)
{
	deferred_t *deferred = p;

	g_bytes_unref(deferred->data);
	g_free(deferred);
}

static uint64_t deferred_size(const deferred_t *deferred)
{
	return sizeof(*deferred) + sizeof(GList) +
	       g_bytes_get_size(deferred->data);
}

void config_docs_init(config_docs_t *d, uint32_t max_docs, uint64_t max_bytes,
		      const config_docs_ops_t *ops, void *ctx)
{
	struct config_docs_state *s = g_new0(struct config_docs_state, 1);

	d->state = s;
	if (ops)
		s->ops = *ops;
	s->ctx = ctx;
	s->docs =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_doc);
	g_queue_init(&s->deferred);
	s->max_docs = max_docs;
	s->max_bytes = max_bytes;
	s->is_complete = true;
}

void config_docs_finish(config_docs_t *d)
{
	if (!d->state)
		return;
	g_hash_table_unref(d->state->docs);
	g_queue_clear_full(&d->state->deferred, free_deferred);
	g_clear_pointer(&d->state, g_free);
}

uint64_t config_docs_next_offset(const config_docs_t *d)
{
	return d->state->next;
}

bool config_docs_is_complete(const config_docs_t *d)
{
	return d->state->is_complete;
}

uint64_t config_docs_snapshot_as_of(const config_docs_t *d)
{
	return d->state->snapshot_as_of;
}

static config_doc_t *find_doc(const struct config_docs_state *s,
			      const char *name)
{
	return g_hash_table_lookup(s->docs, name);
}

static uint64_t version_of(const struct config_docs_state *s, const char *name)
{
	const config_doc_t *doc = find_doc(s, name);

	return doc ? doc->version : 0;
}

/* Tells whether the limits leave room for the document with this body. */
static bool has_room(const struct config_docs_state *s, const char *name,
		     GBytes *body)
{
	const config_doc_t *old = find_doc(s, name);
	uint64_t bytes = s->doc_bytes + g_bytes_get_size(body);

	if (old)
		bytes -= g_bytes_get_size(old->body);
	else if (g_hash_table_size(s->docs) >= s->max_docs)
		return false;
	return bytes <= s->max_bytes;
}

static bool passes_check(const struct config_docs_state *s, const char *name,
			 GBytes *body, err_t *err)
{
	gsize len;
	const char *text = g_bytes_get_data(body, &len);

	return !s->ops.check ||
	       s->ops.check(s->ctx, name, (str_t){ text, len }, err);
}

static bool is_valid(const struct config_docs_state *s, const char *name,
		     GBytes *body)
{
	return has_room(s, name, body) && passes_check(s, name, body, NULL);
}

/* Stores a copy of DOC as the current version; takes ownership of its body. */
static const config_doc_t *put_doc(struct config_docs_state *s,
				   const config_doc_t *doc)
{
	config_doc_t *old = find_doc(s, doc->name);
	config_doc_t *copy = g_new(config_doc_t, 1);

	if (old)
		s->doc_bytes -= g_bytes_get_size(old->body);
	s->doc_bytes += g_bytes_get_size(doc->body);
	*copy = *doc;
	g_hash_table_replace(s->docs, copy->name, copy);
	if (s->ops.changed)
		s->ops.changed(s->ctx, copy);
	return copy;
}

/* Counts the verdict on a publication and reports it to on_verdict. */
static config_verdict_t report_verdict(struct config_docs_state *s,
				       const config_record_t *r,
				       config_verdict_t verdict)
{
	if (verdict == CONFIG_ACCEPTED)
		s->stats.accepted++;
	else if (verdict == CONFIG_SUPERSEDED)
		s->stats.superseded++;
	else
		s->stats.damaged++;
	if (s->ops.on_verdict)
		s->ops.on_verdict(s->ctx, r->nonce, verdict,
				  find_doc(s, r->doc));
	return verdict;
}

static config_verdict_t apply_publication(struct config_docs_state *s,
					  uint64_t offset,
					  const config_record_t *r)
{
	const config_doc_t *old = find_doc(s, r->doc);
	config_doc_t doc = { .version = r->base + 1, .offset = offset };
	g_autoptr(GBytes) body = config_record_body(r);

	/* A peer may have relayed this document, or a newer one, before. */
	if (old && offset <= old->offset)
		return report_verdict(s, r,
				      offset == old->offset ?
					      CONFIG_ACCEPTED :
					      CONFIG_SUPERSEDED);
	if (r->base != version_of(s, r->doc))
		return report_verdict(s, r, CONFIG_SUPERSEDED);
	if (!is_valid(s, r->doc, body))
		return report_verdict(s, r, CONFIG_DAMAGED);
	str_copy(doc.name, sizeof(doc.name), str_from(r->doc));
	str_copy(doc.nonce, sizeof(doc.nonce), str_from(r->nonce));
	doc.body = g_steal_pointer(&body);
	put_doc(s, &doc);
	return report_verdict(s, r, CONFIG_ACCEPTED);
}

static void drop_deferred_before(struct config_docs_state *s, uint64_t offset)
{
	const deferred_t *deferred;

	while ((deferred = g_queue_peek_head(&s->deferred)) &&
	       deferred->offset < offset) {
		s->deferred_bytes -= deferred_size(deferred);
		free_deferred(g_queue_pop_head(&s->deferred));
	}
}

static config_verdict_t defer_publication(struct config_docs_state *s,
					  uint64_t offset, str_t data)
{
	deferred_t *deferred = g_new(deferred_t, 1);

	deferred->offset = offset;
	deferred->data = g_bytes_new(data.ptr, data.len);
	g_queue_push_tail(&s->deferred, deferred);
	s->deferred_bytes += deferred_size(deferred);
	while (s->deferred_bytes > s->max_bytes) {
		deferred = g_queue_peek_head(&s->deferred);
		s->contiguous_from = deferred->offset + 1;
		s->stats.deferred_dropped++;
		drop_deferred_before(s, s->contiguous_from);
	}
	return CONFIG_DEFERRED;
}

/*
 * Applies the deferred publications from AS_OF on. The documents now include
 * every record before AS_OF, so no gap is left.
 */
static void close_gap(struct config_docs_state *s, uint64_t as_of)
{
	deferred_t *deferred;

	s->is_complete = true;
	drop_deferred_before(s, as_of);
	while ((deferred = g_queue_pop_head(&s->deferred))) {
		gsize len;
		const char *text = g_bytes_get_data(deferred->data, &len);
		config_record_t r;

		s->deferred_bytes -= deferred_size(deferred);
		if (config_record_parse(&r, (str_t){ text, len }, NULL)) {
			apply_publication(s, deferred->offset, &r);
			config_record_finish(&r);
		}
		free_deferred(deferred);
	}
}

/*
 * Returns whether all entries of a snapshot are valid; a snapshot is applied as
 * a whole or not at all. Through a relay, its writer may know documents from
 * offsets past as_of, but none from its own record's offset or later.
 */
static bool check_snapshot(const struct config_docs_state *s, uint64_t offset,
			   const config_record_t *r)
{
	g_autoptr(GHashTable) seen =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	size_t i;
	json_t *entry;
	uint64_t bytes = 0;

	if (json_array_size(r->docs) > s->max_docs)
		return false;
	json_array_foreach (r->docs, i, entry) {
		config_doc_t doc;
		bool ok;

		if (!config_record_read_doc(entry, &doc, NULL))
			return false;
		ok = doc.offset < offset &&
		     g_hash_table_add(seen, g_strdup(doc.name)) &&
		     passes_check(s, doc.name, doc.body, NULL);
		bytes += g_bytes_get_size(doc.body);
		g_bytes_unref(doc.body);
		if (!ok || bytes > s->max_bytes)
			return false;
	}
	return true;
}

static void apply_snapshot(struct config_docs_state *s,
			   const config_record_t *r)
{
	size_t i;
	json_t *entry;

	json_array_foreach (r->docs, i, entry) {
		config_doc_t doc;

		if (!config_record_read_doc(entry, &doc, NULL))
			continue;
		if (doc.version > version_of(s, doc.name))
			put_doc(s, &doc);
		else
			g_bytes_unref(doc.body);
	}
	close_gap(s, r->as_of);
}

static config_verdict_t handle_snapshot(struct config_docs_state *s,
					uint64_t offset, uint64_t oldest,
					const config_record_t *r)
{
	if (r->as_of > offset || !check_snapshot(s, offset, r)) {
		s->stats.damaged++;
		return CONFIG_DAMAGED;
	}
	s->snapshot_as_of = MAX(s->snapshot_as_of, r->as_of);
	if (s->is_complete || r->as_of < MAX(s->contiguous_from, oldest)) {
		s->stats.snapshots_ignored++;
		return CONFIG_SNAPSHOT_IGNORED;
	}
	s->stats.snapshots_applied++;
	apply_snapshot(s, r);
	return CONFIG_SNAPSHOT_APPLIED;
}

/* Opens a gap if records before OFFSET expired before they were read. */
static void open_gap(struct config_docs_state *s, uint64_t offset)
{
	if (offset <= s->next)
		return;
	s->stats.gaps++;
	s->is_complete = false;
	s->next = offset;
	s->contiguous_from = offset;
	drop_deferred_before(s, offset);
}

void config_docs_set_oldest(config_docs_t *d, uint64_t oldest)
{
	open_gap(d->state, oldest);
}

config_verdict_t config_docs_apply(config_docs_t *d, uint64_t offset,
				   uint64_t oldest, str_t data)
{
	struct config_docs_state *s = d->state;
	config_verdict_t verdict;
	config_record_t r;

	if (offset < s->next)
		return CONFIG_REPEATED;
	open_gap(s, offset);
	s->next = offset + 1;
	s->stats.records++;
	if (!config_record_parse(&r, data, NULL)) {
		s->stats.damaged++;
		return CONFIG_DAMAGED;
	}
	if (r.type == CONFIG_RECORD_SNAPSHOT)
		verdict = handle_snapshot(s, offset, oldest, &r);
	else if (s->is_complete)
		verdict = apply_publication(s, offset, &r);
	else
		verdict = defer_publication(s, offset, data);
	config_record_finish(&r);
	return verdict;
}

bool config_docs_add_relayed(config_docs_t *d, const config_doc_t *doc)
{
	struct config_docs_state *s = d->state;
	config_doc_t copy = *doc;

	if (doc->version <= version_of(s, doc->name) ||
	    !is_valid(s, doc->name, doc->body))
		return false;
	g_bytes_ref(copy.body);
	put_doc(s, &copy);
	s->stats.relayed++;
	return true;
}

void config_docs_end_relay(config_docs_t *d, uint64_t next)
{
	struct config_docs_state *s = d->state;

	if (!s->is_complete && next >= s->contiguous_from)
		close_gap(s, next);
	if (s->is_complete && next > s->next) {
		s->next = next;
		s->contiguous_from = next;
	}
}

const config_doc_t *config_docs_find(const config_docs_t *d, str_t name)
{
	char buf[CONFIG_NAME_SIZE];

	return str_copy(buf, sizeof(buf), name) ? find_doc(d->state, buf) :
						  NULL;
}

static int compare_docs(const void *a, const void *b)
{
	const config_doc_t *const *x = a;
	const config_doc_t *const *y = b;

	return strcmp((*x)->name, (*y)->name);
}

/* Returns the documents sorted by name; free the array with g_free. */
static const config_doc_t **sorted_docs(const struct config_docs_state *s,
					size_t *n)
{
	const config_doc_t **docs;
	GHashTableIter iter;
	void *value;
	size_t i = 0;

	*n = g_hash_table_size(s->docs);
	docs = g_new0(const config_doc_t *, *n + 1);
	g_hash_table_iter_init(&iter, s->docs);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		docs[i++] = value;
	qsort(docs, *n, sizeof(*docs), compare_docs);
	return docs;
}

void config_docs_each(const config_docs_t *d,
		      void (*fn)(void *ctx, const config_doc_t *doc), void *ctx)
{
	size_t n;
	g_autofree const config_doc_t **docs = sorted_docs(d->state, &n);

	for (size_t i = 0; i < n; i++)
		fn(ctx, docs[i]);
}

char *config_docs_write_snapshot(const config_docs_t *d)
{
	size_t n;
	g_autofree const config_doc_t **docs = sorted_docs(d->state, &n);

	if (!d->state->is_complete)
		return NULL;
	return config_record_write_snapshot(d->state->next, docs, n);
}

void config_docs_stats(const config_docs_t *d, config_docs_stats_t *out)
{
	*out = d->state->stats;
}
