/*
 * Renders a settings template as the platform does: values, sections repeated
 * for each entry of a list or table, and conditional sections.
 */
#ifndef TESTS_LIB_TEMPLATE_H
#define TESTS_LIB_TEMPLATE_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>

/*
 * Renders TEXT with FIELDS and appends the result to OUT. Supports {{a.b}}
 * (value), {{.}} (current entry), {{@}} (its key or index), {{,}} (comma except
 * after the last entry), and the sections {{#a}} and {{^a}}, closed by {{/a}}.
 * Returns false for any other tag.
 */
bool template_render(const char *text, json_t *fields, GString *out);

#endif
