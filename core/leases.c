#include "core/leases.h"

#include <glib.h>
#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>

enum {
	MAX_RECORD_BYTES = 4096,
	INCARNATION_SIZE = 17, /* bytes of hex digits, with the NUL */
	RENEWALS_PER_LEASE = 3,
};

/* One parsed record. */
typedef struct claim {
	char runner[LEASES_NAME_SIZE];
	char holder[LEASES_NAME_SIZE];
	uint64_t incarnation;
	int64_t lease;
	int64_t sent_at; /* by the holder's clock */
	bool is_renewal;
	uint64_t renewed_offset; /* offset of the renewed record */
} claim_t;

/* The current term of one runner. */
typedef struct term {
	char runner[LEASES_NAME_SIZE];
	bool has_fencing;
	bool has_holder;
	char holder[LEASES_NAME_SIZE];
	uint64_t incarnation;
	uint64_t fence; /* offset of the claim that began the term */
	uint64_t newest_offset; /* offset of its newest record */
	int64_t lease;
	int64_t begun_at; /* when the first claim was read */
	int64_t seen_at; /* when the newest record was read */
	int64_t sent_at; /* own terms only: when the newest record was sent */
	int64_t wait; /* longest lease of the previous holders */
	bool is_ours; /* own term, all its records read without a gap */
} term_t;

struct leases_state {
	char holder[LEASES_NAME_SIZE];
	uint64_t incarnation;
	int64_t lease;
	int64_t margin;
	uint32_t max_runners;
	GHashTable *terms; /* term_t by runner */
	uint64_t next_offset;
	int64_t initial_wait; /* term_t.wait of runners without a record */
	uint64_t damaged;
};

void leases_init(leases_t *t, const leases_config_t *config)
{
	struct leases_state *s = g_new0(struct leases_state, 1);

	t->state = s;
	str_copy(s->holder, sizeof(s->holder), str_from(config->holder));
	s->incarnation = config->incarnation;
	s->lease = CLAMP(config->lease, 1, LEASES_MAX_US);
	s->margin = config->margin;
	s->max_runners = config->max_runners;
	s->terms = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
}

void leases_finish(leases_t *t)
{
	if (!t->state)
		return;
	g_hash_table_unref(t->state->terms);
	g_clear_pointer(&t->state, g_free);
}

static term_t *find_term(const struct leases_state *s, str_t runner)
{
	char name[LEASES_NAME_SIZE];

	return str_copy(name, sizeof(name), runner) ?
		       g_hash_table_lookup(s->terms, name) :
		       NULL;
}

/*
 * Returns NULL if the table is full. Records of the runner are then lost, so
 * runners added later are assumed to have had the longest lease.
 */
static term_t *find_or_add_term(struct leases_state *s, str_t runner)
{
	term_t *term = find_term(s, runner);

	if (term)
		return term;
	if (g_hash_table_size(s->terms) >= s->max_runners) {
		s->initial_wait = LEASES_MAX_US;
		return NULL;
	}
	term = g_new0(term_t, 1);
	str_copy(term->runner, sizeof(term->runner), runner);
	term->wait = s->initial_wait;
	g_hash_table_insert(s->terms, term->runner, term);
	return term;
}

void leases_set_fencing(leases_t *t, str_t runner, bool has_fencing)
{
	term_t *term = find_or_add_term(t->state, runner);

	if (term)
		term->has_fencing = has_fencing;
}

uint64_t leases_next_offset(const leases_t *t)
{
	return t->state->next_offset;
}

uint64_t leases_damaged(const leases_t *t)
{
	return t->state->damaged;
}

static void skip_to(struct leases_state *s, uint64_t offset)
{
	GHashTableIter iter;
	void *value;

	if (offset <= s->next_offset)
		return;
	s->next_offset = offset;
	s->initial_wait = LEASES_MAX_US;
	g_hash_table_iter_init(&iter, s->terms);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		term_t *term = value;

		term->is_ours = false;
		term->has_holder = false;
		term->wait = LEASES_MAX_US;
	}
}

void leases_set_oldest(leases_t *t, uint64_t oldest)
{
	skip_to(t->state, oldest);
}

static bool read_name(json_t *root, const char *key, char *out)
{
	const char *s = json_string_value(json_object_get(root, key));

	return s && s[0] && str_copy(out, LEASES_NAME_SIZE, str_from(s));
}

static bool read_number(json_t *root, const char *key, int64_t *out)
{
	json_t *value = json_object_get(root, key);

	*out = json_integer_value(value);
	return json_is_integer(value) && *out >= 0;
}

static bool read_incarnation(json_t *root, uint64_t *out)
{
	const char *s = json_string_value(json_object_get(root, "incarnation"));
	char *end;

	if (!s || strlen(s) != INCARNATION_SIZE - 1)
		return false;
	*out = g_ascii_strtoull(s, &end, 16);
	return !*end && g_ascii_isxdigit(s[0]);
}

