/*
 * Runs the gateway task alone, with callers and runners that exchange raw
 * bytes over TCP and fakes for the other tasks. A runner answers each request
 * with the next entry of its list of replies. It sends the bytes unchanged,
 * except that "@" is replaced by the request's attempt ID.
 */
#ifndef TESTS_LIB_GATEWAY_H
#define TESTS_LIB_GATEWAY_H

#include <event2/bufferevent.h>
#include <event2/listener.h>

#include "daemon/gateway.h"

/* A caller's request with attempt ID and body; its head alone. */
#define REQUEST_HEAD(path, id)                                       \
	"POST " path " HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: " id     \
	"\r\nX-Key: key\r\nX-Deadline-Ms: 5000\r\nContent-Length: 2" \
	"\r\n\r\n"
#define REQUEST(path, id) REQUEST_HEAD(path, id) "hi"
/* A runner's complete answer; the head of a streamed answer. */
#define OK                                                              \
	"HTTP/1.1 200 OK\r\nX-Attempt-Id: @\r\nX-Server-Seal: seal\r\n" \
	"Content-Length: 2\r\n\r\nok"
#define STREAM_HEAD                                                     \
	"HTTP/1.1 200 OK\r\nX-Attempt-Id: @\r\nX-Server-Seal: seal\r\n" \
	"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked" \
	"\r\n\r\n"

enum {
	FIXTURE_RUNNERS = 2,
	FIXTURE_CALLERS = 4,
	FIXTURE_REPLIES = 8,
	FIXTURE_NOTED = 8,
};

typedef enum reply_end {
	REPLY_KEEP, /* keep the connection for further requests */
	REPLY_CLOSE,
	REPLY_RESET,
	REPLY_MUTE, /* keep the connection, answer nothing more */
} reply_end_t;

/* A runner's answer; each "@" is replaced by the attempt ID. */
typedef struct reply {
	const char *bytes;
	reply_end_t end;
} reply_t;

/*
 * Bytes that a runner sends repeatedly after the first reply on a connection.
 */
typedef struct trail {
	str_t bytes;
	int64_t every_ms;
	int times; /* times sent; 0: until the connection is closed */
} trail_t;

/* A fake runner: its replies, and what it received. */
typedef struct raw_runner {
	struct gateway_fixture *fixture;
	struct evconnlistener *listener;
	char name[16];
	char address[32];
	uint64_t release; /* as its grants state it */
	const reply_t *replies; /* ends with NULL bytes and REPLY_KEEP */
	trail_t trail; /* not sent if its bytes are empty */
	bool trails_first_only; /* the trail is for the first connection */
	uint64_t n_trailed; /* bytes of the trail written so far */
	int n_requests;
	int n_connects;
	int n_closed; /* connections closed by the gateway */
	GString *heads; /* of all requests, in order */
	GHashTable *conns; /* bufferevent to its trailing_t, or NULL */
} raw_runner_t;

typedef struct raw_caller {
	struct bufferevent *bev;
	GString *received;
	bool is_closed;
} raw_caller_t;

typedef struct gateway_fixture {
	struct event_base *base;
	settings_t settings;
	supervisor_t sup;
	raw_runner_t runners[FIXTURE_RUNNERS];
	raw_caller_t callers[FIXTURE_CALLERS];
	/* The longest body of a request; 0: short. Set before configuring. */
	uint64_t max_body_bytes;
	bool is_mute; /* the fake dispatcher does not answer */
	bool refuses; /* the fake dispatcher refuses */
	struct event *list_timer;
	bool is_list_old; /* the list of runners is not renewed */
	bool limit_refuses; /* the fake limiter refuses */
	bool is_limiter_young; /* and has begun to count just now */
	bool is_limiter_mute; /* the fake limiter does not answer */
	message_t last_want, last_limit; /* latest WANT and LIMIT_ASK */
	/* Numbers of messages received from the gateway. */
	int wants, dones, withdraws, limits, first_tokens;
	message_t last_first_token;
	int part_notices; /* sent to other daemons */
	int notices_of[PART_NOTICE_KINDS]; /* the same, by kind */
	message_part_t last_part_notice, last_crash_notice;
	int stream_asks; /* to recorders of streams */
	stream_release_t last_ask;
	bool was_ask_from_memory;
	int streams_noted; /* sent to recorders */
	stream_release_t noted[FIXTURE_NOTED]; /* the first ones of them */
	/* Pools of roll-outs are granted runner 1, and services runner 0. */
	bool follows_pools;
	int rollout_reports;
	message_rollout_t last_rollout; /* the latest report, without tallies */
	int target_answers, target_failures; /* in all reports */
	int part_records; /* changes of records in the platform's store */
	message_part_t last_part_record;
	done_result_t last_done;
	/* Of the latest DONE: what it says of a runner that bears little. */
	bool last_is_brittle, last_is_refused;
	uint32_t last_refusals_borne;
	bool has_leaving_notice; /* a DONE reported a leaving runner */
	/* Of the first and the latest DONE with a pause. */
	uint32_t first_pause_ms, last_pause_ms;
} gateway_fixture_t;

void gateway_fixture_init(gateway_fixture_t *fixture);
void gateway_fixture_finish(gateway_fixture_t *fixture);
/* Applies a configuration; before that, requests are answered with 503. */
void gateway_fixture_configure(gateway_fixture_t *fixture);
/* Both of these, with the replies of the two runners. */
void gateway_fixture_begin(gateway_fixture_t *fixture, const reply_t *first,
			   const reply_t *second);
/*
 * Starts all runners anew, as other incarnations that answer with REPLIES and
 * have received nothing.
 */
void gateway_restart_runners(gateway_fixture_t *fixture,
			     const reply_t *replies);
/* Returns how many requests the runners received since they started. */
int gateway_count_arrivals(const gateway_fixture_t *fixture);
/* Runs until the reports of the crashes so far have been judged. */
void gateway_await_verdict(gateway_fixture_t *fixture);
/*
 * Sends a list of VMs on which service "s" has RELEASE as its only release; 0:
 * it has several.
 */
void gateway_set_only_release(gateway_fixture_t *fixture, uint64_t release);
/* Answers the latest question for a stream's release; 0: not known. */
void gateway_answer_ask(gateway_fixture_t *fixture, uint64_t release);
/* Answer the latest WANT or LIMIT_ASK, even if answers are switched off. */
void gateway_grant_last(gateway_fixture_t *fixture);
void gateway_allow_last(gateway_fixture_t *fixture);
/* Sends TEXT as caller I; connects first if it has no connection. */
void gateway_send(gateway_fixture_t *fixture, int i, const char *text);
/* Runs until caller I received TEXT or was closed; fails on a timeout. */
void gateway_await(gateway_fixture_t *fixture, int i, const char *text);
void gateway_await_close(gateway_fixture_t *fixture, int i);
/* Runs until *VALUE is at least N; fails on a timeout. */
void gateway_await_count(gateway_fixture_t *fixture, const int *value, int n);
/* Runs the event loop for MS milliseconds. */
void gateway_run(gateway_fixture_t *fixture, int64_t ms);
/* Closes the connection of caller I. */
void gateway_close_caller(gateway_fixture_t *fixture, int i);
/* Returns how often TEXT occurs in the bytes that caller I received. */
int gateway_count(const gateway_fixture_t *fixture, int i, const char *text);

#endif
