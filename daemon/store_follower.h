/*
 * Follows one topic of the platform's store: reads it, or receives updates from
 * daemons that do, keeps the newest record of each key, and forwards updates.
 */
#ifndef DAEMON_STORE_FOLLOWER_H
#define DAEMON_STORE_FOLLOWER_H

#include "core/runner_list.h"
#include "core/topic_follow.h"
#include "daemon/supervisor.h"
#include "daemon/topic_records.h"
#include "platform/store.h"

/* What an entry that was read says beyond what is known. */
typedef enum entry_news {
	ENTRY_KNOWN, /* nothing */
	ENTRY_NEW, /* something: it is kept, and sent to the other daemons */
	ENTRY_OLD, /* it is older than what is known, which is kept */
} entry_news_t;

/* Shared by the followers of all topics. */
typedef struct store_env {
	supervisor_t *sup;
	store_t *store;
	runner_list_t *runner_list; /* updated from the topic of runners */
	uint32_t daemons; /* reachable, including this one */
	double jitter; /* random, 0 to 1; spreads the daemons' fallback reads */
	/* Applies an entry. */
	entry_news_t (*on_entry)(void *ctx, store_topic_t topic,
				 const store_entry_t *e);
	/* An outage of a topic has ended; here or at another daemon. */
	void (*on_back)(void *ctx);
	/* An answer of the store stated this epoch. */
	void (*on_epoch)(void *ctx, uint64_t epoch);
	void *ctx;
} store_env_t;

/* Follower of one topic; the caller provides the memory. */
typedef struct store_follower {
	const store_env_t *env;
	store_topic_t topic;
	struct event *timer;
	topic_follow_t state;
	topic_records_t records;
	bool is_calling; /* a call to the store is pending */
	bool is_listing; /* and it is a list */
	topic_position_t read_from; /* what was known when it began */
	bool is_down; /* the last call to the store failed */
	uint64_t epoch; /* the store's, in its latest answer */
	/*
	 * The configuration that is kept came around the store: daemons that
	 * know the topic as far as this one may not have it.
	 */
	bool is_config_relayed;
	/* Whose word is being applied: "store", or another daemon's name. */
	const char *source;
} store_follower_t;

/*
 * Starts to follow the topic, from another daemon's list or from the store's.
 * ENV must outlive F.
 */
void store_follower_init(store_follower_t *f, const store_env_t *env,
			 store_topic_t topic);
void store_follower_finish(store_follower_t *f);
/*
 * Applies an update from another daemon, and relays it within this daemon's
 * zone if it comes from another zone.
 */
void store_follower_on_update(store_follower_t *f,
			      const message_update_t *update);
/*
 * The store is in EPOCH: a reader lists the topic at once, if what it knows is
 * of an earlier one. Others are told by the reader.
 */
void store_follower_require_epoch(store_follower_t *f, uint64_t epoch);
/* An outage of a topic has ended: the next call isn't put off further. */
void store_follower_end_wait(store_follower_t *f);
/* Another zone is reached again: a call that is put off is made soon. */
void store_follower_call_soon(store_follower_t *f);
/* Keeps a configuration that another daemon sent, not as part of the topic. */
void store_follower_keep_relayed(store_follower_t *f, str_t text);
/* Sends the whole list to another daemon; does nothing if there is none. */
void store_follower_send_list(store_follower_t *f, const char *peer);

#endif
