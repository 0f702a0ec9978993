/*
 * Which release of a service's software began each recent stream, by a hash of
 * the attempt that brought its first event. Bounded: the oldest makes room.
 * Does no I/O and reads no clock; times are microseconds of the monotonic
 * clock.
 */
#ifndef CORE_STREAM_RELEASES_H
#define CORE_STREAM_RELEASES_H

#include <glib.h>
#include <stdint.h>

/* How long a stream is kept, at least; they end with their callers' time. */
#define STREAM_RELEASES_KEEP_US (INT64_C(60) * 1000 * 1000)

typedef struct stream_release {
	uint64_t stream; /* hash of the attempt that began it */
	uint64_t release; /* hash of the release; not 0 */
} stream_release_t;

typedef struct stream_releases {
	GHashTable *by_stream; /* uint64_t to its link in ORDER */
	GQueue order; /* of entries, the oldest first */
	guint max;
} stream_releases_t;

void stream_releases_init(stream_releases_t *t, guint max);
void stream_releases_finish(stream_releases_t *t);
/* Adds a stream, or replaces what is known of it. */
void stream_releases_add(stream_releases_t *t, const stream_release_t *stream,
			 int64_t now);
/* Returns the release that began a stream; 0: not known. */
uint64_t stream_releases_find(const stream_releases_t *t, uint64_t stream);
/* Removes the streams that were added before a time. */
void stream_releases_remove_before(stream_releases_t *t, int64_t time);
/* Appends all streams to OUT, an array of stream_release_t. */
void stream_releases_list(const stream_releases_t *t, GArray *out);

#endif
