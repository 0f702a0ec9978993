#define LOG_PART "store"

#include "daemon/stream_recorder.h"

#include <inttypes.h>

#include "common/log.h"

enum {
	US_PER_MS = 1000,
	MAX_STREAMS = 65536, /* kept in memory */
	MAX_UNSAVED = 65536, /* further ones are kept in memory only */
	MAX_BATCH = 4096, /* streams in a record: 64 KiB */
	MAX_ASKS = 1024,
	WRITE_GAP_US = 100 * US_PER_MS, /* between two batches */
	RETRY_US = 500 * US_PER_MS, /* after a failed call */
	READ_GAP_US = 100 * US_PER_MS, /* between reads of the topic's end */
	/* For another daemon's batch to reach the store. */
	ASK_SETTLE_US = 500 * US_PER_MS,
	ASK_TIMEOUT_US = 1500 * US_PER_MS, /* while the store can't be read */
	/* The same, of a daemon that knows of one release only. */
	CONFIRM_TIMEOUT_US = 300 * US_PER_MS,
};

static const char record_key[] = "s"; /* the topic has no other records */

/* A question that could not be answered yet. */
typedef struct stream_ask {
	char peer[MEMBER_NAME_SIZE];
	uint64_t stream;
	int64_t asked_at;
	bool is_to_confirm; /* who asks knows of one release only */
	uint64_t only_release; /* that one; 0: not known */
} stream_ask_t;

void stream_recorder_init(stream_recorder_t *r, supervisor_t *sup,
			  store_t *store, const release_history_t *releases)
{
	*r = (stream_recorder_t){ .sup = sup,
				  .store = store,
				  .releases = releases };
	stream_releases_init(&r->streams, MAX_STREAMS);
	r->unsaved = g_array_new(FALSE, FALSE, sizeof(stream_release_t));
	r->asks = g_array_new(FALSE, FALSE, sizeof(stream_ask_t));
}

void stream_recorder_finish(stream_recorder_t *r)
{
	stream_releases_finish(&r->streams);
	g_array_unref(r->unsaved);
	g_array_unref(r->asks);
}

static void write_if_due(stream_recorder_t *r, int64_t now);

static void on_written(void *ctx, const err_t *err)
{
	stream_recorder_t *r = ctx;
	char reason[ERR_DETAIL_SIZE * 2];

	if (err) {
		log_warn("cannot write the streams that began: %s",
			 err_text(err, reason, sizeof(reason)));
		r->write_at = now_us() + RETRY_US;
	} else {
		g_array_remove_range(r->unsaved, 0, r->n_writing);
	}
	r->n_writing = 0;
	write_if_due(r, now_us());
}

static void begin_write(stream_recorder_t *r, int64_t now)
{
	guint n = MIN(r->unsaved->len, MAX_BATCH);
	g_autofree stream_release_t *value = g_new(stream_release_t, n);

	for (guint i = 0; i < n; i++) {
		const stream_release_t *s =
			&g_array_index(r->unsaved, stream_release_t, i);

		value[i] = (stream_release_t){ GUINT64_TO_LE(s->stream),
					       GUINT64_TO_LE(s->release) };
	}
	r->write_at = now + WRITE_GAP_US;
	if (store_append(r->store, STORE_STREAMS, str_from(record_key),
			 (str_t){ (char *)value, n * sizeof(*value) },
			 on_written, r, NULL))
		r->n_writing = n;
}

static void write_if_due(stream_recorder_t *r, int64_t now)
{
	if (r->unsaved->len && !r->n_writing && now >= r->write_at)
		begin_write(r, now);
}

static uint64_t last_key(const stream_recorder_t *r, uint64_t stream)
{
	return stream_releases_key(
		stream, stream_releases_last_word(&r->streams, stream));
}

/* Returns the release in the last word on the stream that is known; 0: none. */
static uint64_t find_release(const stream_recorder_t *r, uint64_t stream)
{
	return stream_releases_find(&r->streams, last_key(r, stream));
}

/* Whether nothing that isn't known here can contradict find_release(). */
static bool is_final(const stream_recorder_t *r, uint64_t stream)
{
	return stream_releases_last_word(&r->streams, stream) ==
	       STREAM_RELEASES_BEGUN;
}

