#include "core/detector.h"

enum {
	US_PER_MS = 1000,
	/* Timeout of a daemon whose round trip was not measured yet. */
	INITIAL_TIMEOUT_US = 150 * US_PER_MS,
	/* A busy daemon's event loop may answer this much late. */
	MIN_MARGIN_US = 55 * US_PER_MS,
	MAX_TIMEOUT_US = 400 * US_PER_MS,
	PING_INTERVAL_US = 150 * US_PER_MS, /* to an unresponsive daemon */
	/* A daemon that answers in time for this long is responsive again. */
	RECOVERY_US = 300 * US_PER_MS,
	/* A daemon that sent nothing for this long is removed. */
	EXPIRY_US = 60 * 1000 * US_PER_MS,
	ZONE_NAME_SIZE = 64, /* bytes, with the NUL */
};

/* Gains and factor of TCP's retransmission timer (RFC 6298). */
static const double srtt_gain = 1.0 / 8;
static const double rttvar_gain = 1.0 / 4;
static const double rttvar_factor = 4;

typedef struct host {
	char zone[ZONE_NAME_SIZE];
	int64_t received_at; /* when its last frame arrived */
	int64_t request_sent_at; /* oldest unanswered request; 0: none */
	double srtt; /* smoothed; 0: not measured yet */
	double rttvar;
	bool is_unresponsive;
	int64_t pinged_at; /* last ping sent */
	/* When an unresponsive daemon began to answer in time; 0: not yet. */
	int64_t answering_since;
} host_t;

void detector_init(detector_t *d, int64_t heartbeat, const detector_ops_t *ops,
		   void *ctx)
{
	*d = (detector_t){ .heartbeat = heartbeat, .ops = *ops, .ctx = ctx };
	d->hosts =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	d->unreachable =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

void detector_finish(detector_t *d)
{
	g_hash_table_destroy(d->hosts);
	g_hash_table_destroy(d->unreachable);
}

static host_t *find(const detector_t *d, const char *name)
{
	return g_hash_table_lookup(d->hosts, name);
}

/* Returns true if the zone has linked daemons and all are unresponsive. */
static bool is_all_unresponsive(const detector_t *d, const char *zone)
{
	bool has_any = false;
	GHashTableIter iter;
	host_t *h;

	g_hash_table_iter_init(&iter, d->hosts);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&h)) {
		if (strcmp(h->zone, zone))
			continue;
		if (!h->is_unresponsive)
			return false;
		has_any = true;
	}
	return has_any;
}

static void update_zone(detector_t *d, const char *zone)
{
	bool is_unreachable = is_all_unresponsive(d, zone);

	if (is_unreachable == detector_is_unreachable(d, zone))
		return;
	if (is_unreachable)
		g_hash_table_add(d->unreachable, g_strdup(zone));
	else
		g_hash_table_remove(d->unreachable, zone);
	d->ops.unreachable(d->ctx, zone, is_unreachable);
}

static void set_unresponsive(detector_t *d, const char *name, host_t *h,
			     bool is_unresponsive)
{
	h->is_unresponsive = is_unresponsive;
	h->answering_since = 0;
	d->ops.unresponsive(d->ctx, name, is_unresponsive);
	update_zone(d, h->zone);
}

void detector_link_up(detector_t *d, const char *name, const char *zone,
		      int64_t now)
{
	host_t *h = find(d, name);

	if (!h) {
		h = g_new0(host_t, 1);
		g_strlcpy(h->zone, zone, sizeof(h->zone));
		g_hash_table_insert(d->hosts, g_strdup(name), h);
	}
	h->received_at = now;
	h->request_sent_at = 0;
	if (h->is_unresponsive)
		set_unresponsive(d, name, h, false);
	else
		update_zone(d, h->zone);
}

static void remove_host(detector_t *d, const char *name, const host_t *h)
{
	g_autofree char *zone = g_strdup(h->zone);
	bool was_unresponsive = h->is_unresponsive;

	g_hash_table_remove(d->hosts, name);
	/* A daemon that returns under the same name starts as responsive. */
	if (was_unresponsive)
		d->ops.unresponsive(d->ctx, name, false);
	update_zone(d, zone);
}

/*
 * An unresponsive daemon whose link goes down stays unresponsive until it is
 * linked again. A responsive one is removed: its link was closed in an orderly
 * way, which is no sign of a failure.
 */
void detector_link_down(detector_t *d, const char *name, int64_t now)
{
	host_t *h = find(d, name);

	if (h && !h->is_unresponsive)
		remove_host(d, name, h);
}

void detector_request_sent(detector_t *d, const char *name, int64_t now)
{
	host_t *h = find(d, name);

	if (h && !h->request_sent_at)
		h->request_sent_at = now;
}

