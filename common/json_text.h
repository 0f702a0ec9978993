/*
 * JSON with comments, parsed by jansson: comments are replaced by spaces in
 * place, so that the lines and columns of error messages match the file.
 */
#ifndef COMMON_JSON_TEXT_H
#define COMMON_JSON_TEXT_H

#include <glib.h>
#include <jansson.h>

#include "common/err.h"
#include "common/str.h"

/* A position in a text; both fields count from one. */
typedef struct text_pos {
	int line;
	int column;
} text_pos_t;

/* Replaces comments outside strings by spaces, keeping line breaks. */
void json_text_blank_comments(char *text, size_t len);

/*
 * Parses a JSON object that may contain comments; duplicate keys are an error.
 * NAME is the file name for error messages. Returns a new reference, or NULL
 * with ERR set.
 */
json_t *json_text_parse(str_t text, const char *name, err_t *err);

/*
 * Finds the position of a key or a list element, given as a dotted path
 * ("tiers.0.name"), in a valid JSON text with comments. Returns line 1,
 * column 1 when the path doesn't exist.
 */
text_pos_t json_text_find(str_t text, const char *path);

#endif
