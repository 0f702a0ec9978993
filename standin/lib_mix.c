#include "standin/lib_mix.h"

#include <math.h>
#include <stdio.h>
#include <string.h>

enum { TOKEN_BYTES = 4 };

static const char default_mix[] =
	"{\"kinds\":["
	"{\"service\":\"itinerary-model\",\"tier\":\"drafts\",\"share\":0.25,"
	"\"engine\":true,\"stream\":true,\"prompt\":[40,4000],"
	"\"output\":[24,96],\"deadline_ms\":60000},"
	"{\"service\":\"itinerary-model\",\"tier\":\"tags\",\"share\":0.2,"
	"\"engine\":true,\"prompt\":[30,300],\"output\":[4,8],"
	"\"deadline_ms\":10000},"
	"{\"service\":\"seat-lookup\",\"tier\":\"lookups\",\"share\":0.35,"
	"\"path\":\"/seats\",\"protected\":true,\"deadline_ms\":1000},"
	"{\"service\":\"booking-desk\",\"tier\":\"holds\",\"share\":0.1,"
	"\"path\":\"/holds\",\"protected\":true,\"guard\":\"uuid\",\"deadline_ms\":2000},"
	"{\"service\":\"booking-desk\",\"tier\":\"holds\",\"share\":0.1,"
	"\"path\":\"/holds\",\"protected\":true,\"guard\":\"ticket\",\"deadline_ms\":2000}],"
	"\"teams\":[{\"name\":\"agents\",\"weight\":5},"
	"{\"name\":\"clerks\",\"weight\":3},{\"name\":\"letters\"},"
	"{\"name\":\"disputes\"},{\"name\":\"web\"}],\"charters\":12}";

static void copy_name(char out[MIX_NAME_SIZE], json_t *object, const char *key)
{
	const char *text = json_string_value(json_object_get(object, key));

	g_strlcpy(out, text ? text : "", MIX_NAME_SIZE);
}

static void read_range(json_t *object, const char *key, uint32_t *min,
		       uint32_t *max)
{
	json_t *pair = json_object_get(object, key);

	*min = (uint32_t)json_integer_value(json_array_get(pair, 0));
	*max = (uint32_t)json_integer_value(json_array_get(pair, 1));
	*min = MAX(*min, 1);
	*max = MAX(*max, *min);
}

static bool read_guard(json_t *object, mix_guard_t *guard)
{
	static const char *const names[] = { "none", "key", "uuid", "ticket" };
	const char *text = json_string_value(json_object_get(object, "guard"));

	*guard = MIX_GUARD_NONE;
	if (!text)
		return true;
	for (size_t i = 0; i < G_N_ELEMENTS(names); i++) {
		if (strcmp(names[i], text))
			continue;
		*guard = (mix_guard_t)i;
		return true;
	}
	return false;
}

static bool read_kind(mix_t *mix, json_t *object)
{
	mix_kind_t *kind = &mix->kinds[mix->n_kinds];

	if (mix->n_kinds == MIX_MAX_KINDS || !read_guard(object, &kind->guard))
		return false;
	copy_name(kind->service, object, "service");
	copy_name(kind->tier, object, "tier");
	copy_name(kind->path, object, "path");
	kind->share = json_number_value(json_object_get(object, "share"));
	kind->is_engine = json_is_true(json_object_get(object, "engine"));
	kind->is_protected = json_is_true(json_object_get(object, "protected"));
	kind->is_stream = json_is_true(json_object_get(object, "stream"));
	kind->deadline_ms =
		json_integer_value(json_object_get(object, "deadline_ms"));
	read_range(object, "prompt", &kind->prompt_min, &kind->prompt_max);
	read_range(object, "output", &kind->output_min, &kind->output_max);
	mix->n_kinds++;
	return kind->service[0] && kind->tier[0] && kind->share > 0;
}

static bool read_team(mix_t *mix, json_t *object)
{
	mix_team_t *team = &mix->teams[mix->n_teams];
	json_t *weight = json_object_get(object, "weight");

	if (mix->n_teams == MIX_MAX_TEAMS)
		return false;
	copy_name(team->name, object, "name");
	copy_name(team->key, object, "key");
	team->weight = weight ? json_number_value(weight) : 1;
	mix->n_teams++;
	return team->name[0] && team->weight > 0;
}

