/*
 * What the clients and the runner of the second review's cases share: sockets
 * with time limits, a reader of HTTP answers, a log with times. All functions
 * are safe to call from several threads, each with sockets of its own.
 */
#ifndef REVIEW_SIM2_H
#define REVIEW_SIM2_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum {
	SIM_HEAD = 32 * 1024, /* greatest head, bytes with the NUL */
	SIM_INPUT = 64 * 1024, /* bytes that are read at once */
};

/* A socket's input that was received and not used yet. */
typedef struct sim_input {
	int fd;
	char bytes[SIM_INPUT];
	size_t len;
	bool has_ended; /* the peer closed or reset */
} sim_input_t;

/* Milliseconds of the monotonic clock. */
int64_t sim_now(void);
void sim_sleep(int64_t ms);
/* Parses "IP:PORT" and connects; RECEIVE_BUFFER in bytes, 0: the system's. */
int sim_connect(const char *address, int receive_buffer);
int sim_listen(const char *address);
/* Sends all bytes; false on an error, or if it takes longer than MS. */
bool sim_send(int fd, const void *bytes, size_t len, int64_t ms);
void sim_input_init(sim_input_t *in, int fd);
/* Waits up to MS for more input; false if there is none. */
bool sim_receive(sim_input_t *in, int64_t ms);
void sim_consume(sim_input_t *in, size_t len);
/*
 * Waits until UNTIL for a whole head, copies it, with its empty line, to OUT
 * (SIM_HEAD bytes) and consumes it. False if it doesn't come.
 */
bool sim_read_head(sim_input_t *in, char *out, int64_t until);
/* Reads and drops LEN bytes; false if they don't come until UNTIL. */
bool sim_skip(sim_input_t *in, size_t len, int64_t until);
/* Copies a header's value to OUT; false, with OUT empty, if there is none. */
bool sim_header(const char *head, const char *name, char *out, size_t size);
/* The status of an answer's head; 0 if it is none. */
int sim_status(const char *head);
/*
 * Sends a request of METHOD and reads its whole answer; returns its status, 0
 * if no whole answer came within MS.
 */
int sim_call(const char *address, const char *request, int64_t ms);
/* Writes a line with the time since the start to standard output. */
void sim_log(const char *format, ...) __attribute__((format(printf, 1, 2)));
/* Resident size of a process, in KiB, from its status; 0: it has ended. */
long sim_resident(int pid);

#endif
