/*
 * A fake platform on loopback for contract tests: append logs, a VM list and
 * the daemons' admin addresses. It runs in the test's event loop and can
 * inject faults.
 */
#ifndef TESTS_LIB_FAKE_PLATFORM_H
#define TESTS_LIB_FAKE_PLATFORM_H

#include "tests/lib_fake_http.h"

enum { FAKE_MAX_VMS = 4 };

typedef enum fake_append {
	FAKE_APPEND_OK,
	FAKE_APPEND_LOST, /* appended, but the answer is lost */
	FAKE_APPEND_DROPPED, /* not appended, no answer */
	FAKE_APPEND_RATE, /* not appended, status 429 */
	FAKE_APPEND_OUTAGE, /* not appended, status 503 */
} fake_append_t;

/* One daemon behind its admin address. */
typedef struct fake_vm {
	fake_http_t http;
	const char *zone;
	const char *name;
	bool is_leaving;
	uint64_t version; /* of the document it reports */
	bool is_silent; /* accepts connections, never answers */
	const char *token; /* required in requests; NULL: none */
	char last[64]; /* method and path of the last request */
} fake_vm_t;

typedef struct fake_platform {
	fake_http_t http;
	GPtrArray *config; /* records as text, from offset 0 */
	GPtrArray *accounts; /* the same for the accounts log */
	uint64_t oldest; /* oldest offset still in the config log */
	uint64_t accounts_oldest; /* the same for the accounts log */
	fake_append_t append[8]; /* fault of each append; OK past the end */
	int appends; /* number received */
	/* A concurrent record, appended just before the next. */
	char *concurrent_record;
	bool fails_vm_list; /* requests for the VM list get 503 */
	fake_vm_t vms[FAKE_MAX_VMS];
	size_t n_vms;
} fake_platform_t;

void fake_platform_init(fake_platform_t *p, struct event_base *base);
void fake_platform_finish(fake_platform_t *p);
/* Adds a daemon that reports VERSION. */
fake_vm_t *fake_platform_add(fake_platform_t *p, const char *zone,
			     const char *name, uint64_t version);

#endif