static bool is_noted(const stream_recorder_t *r, uint64_t stream)
{
	return stream_releases_find(&r->streams, stream) &&
	       !stream_releases_is_read(&r->streams, stream);
}

static void add_notes(stream_recorder_t *r, const GArray *begun, int64_t now)
{
	for (guint i = 0; i < begun->len; i++) {
		const stream_release_t *s =
			&g_array_index(begun, stream_release_t, i);

		/* A list of all of a daemon's streams has known ones, too. */
		if (is_noted(r, s->stream) &&
		    stream_releases_find(&r->streams, s->stream) == s->release)
			continue;
		stream_releases_add(&r->streams, s, now);
		if (r->unsaved->len < MAX_UNSAVED)
			g_array_append_val(r->unsaved, *s);
	}
	write_if_due(r, now);
}

/* How the recorder knows what it answers. */
static const char *source_text(const stream_recorder_t *r, uint64_t stream,
			       uint64_t release)
{
	if (!release)
		return "-";
	return is_noted(r, last_key(r, stream)) ? "note" : "store";
}

static void answer(stream_recorder_t *r, const char *peer, uint64_t stream,
		   uint64_t release)
{
	message_t m = { .type = MESSAGE_STREAM_ANSWER };

	g_strlcpy(m.streams.peer, peer, sizeof(m.streams.peer));
	m.streams.stream.stream = stream;
	m.streams.stream.release = release;
	log_event("stream-asked",
		  "stream=%" PRIx64 " by=%s release=%" PRIx64
		  " word=%u source=%s",
		  stream, peer[0] ? peer : "own", m.streams.stream.release,
		  stream_releases_last_word(&r->streams, stream),
		  source_text(r, stream, release));
	supervisor_post(r->sup, TASK_PEERS, &m);
}

/* Tells whether a repeated question is still being answered. */
static bool is_pending(const stream_recorder_t *r, const stream_ask_t *ask)
{
	for (guint i = 0; i < r->asks->len; i++) {
		const stream_ask_t *known =
			&g_array_index(r->asks, stream_ask_t, i);

		if (known->stream == ask->stream &&
		    !strcmp(known->peer, ask->peer))
			return true;
	}
	return false;
}

static void handle_ask(stream_recorder_t *r, const message_streams_t *m,
		       int64_t now)
{
	stream_ask_t ask = { .stream = m->stream.stream,
			     .asked_at = now,
			     .is_to_confirm = m->is_to_confirm,
			     .only_release = m->stream.release };

	g_strlcpy(ask.peer, m->peer, sizeof(ask.peer));
	/* The store may have a later word than the one that is known. */
	if (is_final(r, ask.stream))
		answer(r, ask.peer, ask.stream, find_release(r, ask.stream));
	else if (r->asks->len >= MAX_ASKS && !ask.is_to_confirm)
		answer(r, ask.peer, ask.stream, 0);
	else if (r->asks->len < MAX_ASKS && !is_pending(r, &ask))
		g_array_append_val(r->asks, ask);
}

bool stream_recorder_handle(stream_recorder_t *r, const message_t *m)
{
	if (m->type == MESSAGE_STREAM_NOTES)
		add_notes(r, m->streams.begun, now_us());
	else if (m->type == MESSAGE_STREAM_ASK)
		handle_ask(r, &m->streams, now_us());
	else
		return false;
	return true;
}

/*
 * Whether who asks knows of one release only, and this recorder of no other: all
 * that can be missing are the words that an earlier recorder wrote.
 */
static bool is_confirmation(const stream_recorder_t *r, const stream_ask_t *ask)
{
	return ask->is_to_confirm && !find_release(r, ask->stream);
}

/* A release, and whether it is a service's only one. */
typedef struct release_search {
	uint64_t release;
	bool is_only;
} release_search_t;

static void compare_only(void *ctx, const char *service, uint64_t only)
{
	release_search_t *search = ctx;

	search->is_only |= only == search->release;
}

/*
 * Whether this recorder's list of runners bears out the only release that the
 * asker knows of, whose own list may be old. If not, the question isn't
 * answered: the asker's list will change, or the caller is refused.
 */
