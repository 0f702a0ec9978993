/*
 * Shared by the cases' programs: starts the deploy file's daemons and the
 * project's stand-in of the platform's store on loopback addresses, registers
 * runners, makes clients' requests, and records what was seen. Blocking sockets
 * and threads; errors of the set-up end the program with status 2.
 */
#ifndef REVIEW_SIM_H
#define REVIEW_SIM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

enum {
	SIM_HELD = 0, /* exit status: the rule held */
	SIM_BROKEN = 1,
	SIM_FAILED = 2, /* the case could not run */
	SIM_FRONT_PORT = 8221,
	SIM_READY_PORT = 8224,
	SIM_STORE_PORT = 8225,
	SIM_RUNNER_PORT = 8308,
	SIM_HEARTBEAT_MS = 1200,
};

/* A whole answer as a client read it. */
typedef struct sim_answer {
	int status; /* 0: none */
	bool is_complete; /* by its framing */
	char seal[64];
	char head[4096];
	char *body; /* malloc'ed */
	size_t len;
} sim_answer_t;

/* A registered runner; its entry is renewed until it is removed. */
typedef struct sim_runner {
	char id[32], service[32], zone[32], address[64];
	const char *state; /* "ready" or "draining" */
	int sequence;
	int64_t born_ms;
	int slots;
	volatile bool renews; /* a thread writes the entry at each heartbeat */
} sim_runner_t;

/* Reads TROUBLE, makes a temporary folder, opens record.txt, starts the store.
 */
void sim_start(int argc, char **argv);
bool sim_has_trouble(void);
/* Ends all processes that were started, and this program. */
void sim_end(int status) __attribute__((noreturn));
void sim_fail(const char *what) __attribute__((noreturn));
/* Writes a line to record.txt, with the milliseconds since the start. */
void sim_record(const char *fmt, ...) __attribute__((format(printf, 1, 2)));
int64_t sim_ms(void);
void sim_sleep(int ms);

/* Address of host HOST of zone ZONE: 127.NET.ZONE.HOST; a static buffer. */
const char *sim_ip(int zone, int host);

/* Writes a record of a keyed topic, as the operator or a runner does. */
void sim_put(const char *topic, const char *key, const char *value);
/* Writes the configuration; TENANTS and ROUTES are JSON lists. */
void sim_config(int version, const char *routes, const char *services,
		const char *tenants);
/* Starts daemon N of zone ZONE with the settings of deploy/papayad.json. */
pid_t sim_daemon(int zone, int n);
/* Waits until the daemon answers GET /readiness with 200. */
void sim_await_ready(int zone, int n);

/* Writes the entry once, with the next sequence number. */
void sim_runner_write(sim_runner_t *r);
/* Writes the first entry, and renews it until RENEWS is unset. */
void sim_runner_register(sim_runner_t *r);

/* A request as a runner read it. */
typedef struct sim_request {
	char head[20000];
	char method[16], path[256], attempt[64];
} sim_request_t;

/* Serves one connection; closes FD. */
typedef void (*sim_serve_fn)(int fd, void *ctx);

/* Accepts connections and calls FN in a thread for each. */
void sim_serve(const char *ip, int port, int receive_buffer, sim_serve_fn fn,
	       void *ctx);
/* Reads a request with its body, which has a length; false at the end. */
bool sim_read_request(int fd, sim_request_t *out);
/* Answers with a length; HEADERS are whole lines. */
bool sim_reply(int fd, int status, const char *headers, const char *body);
/* A client's request on a connection of its own, HEAD being all of it. */
bool sim_call(int zone, int n, const char *head, int timeout_ms,
	      sim_answer_t *out);

int sim_listen(const char *ip, int port, int receive_buffer);
int sim_connect(const char *ip, int port);
bool sim_send(int fd, const void *data, size_t len);
/* Reads up to the empty line; returns the head's length, 0 at the end. */
size_t sim_read_head(int fd, char *buf, size_t size, size_t *n_read);
/* Copies a header's value; false when there is none. */
bool sim_header(const char *head, const char *name, char *out, size_t size);
/* Reads an answer, for TIMEOUT_MS at most. */
void sim_read_answer(int fd, sim_answer_t *out, int timeout_ms);
/* Closes with a TCP reset. */
void sim_reset(int fd);
void sim_thread(void *(*fn)(void *), void *arg);

#endif
