#include "tests/lib_template.h"

#include <stdlib.h>
#include <string.h>

enum { NAME_SIZE = 64, KEY_SIZE = 64 };

/* Scope for resolving names: the current entry, then the outer scopes. */
typedef struct scope {
	const struct scope *outer;
	json_t *value;
	const char *key; /* of the entry in its table, or index in its list */
	bool is_last;
} scope_t;

static bool render(const char *text, size_t len, const scope_t *scope,
		   GString *out);

static json_t *get_member(json_t *value, const char *key)
{
	if (json_is_array(value))
		return json_array_get(value, strtoul(key, NULL, 10));
	return json_object_get(value, key);
}

static json_t *get_path(json_t *value, const char *path)
{
	g_auto(GStrv) keys = g_strsplit(path, ".", -1);

	for (char **key = keys; *key && value; key++)
		value = get_member(value, *key);
	return value;
}

static json_t *resolve(const scope_t *scope, const char *path)
{
	json_t *found = NULL;

	if (!strcmp(path, "."))
		return scope->value;
	for (; scope && !found; scope = scope->outer)
		found = get_path(scope->value, path);
	return found;
}

static void append_value(json_t *value, GString *out)
{
	g_autofree char *text = NULL;

	if (json_is_string(value)) {
		g_string_append(out, json_string_value(value));
		return;
	}
	text = value ? json_dumps(value, JSON_ENCODE_ANY) : NULL;
	g_string_append(out, text ? text : "");
}

static bool render_entries(const char *text, size_t len, json_t *list,
			   const scope_t *outer, GString *out)
{
	size_t n = json_is_array(list) ? json_array_size(list) :
					 json_object_size(list);
	const char *key = NULL;
	void *iter = json_is_object(list) ? json_object_iter(list) : NULL;
	char index[KEY_SIZE];

	for (size_t i = 0; i < n; i++) {
		scope_t scope = { outer, NULL, NULL, i + 1 == n };

		g_snprintf(index, sizeof(index), "%zu", i);
		if (iter)
			key = json_object_iter_key(iter);
		scope.value = iter ? json_object_iter_value(iter) :
				     json_array_get(list, i);
		scope.key = iter ? key : index;
		if (!render(text, len, &scope, out))
			return false;
		iter = iter ? json_object_iter_next(list, iter) : NULL;
	}
	return true;
}

static bool render_section(const char *text, size_t len, const char *name,
			   bool is_inverted, const scope_t *scope, GString *out)
{
	json_t *value = resolve(scope, name);
	bool is_present = value && !json_is_false(value);

	if (is_inverted || !is_present)
		return is_inverted == is_present ||
		       render(text, len, scope, out);
	if (json_is_array(value) || json_is_object(value))
		return render_entries(text, len, value, scope, out);
	return render(text, len, scope, out);
}

static bool render_tag(const char *name, const scope_t *scope, GString *out)
{
	if (!strcmp(name, ","))
		g_string_append(out, scope->is_last ? "" : ",");
	else if (!strcmp(name, "@"))
		g_string_append(out, scope->key ? scope->key : "");
	else if (strpbrk(name, "|#^/@,"))
		return false;
	else
		append_value(resolve(scope, name), out);
	return true;
}

/* Reads the tag at TEXT; returns its end, or NULL if unclosed or too long. */
static const char *read_tag(const char *text, const char *end,
			    char name[NAME_SIZE])
{
	const char *close = g_strstr_len(text, end - text, "}}");
	size_t n = close ? (size_t)(close - text) - 2 : NAME_SIZE;

	if (n >= NAME_SIZE)
		return NULL;
	memcpy(name, text + 2, n);
	name[n] = '\0';
	return close + 2;
}

static bool render(const char *text, size_t len, const scope_t *scope,
		   GString *out)
{
	const char *end = text + len;
	const char *open;

	while ((open = g_strstr_len(text, end - text, "{{"))) {
		char name[NAME_SIZE], closing[NAME_SIZE + 8];
		const char *after = read_tag(open, end, name);
		const char *close;

		g_string_append_len(out, text, open - text);
		if (!after)
			return false;
		text = after;
		if (name[0] != '#' && name[0] != '^') {
			if (!render_tag(name, scope, out))
				return false;
			continue;
		}
		g_snprintf(closing, sizeof(closing), "{{/%s}}", name + 1);
		close = g_strstr_len(after, end - after, closing);
		if (!close || !render_section(after, close - after, name + 1,
					      name[0] == '^', scope, out))
			return false;
		text = close + strlen(closing);
	}
	g_string_append_len(out, text, end - text);
	return true;
}

bool template_render(const char *text, json_t *fields, GString *out)
{
	scope_t scope = { NULL, fields, NULL, true };

	return render(text, strlen(text), &scope, out);
}