static bool read_claim_fields(json_t *root, claim_t *claim)
{
	const char *type = json_string_value(json_object_get(root, "type"));
	int64_t over;

	if (g_strcmp0(type, "claim") ||
	    !read_name(root, "runner", claim->runner) ||
	    !read_name(root, "holder", claim->holder) ||
	    !read_incarnation(root, &claim->incarnation) ||
	    !read_number(root, "lease_us", &claim->lease) ||
	    !read_number(root, "sent_us", &claim->sent_at))
		return false;
	claim->is_renewal = json_object_get(root, "over") != NULL;
	if (claim->is_renewal && !read_number(root, "over", &over))
		return false;
	claim->renewed_offset = claim->is_renewal ? (uint64_t)over : 0;
	return claim->lease > 0 && claim->lease <= LEASES_MAX_US;
}

static bool parse_claim(str_t data, claim_t *claim)
{
	json_t *root;
	bool ok;

	memset(claim, 0, sizeof(*claim));
	if (data.len > MAX_RECORD_BYTES)
		return false;
	root = json_loadb(data.ptr, data.len, JSON_REJECT_DUPLICATES, NULL);
	ok = json_is_object(root) && read_claim_fields(root, claim);
	json_decref(root);
	return ok;
}

static bool is_holder(const term_t *term, const claim_t *claim)
{
	return term->has_holder && term->incarnation == claim->incarnation &&
	       !strcmp(term->holder, claim->holder);
}

static bool is_own(const struct leases_state *s, const claim_t *claim)
{
	return claim->incarnation == s->incarnation &&
	       !strcmp(claim->holder, s->holder);
}

static void begin_term(struct leases_state *s, term_t *term, uint64_t offset,
		       const claim_t *claim, int64_t now)
{
	if (term->has_holder && !is_holder(term, claim))
		term->wait = MAX(term->wait, term->lease);
	term->has_holder = true;
	memcpy(term->holder, claim->holder, sizeof(term->holder));
	term->incarnation = claim->incarnation;
	term->fence = offset;
	term->begun_at = now;
	term->is_ours = is_own(s, claim) && !claim->is_renewal;
}

static leases_result_t apply_claim(struct leases_state *s, uint64_t offset,
				   const claim_t *claim, int64_t now)
{
	term_t *term = find_or_add_term(s, str_from(claim->runner));

	if (!term)
		return LEASES_FULL;
	if (claim->is_renewal && term->has_holder &&
	    (!is_holder(term, claim) ||
	     term->newest_offset != claim->renewed_offset))
		return LEASES_STALE;
	/*
	 * A renewal without a known holder belongs to a claim that was removed
	 * from the log unread: it shows only that the term is held.
	 */
	if (!claim->is_renewal || !term->has_holder)
		begin_term(s, term, offset, claim, now);
	term->newest_offset = offset;
	term->lease = claim->lease;
	term->seen_at = now;
	term->sent_at = claim->sent_at;
	return LEASES_ACCEPTED;
}

leases_result_t leases_apply_record(leases_t *t, uint64_t offset, str_t data,
				    int64_t now)
{
	struct leases_state *s = t->state;
	claim_t claim;

	if (offset < s->next_offset)
		return LEASES_REPEATED;
	skip_to(s, offset);
	s->next_offset = offset + 1;
	if (!parse_claim(data, &claim)) {
		s->damaged++;
		return LEASES_DAMAGED;
	}
	return apply_claim(s, offset, &claim, now);
}

static char *write_claim(const struct leases_state *s, const char *runner,
			 const term_t *renewed, int64_t now)
{
	char incarnation[INCARNATION_SIZE];
	json_t *root;
	char *text;
	char *copy;

	snprintf(incarnation, sizeof(incarnation), "%016" PRIx64,
		 s->incarnation);
	root = json_pack("{s:s, s:s, s:s, s:s, s:I, s:I}", "type", "claim",
			 "runner", runner, "holder", s->holder, "incarnation",
			 incarnation, "lease_us", (json_int_t)s->lease,
			 "sent_us", (json_int_t)now);
	if (renewed)
		json_object_set_new(
			root, "over",
			json_integer((json_int_t)renewed->newest_offset));
	text = json_dumps(root, JSON_COMPACT);
	copy = g_strdup(text);
	free(text);
	json_decref(root);
	return copy;
}

char *leases_claim(leases_t *t, str_t runner, int64_t now)
{
	struct leases_state *s = t->state;
	term_t *term = find_or_add_term(s, runner);

	if (!term)
		return NULL;
	if (term->is_ours && now < term->sent_at + term->lease) {
		if (now < term->sent_at + term->lease / RENEWALS_PER_LEASE)
			return NULL;
		return write_claim(s, term->runner, term, now);
	}
	/* Otherwise two daemons would keep replacing each other as holder. */
	if (term->has_holder && !term->is_ours &&
	    now < term->seen_at + term->lease)
		return NULL;
	return write_claim(s, term->runner, NULL, now);
}

bool leases_may_order(const leases_t *t, str_t runner, int64_t now,
		      uint64_t *fence)
{
	const struct leases_state *s = t->state;
	const term_t *term = find_term(s, runner);

	if (!term || !term->is_ours ||
	    now >= term->sent_at + term->lease - s->margin)
		return false;
	if (!term->has_fencing && term->wait &&
	    now < term->begun_at + term->wait + s->margin)
		return false;
	*fence = term->fence;
	return true;
}
