#include "common/json_text.h"

#include <stdio.h>
#include <string.h>

enum { MAX_DEPTH = 32, PATH_SIZE = 256 };

/* Walks a JSON text and keeps the dotted path of the current key. */
typedef struct walker {
	const char *at;
	const char *end;
	text_pos_t pos;
	const char *want;
	size_t ends[MAX_DEPTH]; /* length of the path at each depth */
	int index[MAX_DEPTH]; /* of the current element; -1 in an object */
	int depth; /* may pass MAX_DEPTH; what is deeper is not found */
	char path[PATH_SIZE];
} walker_t;

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

static void advance(walker_t *w)
{
	if (*w->at == '\n') {
		w->pos.line++;
		w->pos.column = 1;
	} else {
		w->pos.column++;
	}
	w->at++;
}

static str_t take_string(walker_t *w)
{
	const char *start;

	advance(w);
	start = w->at;
	while (w->at < w->end && *w->at != '"') {
		if (*w->at == '\\')
			advance(w);
		if (w->at < w->end)
			advance(w);
	}
	str_t s = { start, w->at - start };
	if (w->at < w->end)
		advance(w);
	return s;
}

/* Sets the last component of the path; too long a path is cut. */
static void set_key(walker_t *w, str_t key)
{
	size_t base;
	size_t room;
	size_t n;

	if (w->depth >= MAX_DEPTH)
		return;
	base = w->depth > 0 ? w->ends[w->depth - 1] : 0;
	room = sizeof(w->path) - base - 2;
	n = key.len < room ? key.len : room;
	if (base)
		w->path[base++] = '.';
	memcpy(w->path + base, key.ptr, n);
	w->path[base + n] = '\0';
	w->ends[w->depth] = base + n;
}

static bool next_is_colon(const walker_t *w)
{
	const char *p = w->at;

	while (p < w->end && strchr(" \t\r\n", *p))
		p++;
	return p < w->end && *p == ':';
}

static bool set_index(walker_t *w, int index)
{
	char text[16];

	if (w->depth >= MAX_DEPTH)
		return false;
	w->index[w->depth] = index;
	snprintf(text, sizeof(text), "%d", index);
	set_key(w, str_from(text));
	return !strcmp(w->path, w->want);
}

static void enter(walker_t *w, int index)
{
	if (++w->depth < MAX_DEPTH) {
		w->ends[w->depth] = 0;
		w->index[w->depth] = index;
	}
}

/* Follows brackets and commas; true when an element is the one wanted. */
static bool follow(walker_t *w)
{
	bool in_array =
		w->depth > 0 && w->depth < MAX_DEPTH && w->index[w->depth] >= 0;
	bool found = false;
	char c = *w->at;

	if (c == '{')
		enter(w, -1);
	else if (c == '[')
		enter(w, 0);
	else if ((c == '}' || c == ']') && w->depth > 0)
		w->depth--;
	if (c == '[')
		found = set_index(w, 0);
	else if (c == ',' && in_array)
		found = set_index(w, w->index[w->depth] + 1);
	advance(w);
	while (found && w->at < w->end && strchr(" \t\r\n", *w->at))
		advance(w);
	return found;
}

static bool step(walker_t *w)
{
	if (*w->at == '"') {
		text_pos_t pos = w->pos;
		str_t s = take_string(w);

		if (!next_is_colon(w))
			return false;
		set_key(w, s);
		if (strcmp(w->path, w->want))
			return false;
		w->pos = pos;
		return true;
	}
	return follow(w);
}

text_pos_t json_text_find(str_t text, const char *path)
{
	g_autofree char *copy = g_strndup(text.ptr, text.len);
	walker_t w = {
		.at = copy,
		.end = copy + text.len,
		.pos = { 1, 1 },
		.want = path,
	};

	json_text_blank_comments(copy, text.len);
	while (w.at < w.end)
		if (step(&w))
			return w.pos;
	return (text_pos_t){ 1, 1 };
}
