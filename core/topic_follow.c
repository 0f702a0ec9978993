#include "core/topic_follow.h"

#include <glib.h>

enum {
	US_PER_MS = 1000,
	BASE_UPDATE_AGE_US = 950 * US_PER_MS, /* maximum without jitter */
	UPDATE_AGE_STEP_US = 5 * US_PER_MS, /* more jitter per daemon */
	/* Wait for an update with the missing records before a read. */
	MISSING_WAIT_US = 300 * US_PER_MS,
	BASE_JITTER_US = 350 * US_PER_MS, /* of the maximum update age */
	FIRST_BACKOFF_US = 200 * US_PER_MS,
	MAX_DOUBLINGS = 3,
	/* A backoff's spread around its mean, in quarters of the mean. */
	MIN_BACKOFF_QUARTERS = 1,
	BACKOFF_QUARTERS_SPAN = 6,
	BACKOFF_STEP_US = 60 * US_PER_MS, /* more jitter per daemon */
	MAX_DAEMONS = 300, /* more daemons than this add no jitter */
	SOON_US = 300 * US_PER_MS, /* spreads calls when a cut is over */
	LAG_US = 700 * US_PER_MS, /* behind others, until a list */
	/* Without a read by any daemon: more than one that reads late. */
	OUTAGE_US = 1500 * US_PER_MS,
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

/*
 * Returns a random time around MEAN. Daemons whose calls failed together don't
 * call together again, so one of them soon finds that the store is back.
 */
static int64_t spread(int64_t mean, double draw)
{
	double quarters = MIN_BACKOFF_QUARTERS + draw * BACKOFF_QUARTERS_SPAN;

	return (int64_t)((double)mean * quarters / 4);
}

void topic_follow_on_failure(topic_follow_t *f, uint32_t daemons, double draw,
			     int64_t now)
{
	int64_t backoff =
		FIRST_BACKOFF_US
		<< (f->failures < MAX_DOUBLINGS ? f->failures : MAX_DOUBLINGS);

	f->failures++;
	/* A daemon without a list can't apply updates: it retries sooner. */
	if (f->is_listed)
		backoff = spread(backoff, draw) +
			  jitter(daemons, BACKOFF_STEP_US, draw);
	f->retry_at = now + backoff;
}

bool topic_follow_note_read(topic_follow_t *f, int64_t now)
{
	bool was_outage = f->failures && now - f->read_at >= OUTAGE_US;

	f->read_at = now;
	return was_outage;
}

void topic_follow_end_wait(topic_follow_t *f, int64_t now)
{
	int64_t at = f->is_reader ? now : now + f->max_update_age;

	if (f->retry_at > at)
		f->retry_at = at;
}

void topic_follow_call_soon(topic_follow_t *f, double draw, int64_t now)
{
	int64_t at = now + (int64_t)(draw * SOON_US);

	if (f->retry_at > at)
		f->retry_at = at;
}

bool topic_position_is_after(topic_position_t a, topic_position_t b)
{
	return a.epoch != b.epoch ? a.epoch > b.epoch : a.next > b.next;
}

static bool is_same(topic_position_t a, topic_position_t b)
{
	return a.epoch == b.epoch && a.next == b.next;
}

/* An answer that doesn't state its epoch counts as of the known one. */
static topic_position_t with_epoch(topic_position_t p, uint64_t known)
{
	if (!p.epoch)
		p.epoch = known;
	return p;
}

topic_read_t topic_follow_on_read(topic_follow_t *f, topic_position_t from,
				  topic_position_t to, int64_t now)
{
	to = with_epoch(to, from.epoch);
	if (to.epoch > f->known.epoch) {
		topic_follow_invalidate(f, to.epoch);
		return TOPIC_READ_LIST;
	}
	/* Offsets of the read, or of its answer, are of an earlier epoch. */
	if (to.epoch < f->known.epoch || from.epoch != f->known.epoch)
		return TOPIC_READ_OLD;
	set_up_to_date(f, now);
	if (!f->is_listed || to.next <= f->known.next)
		return TOPIC_READ_OLD;
	f->known = to;
	return TOPIC_READ_APPLY;
}

static bool accept_list(topic_follow_t *f, topic_position_t to)
{
	if (to.epoch < f->required_epoch)
		return false;
	f->known = to;
	f->required_epoch = to.epoch;
	f->is_listed = true;
	return true;
}

bool topic_follow_on_own_list(topic_follow_t *f, topic_position_t to,
			      int64_t now)
{
	to = with_epoch(to, MAX(f->known.epoch, f->required_epoch));
	if (to.epoch >= f->required_epoch)
		set_up_to_date(f, now);
	if (f->is_listed && !topic_position_is_after(to, f->known))
		return false;
	return accept_list(f, to);
}

bool topic_follow_on_list(topic_follow_t *f, topic_position_t to, int64_t now)
{
	if (topic_position_is_after(f->known, to) ||
	    (f->is_listed && is_same(to, f->known)) || !accept_list(f, to))
		return false;
	f->updated_at = now;
	f->missing_since = 0;
	return true;
}

void topic_follow_invalidate(topic_follow_t *f, uint64_t epoch)
{
	f->is_listed = false;
	f->required_epoch = MAX(f->required_epoch, epoch);
}

/* Tells whether an update that begins at FROM can be applied to what is known. */
static bool connects(const topic_follow_t *f, topic_position_t from,
		     topic_position_t to)
{
	/* Over a change of epoch it is a difference to just this position. */
	if (to.epoch != f->known.epoch)
		return is_same(from, f->known);
	return from.epoch == to.epoch && from.next <= f->known.next;
}

topic_update_t topic_follow_on_update(topic_follow_t *f, topic_position_t from,
				      topic_position_t to, int64_t now)
{
	if (!f->is_listed || topic_position_is_after(f->known, to))
		return TOPIC_UPDATE_OLD;
	if (!connects(f, from, to) && !is_same(f->known, to)) {
		if (!f->missing_since)
			f->missing_since = now;
		return TOPIC_UPDATE_GAP;
	}
	f->updated_at = now;
	f->missing_since = 0;
	if (is_same(f->known, to))
		return TOPIC_UPDATE_OLD;
	f->known = to;
	f->required_epoch = MAX(f->required_epoch, to.epoch);
	return TOPIC_UPDATE_APPLY;
}

bool topic_follow_on_lag(topic_follow_t *f, uint64_t version, int64_t now)
{
	if (!f->lagging_since || f->lagging_at != version) {
		f->lagging_at = version;
		f->lagging_since = now;
		return false;
	}
	/* Updates may be late; but one has said since that nothing is missing. */
	if (!f->is_listed || f->missing_since ||
	    f->updated_at <= f->lagging_since ||
	    now - f->lagging_since < LAG_US)
		return false;
	f->lagging_since = now;
	topic_follow_invalidate(f, f->known.epoch);
	return true;
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
