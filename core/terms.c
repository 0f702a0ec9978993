#include "core/terms.h"

#include <glib.h>
#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>

enum {
	MAX_RECORD_BYTES = 4096,
	INCARNATION_SIZE = 17, /* bytes of hex digits, with the NUL */
	RENEWALS_A_LEASE = 3,
};

/* One record, read. */
typedef struct claim {
	char runner[TERMS_NAME_SIZE];
	char holder[TERMS_NAME_SIZE];
	uint64_t incarnation;
	int64_t lease;
	int64_t sent; /* by the holder's clock */
	bool is_renewal;
	uint64_t over;
} claim_t;

/* What is known of one runner's term. */
typedef struct term {
	char runner[TERMS_NAME_SIZE];
	bool has_fencing;
	bool has_holder;
	char holder[TERMS_NAME_SIZE];
	uint64_t incarnation;
	uint64_t fence; /* offset of the claim that began it */
	uint64_t newest; /* offset of its newest record */
	int64_t lease;
	int64_t begun; /* when the first claim was read */
	int64_t seen; /* when the newest record was read */
	int64_t sent; /* own terms: when the newest record was sent */
	int64_t wait; /* the longest lease of those before it */
	bool is_ours; /* and every record since its claim was read */
} term_t;

struct terms_state {
	char holder[TERMS_NAME_SIZE];
	uint64_t incarnation;
	int64_t lease;
	int64_t margin;
	uint32_t max_runners;
	GHashTable *terms; /* term_t by runner */
	uint64_t next;
	int64_t unknown_wait; /* for a runner that no record told of */
	uint64_t damaged;
};

void terms_init(terms_t *t, const terms_config_t *config)
{
	struct terms_state *s = g_new0(struct terms_state, 1);

	t->state = s;
	str_copy(s->holder, sizeof(s->holder), str_from(config->holder));
	s->incarnation = config->incarnation;
	s->lease = CLAMP(config->lease, 1, TERMS_MAX_LEASE);
	s->margin = config->margin;
	s->max_runners = config->max_runners;
	s->terms = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
}

void terms_finish(terms_t *t)
{
	if (!t->state)
		return;
	g_hash_table_unref(t->state->terms);
	g_clear_pointer(&t->state, g_free);
}

static term_t *find(const struct terms_state *s, str_t runner)
{
	char name[TERMS_NAME_SIZE];

	return str_copy(name, sizeof(name), runner) ?
		       g_hash_table_lookup(s->terms, name) :
		       NULL;
}

/* NULL when the table is full; what is not followed is assumed held. */
static term_t *find_or_add(struct terms_state *s, str_t runner)
{
	term_t *term = find(s, runner);

	if (term)
		return term;
	if (g_hash_table_size(s->terms) >= s->max_runners) {
		s->unknown_wait = TERMS_MAX_LEASE;
		return NULL;
	}
	term = g_new0(term_t, 1);
	str_copy(term->runner, sizeof(term->runner), runner);
	term->wait = s->unknown_wait;
	g_hash_table_insert(s->terms, term->runner, term);
	return term;
}

void terms_set_fencing(terms_t *t, str_t runner, bool has_fencing)
{
	term_t *term = find_or_add(t->state, runner);

	if (term)
		term->has_fencing = has_fencing;
}

uint64_t terms_next(const terms_t *t)
{
	return t->state->next;
}

uint64_t terms_damaged(const terms_t *t)
{
	return t->state->damaged;
}

static void open_gap(struct terms_state *s, uint64_t offset)
{
	GHashTableIter iter;
	void *value;

	if (offset <= s->next)
		return;
	s->next = offset;
	s->unknown_wait = TERMS_MAX_LEASE;
	g_hash_table_iter_init(&iter, s->terms);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		term_t *term = value;

		term->is_ours = false;
		term->has_holder = false;
		term->wait = TERMS_MAX_LEASE;
	}
}

void terms_oldest(terms_t *t, uint64_t oldest)
{
	open_gap(t->state, oldest);
}

