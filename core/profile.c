#include "core/profile.h"

#include <inttypes.h>
#include <math.h>
#include <stdlib.h>

#include "common/json_text.h"

enum {
	MAX_NEED_MS = 24 * 60 * 60 * 1000,
	MAX_WEIGHT = 1000,
	MAX_RATE = 1000000,
	MAX_CONCURRENCY = 1000000,
	MAX_SLOTS = 10000,
	MIN_WINDOW_TOKENS = 256,
	MAX_WINDOW_TOKENS = 10000000,
	PATH_SIZE = 192, /* bytes of a field's path in the JSON, with the NUL */
	HASH_DIGITS = PROFILE_KEY_HASH_SIZE - 1,
};

static const double MAX_OBJECTIVE = 0.99999;

typedef enum field_type {
	FIELD_NAME, /* char[PROFILE_NAME_SIZE] */
	FIELD_HASH, /* char[PROFILE_KEY_HASH_SIZE] */
	FIELD_UINT, /* uint32_t */
	FIELD_TIME, /* int64_t */
	FIELD_REAL, /* double */
	FIELD_BOOL, /* bool */
	FIELD_NESTED, /* parsed by code of its own, not by read_field() */
} field_type_t;

/* One field of a JSON object: its type, range and default. */
typedef struct field {
	const char *key;
	field_type_t type;
	bool is_required;
	double min;
	double max;
	double def;
	size_t offset;
} field_t;

#define TEAM_FIELD(key, type, max, def, field)                                 \
	{                                                                      \
		key, type, false, 0, max, def, offsetof(profile_team_t, field) \
	}

static const field_t team_fields[] = {
	{ "weight", FIELD_UINT, false, 1, MAX_WEIGHT, 1,
	  offsetof(profile_team_t, weight) },
	TEAM_FIELD("rate_per_s", FIELD_REAL, MAX_RATE, 0, rate),
	TEAM_FIELD("burst", FIELD_REAL, MAX_RATE, 0, burst),
	TEAM_FIELD("concurrency", FIELD_UINT, MAX_CONCURRENCY, 0, concurrency),
	TEAM_FIELD("retry_ratio", FIELD_REAL, 1, 0.1, retry_ratio),
	TEAM_FIELD("key_sha256", FIELD_HASH, 0, 0, key_sha256),
};

static const field_t tier_fields[] = {
	{ "name", FIELD_NAME, true, 0, 0, 0, offsetof(profile_tier_t, name) },
	{ "protected", FIELD_BOOL, false, 0, 0, 0,
	  offsetof(profile_tier_t, is_protected) },
	{ "weight", FIELD_UINT, false, 1, MAX_WEIGHT, 1,
	  offsetof(profile_tier_t, weight) },
	{ "need_ms", FIELD_TIME, true, 1, MAX_NEED_MS, 0,
	  offsetof(profile_tier_t, need_ms) },
	{ "objective", FIELD_REAL, false, 0, MAX_OBJECTIVE, 0.99,
	  offsetof(profile_tier_t, objective) },
};

static const field_t profile_fields[] = {
	{ "tiers", FIELD_NESTED, true, 0, 0, 0, 0 },
	{ "teams", FIELD_NESTED, false, 0, 0, 0, 0 },
	{ "other_teams", FIELD_NESTED, false, 0, 0, 0, 0 },
	{ "closed", FIELD_BOOL, false, 0, 0, 0,
	  offsetof(profile_t, is_closed) },
};

static const field_t service_fields[] = {
	{ "profile", FIELD_NAME, true, 0, 0, 0,
	  offsetof(profile_service_t, profile) },
	{ "kind", FIELD_NESTED, true, 0, 0, 0, 0 },
	{ "idempotent", FIELD_BOOL, false, 0, 0, 0,
	  offsetof(profile_service_t, is_idempotent) },
	{ "default_tier", FIELD_NAME, true, 0, 0, 0,
	  offsetof(profile_service_t, default_tier) },
	{ "slots", FIELD_UINT, false, 1, MAX_SLOTS, 8,
	  offsetof(profile_service_t, slots) },
	{ "window_tokens", FIELD_UINT, false, MIN_WINDOW_TOKENS,
	  MAX_WINDOW_TOKENS, 16000,
	  offsetof(profile_service_t, window_tokens) },
};

