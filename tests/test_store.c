#include "platform/store.h"

#include <string.h>

#include "tests/lib_fake_http.h"
#include "tests/lib_suite.h"

enum { TIMEOUT_MS = 200, LIMIT_US = 5 * G_USEC_PER_SEC };

/* A fake store with fixed answers, and the results of its client. */
typedef struct fixture {
	struct event_base *base;
	fake_http_t fake;
	const GByteArray *replies[3]; /* in order */
	fake_end_t end;
	store_t store;
	GString *request_log; /* request lines and bodies received */
	GString *seen; /* "key=value;" of the page */
	uint64_t next, epoch;
	bool has_gap, is_ended, is_done;
	err_code_t error;
} fixture_t;

static void on_request(void *ctx, const fake_request_t *request,
		       fake_reply_t *reply)
{
	fixture_t *fixture = ctx;
	const GByteArray *bytes = fixture->replies[fixture->fake.requests - 1];

	g_string_append_printf(fixture->request_log, "%s %s\n", request->method,
			       request->path);
	g_string_append_len(fixture->request_log, request->body.ptr,
			    (gssize)request->body.len);
	if (bytes)
		g_string_append_len(reply->bytes, (const char *)bytes->data,
				    bytes->len);
	reply->end = fixture->end;
}

static void fixture_init(fixture_t *fixture)
{
	*fixture = (fixture_t){ .end = FAKE_CLOSE };
	fixture->base = event_base_new();
	fixture->request_log = g_string_new("");
	fixture->seen = g_string_new("");
	fake_http_init(&fixture->fake, fixture->base, on_request, fixture);
	store_init(&fixture->store, fixture->base, fixture->fake.address,
		   TIMEOUT_MS);
}

static void fixture_finish(fixture_t *fixture)
{
	store_finish(&fixture->store);
	fake_http_finish(&fixture->fake);
	event_base_loop(fixture->base, EVLOOP_NONBLOCK);
	event_base_free(fixture->base);
	g_string_free(fixture->request_log, TRUE);
	g_string_free(fixture->seen, TRUE);
	for (size_t i = 0; i < G_N_ELEMENTS(fixture->replies); i++)
		if (fixture->replies[i])
			g_byte_array_unref((GByteArray *)fixture->replies[i]);
}

static void on_page(void *ctx, const store_page_t *page, const err_t *err)
{
	fixture_t *fixture = ctx;

	fixture->is_ended = true;
	fixture->error = err ? err->code : ERR_NONE;
	for (size_t i = 0; page && i < page->n_entries; i++)
		g_string_append_printf(fixture->seen, "%.*s=%.*s;",
				       (int)page->entries[i].key.len,
				       page->entries[i].key.ptr,
				       (int)page->entries[i].value.len,
				       page->entries[i].value.ptr);
	if (!page)
		return;
	fixture->next = page->next;
	fixture->epoch = page->epoch;
	fixture->has_gap = page->has_gap;
}

static void on_done(void *ctx, const err_t *err)
{
	fixture_t *fixture = ctx;

	fixture->is_ended = true;
	fixture->error = err ? err->code : ERR_NONE;
}

static void on_appended(void *ctx, uint64_t end, const err_t *err)
{
	fixture_t *fixture = ctx;

	on_done(fixture, err);
	fixture->next = end;
}

static void run(fixture_t *fixture)
{
	gint64 limit = g_get_monotonic_time() + LIMIT_US;

	while (!fixture->is_ended && g_get_monotonic_time() < limit)
		event_base_loop(fixture->base, EVLOOP_ONCE);
	ck_assert(fixture->is_ended);
}

/* An answer with a binary body. */
static const GByteArray *answer(const char *status, const void *body, size_t n)
{
	g_autofree char *head = g_strdup_printf(
		"HTTP/1.1 %s\r\nContent-Length: %zu\r\n\r\n", status, n);
	GByteArray *bytes = g_byte_array_new();

	g_byte_array_append(bytes, (guint8 *)head, (guint)strlen(head));
	g_byte_array_append(bytes, body, (guint)n);
	return bytes;
}

#define OFFSETS "\0\0\0\0\0\0\0\x2a\0\0\0\0\0\0\0\x01"
#define RECORD(len, text) "\0\0\0" len text

