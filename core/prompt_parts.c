#include "core/prompt_parts.h"

#include <glib.h>
#include <inttypes.h>

void prompt_parts_add(prompt_parts_t *parts, uint64_t id)
{
	if (parts->n < PROMPT_MAX_PARTS)
		parts->ids[parts->n++] = id;
}

void prompt_parts_remove(prompt_parts_t *parts, uint64_t id)
{
	int i = prompt_parts_find(parts, id);

	if (i >= 0)
		parts->ids[i] = parts->ids[--parts->n];
}

int prompt_parts_find(const prompt_parts_t *parts, uint64_t id)
{
	for (uint32_t i = 0; i < parts->n; i++)
		if (parts->ids[i] == id)
			return (int)i;
	return -1;
}

bool prompt_parts_is_subset(const prompt_parts_t *parts,
			    const prompt_parts_t *of)
{
	for (uint32_t i = 0; i < parts->n; i++)
		if (prompt_parts_find(of, parts->ids[i]) < 0)
			return false;
	return true;
}

void prompt_parts_intersect(prompt_parts_t *parts, const prompt_parts_t *with)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < parts->n; i++)
		if (prompt_parts_find(with, parts->ids[i]) >= 0)
			parts->ids[n++] = parts->ids[i];
	parts->n = n;
}

const char *prompt_parts_text(const prompt_parts_t *parts,
			      char buf[PROMPT_PARTS_TEXT_SIZE])
{
	size_t len = 0;

	g_strlcpy(buf, "-", PROMPT_PARTS_TEXT_SIZE);
	for (uint32_t i = 0; i < parts->n; i++)
		len += (size_t)g_snprintf(
			buf + len, PROMPT_PARTS_TEXT_SIZE - len, "%s%" PRIx64,
			i ? "," : "", parts->ids[i]);
	return buf;
}
