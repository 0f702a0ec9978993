/*
 * Replays the platform's configuration log into named, versioned documents
 * ("profile/NAME", "service/NAME"). All readers apply the same rules to the
 * same records, so they agree on which of several concurrent publications
 * wins. Does no I/O and reads no clock.
 *
 * A record is a JSON object of one of two types:
 *   {"type":"publish","doc":"profile/p","base":3,"nonce":"N","by":"who",
 *    "body":{...}}     is accepted when the document's version equals `base`
 *   {"type":"snapshot","as_of":41,"docs":[{"doc":...,"version":...,
 *    "offset":...,"nonce":...,"body":{...}}]}    holds the documents that the
 *                      records at offsets below 41 produced
 */
#ifndef CORE_CONFIG_DOCS_H
#define CORE_CONFIG_DOCS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/err.h"
#include "common/str.h"

enum {
	CONFIG_NAME_SIZE =
		96, /* bytes of a document's name, including the NUL */
	CONFIG_NONCE_SIZE = 40, /* bytes, including the NUL */
	/* Limits for config_docs_init(), the same for every reader. */
	CONFIG_MAX_DOCS = 256,
	CONFIG_MAX_BYTES = 900 * 1024, /* a snapshot fits a record of 1 MiB */
};

typedef struct config_doc {
	char name[CONFIG_NAME_SIZE];
	/* nonce of the publication that set this version */
	char nonce[CONFIG_NONCE_SIZE];
	uint64_t version; /* starts at 1 and only increases */
	uint64_t offset; /* of that publication's record in the log */
	GBytes *body; /* JSON text; owned by the config_docs_t */
} config_doc_t;

typedef enum config_verdict {
	CONFIG_ACCEPTED,
	CONFIG_SUPERSEDED, /* its `base` is no longer the current version */
	CONFIG_SNAPSHOT_APPLIED,
	CONFIG_SNAPSHOT_IGNORED, /* not needed, or does not close the gap */
	CONFIG_DAMAGED, /* invalid: skipped and counted */
	CONFIG_DEFERRED, /* applied once a snapshot or a peer closes the gap */
	CONFIG_REPEATED, /* before the next offset to read: ignored */
} config_verdict_t;

typedef struct config_docs_ops {
	/* A document has a new version. */
	void (*changed)(void *ctx, const config_doc_t *doc);
	/*
	 * A publication got its verdict; a tool recognizes its own by the
	 * nonce. DOC is the document as it is now, NULL when there is none.
	 */
	void (*on_verdict)(void *ctx, const char *nonce,
			   config_verdict_t verdict, const config_doc_t *doc);
	/* Validates a body; on false the record counts as damaged. */
	bool (*check)(void *ctx, const char *doc, str_t body, err_t *err);
} config_docs_ops_t;

typedef struct config_docs_stats {
	uint64_t records, accepted, superseded, damaged;
	uint64_t snapshots_applied, snapshots_ignored, relayed, gaps;
	uint64_t deferred_dropped; /* deferred records dropped at the limit */
} config_docs_stats_t;

struct config_docs_state;

typedef struct config_docs {
	struct config_docs_state *state;
} config_docs_t;

/*
 * MAX_DOCS and MAX_BYTES limit the documents. A record that would exceed them
 * counts as damaged, so all readers must use the same limits. MAX_BYTES also
 * limits the deferred records. A snapshot has to fit in one record of the log.
 * The log starts at offset 0.
 */
void config_docs_init(config_docs_t *d, uint32_t max_docs, uint64_t max_bytes,
		      const config_docs_ops_t *ops, void *ctx);
void config_docs_finish(config_docs_t *d);

/* Returns the next offset to read from the log. */
uint64_t config_docs_next_offset(const config_docs_t *d);
/*
 * OLDEST is the oldest offset that the log still had at a read. This opens a
 * gap when records expired before they were read. Call it for every read, also
 * for one that returned no records: all of them may have expired.
 */
void config_docs_set_oldest(config_docs_t *d, uint64_t oldest);
/*
 * Applies one record. OLDEST is the oldest offset that the log still had when
 * the record was read. A record before the next offset to read changes nothing.
 */
config_verdict_t config_docs_apply(config_docs_t *d, uint64_t offset,
				   uint64_t oldest, str_t data);
/*
 * Returns false while there is a gap: records expired before they were read,
 * and publications read since may depend on them. A snapshot or a peer's
 * documents close the gap.
 */
bool config_docs_is_complete(const config_docs_t *d);
/*
 * Returns the largest `as_of` of the valid snapshots read so far. A reader that
 * starts now can build all documents as long as the log's oldest offset is not
 * past it.
 */
uint64_t config_docs_snapshot_as_of(const config_docs_t *d);
/*
 * Adds a document received from a peer. Returns false and changes nothing when
 * its version is not newer or it is invalid.
 */
bool config_docs_add_relayed(config_docs_t *d, const config_doc_t *doc);
/*
 * Call it when a peer without a gap, which has read up to NEXT, has sent all
 * its documents. This closes the gap unless it reaches past NEXT.
 */
void config_docs_end_relay(config_docs_t *d, uint64_t next);
const config_doc_t *config_docs_find(const config_docs_t *d, str_t name);
void config_docs_each(const config_docs_t *d,
		      void (*fn)(void *ctx, const config_doc_t *doc),
		      void *ctx);
/*
 * Writes a snapshot record; the caller frees it with g_free. Returns NULL while
 * there is a gap.
 */
char *config_docs_write_snapshot(const config_docs_t *d);
/*
 * Writes a publish record; the caller frees it with g_free. Comments in BODY
 * are left out. Returns NULL when BODY is not a JSON object.
 */
char *config_docs_write_publication(const char *doc, uint64_t base,
				    const char *nonce, const char *by,
				    str_t body);
void config_docs_stats(const config_docs_t *d, config_docs_stats_t *out);

#endif
