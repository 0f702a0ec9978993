/*
 * Splits a service's runners into groups, each with a dispatcher of its own,
 * so that no daemon has to dispatch for more runners than a small VM can.
 * The number of groups is a power of two, so that it seldom changes while
 * runners come and go. Pure.
 */
#ifndef CORE_RUNNER_GROUP_H
#define CORE_RUNNER_GROUP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/str.h"

/* Names one dispatcher: a service, and which group of how many. */
typedef struct runner_group {
	char service[64]; /* NUL-terminated */
	uint32_t index;
	uint32_t count; /* 1: the service is not split */
	/* Few enough for one dispatcher over all zones; else one a zone. */
	bool is_regional;
} runner_group_t;

/* Tells whether so many runners, of all zones, have one dispatcher. */
bool runner_group_is_regional(uint32_t runners);
/* Groups for so many runners. */
uint32_t runner_group_count(uint32_t runners);
/* The group of a runner. */
uint32_t runner_group_of(str_t runner, uint32_t count);
/* Writes a dispatcher's name; the service's own when it is not split. */
void runner_group_name(const runner_group_t *group, char *out, size_t size);
/* Reads one; false when the name is malformed. */
bool runner_group_parse(const char *name, runner_group_t *out);

#endif