static bool agrees(const stream_recorder_t *r, const stream_ask_t *ask,
		   int64_t now)
{
	release_search_t search = { .release = ask->only_release };

	if (!is_confirmation(r, ask) || !ask->only_release)
		return true;
	release_history_each_only(r->releases, now, compare_only, &search);
	return search.is_only;
}

/* Whether a read that began at READ_AT would have shown the last word. */
static bool is_settled(const stream_recorder_t *r, const stream_ask_t *ask,
		       int64_t read_at)
{
	int64_t settle = is_confirmation(r, ask) ? 0 : ASK_SETTLE_US;

	return is_final(r, ask->stream) || read_at - ask->asked_at >= settle;
}

static bool is_overdue(const stream_recorder_t *r, const stream_ask_t *ask,
		       int64_t now)
{
	int64_t timeout =
		is_confirmation(r, ask) ? CONFIRM_TIMEOUT_US : ASK_TIMEOUT_US;

	return now - ask->asked_at >= timeout;
}

/*
 * Answers what is final, and what a read that began at READ_AT would have shown.
 */
static void answer_asks(stream_recorder_t *r, int64_t read_at, int64_t now)
{
	for (guint i = r->asks->len; i-- > 0;) {
		stream_ask_t ask = g_array_index(r->asks, stream_ask_t, i);
		bool is_sure = is_settled(r, &ask, read_at);
		uint64_t release = 0;

		if (!is_sure && !is_overdue(r, &ask, now))
			continue;
		if (is_sure)
			release = find_release(r, ask.stream);
		g_array_remove_index(r->asks, i);
		if (agrees(r, &ask, now))
			answer(r, ask.peer, ask.stream, release);
	}
}

/* A record holds pairs of little-endian numbers. */
static void add_record(stream_recorder_t *r, str_t value, int64_t now)
{
	stream_release_t s;

	for (size_t i = 0; i < value.len / sizeof(s); i++) {
		memcpy(&s, value.ptr + i * sizeof(s), sizeof(s));
		s.stream = GUINT64_FROM_LE(s.stream);
		s.release = GUINT64_FROM_LE(s.release);
		if (s.release)
			stream_releases_add_read(&r->streams, &s, now);
	}
}

static void on_page(void *ctx, const store_page_t *page, const err_t *err)
{
	stream_recorder_t *r = ctx;
	int64_t now = now_us();
	char reason[ERR_DETAIL_SIZE * 2];

	r->is_reading = false;
	r->read_at = now + (err ? RETRY_US : READ_GAP_US);
	if (err) {
		log_warn("cannot read the streams that began: %s",
			 err_text(err, reason, sizeof(reason)));
		return;
	}
	/* The last word on a stream holds, and what came in notes is later. */
	for (size_t i = 0; i < page->n_entries; i++)
		add_record(r, page->entries[i].value, now);
	r->next = page->next;
	if (page->has_gap || page->next < page->end)
		r->read_at = now;
	else
		answer_asks(r, r->read_began_at, now);
}

static void begin_read(stream_recorder_t *r, int64_t now)
{
	r->read_began_at = now;
	r->is_reading = store_read(r->store, STORE_STREAMS, r->next, 0, on_page,
				   r, NULL);
	if (!r->is_reading)
		r->read_at = now + RETRY_US;
}

/*
 * Has everything written again in another epoch: the store has come back from
 * an old copy. Also in the first one, as it may have been written before it.
 */
static void check_epoch(stream_recorder_t *r, uint64_t epoch)
{
	if (epoch <= r->epoch || r->n_writing)
		return;
	g_array_set_size(r->unsaved, 0);
	stream_releases_list(&r->streams, r->unsaved);
	r->next = 0;
	r->epoch = epoch;
}

void stream_recorder_tick(stream_recorder_t *r, uint64_t epoch, int64_t now)
{
	stream_releases_remove_before(&r->streams,
				      now - STREAM_RELEASES_KEEP_US);
	check_epoch(r, epoch);
	write_if_due(r, now);
	if (r->asks->len)
		answer_asks(r, INT64_MIN / 2, now);
	if (r->asks->len && !r->is_reading && now >= r->read_at)
		begin_read(r, now);
}
