/*
 * The front task alone: real callers and runners over HTTP, and fakes in
 * place of the other tasks.
 */
#ifndef TESTS_LIB_FRONT_H
#define TESTS_LIB_FRONT_H

#include "daemon/job.h"
#include "tests/lib_fake_http.h"

enum { MAX_CALLS = 4 };

/* One caller of a test. */
typedef struct client {
	http_call_t call;
	GString *body;
	int status;
	outcome_t outcome;
	char retry_after[16];
	err_t err;
	bool is_ended;
} front_client_t;

/* The daemon under test with everything around it. */
typedef struct bed {
	struct event_base *base;
	settings_t settings;
	supervisor_t sup;
	fake_http_t runner;
	const char *runner_answer; /* raw bytes; NULL: close without any */
	fake_end_t runner_end;
	const char *resume_answer; /* to a resume */
	char resume_path[160]; /* of the last resume */
	bool is_last_hop; /* the last request said that two passed it on */
	front_client_t clients[MAX_CALLS];
	/* What the fake peers task does and saw. */
	member_owner_t owner;
	dedup_t keys;
	const char *grant_address; /* NULL: the fake runner's */
	refuse_reason_t refuse;
	bool refuses;
	bool is_locate_mute; /* keeps what is asked instead of answering */
	message_locate_t located; /* what was asked last, kept */
	bool is_mute; /* neither grants nor refuses */
	bool is_limiter_mute; /* the zone's counter does not answer */
	int wants;
	int dones;
	int withdraws;
	done_result_t last_done;
	uint32_t last_output; /* tokens, as the last DONE said */
	accounts_sum_t sum;
} front_bed_t;

#define COMPLETIONS "/v1/completions"
#define HOLDS "/v1/services/desk/holds"
#define PROMPT "{\"model\":\"model\",\"prompt\":\"abcdefgh\"}"
#define STREAM "{\"model\":\"model\",\"prompt\":\"abcdefgh\",\"stream\":true}"
#define SSE_HEAD "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"

void front_bed_init(front_bed_t *bed);
void front_bed_finish(front_bed_t *bed);
/* Sends a request in slot I; HEADERS is "Name: value" lines. */
front_client_t *front_send(front_bed_t *bed, int i, enum evhttp_cmd_type method,
			   const char *path, const char *headers,
			   const char *body);
/* Sends a request and runs until its answer came. */
front_client_t *front_ask(front_bed_t *bed, int i, enum evhttp_cmd_type method,
			  const char *path, const char *headers,
			  const char *body);
/* Runs until the flag is set, or so many wants came; fails after a while. */
void front_run_until(front_bed_t *bed, const bool *flag);
void front_await_wants(front_bed_t *bed, int wants);
/* Answers LOCATE as the peers task would. */
void front_answer_locate(front_bed_t *bed, const message_locate_t *asked);

#endif
