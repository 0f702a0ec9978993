#include "core/topic_follow.h"

enum {
	US_PER_MS = 1000,
	BASE_UPDATE_AGE_US = 950 * US_PER_MS, /* maximum without jitter */
	UPDATE_AGE_STEP_US = 5 * US_PER_MS, /* more jitter per daemon */
	/* Wait for an update with the missing records before a read. */
	MISSING_WAIT_US = 300 * US_PER_MS,
	BASE_JITTER_US = 350 * US_PER_MS, /* of the maximum update age */
	FIRST_BACKOFF_US = 200 * US_PER_MS,
	MAX_DOUBLINGS = 3,
	BACKOFF_STEP_US = 60 * US_PER_MS, /* more jitter per daemon */
	MAX_DAEMONS = 300, /* more daemons than this add no jitter */
};

/* Returns a random time, at most STEP times the number of daemons. */
static int64_t jitter(uint32_t daemons, int64_t step, double draw)
{
	uint32_t n = daemons < MAX_DAEMONS ? daemons : MAX_DAEMONS;

	return (int64_t)(draw * (double)(n * step));
}

int64_t topic_follow_max_update_age(uint32_t daemons, double draw)
{
	return BASE_UPDATE_AGE_US + (int64_t)(draw * BASE_JITTER_US) +
	       jitter(daemons, UPDATE_AGE_STEP_US, draw);
}

static void set_up_to_date(topic_follow_t *f, int64_t now)
{
	f->updated_at = now;
	f->missing_since = 0;
	f->retry_at = 0;
	f->failures = 0;
}

void topic_follow_on_failure(topic_follow_t *f, uint32_t daemons, double draw,
			     int64_t now)
{
	int64_t backoff =
		FIRST_BACKOFF_US
		<< (f->failures < MAX_DOUBLINGS ? f->failures : MAX_DOUBLINGS);

	f->failures++;
	f->retry_at = now + backoff;
	/* A daemon without a list can't apply updates: it retries sooner. */
	if (f->is_listed)
		f->retry_at += jitter(daemons, BACKOFF_STEP_US, draw);
}

bool topic_follow_on_read(topic_follow_t *f, uint64_t next, int64_t now)
{
	bool is_new = !f->is_listed || next > f->next;

	set_up_to_date(f, now);
	if (!is_new)
		return false;
	f->next = next;
	f->is_listed = true;
	return true;
}

bool topic_follow_on_list(topic_follow_t *f, uint64_t next, int64_t now)
{
	if (next < f->next || (f->is_listed && next == f->next))
		return false;
	f->next = next;
	f->is_listed = true;
	f->updated_at = now;
	f->missing_since = 0;
	return true;
}

void topic_follow_invalidate(topic_follow_t *f)
{
	f->is_listed = false;
}

topic_update_t topic_follow_on_update(topic_follow_t *f, uint64_t from,
				      uint64_t next, int64_t now)
{
	if (!f->is_listed || next < f->next)
		return TOPIC_UPDATE_OLD;
	if (from > f->next) {
		if (!f->missing_since)
			f->missing_since = now;
		return TOPIC_UPDATE_GAP;
	}
	f->updated_at = now;
	f->missing_since = 0;
	if (next == f->next)
		return TOPIC_UPDATE_OLD;
	f->next = next;
	return TOPIC_UPDATE_APPLY;
}

bool topic_follow_is_due(const topic_follow_t *f, int64_t now)
{
	if (now < f->retry_at)
		return false;
	if (!f->is_listed)
		return now >= f->list_after;
	if (f->missing_since && now - f->missing_since >= MISSING_WAIT_US)
		return true;
	return f->is_reader || now - f->updated_at >= f->max_update_age;
}

bool topic_follow_needs_list(const topic_follow_t *f)
{
	return !f->is_listed || f->missing_since;
}
