/*
 * A crowd of callers that nobody controls: connections that send a part of a
 * request, or far too much of it, and stay open. One thread drives them all.
 */
#ifndef TESTS_LIB_CROWD_H
#define TESTS_LIB_CROWD_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>

/* What each connection of a crowd sends. */
typedef struct crowd_shape {
	int connections;
	int returns; /* new connections in place of each that is closed */
	size_t body; /* bytes of the body, without framing */
	/* As Content-Length, if not 0; else the body is chunked. */
	size_t announced;
	size_t chunk; /* bytes of a chunk */
	size_t piece; /* bytes written in one turn; 0: as many as fit */
	size_t head; /* bytes of a head that has no end; 0: heads are whole */
	int whole; /* one connection of so many sends its whole body; 0: none */
	bool is_silent; /* connects and sends nothing */
} crowd_shape_t;

typedef struct crowd crowd_t;

/* HEAD is the request's start line and headers, without those of the body. */
crowd_t *crowd_new(const char *ip, int port, const char *head,
		   const crowd_shape_t *shape);
/*
 * Connects all, which must succeed, and sends until nothing more can be sent for a while; connections
 * stay open. Calls WATCH from time to time.
 */
void crowd_run(crowd_t *c, void (*watch)(void *ctx), void *ctx);
/*
 * Does the same without an end until *IS_OVER is set, from another thread; all
 * connections come back as often as their shape says.
 */
void crowd_go_on(crowd_t *c, const gint *is_over);
/* Returns how many connections the peer has not closed. */
int crowd_open(const crowd_t *c);
/* Returns how many connections sent all that they were to send. */
int crowd_sent_all(const crowd_t *c);
/* Closes all connections. */
void crowd_free(crowd_t *c);

#endif
