/* The requests that the soak's callers send, and the configuration for them. */
#ifndef TESTS_LIB_SOAK_PLAN_H
#define TESTS_LIB_SOAK_PLAN_H

#include <glib.h>
#include <stdbool.h>

#define SOAK_HOST "soak.example"

enum {
	SOAK_EVENTS = 12, /* of a stream */
	SOAK_VERSION_ROUTES = 2, /* newest versions whose routes /vN/ exist */
};

/* One kind of request, which has a route of its own. */
typedef struct soak_kind {
	const char *name;
	const char *method;
	const char *path;
	const char *prefix; /* path prefix of its route; NULL: no route */
	const char *service;
	const char *type; /* of its route, as the platform names it */
	int timeout_ms;
	int max_runs; /* of one attempt, on all runners together */
	bool is_stream;
	bool may_resume;
	int weight; /* percentage of the calls */
} soak_kind_t;

/* A caller's key; the team is NULL for an unknown key. */
typedef struct soak_key {
	const char *name;
	const char *key;
	const char *team;
	int weight; /* percentage of the calls */
} soak_key_t;

/* Draws one of N rows with probability proportional to its weight. */
size_t soak_draw(GRand *rand, int (*weight_of)(size_t i), size_t n);
const soak_kind_t *soak_pick_kind(GRand *rand);
const soak_key_t *soak_pick_key(GRand *rand);
const soak_kind_t *soak_find_kind(const char *name);
const soak_key_t *soak_find_key(const char *name);
/* Returns the configuration of a version, to be freed with g_free. */
char *soak_config(int version);

#endif
