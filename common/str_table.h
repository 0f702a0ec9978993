/* GLib hash tables with length-counted strings as keys. */
#ifndef COMMON_STR_TABLE_H
#define COMMON_STR_TABLE_H

#include <glib.h>

#include "common/str.h"

/*
 * Returns a table whose keys are `str_t *`. Keys usually point into the
 * values, so only the values are freed, with FREE_VALUE.
 */
GHashTable *str_table_new(GDestroyNotify free_value);

#endif
