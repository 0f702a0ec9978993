#include "common/json_text.h"

#include <stdio.h>
#include <string.h>

enum {
	MAX_DEPTH = 32, /* nested objects and arrays */
	PATH_SIZE = 256 /* bytes, with the NUL */
};

/* Scans a JSON text and tracks the dotted path of the current key. */
typedef struct scanner {
	const char *at;
	const char *end;
	text_pos_t pos;
	const char *target; /* the path to find */
	size_t ends[MAX_DEPTH]; /* length of the path at each depth */
	/* Index of the current array element at each depth; -1: an object. */
	int index[MAX_DEPTH];
	int depth; /* may exceed MAX_DEPTH; deeper paths are not found */
	char path[PATH_SIZE];
} scanner_t;

void json_text_blank_comments(char *text, size_t len)
{
	bool in_string = false;
	size_t i = 0;

	while (i < len) {
		bool line = !in_string && i + 1 < len && text[i] == '/' &&
			    text[i + 1] == '/';
		bool block = !in_string && i + 1 < len && text[i] == '/' &&
			     text[i + 1] == '*';

		if (in_string && text[i] == '\\') {
			i += 2;
			continue;
		}
		if (text[i] == '"')
			in_string = !in_string;
		if (line) {
			while (i < len && text[i] != '\n')
				text[i++] = ' ';
		} else if (block) {
			text[i++] = ' ';
			text[i++] = ' ';
			while (i < len && !(text[i] == '*' && i + 1 < len &&
					    text[i + 1] == '/')) {
				if (text[i] != '\n')
					text[i] = ' ';
				i++;
			}
			for (int k = 0; k < 2 && i < len; k++)
				text[i++] = ' ';
		} else {
			i++;
		}
	}
}

json_t *json_text_parse(str_t text, const char *name, err_t *err)
{
	g_autofree char *copy = g_strndup(text.ptr, text.len);
	json_error_t jerr;
	json_t *root;

	json_text_blank_comments(copy, text.len);
	root = json_loadb(copy, text.len, JSON_REJECT_DUPLICATES, &jerr);
	if (!root) {
		err_set(err, ERR_INVALID, "parse", "", "%s:%d:%d: %s", name,
			jerr.line, jerr.column, jerr.text);
		return NULL;
	}
	if (!json_is_object(root)) {
		json_decref(root);
		err_set(err, ERR_INVALID, "parse", "",
			"%s:1:1: an object is expected", name);
		return NULL;
	}
	return root;
}

static void advance(scanner_t *sc)
{
	if (*sc->at == '\n') {
		sc->pos.line++;
		sc->pos.column = 1;
	} else {
		sc->pos.column++;
	}
	sc->at++;
}

static str_t scan_string(scanner_t *sc)
{
	const char *start;

	advance(sc);
	start = sc->at;
	while (sc->at < sc->end && *sc->at != '"') {
		if (*sc->at == '\\')
			advance(sc);
		if (sc->at < sc->end)
			advance(sc);
	}
	str_t s = { start, sc->at - start };
	if (sc->at < sc->end)
		advance(sc);
	return s;
}

/* Sets the path's last component. Truncates a path that is too long. */
static void set_key(scanner_t *sc, str_t key)
{
	size_t base;
	size_t room;
	size_t n;

	if (sc->depth >= MAX_DEPTH)
		return;
	base = sc->depth > 0 ? sc->ends[sc->depth - 1] : 0;
	room = sizeof(sc->path) - base - 2;
	n = key.len < room ? key.len : room;
	if (base)
		sc->path[base++] = '.';
	memcpy(sc->path + base, key.ptr, n);
	sc->path[base + n] = '\0';
	sc->ends[sc->depth] = base + n;
}

static bool next_is_colon(const scanner_t *sc)
{
	const char *p = sc->at;

	while (p < sc->end && strchr(" \t\r\n", *p))
		p++;
	return p < sc->end && *p == ':';
}

static bool set_index(scanner_t *sc, int index)
{
	char text[16];

	if (sc->depth >= MAX_DEPTH)
		return false;
	sc->index[sc->depth] = index;
	snprintf(text, sizeof(text), "%d", index);
	set_key(sc, str_from(text));
	return !strcmp(sc->path, sc->target);
}

static void enter_nested(scanner_t *sc, int index)
{
	if (++sc->depth < MAX_DEPTH) {
		sc->ends[sc->depth] = 0;
		sc->index[sc->depth] = index;
	}
}

/* Processes a bracket or comma. Returns true at the element to find. */
static bool scan_punctuation(scanner_t *sc)
{
	bool in_array = sc->depth > 0 && sc->depth < MAX_DEPTH &&
			sc->index[sc->depth] >= 0;
	bool found = false;
	char c = *sc->at;

	if (c == '{')
		enter_nested(sc, -1);
	else if (c == '[')
		enter_nested(sc, 0);
	else if ((c == '}' || c == ']') && sc->depth > 0)
		sc->depth--;
	if (c == '[')
		found = set_index(sc, 0);
	else if (c == ',' && in_array)
		found = set_index(sc, sc->index[sc->depth] + 1);
	advance(sc);
	while (found && sc->at < sc->end && strchr(" \t\r\n", *sc->at))
		advance(sc);
	return found;
}

static bool scan_token(scanner_t *sc)
{
	if (*sc->at == '"') {
		text_pos_t pos = sc->pos;
		str_t s = scan_string(sc);

		if (!next_is_colon(sc))
			return false;
		set_key(sc, s);
		if (strcmp(sc->path, sc->target))
			return false;
		sc->pos = pos;
		return true;
	}
	return scan_punctuation(sc);
}

text_pos_t json_text_find(str_t text, const char *path)
{
	g_autofree char *copy = g_strndup(text.ptr, text.len);
	scanner_t sc = {
		.at = copy,
		.end = copy + text.len,
		.pos = { 1, 1 },
		.target = path,
	};

	json_text_blank_comments(copy, text.len);
	while (sc.at < sc.end)
		if (scan_token(&sc))
			return sc.pos;
	return (text_pos_t){ 1, 1 };
}
