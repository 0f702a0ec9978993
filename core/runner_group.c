#include "core/runner_group.h"

#include <glib.h>
#include <stdio.h>

enum {
	MAX_GROUP_RUNNERS = 16,
	MAX_GROUPS = 1024,
};

/* Suffix of the name of a dispatcher for all zones. */
static const char regional_suffix[] = "@";

bool runner_group_is_regional(uint32_t runners)
{
	return runners <= MAX_GROUP_RUNNERS;
}

uint32_t runner_group_count(uint32_t runners)
{
	uint32_t count = 1;

	while (count * MAX_GROUP_RUNNERS < runners && count < MAX_GROUPS)
		count *= 2;
	return count;
}

uint32_t runner_group_index(str_t runner, uint32_t count)
{
	return (uint32_t)(str_hash(runner) % MAX(count, 1));
}

void runner_group_name(const runner_group_t *group, char *out, size_t size)
{
	if (group->is_regional)
		g_snprintf(out, size, "%s%s", group->service, regional_suffix);
	else if (group->count <= 1)
		g_strlcpy(out, group->service, size);
	else
		g_snprintf(out, size, "%s#%u/%u", group->service, group->index,
			   group->count);
}

bool runner_group_parse(const char *name, runner_group_t *out)
{
	bool is_regional = g_str_has_suffix(name, regional_suffix);
	const char *separator = is_regional ? NULL : strrchr(name, '#');
	size_t n = separator ? (size_t)(separator - name) : strlen(name);

	if (is_regional)
		n -= strlen(regional_suffix);
	*out = (runner_group_t){ .count = 1, .is_regional = is_regional };
	if (!n ||
	    !str_copy(out->service, sizeof(out->service), (str_t){ name, n }))
		return false;
	if (!separator)
		return true;
	return sscanf(separator, "#%u/%u", &out->index, &out->count) == 2 &&
	       out->count > 1 && out->count <= MAX_GROUPS &&
	       out->index < out->count;
}
