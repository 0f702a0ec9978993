/*
 * How a daemon keeps up with a topic of the store without every daemon
 * reading it: a few readers read and tell the others; who hears nothing for
 * too long, or missed something, reads for itself. Pure; times are
 * microseconds of the monotonic clock.
 */
#ifndef CORE_TOPIC_FOLLOW_H
#define CORE_TOPIC_FOLLOW_H

#include <stdbool.h>
#include <stdint.h>

typedef struct topic_follow {
	uint64_t next; /* offset up to which the topic is known */
	bool is_listed; /* it was listed once, so that next means something */
	bool is_reader; /* this daemon tells the others */
	int64_t patience; /* how old the readers' last word may be */
	int64_t known_at; /* up to when the topic is known */
} topic_follow_t;

typedef enum topic_news {
	TOPIC_NEWS_OLD, /* nothing that is not known */
	TOPIC_NEWS_APPLY, /* take the records */
	TOPIC_NEWS_MISSED, /* records before these were missed: read */
} topic_news_t;

/*
 * The topic was listed or read by this daemon up to NEXT. Returns whether the
 * records are to be taken: what others told meanwhile may reach further, and
 * older records must not undo it.
 */
bool topic_follow_read(topic_follow_t *f, uint64_t next, int64_t now);
/* The store dropped records that were not read: list it anew. */
void topic_follow_lost(topic_follow_t *f);
/*
 * A reader told of records FROM up to NEXT. With TOPIC_NEWS_APPLY the topic
 * counts as known up to NEXT.
 */
topic_news_t topic_follow_hear(topic_follow_t *f, uint64_t from, uint64_t next,
			       int64_t now);
/* Tells whether this daemon must read for itself now. */
bool topic_follow_is_due(const topic_follow_t *f, int64_t now);

#endif
