#include "common/option.h"

#include <glib.h>
#include <inttypes.h>
#include <jansson.h>
#include <math.h>
#include <stdlib.h>

#include "common/json_text.h"

/* Arguments shared by the functions that set fields. */
typedef struct reader {
	str_t text;
	const char *name;
	err_t *err;
} reader_t;

static void *field_of(const option_t *opt, void *settings)
{
	return (char *)settings + opt->offset;
}

static bool fail_at(const reader_t *r, const char *key, const char *what)
{
	text_pos_t pos = json_text_find(r->text, key);

	return err_set(r->err, ERR_INVALID, "settings", "", "%s:%d:%d: %s: %s",
		       r->name, pos.line, pos.column, key, what);
}

static bool fail_range(const reader_t *r, const option_t *opt, const char *what)
{
	char text[ERR_DETAIL_SIZE];

	snprintf(text, sizeof(text),
		 "%s from %" PRId64 " to %" PRId64 "%s%s is expected", what,
		 opt->min, opt->max, opt->unit[0] ? " " : "", opt->unit);
	return fail_at(r, opt->name, text);
}

static bool set_int(const reader_t *r, const option_t *opt, json_t *value,
		    void *settings)
{
	json_int_t n = json_integer_value(value);

	if (!json_is_integer(value) || n < opt->min || n > opt->max)
		return fail_range(r, opt, "a whole number");
	*(int64_t *)field_of(opt, settings) = n;
	return true;
}

static bool set_real(const reader_t *r, const option_t *opt, json_t *value,
		     void *settings)
{
	double number = json_number_value(value);

	if (!json_is_number(value) || number < (double)opt->min ||
	    number > (double)opt->max)
		return fail_range(r, opt, "a number");
	*(double *)field_of(opt, settings) = number;
	return true;
}