static void update_round_trip(host_t *h, int64_t sample)
{
	double difference = (double)sample - h->srtt;

	if (h->srtt <= 0) {
		h->srtt = (double)sample;
		h->rttvar = (double)sample / 2;
		return;
	}
	h->rttvar += rttvar_gain * (ABS(difference) - h->rttvar);
	h->srtt += srtt_gain * difference;
}

void detector_received(detector_t *d, const char *name, int64_t now)
{
	host_t *h = find(d, name);

	if (!h)
		return;
	h->received_at = now;
	if (h->request_sent_at && !h->is_unresponsive)
		update_round_trip(h, now - h->request_sent_at);
	h->request_sent_at = 0;
	if (h->is_unresponsive && !h->answering_since)
		h->answering_since = now;
}

static int64_t response_timeout(const host_t *h)
{
	double margin = MAX(rttvar_factor * h->rttvar, MIN_MARGIN_US);

	if (h->srtt <= 0)
		return INITIAL_TIMEOUT_US;
	return (int64_t)MIN(h->srtt + margin, MAX_TIMEOUT_US);
}

static void ping(detector_t *d, const char *name, host_t *h, int64_t now)
{
	h->pinged_at = now;
	if (!h->request_sent_at)
		h->request_sent_at = now;
	d->ops.ping(d->ctx, name);
}

static bool is_response_overdue(const host_t *h, int64_t now)
{
	return h->request_sent_at &&
	       now - h->request_sent_at > response_timeout(h);
}

/* True when no request is unanswered and the heartbeat is overdue. */
static bool is_heartbeat_overdue(const detector_t *d, const host_t *h,
				 int64_t now)
{
	return !h->request_sent_at &&
	       now - h->received_at > d->heartbeat * 3 / 2;
}

/*
 * Pings the other daemons of a zone: when one fails to answer, the cause may
 * affect the whole zone.
 */
static void ping_zone(detector_t *d, const char *zone, int64_t now)
{
	GHashTableIter iter;
	const char *name;
	host_t *h;

	g_hash_table_iter_init(&iter, d->hosts);
	while (g_hash_table_iter_next(&iter, (void **)&name, (void **)&h))
		if (!h->is_unresponsive && !h->request_sent_at &&
		    !strcmp(h->zone, zone))
			ping(d, name, h, now);
}

static void check_unresponsive(detector_t *d, const char *name, host_t *h,
			       int64_t now)
{
	if (is_response_overdue(h, now))
		h->answering_since = 0;
	if (h->answering_since && now - h->answering_since >= RECOVERY_US)
		set_unresponsive(d, name, h, false);
	else if (now - h->pinged_at >= PING_INTERVAL_US)
		ping(d, name, h, now);
}

static void check(detector_t *d, const char *name, host_t *h, int64_t now)
{
	if (h->is_unresponsive) {
		check_unresponsive(d, name, h, now);
	} else if (is_response_overdue(h, now)) {
		ping(d, name, h, now);
		ping_zone(d, h->zone, now);
		set_unresponsive(d, name, h, true);
	} else if (is_heartbeat_overdue(d, h, now)) {
		ping(d, name, h, now);
	}
}

/* A cheap filter: at most ticks, most daemons need no check. */
static bool needs_check(const detector_t *d, const host_t *h, int64_t now)
{
	return h->is_unresponsive || is_response_overdue(h, now) ||
	       is_heartbeat_overdue(d, h, now);
}

void detector_check(detector_t *d, int64_t now)
{
	g_autoptr(GPtrArray) names = g_ptr_array_new_with_free_func(g_free);
	GHashTableIter iter;
	const char *name;
	host_t *host;

	/* The callbacks may change the table: collect the names first. */
	g_hash_table_iter_init(&iter, d->hosts);
	while (g_hash_table_iter_next(&iter, (void **)&name, (void **)&host))
		if (needs_check(d, host, now))
			g_ptr_array_add(names, g_strdup(name));
	for (guint i = 0; i < names->len; i++) {
		host_t *h = find(d, names->pdata[i]);

		if (h && now - h->received_at > EXPIRY_US)
			remove_host(d, names->pdata[i], h);
		else if (h)
			check(d, names->pdata[i], h, now);
	}
}

void detector_restart_timers(detector_t *d, int64_t now)
{
	GHashTableIter iter;
	host_t *h;

	g_hash_table_iter_init(&iter, d->hosts);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&h)) {
		h->received_at = now;
		if (h->request_sent_at)
			h->request_sent_at = now;
	}
}

bool detector_is_unresponsive(const detector_t *d, const char *name)
{
	const host_t *h = find(d, name);

	return h && h->is_unresponsive;
}

bool detector_is_unreachable(const detector_t *d, const char *zone)
{
	return g_hash_table_contains(d->unreachable, zone);
}
