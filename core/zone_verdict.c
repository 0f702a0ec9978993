#include "core/zone_verdict.h"

enum {
	LATE_DIVISOR = 2, /* a timer late by the timeout / this: too late */
};

bool zone_verdict_is_cut(const zone_evidence_t *e)
{
	bool is_own_zone_silent = e->own.unresponsive * 2 > e->own.linked;

	return !is_own_zone_silent && e->late < e->timeout / LATE_DIVISOR;
}