/* Returns the milliseconds of a unit; 0 for an unknown one. */
static double unit_ms(const char *unit)
{
	static const struct {
		const char *name;
		double ms;
	} units[] = {
		{ "ms", 1 },
		{ "s", 1000 },
		{ "min", 60 * 1000 },
		{ "h", 3600 * 1000 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(units); i++)
		if (!strcmp(units[i].name, unit))
			return units[i].ms;
	return 0;
}

/* Parses "NUMBER UNIT"; returns NaN for any other text. */
static double duration_text_ms(const char *text)
{
	char *end;
	double number = g_ascii_strtod(text, &end);
	double unit;

	if (end == text)
		return NAN;
	while (*end == ' ')
		end++;
	unit = unit_ms(end);
	return unit > 0 ? number * unit : NAN;
}

static bool set_duration(const reader_t *r, const option_t *opt, json_t *value,
			 void *settings)
{
	double ms = NAN;

	if (json_is_number(value))
		ms = json_number_value(value);
	else if (json_is_string(value))
		ms = duration_text_ms(json_string_value(value));
	if (!(ms >= (double)opt->min && ms <= (double)opt->max))
		return fail_range(r, opt, "a duration");
	*(int64_t *)field_of(opt, settings) = llround(ms);
	return true;
}

static bool set_bool(const reader_t *r, const option_t *opt, json_t *value,
		     void *settings)
{
	if (!json_is_boolean(value))
		return fail_at(r, opt->name, "true or false is expected");
	*(bool *)field_of(opt, settings) = json_is_true(value);
	return true;
}

static bool is_choice(const option_t *opt, const char *s)
{
	if (!opt->choices)
		return true;
	for (size_t i = 0; opt->choices[i]; i++)
		if (!strcmp(opt->choices[i], s))
			return true;
	return false;
}

static bool set_string(const reader_t *r, const option_t *opt, json_t *value,
		       void *settings)
{
	char **field = field_of(opt, settings);
	int64_t len =
		json_is_string(value) ? (int64_t)json_string_length(value) : -1;

	if (len < opt->min || len > opt->max)
		return fail_range(r, opt, "a string with a length");
	if (!is_choice(opt, json_string_value(value))) {
		g_autofree char *all = g_strjoinv(", ", (char **)opt->choices);
		g_autofree char *what =
			g_strdup_printf("one of %s is expected", all);

		return fail_at(r, opt->name, what);
	}
	g_free(*field);
	*field = g_strdup(json_string_value(value));
	return true;
}

static bool set_list(const reader_t *r, const option_t *opt, json_t *value,
		     void *settings)
{
	char ***field = field_of(opt, settings);
	int64_t n = json_is_array(value) ? (int64_t)json_array_size(value) : -1;

	if (n < opt->min || n > opt->max)
		return fail_range(r, opt, "a list of strings with a length");
	for (int64_t i = 0; i < n; i++)
		if (!json_is_string(json_array_get(value, i)))
			return fail_at(r, opt->name,
				       "every element must be a string");
	g_strfreev(*field);
	*field = g_new0(char *, n + 1);
	for (int64_t i = 0; i < n; i++)
		(*field)[i] =
			g_strdup(json_string_value(json_array_get(value, i)));
	return true;
}

static bool set_field(const reader_t *r, const option_t *opt, json_t *value,
		      void *settings)
{
	switch (opt->type) {
	case OPTION_INT:
		return set_int(r, opt, value, settings);
	case OPTION_REAL:
		return set_real(r, opt, value, settings);
	case OPTION_DURATION:
		return set_duration(r, opt, value, settings);
	case OPTION_BOOL:
		return set_bool(r, opt, value, settings);
	case OPTION_STRING:
		return set_string(r, opt, value, settings);
	case OPTION_LIST:
		return set_list(r, opt, value, settings);
	}
	return false;
}

static void set_default(const option_t *opt, void *settings)
{
	const char *def = opt->def ? opt->def : "";

	switch (opt->type) {
	case OPTION_INT:
	case OPTION_DURATION:
		*(int64_t *)field_of(opt, settings) =
			g_ascii_strtoll(def, NULL, 10);
		break;
	case OPTION_REAL:
		*(double *)field_of(opt, settings) = g_ascii_strtod(def, NULL);
		break;
	case OPTION_BOOL:
		*(bool *)field_of(opt, settings) = !strcmp(def, "true");
		break;
	case OPTION_STRING:
		*(char **)field_of(opt, settings) = g_strdup(def);
		break;
	case OPTION_LIST:
		*(char ***)field_of(opt, settings) = g_new0(char *, 1);
		break;
	}
}

static const option_t *find(const option_t *table, size_t n, const char *key)
{
	for (size_t i = 0; i < n; i++)
		if (!strcmp(table[i].name, key))
			return &table[i];
	return NULL;
}

bool option_parse(const option_t *table, size_t n, void *settings, str_t text,
		  const char *name, err_t *err)
{
	reader_t r = { text, name, err };
	json_t *root;
	const char *key;
	json_t *value;
	bool ok = false;

	for (size_t i = 0; i < n; i++)
		set_default(&table[i], settings);
	root = json_text_parse(text, name, err);
	if (!root)
		return false;
	json_object_foreach (root, key, value) {
		const option_t *opt = find(table, n, key);

		if (!opt) {
			fail_at(&r, key, "unknown key");
			goto out;
		}
		if (!set_field(&r, opt, value, settings))
			goto out;
	}
	for (size_t i = 0; i < n; i++) {
		if (table[i].def || json_object_get(root, table[i].name))
			continue;
		fail_at(&r, table[i].name, "this key is required");
		goto out;
	}
	ok = true;
out:
	json_decref(root);
	return ok;
}

void option_free(const option_t *table, size_t n, void *settings)
{
	for (size_t i = 0; i < n; i++) {
		void *field = field_of(&table[i], settings);

		if (table[i].type == OPTION_STRING)
			g_clear_pointer((char **)field, g_free);
		else if (table[i].type == OPTION_LIST)
			g_clear_pointer((char ***)field, g_strfreev);
	}
}

static const char *type_name(option_type_t type)
{
	static const char *const names[] = {
		[OPTION_INT] = "integer",
		[OPTION_REAL] = "number",
		[OPTION_DURATION] = "duration",
		[OPTION_BOOL] = "true or false",
		[OPTION_STRING] = "string",
		[OPTION_LIST] = "list of strings",
	};

	return names[type];
}

void option_print_markdown(const option_t *table, size_t n, FILE *out)
{
	fputs("| key | type | unit | range | default | meaning |\n"
	      "| --- | --- | --- | --- | --- | --- |\n",
	      out);
	for (size_t i = 0; i < n; i++) {
		const option_t *opt = &table[i];

		fprintf(out, "| `%s` | %s | %s | ", opt->name,
			type_name(opt->type), opt->unit);
		if (opt->choices) {
			g_autofree char *all =
				g_strjoinv(", ", (char **)opt->choices);

			fputs(all, out);
		} else if (opt->type == OPTION_INT ||
			   opt->type == OPTION_REAL ||
			   opt->type == OPTION_DURATION) {
			fprintf(out, "%" PRId64 " to %" PRId64, opt->min,
				opt->max);
		} else if (opt->type != OPTION_BOOL) {
			fprintf(out, "length %" PRId64 " to %" PRId64, opt->min,
				opt->max);
		}
		fprintf(out, " | %s | %s |\n", opt->def ? opt->def : "required",
			opt->help);
	}
}
