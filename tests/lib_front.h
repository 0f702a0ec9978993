/*
 * Runs the front task alone, with callers and runners that use HTTP and fakes
 * for the other tasks.
 */
#ifndef TESTS_LIB_FRONT_H
#define TESTS_LIB_FRONT_H

#include "daemon/job.h"
#include "tests/lib_fake_http.h"

enum { MAX_CLIENTS = 4 };

/* A caller: its request and the answer to it. */
typedef struct client {
	http_call_t call;
	GString *body;
	int status;
	outcome_t outcome;
	char retry_after[16];
	err_t err;
	bool is_ended;
} front_client_t;

/* The front task under test, its callers, its runner and the fakes. */
typedef struct fixture {
	struct event_base *base;
	settings_t settings;
	supervisor_t sup;
	fake_http_t runner;
	/* Raw bytes of the runner's answer; NULL: close without an answer. */
	const char *runner_answer;
	fake_end_t runner_end;
	const char *resume_answer; /* to a resume request */
	char resume_path[160]; /* of the last resume request */
	bool is_last_hop; /* the last request was forwarded twice */
	front_client_t clients[MAX_CLIENTS];
	/* Behavior of the fake tasks, and what they received. */
	member_owner_t owner;
	dedup_t keys;
	const char *grant_address; /* NULL: the fake runner's address */
	refuse_reason_t refuse; /* reason given when refuses is set */
	bool refuses; /* refuses wants instead of granting them */
	bool is_locate_mute; /* stores LOCATE requests without answering */
	message_locate_t last_locate; /* the last LOCATE request stored */
	bool is_mute; /* neither grants nor refuses wants */
	bool is_limiter_mute; /* the team's limiter does not answer */
	int wants;
	int dones;
	int withdraws;
	done_result_t last_done;
	uint32_t last_output; /* output tokens in the last DONE */
	accounts_sum_t sum; /* of some counters in ACCOUNT messages */
} front_fixture_t;

#define COMPLETIONS "/v1/completions"
#define HOLDS "/v1/services/desk/holds"
#define PROMPT "{\"model\":\"model\",\"prompt\":\"abcdefgh\"}"
#define STREAM_PROMPT \
	"{\"model\":\"model\",\"prompt\":\"abcdefgh\",\"stream\":true}"
#define SSE_HEAD "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"

void front_fixture_init(front_fixture_t *fixture);
void front_fixture_finish(front_fixture_t *fixture);
/* Sends a request in slot I; HEADERS is "Name: value" lines. */
front_client_t *front_send(front_fixture_t *fixture, int i,
			   enum evhttp_cmd_type method, const char *path,
			   const char *headers, const char *body);
/* Sends a request in slot I and runs until it is answered. */
front_client_t *front_request(front_fixture_t *fixture, int i,
			      enum evhttp_cmd_type method, const char *path,
			      const char *headers, const char *body);
/* Runs the event loop until *FLAG is set; fails on a timeout. */
void front_run_until(front_fixture_t *fixture, const bool *flag);
/* Runs until the fake task has received WANTS wants; fails on a timeout. */
void front_await_wants(front_fixture_t *fixture, int wants);
/* Answers LOCATE as the peers task would. */
void front_answer_locate(front_fixture_t *fixture,
			 const message_locate_t *asked);

#endif