static bool read_name(json_t *root, const char *key, char *out)
{
	const char *s = json_string_value(json_object_get(root, key));

	return s && s[0] && str_copy(out, TERMS_NAME_SIZE, str_from(s));
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

static bool read_claim(json_t *root, claim_t *claim)
{
	const char *type = json_string_value(json_object_get(root, "type"));
	int64_t over;

	if (g_strcmp0(type, "claim") ||
	    !read_name(root, "runner", claim->runner) ||
	    !read_name(root, "holder", claim->holder) ||
	    !read_incarnation(root, &claim->incarnation) ||
	    !read_number(root, "lease_us", &claim->lease) ||
	    !read_number(root, "sent_us", &claim->sent))
		return false;
	claim->is_renewal = json_object_get(root, "over") != NULL;
	if (claim->is_renewal && !read_number(root, "over", &over))
		return false;
	claim->over = claim->is_renewal ? (uint64_t)over : 0;
	return claim->lease > 0 && claim->lease <= TERMS_MAX_LEASE;
}

static bool parse(str_t data, claim_t *claim)
{
	json_t *root;
	bool ok;

	memset(claim, 0, sizeof(*claim));
	if (data.len > MAX_RECORD_BYTES)
		return false;
	root = json_loadb(data.ptr, data.len, JSON_REJECT_DUPLICATES, NULL);
	ok = json_is_object(root) && read_claim(root, claim);
	json_decref(root);
	return ok;
}

static bool is_holder(const term_t *term, const claim_t *claim)
{
	return term->has_holder && term->incarnation == claim->incarnation &&
	       !strcmp(term->holder, claim->holder);
}

static bool is_own(const struct terms_state *s, const claim_t *claim)
{
	return claim->incarnation == s->incarnation &&
	       !strcmp(claim->holder, s->holder);
}

static void begin(struct terms_state *s, term_t *term, uint64_t offset,
		  const claim_t *claim, int64_t now)
{
	if (term->has_holder && !is_holder(term, claim))
		term->wait = MAX(term->wait, term->lease);
	term->has_holder = true;
	memcpy(term->holder, claim->holder, sizeof(term->holder));
	term->incarnation = claim->incarnation;
	term->fence = offset;
	term->begun = now;
	term->is_ours = is_own(s, claim) && !claim->is_renewal;
}

static terms_verdict_t fold(struct terms_state *s, uint64_t offset,
			    const claim_t *claim, int64_t now)
{
	term_t *term = find_or_add(s, str_from(claim->runner));

	if (!term)
		return TERMS_FULL;
	if (claim->is_renewal && term->has_holder &&
	    (!is_holder(term, claim) || term->newest != claim->over))
		return TERMS_VOID;
	/* A renewal of what expired unread: somebody holds it, that is all. */
	if (!claim->is_renewal || !term->has_holder)
		begin(s, term, offset, claim, now);
	term->newest = offset;
	term->lease = claim->lease;
	term->seen = now;
	term->sent = claim->sent;
	return TERMS_TAKEN;
}

terms_verdict_t terms_record(terms_t *t, uint64_t offset, str_t data,
			     int64_t now)
{
	struct terms_state *s = t->state;
	claim_t claim;

	if (offset < s->next)
		return TERMS_REPEATED;
	open_gap(s, offset);
	s->next = offset + 1;
	if (!parse(data, &claim)) {
		s->damaged++;
		return TERMS_DAMAGED;
	}
	return fold(s, offset, &claim, now);
}

static char *write_claim(const struct terms_state *s, const char *runner,
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
		json_object_set_new(root, "over",
				    json_integer((json_int_t)renewed->newest));
	text = json_dumps(root, JSON_COMPACT);
	copy = g_strdup(text);
	free(text);
	json_decref(root);
	return copy;
}

char *terms_claim(terms_t *t, str_t runner, int64_t now)
{
	struct terms_state *s = t->state;
	term_t *term = find_or_add(s, runner);

	if (!term)
		return NULL;
	if (term->is_ours && now < term->sent + term->lease) {
		if (now < term->sent + term->lease / RENEWALS_A_LEASE)
			return NULL;
		return write_claim(s, term->runner, term, now);
	}
	/* Two that believe themselves in charge must not oust each other. */
	if (term->has_holder && !term->is_ours &&
	    now < term->seen + term->lease)
		return NULL;
	return write_claim(s, term->runner, NULL, now);
}

bool terms_may_order(const terms_t *t, str_t runner, int64_t now,
		     uint64_t *fence)
{
	const struct terms_state *s = t->state;
	const term_t *term = find(s, runner);

	if (!term || !term->is_ours ||
	    now >= term->sent + term->lease - s->margin)
		return false;
	if (!term->has_fencing && term->wait &&
	    now < term->begun + term->wait + s->margin)
		return false;
	*fence = term->fence;
	return true;
}
