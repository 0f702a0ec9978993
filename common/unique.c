#include "common/unique.h"

#include <errno.h>
#include <glib.h>
#include <sys/random.h>

uint64_t unique_id(void)
{
	uint64_t id;
	ssize_t n;

	do
		n = getrandom(&id, sizeof(id), 0);
	while (n < 0 && errno == EINTR);
	if (n != (ssize_t)sizeof(id))
		g_error("getrandom() failed");
	return id;
}
