/* The documents and mixes of calls that all fault cases start from. */
#ifndef TESTS_LIB_CASE_FILES_H
#define TESTS_LIB_CASE_FILES_H

#include "tests/lib_cluster.h"

enum { CASE_DOCS = 4 };

/* A document to publish; the first is the profile. */
typedef struct case_document {
	const char *doc;
	const char *file; /* in the cluster's folder */
	const char *text;
} case_document_t;

extern const case_document_t case_documents[CASE_DOCS];

/*
 * Writes the documents and the mixes: usual.json; tickets.json without keys;
 * held.json of guarded calls alone; recovery.json for after a fault;
 * order.json and order-engine.json, more work than a service can do.
 */
bool case_write_files(const cluster_t *c);

#endif
