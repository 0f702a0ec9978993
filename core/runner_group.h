/*
 * Splits a service's runners into groups with a dispatcher each, so that no
 * dispatcher has more runners than a daemon on a small VM can handle. The
 * number of groups is a power of two, so that it seldom changes when runners
 * start or stop. Does no I/O.
 */
#ifndef CORE_RUNNER_GROUP_H
#define CORE_RUNNER_GROUP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/str.h"

/* Identifies a dispatcher: the service, and its group among COUNT groups. */
typedef struct runner_group {
	char service[64]; /* NUL-terminated */
	uint32_t index;
	uint32_t count; /* 1: the service is not split */
	/* one dispatcher over all zones; false: each zone has its own groups */
	bool is_regional;
} runner_group_t;

/* Returns whether a service with RUNNERS over all zones has one dispatcher. */
bool runner_group_is_regional(uint32_t runners);
/* Returns the number of groups for RUNNERS of one zone. */
uint32_t runner_group_count(uint32_t runners);
/* Returns the index of a runner's group among COUNT groups. */
uint32_t runner_group_index(str_t runner, uint32_t count);
/*
 * Writes a dispatcher's name: SERVICE@ when regional, SERVICE#INDEX/COUNT when
 * split into groups, else SERVICE.
 */
void runner_group_name(const runner_group_t *group, char *out, size_t size);
/* Parses a dispatcher's name; false when it is malformed. */
bool runner_group_parse(const char *name, runner_group_t *out);

#endif
