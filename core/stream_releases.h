/*
 * Which release of a service's software began each recent stream, by a hash of
 * the attempt that brought its first event. Bounded: the oldest makes room.
 * Does no I/O and reads no clock; times are microseconds of the monotonic
 * clock.
 */
#ifndef CORE_STREAM_RELEASES_H
#define CORE_STREAM_RELEASES_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * What is said of a stream. Its request may be sent to runners of several
 * releases before one begins it; who knows an earlier send may lack a later one.
 * So only STREAM_RELEASES_BEGUN is final. Older builds write a word on each send,
 * under its number from 0, and none when the stream begins; of several words they
 * and this build take the one with the highest number.
 */
enum { STREAM_RELEASES_BEGUN = 3 };

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
/* Returns what stands for the word WORD on a stream. */
uint64_t stream_releases_key(uint64_t stream, uint32_t word);
/* Returns the highest word on the stream that is known; 0 if none is. */
uint32_t stream_releases_last_word(const stream_releases_t *t, uint64_t stream);
/* Adds a stream, or replaces what is known of it. */
void stream_releases_add(stream_releases_t *t, const stream_release_t *stream,
			 int64_t now);
/*
 * The same for what was read from a log that others write to. It doesn't replace
 * what was added without it, and a later word on the stream may follow.
 */
void stream_releases_add_read(stream_releases_t *t,
			      const stream_release_t *stream, int64_t now);
/* Whether what is known of the stream was read. */
bool stream_releases_is_read(const stream_releases_t *t, uint64_t stream);
/* Returns the release that began a stream; 0: not known. */
uint64_t stream_releases_find(const stream_releases_t *t, uint64_t stream);
/* Removes the streams that were added before a time. */
void stream_releases_remove_before(stream_releases_t *t, int64_t time);
/* Appends all streams to OUT, an array of stream_release_t. */
void stream_releases_list(const stream_releases_t *t, GArray *out);

#endif
