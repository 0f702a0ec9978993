/*
 * The workload of load.c: kinds of calls and teams with their shares, and the
 * bodies of calls. The result depends only on the random generator given.
 */
#ifndef STANDIN_LIB_MIX_H
#define STANDIN_LIB_MIX_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

enum {
	MIX_MAX_KINDS = 16,
	MIX_MAX_TEAMS = 32,
	MIX_NAME_SIZE = 64, /* bytes, with the NUL */
};

/* How a call is guarded against running twice. */
typedef enum mix_guard {
	MIX_GUARD_NONE,
	MIX_GUARD_KEY, /* Idempotency-Key of no special form */
	MIX_GUARD_UUID, /* Idempotency-Key that is a UUIDv7 */
	MIX_GUARD_TICKET,
} mix_guard_t;

typedef struct mix_kind {
	char service[MIX_NAME_SIZE];
	char tier[MIX_NAME_SIZE];
	char path[MIX_NAME_SIZE]; /* plain services */
	double share;
	bool is_engine;
	bool is_stream;
	bool is_protected; /* the profile protects its tier */
	mix_guard_t guard;
	uint32_t prompt_min, prompt_max; /* tokens */
	uint32_t output_min, output_max; /* tokens */
	int64_t deadline_ms; /* 0: none is sent */
} mix_kind_t;

typedef struct mix_team {
	char name[MIX_NAME_SIZE];
	char key[MIX_NAME_SIZE]; /* sent as a bearer when not empty */
	double weight;
} mix_team_t;

typedef struct mix {
	mix_kind_t kinds[MIX_MAX_KINDS];
	uint32_t n_kinds;
	mix_team_t teams[MIX_MAX_TEAMS];
	uint32_t n_teams;
	uint32_t n_prefixes; /* different prompt prefixes; key "charters" */
} mix_t;

/*
 * Reads a mix: {"kinds":[{"service","tier","share","engine","stream",
 * "guard":"none|key|uuid|ticket","protected",
 * "prompt":[MIN,MAX],"output":[MIN,MAX],
 * "deadline_ms","path"}],"teams":[{"name","weight","key"}],"charters":N},
 * where N is the number of different prompt prefixes. Returns false, with the
 * reason on standard error. PATH may be NULL for the built-in mix.
 */
bool mix_load(mix_t *mix, const char *path);
const mix_kind_t *mix_pick_kind(const mix_t *mix, GRand *rand);
const mix_team_t *mix_pick_team(const mix_t *mix, GRand *rand);
/* Returns a body or prompt that holds "call=ID;"; to be freed. */
char *mix_make_text(const mix_t *mix, const mix_kind_t *kind, const char *id,
		    GRand *rand);
uint32_t mix_output_tokens(const mix_kind_t *kind, GRand *rand);
/* Writes a UUIDv7 whose creation time is NOW_MS. */
void mix_make_uuid(char out[37], int64_t now_ms, GRand *rand);

#endif
