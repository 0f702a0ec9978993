/*
 * Runs the store task alone, as the store's reader, before a fake store whose
 * topics a test fills, shortens and moves to another epoch, and fakes for the
 * other tasks.
 */
#ifndef TESTS_LIB_STORE_FIXTURE_H
#define TESTS_LIB_STORE_FIXTURE_H

#include "daemon/supervisor.h"
#include "platform/store.h"
#include "tests/lib_fake_http.h"

enum {
	STORE_FIXTURE_TOPICS = 4,
	STORE_FIXTURE_RECORDS = 48, /* of a topic, at most */
	STORE_FIXTURE_LIMIT_US = 3 * 1000 * 1000, /* for the task to learn it */
};

/* Both strings are owned by the topic. */
typedef struct fake_record {
	char *key, *value;
	size_t len; /* of the value, which has a NUL behind it */
} fake_record_t;

/* A topic and its records. */
typedef struct fake_topic {
	const char *name;
	fake_record_t records[STORE_FIXTURE_RECORDS];
	size_t n;
} fake_topic_t;

/* The task, its store, and what the other tasks were told. */
typedef struct store_fixture {
	struct event_base *base;
	settings_t settings;
	supervisor_t sup;
	fake_http_t http;
	fake_topic_t topics[STORE_FIXTURE_TOPICS];
	int epoch;
	/* What the other tasks were told. */
	int removals; /* of runners, to the other daemons */
	int last_sequence; /* of the entry sent with the latest of these */
	int version, lowest_version; /* lowest: after a higher one; 0: none */
	int runners, leaving;
	/* Of the latest update of the configuration with another epoch: */
	topic_position_t told_from, told_to;
	int tells; /* such updates */
	int configs_told; /* records of the configuration in updates */
	int appends; /* of this daemon's entry */
	int part_appends; /* of other records in the daemons' topic */
	int stream_appends; /* of streams that began */
	int stream_answers; /* to questions about these */
	stream_release_t last_stream; /* the latest answer */
	uint64_t only_release; /* of service "s", in the latest list */
	int lists; /* of VMs */
	int refused_appends; /* the next ones that the store refuses */
	bool is_down; /* the store refuses all calls */
	int refused[STORE_FIXTURE_TOPICS]; /* calls while it was down */
	int quarantined; /* prompt parts that the front task was told of */
	quarantine_entry_t last_quarantined;
	int sent_version; /* of the configuration sent to another daemon */
	int configs_sent; /* how often it was */
	bool has_old_peer; /* another daemon lists what it knew before */
	int old_peer_next;
} store_fixture_t;

/* Starts the task; the store is in epoch 1, with no records. */
void store_fixture_init(store_fixture_t *f);
void store_fixture_finish(store_fixture_t *f);
/* Starts the task anew, as a new process would. */
void store_fixture_restart(store_fixture_t *f);
/* The same as a seed, which lists the store without waiting for daemons. */
void store_fixture_restart_as_seed(store_fixture_t *f);
/* Adds a record; VALUE is freed by the fixture. */
void store_fixture_put(store_fixture_t *f, int topic, const char *key,
		       char *value);
/* Adds a word on a stream, as another daemon's recorder writes it. */
void store_fixture_put_stream(store_fixture_t *f, uint64_t stream,
			      uint64_t release);
/* Adds a valid configuration of this version. */
void store_fixture_put_config(store_fixture_t *f, int version);
/* Another daemon sends this version, without the store. */
void store_fixture_relay_config(store_fixture_t *f, int version);
/* Adds an entry of a ready runner of this release of its software. */
void store_fixture_put_release(store_fixture_t *f, const char *id,
			       const char *release);
/* Adds an entry of a runner, of an incarnation that is always the same. */
void store_fixture_put_runner(store_fixture_t *f, const char *id, int sequence,
			      const char *state);
/*
 * Another daemon sends what it read of the runners from FROM to TO, in epoch 1:
 * nothing, or that the store removed the entry of runner GONE. IS_STABLE: it saw
 * no recent outage.
 */
void store_fixture_send_runners(store_fixture_t *f, uint64_t from, uint64_t to,
				const char *gone, bool is_stable);
/* Removes all but the first N records of a topic. */
void store_fixture_go_back(store_fixture_t *f, int topic, size_t n);
/* Runs until VALUE equals WANTED; returns whether it does in time. */
bool store_fixture_await(store_fixture_t *f, const int *value, int wanted);
/* Runs the event loop for US microseconds. */
void store_fixture_run(store_fixture_t *f, int64_t us);

#endif