/* Context of the parsing functions, used for error messages. */
typedef struct parser {
	str_t text;
	char doc[PROFILE_NAME_SIZE + 16];
	err_t *err;
} parser_t;

static bool fail_at(const parser_t *r, const char *path, const char *what)
{
	text_pos_t pos = json_text_find(r->text, path);

	return err_set(r->err, ERR_INVALID, "check", "", "%s:%d:%d: %s: %s",
		       r->doc, pos.line, pos.column, path, what);
}

static bool fail_range(const parser_t *r, const char *path, const field_t *f)
{
	char what[ERR_DETAIL_SIZE];

	snprintf(what, sizeof(what), "a %s from %.15g to %.15g is expected",
		 f->type == FIELD_REAL ? "number" : "whole number", f->min,
		 f->max);
	return fail_at(r, path, what);
}

static bool is_name(str_t s)
{
	if (!s.len || s.len >= PROFILE_NAME_SIZE)
		return false;
	for (size_t i = 0; i < s.len; i++)
		if (!g_ascii_isalnum(s.ptr[i]) &&
		    (i == 0 || !strchr("._-", s.ptr[i])))
			return false;
	return true;
}

static bool is_hash(str_t s)
{
	if (s.len != HASH_DIGITS)
		return false;
	for (size_t i = 0; i < s.len; i++)
		if (!g_ascii_isxdigit(s.ptr[i]) || g_ascii_isupper(s.ptr[i]))
			return false;
	return true;
}

static str_t string_of(const json_t *value)
{
	return (str_t){ json_string_value(value), json_string_length(value) };
}

static bool read_name(const parser_t *r, const char *path, const json_t *value,
		      char *out)
{
	if (!json_is_string(value) || !is_name(string_of(value)))
		return fail_at(r, path,
			       "a name of 1 to 63 letters, digits and ._- "
			       "is expected");
	return str_copy(out, PROFILE_NAME_SIZE, string_of(value));
}

static bool read_hash(const parser_t *r, const char *path, const json_t *value,
		      char *out)
{
	if (!json_is_string(value) || !is_hash(string_of(value)))
		return fail_at(r, path,
			       "64 lower-case hex digits are expected");
	return str_copy(out, PROFILE_KEY_HASH_SIZE, string_of(value));
}

static bool read_number(const parser_t *r, const char *path, const field_t *f,
			const json_t *value, void *out)
{
	double n = json_number_value(value);
	bool has_type = f->type == FIELD_REAL ? json_is_number(value) :
						json_is_integer(value);

	if (!has_type || !(n >= f->min && n <= f->max))
		return fail_range(r, path, f);
	if (f->type == FIELD_REAL)
		*(double *)out = n;
	else if (f->type == FIELD_TIME)
		*(int64_t *)out = json_integer_value(value);
	else
		*(uint32_t *)out = json_integer_value(value);
	return true;
}

static bool read_field(const parser_t *r, const char *path, const field_t *f,
		       const json_t *value, void *base)
{
	void *out = (char *)base + f->offset;

	switch (f->type) {
	case FIELD_NAME:
		return read_name(r, path, value, out);
	case FIELD_HASH:
		return read_hash(r, path, value, out);
	case FIELD_BOOL:
		if (!json_is_boolean(value))
			return fail_at(r, path, "true or false is expected");
		*(bool *)out = json_is_true(value);
		return true;
	case FIELD_NESTED:
		return true;
	default:
		return read_number(r, path, f, value, out);
	}
}

static void set_default(const field_t *f, void *base)
{
	void *out = (char *)base + f->offset;

	if (f->type == FIELD_REAL)
		*(double *)out = f->def;
	else if (f->type == FIELD_TIME)
		*(int64_t *)out = (int64_t)f->def;
	else if (f->type == FIELD_UINT)
		*(uint32_t *)out = (uint32_t)f->def;
}

static void join_path(char *out, const char *path, const char *key)
{
	snprintf(out, PATH_SIZE, "%s%s%s", path, path[0] ? "." : "", key);
}

static const field_t *find_field(const field_t *fields, size_t n,
				 const char *key)
{
	for (size_t i = 0; i < n; i++)
		if (!strcmp(fields[i].key, key))
			return &fields[i];
	return NULL;
}