static bool read_mix(mix_t *mix, json_t *root)
{
	json_t *charters = json_object_get(root, "charters");
	json_t *object;
	size_t i;

	mix->n_prefixes =
		charters ? (uint32_t)json_integer_value(charters) : 12;
	json_array_foreach (json_object_get(root, "kinds"), i, object)
		if (!read_kind(mix, object))
			return false;
	json_array_foreach (json_object_get(root, "teams"), i, object)
		if (!read_team(mix, object))
			return false;
	return mix->n_kinds && mix->n_teams && mix->n_prefixes;
}

bool mix_load(mix_t *mix, const char *path)
{
	json_error_t error = { 0 };
	json_t *root = path ? json_load_file(path, 0, &error) :
			      json_loads(default_mix, 0, &error);
	bool ok;

	memset(mix, 0, sizeof(*mix));
	ok = root && read_mix(mix, root);
	if (!ok)
		fprintf(stderr, "mix: %s:%d: %s\n", path ? path : "built in",
			error.line,
			root ? "missing, invalid or too many kinds, teams "
			       "or charters" :
			       error.text);
	json_decref(root);
	return ok;
}

const mix_kind_t *mix_pick_kind(const mix_t *mix, GRand *rand)
{
	double sum = 0, at;
	uint32_t i;

	for (i = 0; i < mix->n_kinds; i++)
		sum += mix->kinds[i].share;
	at = g_rand_double_range(rand, 0, sum);
	for (i = 0; i + 1 < mix->n_kinds; i++) {
		at -= mix->kinds[i].share;
		if (at < 0)
			break;
	}
	return &mix->kinds[i];
}

const mix_team_t *mix_pick_team(const mix_t *mix, GRand *rand)
{
	double sum = 0, at;
	uint32_t i;

	for (i = 0; i < mix->n_teams; i++)
		sum += mix->teams[i].weight;
	at = g_rand_double_range(rand, 0, sum);
	for (i = 0; i + 1 < mix->n_teams; i++) {
		at -= mix->teams[i].weight;
		if (at < 0)
			break;
	}
	return &mix->teams[i];
}

/* Draws from MIN to MAX with a long tail: most draws are short. */
static uint32_t draw_long_tailed(uint32_t min, uint32_t max, GRand *rand)
{
	double u = g_rand_double(rand);

	return (uint32_t)(min * pow((double)max / min, u * u));
}

static void append_words(GString *out, size_t len, GRand *rand)
{
	static const char *const words[] = { "shore ",	"coach ", "party ",
					     "dinner ", "pier ",  "of ",
					     "twelve ", "lunch ", "return " };

	while (out->len < len)
		g_string_append(
			out,
			words[g_rand_int_range(rand, 0, G_N_ELEMENTS(words))]);
	g_string_truncate(out, len);
}

static char *make_prompt(const mix_t *mix, const mix_kind_t *kind,
			 const char *id, GRand *rand)
{
	size_t len = (size_t)TOKEN_BYTES *
		     draw_long_tailed(kind->prompt_min, kind->prompt_max, rand);
	guint32 prefix = g_rand_int_range(rand, 0, (gint32)mix->n_prefixes);
	GRand *prefix_rand = g_rand_new_with_seed(prefix + 1);
	GString *out = g_string_new(NULL);

	append_words(out, len / 2, prefix_rand);
	append_words(out, len, rand);
	g_rand_free(prefix_rand);
	g_string_append_printf(out, " call=%s;", id);
	return g_string_free(out, FALSE);
}

char *mix_make_text(const mix_t *mix, const mix_kind_t *kind, const char *id,
		    GRand *rand)
{
	if (kind->is_engine)
		return make_prompt(mix, kind, id, rand);
	return g_strdup_printf("call=%s;train=%u", id,
			       g_rand_int_range(rand, 1, 100));
}

uint32_t mix_output_tokens(const mix_kind_t *kind, GRand *rand)
{
	return (uint32_t)g_rand_int_range(rand, (gint32)kind->output_min,
					  (gint32)kind->output_max + 1);
}

void mix_make_uuid(char out[37], int64_t now_ms, GRand *rand)
{
	snprintf(out, 37, "%08x-%04x-7%03x-8%03x-%08x%04x",
		 (unsigned int)(now_ms >> 16), (unsigned int)(now_ms & 0xffff),
		 g_rand_int(rand) & 0xfff, g_rand_int(rand) & 0xfff,
		 g_rand_int(rand), g_rand_int(rand) & 0xffff);
}