START_TEST(records_are_read_as_keys_and_values)
{
	static const char body[] = OFFSETS RECORD("\x07", "\x03"
							  "key"
							  "one")
		RECORD("\x04", "\x03"
			       "old") RECORD("\x02", "\xff"
						     "x");
	fixture_t fixture;

	fixture_init(&fixture);
	fixture.replies[0] = answer("200 OK", body, sizeof(body) - 1);
	ck_assert(store_read(&fixture.store, STORE_RUNNERS, 40, 0, on_page,
			     &fixture, NULL));
	run(&fixture);
	ck_assert_int_eq(fixture.error, ERR_NONE);
	ck_assert_str_eq(fixture.seen->str, "key=one;old=;");
	/* An unreadable record of another writer advances the offset too. */
	ck_assert_uint_eq(fixture.next, 43);
	ck_assert_ptr_nonnull(strstr(fixture.request_log->str,
				     "/log-read?topic=keyed.servers&part=0&"
				     "source=40&"));
	fixture_finish(&fixture);
}
END_TEST

START_TEST(answers_without_records)
{
	static const char cut[] = OFFSETS RECORD("\x07", "\x03"
							 "ke");
	static const struct {
		const char *status, *body;
		size_t n;
		err_code_t error;
		bool has_gap;
	} cases[] = {
		{ "200 OK", cut, sizeof(cut) - 1, ERR_INVALID, false },
		{ "200 OK", "short", 5, ERR_INVALID, false },
		{ "410 Gone", "{\"first_offset\":9}", 18, ERR_NONE, true },
		{ "429 Too Many", "", 0, ERR_UNAVAILABLE, false },
		{ "503 Down", "", 0, ERR_UNAVAILABLE, false },
		{ "403 Forbidden", "", 0, ERR_REFUSED, false },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		fixture_t fixture;

		fixture_init(&fixture);
		fixture.replies[0] =
			answer(cases[i].status, cases[i].body, cases[i].n);
		ck_assert(store_read(&fixture.store, STORE_CONFIG, 1, 0,
				     on_page, &fixture, NULL));
		run(&fixture);
		ck_assert_msg(fixture.error == cases[i].error &&
				      fixture.has_gap == cases[i].has_gap,
			      "case %zu: %d", i, fixture.error);
		fixture_finish(&fixture);
	}
}
END_TEST

