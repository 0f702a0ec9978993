#include "core/detector.h"

enum {
	US_PER_MS = 1000,
	/* Timeout of a daemon whose round trip was not measured yet. */
	INITIAL_TIMEOUT_US = 150 * US_PER_MS,
	/* A busy daemon's event loop may delay an answer by this much. */
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

typedef struct peer_state {
	char zone[ZONE_NAME_SIZE];
	int64_t received_at; /* when its last frame arrived */
	int64_t request_sent_at; /* oldest unanswered request; 0: none */
	double srtt; /* smoothed; 0: not measured yet */
	double rttvar;
	bool is_unresponsive;
	bool is_linked; /* false: it stays unresponsive without a link */
	int64_t pinged_at; /* last ping sent */
	/* When an unresponsive daemon began to answer in time; 0: not yet. */
	int64_t answering_since;
} peer_state_t;

void detector_init(detector_t *d, int64_t heartbeat, const detector_ops_t *ops,
		   void *ctx)
{
	*d = (detector_t){ .heartbeat = heartbeat, .ops = *ops, .ctx = ctx };
	d->peers =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	d->unreachable =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

void detector_finish(detector_t *d)
{
	g_hash_table_destroy(d->peers);
	g_hash_table_destroy(d->unreachable);
}

static peer_state_t *find(const detector_t *d, const char *name)
{
	return g_hash_table_lookup(d->peers, name);
}

/* Returns true if the zone has linked daemons and all are unresponsive. */
static bool are_all_unresponsive(const detector_t *d, const char *zone)
{
	bool has_any = false;
	GHashTableIter iter;
	peer_state_t *p;

	g_hash_table_iter_init(&iter, d->peers);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&p)) {
		if (strcmp(p->zone, zone))
			continue;
		if (!p->is_unresponsive)
			return false;
		has_any = true;
	}
	return has_any;
}

static void update_zone(detector_t *d, const char *zone)
{
	bool is_unreachable = are_all_unresponsive(d, zone);

	if (is_unreachable == detector_is_unreachable(d, zone))
		return;
	if (is_unreachable)
		g_hash_table_add(d->unreachable, g_strdup(zone));
	else
		g_hash_table_remove(d->unreachable, zone);
	d->ops.unreachable(d->ctx, zone, is_unreachable);
}

static void set_unresponsive(detector_t *d, const char *name, peer_state_t *p,
			     bool is_unresponsive)
{
	p->is_unresponsive = is_unresponsive;
	p->answering_since = 0;
	d->ops.unresponsive(d->ctx, name, is_unresponsive);
	update_zone(d, p->zone);
}

void detector_link_up(detector_t *d, const char *name, const char *zone,
		      int64_t now)
{
	peer_state_t *p = find(d, name);

	if (!p) {
		p = g_new0(peer_state_t, 1);
		g_strlcpy(p->zone, zone, sizeof(p->zone));
		g_hash_table_insert(d->peers, g_strdup(name), p);
	}
	p->is_linked = true;
	p->received_at = now;
	p->request_sent_at = 0;
	if (p->is_unresponsive)
		set_unresponsive(d, name, p, false);
	else
		update_zone(d, p->zone);
}

static void remove_peer(detector_t *d, const char *name, const peer_state_t *p)
{
	g_autofree char *zone = g_strdup(p->zone);
	bool was_unresponsive = p->is_unresponsive;

	g_hash_table_remove(d->peers, name);
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
	peer_state_t *p = find(d, name);

	if (p && !p->is_unresponsive)
		remove_peer(d, name, p);
	else if (p)
		p->is_linked = false;
}

void detector_request_sent(detector_t *d, const char *name, int64_t now)
{
	peer_state_t *p = find(d, name);

	if (p && !p->request_sent_at)
		p->request_sent_at = now;
}

static void update_round_trip(peer_state_t *p, int64_t sample)
{
	double difference = (double)sample - p->srtt;

	if (p->srtt <= 0) {
		p->srtt = (double)sample;
		p->rttvar = (double)sample / 2;
		return;
	}
	p->rttvar += rttvar_gain * (ABS(difference) - p->rttvar);
	p->srtt += srtt_gain * difference;
}

void detector_received(detector_t *d, const char *name, int64_t now)
{
	peer_state_t *p = find(d, name);

	if (!p)
		return;
	p->received_at = now;
	if (p->request_sent_at && !p->is_unresponsive)
		update_round_trip(p, now - p->request_sent_at);
	p->request_sent_at = 0;
	if (p->is_unresponsive && !p->answering_since)
		p->answering_since = now;
}

