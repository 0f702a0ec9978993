/*
 * Blocking requests to the platform and to daemons' admin addresses. Each
 * call runs the event loop until it has an answer or an error.
 */
#ifndef CTL_REMOTE_H
#define CTL_REMOTE_H

#include <event2/http.h>
#include <glib.h>

#include "ctl/ctl.h"
#include "platform/platform_client.h"

typedef struct remote {
	ctl_t *ctl;
	platform_client_t platform;
	int64_t timeout_ms;
} remote_t;

void remote_init(remote_t *r, ctl_t *ctl, const char *platform,
		 int64_t timeout_ms);
void remote_finish(remote_t *r);

/*
 * Appends a record once, without a retry, and sets *OFFSET. After an error,
 * platform_append_is_unknown(ERR) tells whether the record may have been
 * appended.
 */
bool remote_append_log(remote_t *r, const char *log, str_t data,
		       uint64_t *offset, err_t *err);

/* Called for each page of a log; see platform_read_fn. */
typedef void (*remote_page_fn)(void *ctx, const platform_record_t *records,
			       size_t n, uint64_t oldest);
/* Reads a log from offset *NEXT to its end, and sets *NEXT to that end. */
bool remote_read_log(remote_t *r, const char *log, uint64_t *next,
		     remote_page_fn fn, void *ctx, err_t *err);

/* Reads the entry VMs, sorted by zone and name; elements are member_vm_t. */
GArray *remote_list_vms(remote_t *r, err_t *err);

/* Blocks for MS milliseconds. */
void remote_sleep(remote_t *r, int64_t ms);

/* One daemon's answer. */
typedef struct remote_answer {
	int status; /* HTTP status; 0: no answer */
	GString *body;
	err_t err; /* code ERR_NONE if there was an answer */
} remote_answer_t;

/*
 * Asks all VMs of the list at once at their admin addresses. Returns an
 * array of remote_answer_t in the same order; free it with g_array_unref.
 */
GArray *remote_request_all(remote_t *r, const GArray *vms,
			   enum evhttp_cmd_type method, const char *path,
			   const char *token);
/*
 * Sends BODY by POST to one daemon's admin address. ANSWER->body is to be freed
 * in any case.
 */
void remote_post(remote_t *r, const char *address, const char *path, str_t body,
		 const char *token, remote_answer_t *answer);

#endif
