/* The configuration documents and mixes of calls of the fault cases. */
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
 * Writes the documents and the mixes of calls: usual.json, the default;
 * tickets.json, whose booking calls all use tickets instead of keys; held.json
 * with booking calls only, guarded by keys or tickets; recovery.json for the
 * check after a fault; order.json and order-engine.json, which overload one
 * service with calls of two tiers.
 */
bool case_write_files(const cluster_t *c);

#endif
