/*
 * JSON with comments, read through jansson: comments are blanked in place,
 * so that every line and column jansson or we report is the file's own.
 */
#ifndef COMMON_JSON_TEXT_H
#define COMMON_JSON_TEXT_H

#include <glib.h>
#include <jansson.h>

#include "common/err.h"
#include "common/str.h"

/* A place in a text; both count from one. */
typedef struct text_pos {
	int line;
	int column;
} text_pos_t;

/* Blanks line and block comments outside strings, keeping line breaks. */
void json_text_blank_comments(char *text, size_t len);

/*
 * Parses a JSON object that may hold comments; duplicate keys are refused.
 * NAME is the file's name for messages. Returns a new reference, or NULL
 * with ERR set.
 */
json_t *json_text_parse(str_t text, const char *name, err_t *err);

/*
 * Finds the place of a key or a list's element, given as a dotted path
 * ("tiers.0.name"), in a valid JSON text with comments. Returns line 1,
 * column 1 when the path is not there.
 */
text_pos_t json_text_find(str_t text, const char *path);

#endif
