/*
 * Follows one topic of the platform's store: reads it, or hears what another
 * daemon read, keeps the newest records, and tells the others.
 */
#ifndef DAEMON_STORE_TOPIC_H
#define DAEMON_STORE_TOPIC_H

#include "core/runner_list.h"
#include "core/topic_follow.h"
#include "daemon/supervisor.h"
#include "daemon/topic_records.h"
#include "platform/store.h"

/* What the followed topics have in common. */
typedef struct store_env {
	supervisor_t *sup;
	store_t *store;
	runner_list_t *runners; /* is told when the runners' list is whole */
	uint32_t daemons; /* that answer, this one included */
	double draw; /* 0 to 1: this daemon's turn to read for silent readers */
	/* Takes a record; returns whether it says anything new. */
	bool (*take)(void *ctx, store_topic_t topic, const store_entry_t *e);
	void *ctx;
} store_env_t;

/* One topic; on memory of the caller. */
typedef struct store_follower {
	const store_env_t *env;
	store_topic_t topic;
	struct event *timer;
	topic_follow_t state;
	topic_records_t records;
	bool is_calling;
	bool is_down;
} store_follower_t;

/* Begins with another daemon's list, or the store's. ENV must outlive F. */
void store_follower_init(store_follower_t *f, const store_env_t *env,
			 store_topic_t topic);
void store_follower_finish(store_follower_t *f);
/* Takes what another daemon read, and tells the own zone if need be. */
void store_follower_hear(store_follower_t *f, const message_news_t *news);
/* Gives another daemon the whole list, if there is one. */
void store_follower_give_list(store_follower_t *f, const char *peer);

#endif
