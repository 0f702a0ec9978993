/*
 * A stream goes on only on runners of the release that began it. While a
 * service has several releases, daemons send the streams that begin to
 * recorders (daemon/stream_recorder.h), which tell any daemon where its caller
 * takes one up.
 */
#define LOG_PART "relay"

#include <inttypes.h>

#include "common/log.h"
#include "daemon/relay.h"

enum {
	US_PER_MS = 1000,
	/* The question or the answer may be lost. */
	REPEAT_ASK_US = 400 * US_PER_MS,
	/* For the recorder to read the store, and to be replaced if it died. */
	MAX_ASK_US = 1600 * US_PER_MS,
	/* For an answer from memory, which is only to confirm. */
	MAX_CONFIRM_US = 200 * US_PER_MS,
	UNKNOWN_RETRY_MS = 1000,
	/* From a daemon's read of the store until others have what it read. */
	LIST_LAG_US = 100 * US_PER_MS,
	/* Of the list of runners, on a VM that hears of changes. */
	LIST_AGE_US = 1500 * US_PER_MS,
};

/* The stream that the request takes up. */
static uint64_t resumed_stream(const relay_t *r)
{
	return str_hash(r->call.resumed_attempt);
}

static uint64_t only_release(const relay_t *r)
{
	return vm_list_release(r->gateway->vms, r->service);
}

bool relay_is_take_up(const relay_t *r)
{
	return r->route->kind == FLEET_STREAM && r->route->is_resumable &&
	       r->call.last_event_id.len;
}

static void log_found(const relay_t *r, const char *why)
{
	log_event("stream-release",
		  "request=%s resumes=%.*s stream=%" PRIx64 " release=%" PRIx64
		  " age_ms=%" PRId64 " why=\"%s\"",
		  r->id, (int)r->call.resumed_attempt.len,
		  r->call.resumed_attempt.ptr, resumed_stream(r), r->release,
		  (now_us() - r->arrived_at) / US_PER_MS, why);
}

static void refuse_unknown(relay_t *r, const char *why)
{
	log_found(r, why);
	relay_fail(r, 503, UNKNOWN_RETRY_MS,
		   "it is not known which release began the stream");
}

static void post_ask(relay_t *r)
{
	message_t m = { .type = MESSAGE_STREAM_ASK };

	r->requested_at = now_us();
	m.streams.stream.stream = resumed_stream(r);
	m.streams.stream.release = only_release(r);
	m.streams.is_to_confirm = m.streams.stream.release != 0;
	supervisor_post(r->gateway->sup, TASK_PEERS, &m);
}

static bool names_attempt(const relay_t *r)
{
	return r->call.resumed_attempt.len > 0;
}

/*
 * Tells whether this VM knows of all runners on which the stream may have begun.
 * It may have stood still, or been cut off, while a release joined. Where the
 * stream's recorder is asked, the list has to be newer than the request.
 */
static bool has_new_list(const relay_t *r)
{
	int64_t since = names_attempt(r) ? r->arrived_at + LIST_LAG_US :
					   r->arrived_at - LIST_AGE_US;

	return r->gateway->runners_seen_at > since;
}

/*
 * Nobody knows the stream: it is of the service's only release, if that is
 * known. Returns false when there is none, and the request was refused.
 */
static bool use_only_release(relay_t *r, const char *why)
{
	r->release = only_release(r);
	if (!r->release) {
		refuse_unknown(r, why);
		return false;
	}
	log_found(r, "the service has no other");
	return true;
}

bool relay_find_release(relay_t *r)
{
	if (!relay_is_take_up(r))
		return true;
	r->release =
		stream_releases_find(&r->gateway->streams, resumed_stream(r));
	if (r->release) {
		log_found(r, "it began here");
		return true;
	}
	if (!names_attempt(r) && has_new_list(r))
		return use_only_release(
			r, "it doesn't name the attempt that began it");
	/* Also with one release: other daemons may know of a new one before. */
	relay_new_attempt(r);
	r->state = RELAY_AWAITING_RELEASE;
	if (names_attempt(r))
		post_ask(r);
	return false;
}

void relay_check_release_timeout(relay_t *r, int64_t now)
{
	int64_t age = now - r->arrived_at;

	if (age > MAX_ASK_US) {
		refuse_unknown(r, "no recorder answered");
	} else if (only_release(r) && has_new_list(r) &&
		   (!names_attempt(r) || age > MAX_CONFIRM_US)) {
		if (use_only_release(r, "no recorder answered"))
			relay_request_limit(r);
	} else if (names_attempt(r) && now - r->requested_at > REPEAT_ASK_US) {
		post_ask(r);
	}
}

