/*
 * Parses and validates the documents that operators publish: profiles (tiers,
 * teams, limits) and services (the profile that applies to a service, and how
 * it may be called). Does no I/O and reads no clock. See docs/PROFILES.md.
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
	PROFILE_NAME_SIZE = 64, /* bytes, including the NUL */
	PROFILE_KEY_HASH_SIZE = 65, /* SHA-256 in hex, including the NUL */
};

/* A priority class; a profile lists its tiers from the most urgent down. */
typedef struct profile_tier {
	char name[PROFILE_NAME_SIZE];
	bool is_protected; /* "protected": not shed for a lower tier */
	uint32_t weight; /* "weight": relative share among unprotected tiers */
	int64_t need_ms; /* "need_ms": default deadline of a request */
	double objective; /* "objective": target share of requests that
			   * complete within need_ms, 0 to 1 */
} profile_tier_t;

typedef struct profile_team {
	char name[PROFILE_NAME_SIZE];
	/* "key_sha256"; "" when it has no key */
	char key_sha256[PROFILE_KEY_HASH_SIZE];
	uint32_t weight; /* "weight": relative share within a tier */
	double rate; /* "rate_per_s": requests, over all daemons; 0: no limit */
	double burst; /* "burst": capacity of the token bucket, in requests */
	/* "concurrency": requests in progress; 0: no limit */
	uint32_t concurrency;
	double retry_ratio; /* "retry_ratio": retries per first attempt */
} profile_team_t;

typedef struct profile {
	char name[PROFILE_NAME_SIZE];
	uint64_t version;
	profile_tier_t tiers[PROFILE_MAX_TIERS];
	uint32_t n_tiers;
	profile_team_t *teams; /* sorted by name */
	uint32_t n_teams;
	profile_team_t
		other_teams; /* "other_teams": limits of teams not named */
	bool is_closed; /* "closed": teams not named are refused */
} profile_t;

typedef struct profile_service {
	char name[PROFILE_NAME_SIZE];
	char profile[PROFILE_NAME_SIZE];
	uint64_t version;
	bool is_engine; /* "kind": "engine" or "plain" */
	bool is_idempotent; /* "idempotent": calls may be repeated */
	char default_tier[PROFILE_NAME_SIZE];
	uint32_t slots; /* "slots": concurrent calls per runner (plain); for
			 * engines of a fleet, concurrent requests */
	uint32_t window_tokens; /* "window_tokens": per runner (engines) */
} profile_service_t;

/*
 * Parses the body of document "profile/NAME". On failure returns false with ERR
 * naming the field and the accepted range; there is nothing to free then.
 */
bool profile_parse(profile_t *p, str_t doc, uint64_t version, str_t body,
		   err_t *err);
void profile_finish(profile_t *p);
/* Parses the body of document "service/NAME". */
bool profile_service_parse(profile_service_t *s, str_t doc, uint64_t version,
			   str_t body, err_t *err);
/* Validates a profile or a service, by the prefix of the document's name. */
bool profile_check(str_t doc, str_t body, err_t *err);

/* Returns the tier's index, or -1. */
int profile_tier_index(const profile_t *p, str_t name);
/*
 * Returns the named team, or other_teams when the profile doesn't name it; NULL
 * when the profile is closed to it.
 */
const profile_team_t *profile_find_team(const profile_t *p, str_t name);

#endif
