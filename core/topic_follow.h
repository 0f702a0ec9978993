/*
 * How a daemon keeps up with a topic of the store without every daemon
 * reading it: a few readers read and tell the others; who hears nothing for
 * too long, or misses something for long, reads for itself. Pure; times are
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
	int64_t missed_at; /* since when records are missing; 0: none are */
	int64_t list_at; /* until then another daemon may give its list */
	int64_t retry_at; /* the store failed: not to be called before */
	uint32_t failures; /* calls in a row */
} topic_follow_t;

typedef enum topic_news {
	TOPIC_NEWS_OLD, /* nothing that is not known */
	TOPIC_NEWS_APPLY, /* take the records */
	TOPIC_NEWS_MISSED, /* records before these were missed */
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
/*
 * Another daemon gave its whole list, which is up to NEXT. Returns whether it
 * is to be taken in the place of what is known.
 */
bool topic_follow_take_list(topic_follow_t *f, uint64_t next, int64_t now);
/*
 * A call failed. DAEMONS may be trying; the more they are, the later
 * this one tries again, since whoever gets through tells the others. DRAW is
 * a random number from 0 to 1.
 */
void topic_follow_failed(topic_follow_t *f, uint32_t daemons, double draw,
			 int64_t now);
/*
 * How old the readers' last word may be for one of so many DAEMONS that hear
 * it: drawn apart, so that one reads and tells the others before they do.
 */
int64_t topic_follow_patience(uint32_t daemons, double draw);
/*
 * Tells whether another daemon's list would help: nothing was listed yet, or
 * records were missed. Both may also come by themselves: the tellers are not
 * all equally far.
 */
bool topic_follow_wants_list(const topic_follow_t *f);
/* Tells whether this daemon must read for itself now. */
bool topic_follow_is_due(const topic_follow_t *f, int64_t now);

#endif
