/* Helper functions for GLib's GSequence. */
#ifndef COMMON_SEQUENCE_H
#define COMMON_SEQUENCE_H

#include <glib.h>

/* Removes the item at *ITER, if any, and clears *ITER. */
static inline void sequence_remove(GSequenceIter **iter)
{
	if (*iter)
		g_sequence_remove(*iter);
	*iter = NULL;
}

/* Returns the first item, or NULL. */
static inline gpointer sequence_first(GSequence *sequence)
{
	if (g_sequence_is_empty(sequence))
		return NULL;
	return g_sequence_get(g_sequence_get_begin_iter(sequence));
}

/* Returns the last item; the sequence must not be empty. */
static inline gpointer sequence_last(GSequence *sequence)
{
	GSequenceIter *end = g_sequence_get_end_iter(sequence);

	return g_sequence_get(g_sequence_iter_prev(end));
}

#endif
