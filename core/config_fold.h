/*
 * Folds the platform's configuration log into named, versioned documents
 * ("profile/NAME", "service/NAME"). Every reader folds the same records to
 * the same verdicts, so of racing publications one wins everywhere. Pure.
 *
 * A record is a JSON object:
 *   {"type":"publish","doc":"profile/p","base":3,"nonce":"N","by":"who",
 *    "body":{...}}            accepted when the document's version is `base`
 *   {"type":"snapshot","as_of":41,"docs":[{"doc":...,"version":...,
 *    "offset":...,"nonce":...,"body":{...}}]}    all that offsets < 41 gave
 */
#ifndef CORE_CONFIG_FOLD_H
#define CORE_CONFIG_FOLD_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/err.h"
#include "common/str.h"

enum {
	CONFIG_NAME_SIZE = 96, /* bytes of a document's name, with the NUL */
	CONFIG_NONCE_SIZE = 40, /* bytes, with the NUL */
	CONFIG_MAX_DOCS = 256, /* the bounds that every reader uses */
	CONFIG_MAX_BYTES = 900 * 1024, /* a snapshot fits a record of 1 MiB */
};

typedef struct config_doc {
	char name[CONFIG_NAME_SIZE];
	char nonce[CONFIG_NONCE_SIZE]; /* of the publication in force */
	uint64_t version; /* 1 is the first; only grows */
	uint64_t offset; /* of the publication's record */
	GBytes *body; /* JSON text; owned by the fold */
} config_doc_t;

typedef enum config_verdict {
	CONFIG_ACCEPTED,
	CONFIG_SUPERSEDED, /* the document had moved on */
	CONFIG_SNAPSHOT_TAKEN,
	CONFIG_SNAPSHOT_PASSED, /* not newer, or does not cover the gap */
	CONFIG_DAMAGED, /* skipped and counted */
	CONFIG_HELD, /* judged once a snapshot or a relay closes the gap */
	CONFIG_REPEATED, /* before config_fold_next: changed nothing */
} config_verdict_t;

typedef struct config_fold_ops {
	/* A document's version grew. */
	void (*changed)(void *ctx, const config_doc_t *doc);
	/* A publication was judged; for tools that wait for their nonce. */
	void (*judged)(void *ctx, const char *nonce, config_verdict_t verdict,
		       const config_doc_t *doc);
	/* Checks a body before it can win; false makes it damaged. */
	bool (*check)(void *ctx, const char *doc, str_t body, err_t *err);
} config_fold_ops_t;

typedef struct config_fold_stats {
	uint64_t records, accepted, superseded, damaged;
	uint64_t snapshots_taken, snapshots_passed, relayed, gaps;
	uint64_t held_dropped; /* held records given up past the bound */
} config_fold_stats_t;

struct config_fold_state;

typedef struct config_fold {
	struct config_fold_state *state;
} config_fold_t;

/*
 * MAX_DOCS and MAX_BYTES bound the documents; a record past them is damaged,
 * so all readers must be given the same bounds. MAX_BYTES bounds the held
 * records too; a snapshot has to fit one record of the log. The log starts at
 * offset 0.
 */
void config_fold_init(config_fold_t *f, uint32_t max_docs, uint64_t max_bytes,
		      const config_fold_ops_t *ops, void *ctx);
void config_fold_finish(config_fold_t *f);

/* The next offset to read from the log. */
uint64_t config_fold_next(const config_fold_t *f);
/*
 * The log kept nothing older than OLDEST when it was read. To be told of
 * every read, also of one without records: all may have expired.
 */
void config_fold_oldest(config_fold_t *f, uint64_t oldest);
/*
 * Folds one record. OLDEST is the oldest offset that the log still kept when
 * the record was read. A record before config_fold_next changes nothing.
 */
config_verdict_t config_fold_record(config_fold_t *f, uint64_t offset,
				    uint64_t oldest, str_t data);
/*
 * False while the records read so far may rest on records that expired
 * before this reader saw them: a snapshot or a relay has to close the gap.
 */
bool config_fold_is_whole(const config_fold_t *f);
/*
 * The greatest `as_of` of the sound snapshots read so far: a reader that
 * starts now is served as long as the log's oldest offset is not past it.
 */
uint64_t config_fold_covered(const config_fold_t *f);
/*
 * Takes a document from a peer's relay; a version that is not newer changes
 * nothing. Returns whether it was taken.
 */
bool config_fold_relay(config_fold_t *f, const config_doc_t *doc);
/* A peer that is whole up to NEXT relayed all its documents. */
void config_fold_relayed(config_fold_t *f, uint64_t next);
const config_doc_t *config_fold_find(const config_fold_t *f, str_t name);
void config_fold_each(const config_fold_t *f,
		      void (*fn)(void *ctx, const config_doc_t *doc),
		      void *ctx);
/*
 * Writes a snapshot record; the caller frees it with g_free. NULL while the
 * fold is not whole.
 */
char *config_fold_snapshot(const config_fold_t *f);
/*
 * Writes a publish record; the caller frees it with g_free. BODY may hold
 * comments, which are left out. NULL when BODY is not a JSON object.
 */
char *config_fold_publication(const char *doc, uint64_t base, const char *nonce,
			      const char *by, str_t body);
void config_fold_stats(const config_fold_t *f, config_fold_stats_t *out);

#endif
