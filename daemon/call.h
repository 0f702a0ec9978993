/* A caller's request, parsed and validated from its HTTP request. */
#ifndef DAEMON_CALL_H
#define DAEMON_CALL_H

#include <event2/http.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "core/member.h"
#include "daemon/settings.h"
#include "net/http1.h"

/* One request; owns all its strings. */
typedef struct call {
	enum evhttp_cmd_type method;
	char service[MEMBER_NAME_SIZE];
	char team[MEMBER_NAME_SIZE]; /* "default" when none is named */
	char tier[MEMBER_NAME_SIZE]; /* "" for the service's default */
	int64_t deadline_ms; /* until the deadline; 0 for the tier's default */
	char *key; /* Idempotency-Key, or NULL */
	char *ticket; /* Papaya-Ticket, or NULL */
	char *credential; /* bearer credential, or NULL */
	char *parent_id; /* request ID on the forwarding daemon, or NULL */
	char *uri; /* as received */
	char *path; /* for the upstream, with the query */
	GBytes *body;
	GPtrArray *headers; /* to forward: name, value, name, value ... */
	uint64_t fingerprint; /* of method, path and body */
	uint64_t prefix_hash; /* of the first bytes of the prompt; 0: none */
	uint32_t prompt_tokens; /* estimate */
	uint32_t output_tokens; /* estimate */
	bool is_ticket_request; /* POST /v1/tickets */
	bool is_completion;
	bool is_stream;
	bool is_safe; /* GET, HEAD or OPTIONS */
	bool is_forwarded; /* received from another daemon */
	uint32_t hops; /* daemons that forwarded it */
} call_t;

/*
 * The first hop reaches a daemon in the key's zone, not necessarily the owner,
 * because daemons know only a few daemons of other zones. The second hop
 * reaches the owner.
 */
enum { CALL_MAX_HOPS = 2 };

/* Why a request was rejected. */
typedef struct call_error {
	int status; /* HTTP status */
	const char *field; /* invalid part: a header, JSON member or "path" */
	char message[160];
} call_error_t;

/* Sets ERROR and returns false. */
bool call_reject(call_error_t *error, int status, const char *field,
		 const char *fmt, ...) __attribute__((format(printf, 4, 5)));

/*
 * Parses a request; CALL keeps a reference to BODY. On failure returns false
 * with ERROR set, and nothing needs freeing.
 */
bool call_parse(call_t *call, const http1_head_t *head, GBytes *body,
		const settings_t *settings, call_error_t *error);
void call_finish(call_t *call);

/*
 * Returns the creation time of a key in milliseconds of wall clock if it is a
 * UUID of version 7, with or without a zone prefix; else -1.
 */
int64_t call_key_created_ms(const char *key);
/*
 * Sets OUT to the zone that prefixes the key ("ZONE/..."), or to "" if the key
 * has no such prefix or the zone is not one of ZONES.
 */
void call_key_zone(const char *key, char *const *zones, char *out, size_t size);
/*
 * Parses the name and boot ID of the daemon that issued a ticket; returns
 * false when the ticket is malformed.
 */
bool call_ticket_daemon(const char *ticket, char *out, size_t size,
			uint64_t *boot_id);

#endif
