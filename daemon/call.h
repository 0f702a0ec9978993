/* What a caller asks for, read and checked from its HTTP request. */
#ifndef DAEMON_CALL_H
#define DAEMON_CALL_H

#include <event2/http.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "core/member.h"
#include "daemon/settings.h"

/* One request; every string is owned. */
typedef struct call {
	enum evhttp_cmd_type method;
	char service[MEMBER_NAME_SIZE];
	char team[MEMBER_NAME_SIZE]; /* "default" when none is named */
	char tier[MEMBER_NAME_SIZE]; /* "" for the service's default */
	int64_t need_ms; /* 0 for the tier's default */
	char *key; /* Idempotency-Key, or NULL */
	char *ticket; /* Papaya-Ticket, or NULL */
	char *secret; /* bearer credential, or NULL */
	char *parent; /* forwarded: the other daemon's request id, or NULL */
	char *uri; /* as the caller sent it */
	char *path; /* for the upstream, with the query */
	GBytes *body;
	GPtrArray *headers; /* name, value, name, value ... to pass on */
	uint64_t fingerprint; /* of method, path and body */
	uint64_t prefix_hash; /* of the prompt's beginning; 0: none */
	uint32_t prompt_tokens; /* estimate */
	uint32_t output_tokens; /* estimate */
	bool is_ticket_request; /* POST /v1/tickets */
	bool is_completion;
	bool is_stream;
	bool is_safe; /* a method that changes nothing */
	bool is_forwarded; /* another daemon passed it on */
	uint32_t hops; /* daemons that passed it on */
} call_t;

/*
 * From a zone that knows few daemons of the key's zone to one of those, and
 * from there to the owner.
 */
enum { CALL_MAX_HOPS = 2 };

/* Why a request was not accepted. */
typedef struct call_error {
	int status; /* HTTP status */
	const char *field; /* what was wrong: a header, member or "path" */
	char message[160];
} call_error_t;

/* Fills an error and returns false. */
bool call_reject(call_error_t *error, int status, const char *field,
		 const char *fmt, ...) __attribute__((format(printf, 4, 5)));

/*
 * Reads a request; its body is moved out of REQ. On false ERROR is set and
 * nothing needs freeing.
 */
bool call_parse(call_t *call, struct evhttp_request *req,
		const settings_t *settings, call_error_t *error);
void call_finish(call_t *call);

/*
 * Returns when the key was minted, in milliseconds of wall clock, when it is
 * a UUID of version 7 (behind a zone prefix or not); else -1.
 */
int64_t call_key_mint_ms(const char *key);
/* Copies the key's zone prefix ("ZONE/...") when it names a zone. */
void call_key_zone(const char *key, char *const *zones, char *out, size_t size);
/* The daemon that issued a ticket, and its boot number. */
bool call_ticket_daemon(const char *ticket, char *out, size_t size,
			uint64_t *boot);

#endif
