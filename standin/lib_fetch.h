/* A blocking HTTP exchange, for tools and tests. */
#ifndef STANDIN_LIB_FETCH_H
#define STANDIN_LIB_FETCH_H

#include <event2/http.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/err.h"
#include "net/http.h"

enum { FETCH_HEADER_SIZE = 128 };

typedef struct fetch {
	/* Request; headers may be NULL. */
	enum evhttp_cmd_type method;
	const char *address;
	const char *path;
	const char *body; /* NULL: none */
	const http_header_t *headers;
	size_t n_headers;
	int64_t timeout_ms; /* of the whole exchange; 0: five seconds */
	/* Answer. */
	int status; /* 0 when no response head was received */
	char *text; /* the body received so far; to be freed */
	char outcome[FETCH_HEADER_SIZE]; /* Papaya-Outcome */
	char request_id[FETCH_HEADER_SIZE];
	char retry_after[FETCH_HEADER_SIZE];
	bool is_whole;
	err_t err;
} fetch_t;

/* Runs the exchange; true after a complete answer of any status. */
bool fetch_run(fetch_t *f);
/* GET of a JSON document with status 200; a new reference, or NULL. */
json_t *fetch_json(const char *address, const char *path);
/* POST /standin/faults; true when accepted. */
bool fetch_set_faults(const char *address, const char *switches);

#endif