/* Parses OBJECT into the struct BASE, as the N entries of FIELDS describe. */
static bool read_object(const parser_t *r, const char *path, json_t *object,
			const field_t *fields, size_t n, void *base)
{
	char field_path[PATH_SIZE];
	const char *key;
	json_t *value;

	if (!json_is_object(object))
		return fail_at(r, path, "an object is expected");
	for (size_t i = 0; i < n; i++)
		set_default(&fields[i], base);
	json_object_foreach (object, key, value) {
		const field_t *f = find_field(fields, n, key);

		join_path(field_path, path, key);
		if (!f)
			return fail_at(r, field_path, "unknown field");
		if (!read_field(r, field_path, f, value, base))
			return false;
	}
	for (size_t i = 0; i < n; i++) {
		if (!fields[i].is_required ||
		    json_object_get(object, fields[i].key))
			continue;
		join_path(field_path, path, fields[i].key);
		return fail_at(r, field_path, "this field is required");
	}
	return true;
}

static bool read_team(const parser_t *r, const char *path, json_t *object,
		      profile_team_t *team)
{
	char field_path[PATH_SIZE];

	if (!read_object(r, path, object, team_fields,
			 G_N_ELEMENTS(team_fields), team))
		return false;
	if (!json_object_get(object, "burst"))
		team->burst = team->rate > 1 ? team->rate : 1;
	join_path(field_path, path, "burst");
	if (team->rate > 0 && team->burst < 1)
		return fail_at(r, field_path,
			       "a number from 1 is expected with rate_per_s");
	return true;
}

static int compare_teams(const void *a, const void *b)
{
	const profile_team_t *x = a;
	const profile_team_t *y = b;

	return strcmp(x->name, y->name);
}

static bool read_teams(const parser_t *r, json_t *teams, profile_t *p)
{
	char field_path[PATH_SIZE];
	const char *key;
	json_t *value;

	if (!json_is_object(teams) ||
	    json_object_size(teams) > PROFILE_MAX_TEAMS)
		return fail_at(r, "teams",
			       "an object of up to 24000 teams is expected");
	p->teams = g_new0(profile_team_t, json_object_size(teams) + 1);
	json_object_foreach (teams, key, value) {
		profile_team_t *team = &p->teams[p->n_teams];

		join_path(field_path, "teams", key);
		if (!is_name(str_from(key)))
			return fail_at(r, field_path,
				       "a team's name has 1 to 63 letters, "
				       "digits and ._-");
		if (!read_team(r, field_path, value, team))
			return false;
		str_copy(team->name, sizeof(team->name), str_from(key));
		p->n_teams++;
	}
	qsort(p->teams, p->n_teams, sizeof(*p->teams), compare_teams);
	return true;
}

static bool read_tier(const parser_t *r, json_t *value, uint32_t i,
		      profile_t *p)
{
	profile_tier_t *tier = &p->tiers[i];
	char field_path[PATH_SIZE];

	snprintf(field_path, sizeof(field_path), "tiers.%u", i);
	if (!read_object(r, field_path, value, tier_fields,
			 G_N_ELEMENTS(tier_fields), tier))
		return false;
	for (uint32_t k = 0; k < i; k++)
		if (!strcmp(p->tiers[k].name, tier->name))
			return fail_at(r, field_path,
				       "its name is taken already");
	if (i > 0 && tier->is_protected && !p->tiers[i - 1].is_protected)
		return fail_at(r, field_path,
			       "protected tiers come before the others");
	return true;
}

static bool read_tiers(const parser_t *r, json_t *tiers, profile_t *p)
{
	size_t n = json_is_array(tiers) ? json_array_size(tiers) : 0;

	if (n < 1 || n > PROFILE_MAX_TIERS)
		return fail_at(r, "tiers",
			       "a list of 1 to 8 tiers is expected");
	for (uint32_t i = 0; i < n; i++)
		if (!read_tier(r, json_array_get(tiers, i), i, p))
			return false;
	p->n_tiers = n;
	return true;
}

static bool parser_init(parser_t *r, str_t doc, str_t text, err_t *err)
{
	r->text = text;
	r->err = err;
	if (!str_copy(r->doc, sizeof(r->doc), doc))
		return err_set(err, ERR_INVALID, "check", "",
			       "the document's name is too long");
	return true;
}

