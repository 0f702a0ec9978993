#include "common/err.h"

#include <stdarg.h>
#include <stdio.h>

void err_fill(err_t *err, err_code_t code, const char *step, const char *peer,
	      const char *fmt, ...)
{
	va_list ap;

	if (!err)
		return;
	err->code = code;
	err->step = step;
	snprintf(err->peer, sizeof(err->peer), "%s", peer ? peer : "");
	va_start(ap, fmt);
	vsnprintf(err->detail, sizeof(err->detail), fmt, ap);
	va_end(ap);
}

const char *err_text(const err_t *err, char *buf, unsigned int size)
{
	if (err->peer[0])
		snprintf(buf, size, "%s: %s (peer %s)", err->step, err->detail,
			 err->peer);
	else
		snprintf(buf, size, "%s: %s", err->step, err->detail);
	return buf;
}

const char *err_code_name(err_code_t code)
{
	static const char *const names[] = {
		[ERR_NONE] = "none",
		[ERR_INVALID] = "invalid",
		[ERR_REFUSED] = "refused",
		[ERR_TIMEOUT] = "timeout",
		[ERR_CLOSED] = "closed",
		[ERR_LIMIT] = "limit",
		[ERR_UNAVAILABLE] = "unavailable",
		[ERR_CONFLICT] = "conflict",
		[ERR_SYSTEM] = "system",
	};

	return names[code];
}
