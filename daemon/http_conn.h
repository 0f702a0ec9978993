/* State of a caller's connection, shared by http_server.c and http_conn.c. */
#ifndef DAEMON_HTTP_CONN_H
#define DAEMON_HTTP_CONN_H

#include <event2/bufferevent.h>

#include "daemon/http_server.h"

enum {
	HTTP_CONN_PEER_SIZE = 32, /* bytes of IP:port, with the NUL */
	/* Retry-After for want of memory: other requests end meanwhile. */
	HTTP_NO_MEMORY_RETRY_MS = 500,
};

struct http_conn {
	http_server_t *server;
	struct bufferevent *bev;
	struct event *timer;
	struct event *closed; /* the caller left; see stop_reading */
	http1_reader_t reader;
	GByteArray *body;
	intake_t intake;
	void *user;
	size_t counted; /* bytes in http_server.requests */
	size_t unsent; /* bytes of the answer, as the timer last saw it */
	bool closes_after_answer;
	bool is_closing; /* its last answer is complete in the output */
	bool is_write_shut; /* the sending side is shut down */
	bool lacks_memory; /* for the request that is being read */
	char peer[HTTP_CONN_PEER_SIZE];
};

/* http_conn.c */

/* Begins to read requests of a connection that was accepted. */
void http_conn_new(http_server_t *s, evutil_socket_t fd, const char *peer);
/* Refuses a request that can't be read to its end, and closes. */
void http_conn_reject(http_conn_t *c, int status, int64_t retry_after_ms,
		      const char *why);
/* Closes the connection after its answer if it serves and reads nothing. */
void http_conn_close_idle(http_conn_t *c);

/* http_server.c */

/*
 * Tells whether the request that C reads may take up N more bytes. Others that
 * are not complete may be refused to make room for it. IS_SHORT_HEAD: only the
 * bound of incomplete requests counts, so that a head of ordinary length can be
 * read while answered requests take up the memory.
 */
bool http_server_make_room(http_conn_t *c, size_t n, bool is_short_head);
/* Tells whether a body of LEN bytes fits beside the complete requests. */
bool http_server_may_take(const http_conn_t *c, uint64_t len);
/* Logs and counts that a connection's request, if any, is given up. */
void http_server_log_given_up(const http_conn_t *c, const char *cause,
			      const char *why);

#endif