/* Copies NAME from DOC, which must be KIND followed by NAME. */
static bool parse_name(const parser_t *r, str_t doc, const char *kind,
		       char *out)
{
	size_t n = strlen(kind);
	str_t name = { doc.ptr + n, doc.len - n };

	if (doc.len <= n || memcmp(doc.ptr, kind, n) || !is_name(name))
		return err_set(r->err, ERR_INVALID, "check", "",
			       "%s: a document is named %sNAME, with 1 to 63 "
			       "letters, digits and ._-",
			       r->doc, kind);
	return str_copy(out, PROFILE_NAME_SIZE, name);
}

static bool read_profile(const parser_t *r, json_t *root, profile_t *p)
{
	json_t *teams = json_object_get(root, "teams");
	json_t *others = json_object_get(root, "other_teams");

	if (!read_object(r, "", root, profile_fields,
			 G_N_ELEMENTS(profile_fields), p))
		return false;
	if (!read_tiers(r, json_object_get(root, "tiers"), p))
		return false;
	if (teams && !read_teams(r, teams, p))
		return false;
	if (others)
		return read_team(r, "other_teams", others, &p->other_teams);
	for (size_t i = 0; i < G_N_ELEMENTS(team_fields); i++)
		set_default(&team_fields[i], &p->other_teams);
	p->other_teams.burst = 1;
	return true;
}

bool profile_parse(profile_t *p, str_t doc, uint64_t version, str_t body,
		   err_t *err)
{
	parser_t r;
	json_t *root;
	bool ok;

	memset(p, 0, sizeof(*p));
	p->version = version;
	if (!parser_init(&r, doc, body, err) ||
	    !parse_name(&r, doc, "profile/", p->name))
		return false;
	root = json_text_parse(body, r.doc, err);
	if (!root)
		return false;
	ok = read_profile(&r, root, p);
	if (!ok)
		profile_finish(p);
	json_decref(root);
	return ok;
}

void profile_finish(profile_t *p)
{
	g_clear_pointer(&p->teams, g_free);
	p->n_teams = 0;
}

static bool read_service(const parser_t *r, json_t *root, profile_service_t *s)
{
	const char *kind = json_string_value(json_object_get(root, "kind"));
	const char *excluded;

	if (!read_object(r, "", root, service_fields,
			 G_N_ELEMENTS(service_fields), s))
		return false;
	if (!kind || (strcmp(kind, "engine") && strcmp(kind, "plain")))
		return fail_at(r, "kind", "engine or plain is expected");
	s->is_engine = !strcmp(kind, "engine");
	excluded = s->is_engine ? "slots" : "window_tokens";
	if (json_object_get(root, excluded))
		return fail_at(r, excluded,
			       s->is_engine ? "only for kind plain" :
					      "only for kind engine");
	return true;
}

bool profile_service_parse(profile_service_t *s, str_t doc, uint64_t version,
			   str_t body, err_t *err)
{
	parser_t r;
	json_t *root;
	bool ok;

	memset(s, 0, sizeof(*s));
	s->version = version;
	if (!parser_init(&r, doc, body, err) ||
	    !parse_name(&r, doc, "service/", s->name))
		return false;
	root = json_text_parse(body, r.doc, err);
	if (!root)
		return false;
	ok = read_service(&r, root, s);
	json_decref(root);
	return ok;
}

static bool has_prefix(str_t s, str_t prefix)
{
	return s.len >= prefix.len && !memcmp(s.ptr, prefix.ptr, prefix.len);
}

bool profile_check(str_t doc, str_t body, err_t *err)
{
	profile_service_t service;
	profile_t profile;

	if (has_prefix(doc, STR_LIT("service/")))
		return profile_service_parse(&service, doc, 1, body, err);
	if (!has_prefix(doc, STR_LIT("profile/")))
		return err_set(err, ERR_INVALID, "check", "",
			       "a document is named profile/NAME or "
			       "service/NAME");
	if (!profile_parse(&profile, doc, 1, body, err))
		return false;
	profile_finish(&profile);
	return true;
}

int profile_tier_index(const profile_t *p, str_t name)
{
	for (uint32_t i = 0; i < p->n_tiers; i++)
		if (str_eq(str_from(p->tiers[i].name), name))
			return (int)i;
	return -1;
}

const profile_team_t *profile_find_team(const profile_t *p, str_t name)
{
	profile_team_t key;
	const profile_team_t *team = NULL;

	if (str_copy(key.name, sizeof(key.name), name) && p->n_teams)
		team = bsearch(&key, p->teams, p->n_teams, sizeof(key),
			       compare_teams);
	if (team)
		return team;
	return p->is_closed ? NULL : &p->other_teams;
}