/* A daemon that isn't listed may be anywhere. */
static bool is_in_own_zone(const gateway_t *g, const char *daemon)
{
	const GArray *daemons = g->vms->daemons;

	for (guint i = 0; i < daemons->len; i++) {
		const member_vm_t *vm = &g_array_index(daemons, member_vm_t, i);

		if (!strcmp(vm->name, daemon))
			return !strcmp(vm->zone, g->sup->settings->zone);
	}
	return true;
}

/*
 * Whether nobody knowing the stream means that the service has one release only.
 * Notes to a recorder that is this daemon may wait in its sockets. Another one
 * may be cut off with this daemon, whose list of runners is old then; it is while
 * the store is away, too, which a recorder in another zone tells from a cut.
 */
static bool may_trust_unknown(const relay_t *r, const char *recorder)
{
	const gateway_t *g = r->gateway;

	if (!recorder[0] || g_hash_table_size(g->partitioned_zones))
		return has_new_list(r);
	return g->runners_seen_at > r->arrived_at - LIST_AGE_US ||
	       !is_in_own_zone(g, recorder);
}

static void on_answer(relay_t *r, const message_streams_t *m)
{
	if (m->stream.release) {
		r->release = m->stream.release;
		log_found(r, "its recorder knows it");
		relay_request_limit(r);
		return;
	}
	if (only_release(r) && !may_trust_unknown(r, m->peer))
		return;
	if (use_only_release(r, "its recorder doesn't know it"))
		relay_request_limit(r);
}

void gateway_on_stream_answer(gateway_t *g, const message_streams_t *m)
{
	g_autoptr(GList) relays = g_hash_table_get_values(g->relays);

	for (GList *link = relays; link; link = link->next) {
		relay_t *r = link->data;

		if (r->state == RELAY_AWAITING_RELEASE &&
		    resumed_stream(r) == m->stream.stream)
			on_answer(r, m);
	}
}

/* The stream that the request begins; release 0: it takes another one up. */
static stream_release_t own_stream(const relay_t *r)
{
	stream_release_t stream = { str_hash(r->call.attempt_id), 0 };

	if (!r->release && r->route->kind == FLEET_STREAM &&
	    r->route->is_resumable)
		stream.release = r->runner.release;
	return stream;
}

/* Has the recorders of streams told which release began each of BEGUN. */
static void post_notes(gateway_t *g, const stream_release_t *begun, guint n)
{
	message_t m = { .type = MESSAGE_STREAM_NOTES };

	m.streams.begun =
		g_array_sized_new(FALSE, FALSE, sizeof(stream_release_t), n);
	for (guint i = 0; i < n; i++) {
		stream_release_t note = begun[i];

		note.stream =
			stream_releases_key(note.stream, STREAM_RELEASES_BEGUN);
		g_array_append_val(m.streams.begun, note);
	}
	supervisor_post(g->sup, TASK_PEERS, &m);
}

void relay_bind_release(relay_t *r)
{
	gateway_t *g = r->gateway;
	stream_release_t stream = own_stream(r);
	bool is_recorded = only_release(r) != stream.release;

	if (!stream.release)
		return;
	r->release = stream.release;
	log_sample("stream-begun",
		   "request=%s runner=%s stream=%" PRIx64 " release=%" PRIx64
		   " sent=%u recorded=%s",
		   r->id, r->runner.name, stream.stream, stream.release,
		   r->sends + 1, is_recorded ? "yes" : "no");
	stream_releases_remove_before(&g->streams,
				      now_us() - STREAM_RELEASES_KEEP_US);
	stream_releases_add(&g->streams, &stream, now_us());
	if (is_recorded)
		post_notes(g, &stream, 1);
}

/* Streams began while the service had one release, and were not recorded. */
void gateway_on_releases(gateway_t *g, const vm_list_t *before)
{
	g_autoptr(GArray) begun =
		g_array_new(FALSE, FALSE, sizeof(stream_release_t));
	GHashTableIter iter;
	void *service;

	if (!before)
		return;
	g_hash_table_iter_init(&iter, before->releases);
	while (g_hash_table_iter_next(&iter, &service, NULL)) {
		if (vm_list_release(g->vms, service))
			continue;
		log_event("releases-mixed", "service=%s streams=%u",
			  (const char *)service, g->streams.order.length);
		stream_releases_list(&g->streams, begun);
		post_notes(g, (const stream_release_t *)begun->data,
			   begun->len);
		return;
	}
}
