/* An append-only log in memory; records expire by count and age. */
#ifndef STANDIN_LIB_RECORD_LOG_H
#define STANDIN_LIB_RECORD_LOG_H

#include <glib.h>
#include <jansson.h>
#include <stdint.h>

#include "common/str.h"

typedef struct record_log {
	GQueue records; /* oldest first */
	int64_t next; /* offset of the next record */
} record_log_t;

void record_log_init(record_log_t *log);
void record_log_finish(record_log_t *log);
/* Returns the record's offset, or -1 when DATA is not UTF-8. */
int64_t record_log_append(record_log_t *log, str_t data, int64_t now_ms);
/* Drops records beyond the newest COUNT or older than AGE_MS; 0: no bound. */
void record_log_expire(record_log_t *log, int64_t count, int64_t age_ms,
		       int64_t now_ms);
/* Returns the offset of the oldest record kept, or next. */
int64_t record_log_oldest(const record_log_t *log);
/* Returns the answer to GET records?from=FROM&limit=LIMIT. */
json_t *record_log_read(const record_log_t *log, int64_t from, int64_t limit);

#endif
