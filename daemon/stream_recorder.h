/*
 * Records which release began each stream while a service has several, for the
 * daemon at which a caller takes one up. Other daemons send the streams that
 * begin and ask for them; what was received is kept in memory, and written in
 * batches to a topic of the platform's store, which the next recorder reads if
 * this one ends.
 */
#ifndef DAEMON_STREAM_RECORDER_H
#define DAEMON_STREAM_RECORDER_H

#include "core/release_history.h"
#include "core/stream_releases.h"
#include "daemon/supervisor.h"
#include "platform/store.h"

typedef struct stream_recorder {
	supervisor_t *sup;
	store_t *store;
	const release_history_t *releases; /* of the services */
	stream_releases_t streams; /* received or read */
	GArray *unsaved; /* stream_release_t that are to be written */
	guint n_writing; /* the first ones of UNSAVED are being written */
	int64_t write_at; /* no write before */
	GArray *asks; /* of stream_ask_t: not answered yet */
	uint64_t next; /* first offset of the topic that was not read */
	uint64_t epoch; /* of the store */
	bool is_reading;
	int64_t read_began_at;
	int64_t read_at; /* no read before */
} stream_recorder_t;

void stream_recorder_init(stream_recorder_t *r, supervisor_t *sup,
			  store_t *store, const release_history_t *releases);
void stream_recorder_finish(stream_recorder_t *r);
/* Handles STREAM_NOTES and STREAM_ASK; false for other messages. */
bool stream_recorder_handle(stream_recorder_t *r, const message_t *m);
/*
 * Begins what is due: writes, reads and answers. To be called a few times a
 * second, with the store's epoch; when it rises, the store may have lost what
 * was written.
 */
void stream_recorder_tick(stream_recorder_t *r, uint64_t epoch, int64_t now);

#endif