static int64_t response_timeout(const peer_state_t *p)
{
	double margin = MAX(rttvar_factor * p->rttvar, MIN_MARGIN_US);

	if (p->srtt <= 0)
		return INITIAL_TIMEOUT_US;
	return (int64_t)MIN(p->srtt + margin, MAX_TIMEOUT_US);
}

static void ping(detector_t *d, const char *name, peer_state_t *p, int64_t now)
{
	p->pinged_at = now;
	if (!p->request_sent_at)
		p->request_sent_at = now;
	d->ops.ping(d->ctx, name);
}

static bool is_response_overdue(const peer_state_t *p, int64_t now)
{
	return p->request_sent_at &&
	       now - p->request_sent_at > response_timeout(p);
}

/* True when no request is unanswered and the heartbeat is overdue. */
static bool is_heartbeat_overdue(const detector_t *d, const peer_state_t *p,
				 int64_t now)
{
	return !p->request_sent_at &&
	       now - p->received_at > d->heartbeat * 3 / 2;
}

void detector_ping_zone(detector_t *d, const char *zone, int64_t now)
{
	GHashTableIter iter;
	const char *name;
	peer_state_t *p;

	g_hash_table_iter_init(&iter, d->peers);
	while (g_hash_table_iter_next(&iter, (void **)&name, (void **)&p))
		if (!p->is_unresponsive && !p->request_sent_at &&
		    !strcmp(p->zone, zone))
			ping(d, name, p, now);
}

static void check_unresponsive(detector_t *d, const char *name, peer_state_t *p,
			       int64_t now)
{
	if (is_response_overdue(p, now))
		p->answering_since = 0;
	if (p->answering_since && now - p->answering_since >= RECOVERY_US)
		set_unresponsive(d, name, p, false);
	else if (now - p->pinged_at >= PING_INTERVAL_US)
		ping(d, name, p, now);
}

static void check(detector_t *d, const char *name, peer_state_t *p, int64_t now)
{
	if (p->is_unresponsive) {
		check_unresponsive(d, name, p, now);
	} else if (is_response_overdue(p, now)) {
		ping(d, name, p, now);
		/* The cause may affect the whole zone. */
		detector_ping_zone(d, p->zone, now);
		set_unresponsive(d, name, p, true);
	} else if (is_heartbeat_overdue(d, p, now)) {
		ping(d, name, p, now);
	}
}

/* Cheap test, as most daemons need no check at most calls. */
static bool needs_check(const detector_t *d, const peer_state_t *p, int64_t now)
{
	return p->is_unresponsive || is_response_overdue(p, now) ||
	       is_heartbeat_overdue(d, p, now);
}

void detector_check(detector_t *d, int64_t now)
{
	g_autoptr(GPtrArray) names = g_ptr_array_new_with_free_func(g_free);
	GHashTableIter iter;
	const char *name;
	peer_state_t *peer;

	/* The callbacks may change the table: collect the names first. */
	g_hash_table_iter_init(&iter, d->peers);
	while (g_hash_table_iter_next(&iter, (void **)&name, (void **)&peer))
		if (needs_check(d, peer, now))
			g_ptr_array_add(names, g_strdup(name));
	for (guint i = 0; i < names->len; i++) {
		peer_state_t *p = find(d, names->pdata[i]);

		if (p && now - p->received_at > EXPIRY_US)
			remove_peer(d, names->pdata[i], p);
		else if (p)
			check(d, names->pdata[i], p, now);
	}
}

void detector_restart_timers(detector_t *d, int64_t now)
{
	GHashTableIter iter;
	peer_state_t *p;

	g_hash_table_iter_init(&iter, d->peers);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&p)) {
		p->received_at = now;
		if (p->request_sent_at)
			p->request_sent_at = now;
	}
}

detector_count_t detector_count(const detector_t *d, const char *zone)
{
	detector_count_t count = { 0 };
	GHashTableIter iter;
	peer_state_t *p;

	g_hash_table_iter_init(&iter, d->peers);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&p)) {
		if (!p->is_linked || strcmp(p->zone, zone) != 0)
			continue;
		count.linked++;
		count.unresponsive += p->is_unresponsive;
	}
	return count;
}

bool detector_is_unresponsive(const detector_t *d, const char *name)
{
	const peer_state_t *p = find(d, name);

	return p && p->is_unresponsive;
}

bool detector_is_unreachable(const detector_t *d, const char *zone)
{
	return g_hash_table_contains(d->unreachable, zone);
}
