/* The shared parts of a prompt: identifiers without their order. */
#ifndef CORE_PROMPT_PARTS_H
#define CORE_PROMPT_PARTS_H

#include <stdbool.h>
#include <stdint.h>

enum {
	PROMPT_MAX_PARTS = 16, /* further ones are left out */
	/* 16 hexadecimal digits and a separator each, and the NUL. */
	PROMPT_PARTS_TEXT_SIZE = 17 * PROMPT_MAX_PARTS + 1,
};

typedef struct prompt_parts {
	uint64_t ids[PROMPT_MAX_PARTS];
	uint32_t n;
} prompt_parts_t;

/* Adds a part; does nothing when there is no room. */
void prompt_parts_add(prompt_parts_t *parts, uint64_t id);
/* Removes a part if there is one with this identifier. */
void prompt_parts_remove(prompt_parts_t *parts, uint64_t id);
/* Returns the index of a part, or -1. */
int prompt_parts_find(const prompt_parts_t *parts, uint64_t id);
/* Tells whether OF has all of PARTS. */
bool prompt_parts_is_subset(const prompt_parts_t *parts,
			    const prompt_parts_t *of);
/* Removes from PARTS what WITH doesn't have. */
void prompt_parts_intersect(prompt_parts_t *parts, const prompt_parts_t *with);
/* Writes the identifiers for a log line, "-" for none; returns BUF. */
const char *prompt_parts_text(const prompt_parts_t *parts,
			      char buf[PROMPT_PARTS_TEXT_SIZE]);

#endif
