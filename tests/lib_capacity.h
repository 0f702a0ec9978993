/*
 * Runs the capacity task alone, with fakes for the other tasks, and counts what
 * it answers to each attempt of another daemon.
 */
#ifndef TESTS_LIB_CAPACITY_H
#define TESTS_LIB_CAPACITY_H

#include "daemon/supervisor.h"

#define CAPACITY_PEER "peer" /* the daemon that owns all attempts */

enum {
	CAPACITY_ATTEMPTS = 8,
	CAPACITY_OWNER = 7, /* its boot ID */
	CAPACITY_LIMIT_US = 2 * G_USEC_PER_SEC,
};

typedef struct capacity_fixture {
	struct event_base *base;
	settings_t settings;
	supervisor_t sup;
	/* Numbers of answers to each attempt. */
	int grants[CAPACITY_ATTEMPTS], refusals[CAPACITY_ATTEMPTS],
		queued[CAPACITY_ATTEMPTS];
	int speeds; /* messages with learned speeds */
	uint32_t speeds_told; /* of so many runners, together */
} capacity_fixture_t;

/* SETTINGS: more of them, as JSON that begins with a comma, or "". */
void capacity_begin(capacity_fixture_t *f, const char *settings);
void capacity_end(capacity_fixture_t *f);
/* Runs the event loop for US microseconds. */
void capacity_run(capacity_fixture_t *f, int64_t us);
/* Posts a configuration with the engine service "s". */
void capacity_post_config(capacity_fixture_t *f);
/* Posts a list with its runner "r", which has one place. */
void capacity_post_list(capacity_fixture_t *f);
/* Returns the owner's want for an attempt. */
message_t capacity_want(uint64_t attempt);
/* Posts a message of TYPE about an attempt. */
void capacity_post(capacity_fixture_t *f, uint64_t attempt,
		   message_type_t type);

#endif