/* Guards against positions whose history of the store isn't known. */
START_TEST(answers_state_the_epoch_of_the_store)
{
	static const struct {
		const char *status;
		uint64_t epoch;
	} cases[] = {
		{ "200 OK\r\nStore-Era: 3", 3 },
		{ "410 Gone\r\nStore-Era: 4", 4 },
		{ "200 OK", 0 },
		{ "200 OK\r\nStore-Era: x", 0 },
		{ "200 OK\r\nStore-Era: -1", 0 },
		{ "200 OK\r\nStore-Era: 99999999999999999999", 0 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		fixture_t fixture;

		fixture_init(&fixture);
		fixture.replies[0] =
			answer(cases[i].status, OFFSETS, sizeof(OFFSETS) - 1);
		ck_assert(store_read(&fixture.store, STORE_CONFIG, 1, 0,
				     on_page, &fixture, NULL));
		run(&fixture);
		ck_assert_int_eq(fixture.error, ERR_NONE);
		ck_assert_msg(fixture.epoch == cases[i].epoch, "case %zu", i);
		fixture_finish(&fixture);
	}
}
END_TEST

/* Guards against a list whose pages are of two histories of the store. */
START_TEST(a_list_has_the_lowest_epoch_of_its_pages)
{
	static const char first[] = "{\"entries\":[{\"key\":\"a\",\"value\":"
				    "\"b25l\",\"offset\":1}],"
				    "\"has_more\":true,\"end_offset\":6}";
	static const char last[] = "{\"entries\":[],\"has_more\":false,"
				   "\"end_offset\":2}";
	fixture_t fixture;

	fixture_init(&fixture);
	fixture.replies[0] =
		answer("200 OK\r\nStore-Era: 1", first, sizeof(first) - 1);
	fixture.replies[1] =
		answer("200 OK\r\nStore-Era: 2", last, sizeof(last) - 1);
	ck_assert(store_list(&fixture.store, STORE_CONFIG, on_page, &fixture,
			     NULL));
	run(&fixture);
	ck_assert_uint_eq(fixture.epoch, 1);
	fixture_finish(&fixture);
}
END_TEST

START_TEST(a_list_is_read_over_several_pages)
{
	static const char first[] =
		"{\"entries\":[{\"key\":\"a b\",\"value\":\"b25l\",\"offset\":"
		"1}],\"has_more\":true,\"end_offset\":6}";
	static const char last[] =
		"{\"entries\":[{\"key\":\"c\",\"value\":\"dHdv\",\"offset\":7},"
		"{\"key\":5}],\"has_more\":false,\"end_offset\":9}";
	fixture_t fixture;

	fixture_init(&fixture);
	fixture.replies[0] = answer("200 OK", first, sizeof(first) - 1);
	fixture.replies[1] = answer("200 OK", last, sizeof(last) - 1);
	ck_assert(store_list(&fixture.store, STORE_CONFIG, on_page, &fixture,
			     NULL));
	run(&fixture);
	ck_assert_str_eq(fixture.seen->str, "a b=one;c=two;");
	/*
	 * Pages are not a snapshot: records since the first page are read
	 * again.
	 */
	ck_assert_uint_eq(fixture.next, 6);
	ck_assert_ptr_nonnull(strstr(fixture.request_log->str, "&after=a%20b"));
	fixture_finish(&fixture);
}
END_TEST

START_TEST(an_entry_is_appended_as_one_record)
{
	static const char record[] = "\0\0\0\x08"
				     "\x03"
				     "key"
				     "text";
	fixture_t fixture;

	fixture_init(&fixture);
	fixture.replies[0] = answer("200 OK", "{\"offset\":1}", 12);
	ck_assert(store_append(&fixture.store, STORE_DAEMONS, STR_LIT("key"),
			       STR_LIT("text"), on_done, &fixture, NULL));
	run(&fixture);
	ck_assert_int_eq(fixture.error, ERR_NONE);
	ck_assert(fixture.request_log->len > sizeof(record) - 1 &&
		  !memcmp(fixture.request_log->str + fixture.request_log->len -
				  (sizeof(record) - 1),
			  record, sizeof(record) - 1));
	ck_assert(!store_append(&fixture.store, STORE_DAEMONS, STR_LIT(""),
				STR_LIT("text"), on_done, &fixture, NULL));
	fixture_finish(&fixture);
}
END_TEST

/* Guards against a writer that was replaced and writes nevertheless. */
START_TEST(an_append_under_a_condition)
{
	static const struct {
		const char *status, *body;
		err_code_t error;
		uint64_t end;
	} cases[] = {
		{ "200 OK", "{\"offset\":7,\"end_offset\":8}", ERR_NONE, 8 },
		{ "412 Failed", "{\"end_offset\":9}", ERR_CONFLICT, 0 },
		{ "503 Down", "{}", ERR_UNAVAILABLE, 0 },
		{ "200 OK", "{\"offset\":7}", ERR_INVALID, 0 },
		{ "200 OK", "nonsense", ERR_INVALID, 0 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		fixture_t fixture;

		fixture_init(&fixture);
		fixture.replies[0] = answer(cases[i].status, cases[i].body,
					    strlen(cases[i].body));
		ck_assert(store_append_at(&fixture.store, STORE_STATUS, 7,
					  STR_LIT("key"), STR_LIT("text"),
					  on_appended, &fixture, NULL));
		run(&fixture);
		ck_assert_msg(fixture.error == cases[i].error &&
				      fixture.next == cases[i].end,
			      "case %zu: %d", i, fixture.error);
		ck_assert_ptr_nonnull(strstr(fixture.request_log->str,
					     "topic=keyed.status&part=0&at=7"));
		fixture_finish(&fixture);
	}
}
END_TEST

START_TEST(a_silent_connection_times_out)
{
	gint64 begun = g_get_monotonic_time();
	fixture_t fixture;

	fixture_init(&fixture);
	fixture.end = FAKE_HOLD;
	ck_assert(store_read(&fixture.store, STORE_CONFIG, 1, 100, on_page,
			     &fixture, NULL));
	run(&fixture);
	ck_assert_int_ne(fixture.error, ERR_NONE);
	ck_assert_int_lt(g_get_monotonic_time() - begun, G_USEC_PER_SEC);
	fixture_finish(&fixture);
}
END_TEST

SUITE_MAIN("store", answers_state_the_epoch_of_the_store,
	   a_list_has_the_lowest_epoch_of_its_pages,
	   records_are_read_as_keys_and_values, answers_without_records,
	   a_list_is_read_over_several_pages,
	   an_entry_is_appended_as_one_record, an_append_under_a_condition,
	   a_silent_connection_times_out)
