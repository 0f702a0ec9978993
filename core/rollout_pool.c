#include <string.h>

#include "core/rollout.h"

/* Between the service's name and the hash of the release. */
static const char pool_mark = '~';

enum { POOL_SUFFIX = 9 /* the mark and 8 digits */ };

void rollout_pool_name(const char *service, const char *target, char *out)
{
	g_autofree char *both = g_strdup_printf("%s\n%s", service, target);

	g_snprintf(out, ROLLOUT_POOL_SIZE, "%.*s%c%08x",
		   ROLLOUT_POOL_SIZE - 1 - POOL_SUFFIX, service, pool_mark,
		   (unsigned)str_hash(str_from(both)));
}

bool rollout_pool_service(const char *pool, char *out)
{
	size_t n = strlen(pool);

	if (n <= POOL_SUFFIX || pool[n - POOL_SUFFIX] != pool_mark ||
	    strspn(pool + n - POOL_SUFFIX + 1, "0123456789abcdef") !=
		    POOL_SUFFIX - 1)
		return false;
	return str_copy(out, FLEET_NAME_SIZE, (str_t){ pool, n - POOL_SUFFIX });
}
