/*
 * Fills in a settings template as the platform does: values, sections over
 * lists and tables, and sections that show or hide a part.
 */
#ifndef TESTS_LIB_TEMPLATE_H
#define TESTS_LIB_TEMPLATE_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>

/*
 * Appends TEXT, filled in from FIELDS, to OUT. Understands {{a.b}}, {{.}},
 * {{@}}, {{,}}, {{#a}} and {{^a}} with {{/a}}. Returns false for anything
 * else between braces.
 */
bool template_render(const char *text, json_t *fields, GString *out);

#endif
