/*
 * What operators publish: profiles (tiers, teams, limits) and services (the
 * profile each runs under, and how it may be called). Parsing and checking
 * only; see docs/PROFILES.md. Pure.
 */
#ifndef CORE_PROFILE_H
#define CORE_PROFILE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/err.h"
#include "common/str.h"

enum {
	PROFILE_MAX_TIERS = 8,
	PROFILE_MAX_TEAMS = 24000,
	PROFILE_NAME_SIZE = 64, /* bytes, with the NUL */
	PROFILE_KEY_HASH_SIZE = 65, /* SHA-256 in hex, with the NUL */
};

/* One class of urgency; the order in the profile is the order of urgency. */
typedef struct profile_tier {
	char name[PROFILE_NAME_SIZE];
	bool is_protected; /* "protected": never shed for a lower tier */
	uint32_t weight; /* "weight": share among unprotected tiers */
	int64_t need_ms; /* "need_ms": default time until it is useless */
	double objective; /* "objective": share to be within need, 0 to 1 */
} profile_tier_t;

typedef struct profile_team {
	char name[PROFILE_NAME_SIZE];
	char key_sha256[PROFILE_KEY_HASH_SIZE]; /* "" when it has no key */
	uint32_t weight; /* share within a tier */
	double rate; /* "rate_per_s": requests, whole deployment; 0: none */
	double burst; /* "burst": requests */
	uint32_t concurrency; /* "concurrency": in progress; 0: no limit */
	double retry_ratio; /* "retry_ratio": retries a first attempt */
} profile_team_t;

typedef struct profile {
	char name[PROFILE_NAME_SIZE];
	uint64_t version;
	profile_tier_t tiers[PROFILE_MAX_TIERS];
	uint32_t n_tiers;
	profile_team_t *teams; /* sorted by name */
	uint32_t n_teams;
	profile_team_t other_teams; /* "other_teams": limits of the rest */
	bool is_closed; /* "closed": teams not named are refused */
} profile_t;

typedef struct profile_service {
	char name[PROFILE_NAME_SIZE];
	char profile[PROFILE_NAME_SIZE];
	uint64_t version;
	bool is_engine; /* "kind": "engine" or "plain" */
	bool is_idempotent; /* "idempotent": calls may be repeated */
	char default_tier[PROFILE_NAME_SIZE];
	uint32_t slots; /* "slots": calls in flight a runner (plain); for
			 * engines of a fleet, requests at once */
	uint32_t window_tokens; /* "window_tokens": a runner (engines) */
} profile_service_t;

/*
 * Parses the body of document "profile/NAME". Returns false with ERR naming
 * the field and the accepted range; nothing needs freeing then.
 */
bool profile_parse(profile_t *p, str_t doc, uint64_t version, str_t body,
		   err_t *err);
void profile_finish(profile_t *p);
/* Parses the body of document "service/NAME". */
bool profile_service_parse(profile_service_t *s, str_t doc, uint64_t version,
			   str_t body, err_t *err);
/* Checks any document by the kind that its name states. */
bool profile_check(str_t doc, str_t body, err_t *err);

/* Returns the tier's index, or -1. */
int profile_tier_index(const profile_t *p, str_t name);
/* Returns the named team or other_teams; NULL when closed to it. */
const profile_team_t *profile_team(const profile_t *p, str_t name);

#endif
