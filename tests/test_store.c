#include "platform/store.h"

#include <string.h>

#include "tests/lib_fake_http.h"
#include "tests/lib_suite.h"

enum { TIMEOUT_MS = 200, LIMIT_US = 5 * G_USEC_PER_SEC };

/* A fake store with fixed answers, and the results of its client. */
typedef struct bed {
	struct event_base *base;
	fake_http_t fake;
	const GByteArray *replies[3]; /* in order */
	fake_end_t end;
	store_t store;
	GString *asked; /* request lines and bodies */
	GString *seen; /* "key=value;" of the page */
	uint64_t next;
	bool has_gap, is_ended, is_done;
	err_code_t error;
} bed_t;

static void on_request(void *ctx, const fake_request_t *request,
		       fake_reply_t *reply)
{
	bed_t *bed = ctx;
	const GByteArray *bytes = bed->replies[bed->fake.requests - 1];

	g_string_append_printf(bed->asked, "%s %s\n", request->method,
			       request->path);
	g_string_append_len(bed->asked, request->body.ptr,
			    (gssize)request->body.len);
	if (bytes)
		g_string_append_len(reply->bytes, (const char *)bytes->data,
				    bytes->len);
	reply->end = bed->end;
}

static void bed_init(bed_t *bed)
{
	*bed = (bed_t){ .end = FAKE_CLOSE };
	bed->base = event_base_new();
	bed->asked = g_string_new("");
	bed->seen = g_string_new("");
	fake_http_init(&bed->fake, bed->base, on_request, bed);
	store_init(&bed->store, bed->base, bed->fake.address, TIMEOUT_MS);
}

static void bed_finish(bed_t *bed)
{
	store_finish(&bed->store);
	fake_http_finish(&bed->fake);
	event_base_loop(bed->base, EVLOOP_NONBLOCK);
	event_base_free(bed->base);
	g_string_free(bed->asked, TRUE);
	g_string_free(bed->seen, TRUE);
	for (size_t i = 0; i < G_N_ELEMENTS(bed->replies); i++)
		if (bed->replies[i])
			g_byte_array_unref((GByteArray *)bed->replies[i]);
}

static void on_page(void *ctx, const store_page_t *page, const err_t *err)
{
	bed_t *bed = ctx;

	bed->is_ended = true;
	bed->error = err ? err->code : ERR_NONE;
	for (size_t i = 0; page && i < page->n_entries; i++)
		g_string_append_printf(bed->seen, "%.*s=%.*s;",
				       (int)page->entries[i].key.len,
				       page->entries[i].key.ptr,
				       (int)page->entries[i].value.len,
				       page->entries[i].value.ptr);
	if (!page)
		return;
	bed->next = page->next;
	bed->has_gap = page->has_gap;
}

static void on_done(void *ctx, const err_t *err)
{
	bed_t *bed = ctx;

	bed->is_ended = true;
	bed->error = err ? err->code : ERR_NONE;
}

static void run(bed_t *bed)
{
	gint64 limit = g_get_monotonic_time() + LIMIT_US;

	while (!bed->is_ended && g_get_monotonic_time() < limit)
		event_base_loop(bed->base, EVLOOP_ONCE);
	ck_assert(bed->is_ended);
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
	bed_t bed;

	bed_init(&bed);
	bed.replies[0] = answer("200 OK", body, sizeof(body) - 1);
	ck_assert(store_read(&bed.store, STORE_RUNNERS, 40, 0, on_page, &bed,
			     NULL));
	run(&bed);
	ck_assert_int_eq(bed.error, ERR_NONE);
	ck_assert_str_eq(bed.seen->str, "key=one;old=;");
	/* An unreadable record of another writer counts too. */
	ck_assert_uint_eq(bed.next, 43);
	ck_assert_ptr_nonnull(strstr(bed.asked->str,
				     "/log-read?topic=keyed.servers&part=0&"
				     "source=40&"));
	bed_finish(&bed);
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
		bed_t bed;

		bed_init(&bed);
		bed.replies[0] =
			answer(cases[i].status, cases[i].body, cases[i].n);
		ck_assert(store_read(&bed.store, STORE_CONFIG, 1, 0, on_page,
				     &bed, NULL));
		run(&bed);
		ck_assert_msg(bed.error == cases[i].error &&
				      bed.has_gap == cases[i].has_gap,
			      "case %zu: %d", i, bed.error);
		bed_finish(&bed);
	}
}
END_TEST

START_TEST(a_list_goes_on_over_pages)
{
	static const char first[] =
		"{\"entries\":[{\"key\":\"a b\",\"value\":\"b25l\",\"offset\":"
		"1}],\"has_more\":true,\"end_offset\":6}";
	static const char last[] =
		"{\"entries\":[{\"key\":\"c\",\"value\":\"dHdv\",\"offset\":7},"
		"{\"key\":5}],\"has_more\":false,\"end_offset\":9}";
	bed_t bed;

	bed_init(&bed);
	bed.replies[0] = answer("200 OK", first, sizeof(first) - 1);
	bed.replies[1] = answer("200 OK", last, sizeof(last) - 1);
	ck_assert(store_list(&bed.store, STORE_CONFIG, on_page, &bed, NULL));
	run(&bed);
	ck_assert_str_eq(bed.seen->str, "a b=one;c=two;");
	/*
	 * Pages are not a snapshot: records since the first page are read
	 * again.
	 */
	ck_assert_uint_eq(bed.next, 6);
	ck_assert_ptr_nonnull(strstr(bed.asked->str, "&after=a%20b"));
	bed_finish(&bed);
}
END_TEST

START_TEST(an_entry_is_appended_as_one_record)
{
	static const char record[] = "\0\0\0\x08"
				     "\x03"
				     "key"
				     "text";
	bed_t bed;

	bed_init(&bed);
	bed.replies[0] = answer("200 OK", "{\"offset\":1}", 12);
	ck_assert(store_append(&bed.store, STORE_DAEMONS, STR_LIT("key"),
			       STR_LIT("text"), on_done, &bed, NULL));
	run(&bed);
	ck_assert_int_eq(bed.error, ERR_NONE);
	ck_assert(
		bed.asked->len > sizeof(record) - 1 &&
		!memcmp(bed.asked->str + bed.asked->len - (sizeof(record) - 1),
			record, sizeof(record) - 1));
	ck_assert(!store_append(&bed.store, STORE_DAEMONS, STR_LIT(""),
				STR_LIT("text"), on_done, &bed, NULL));
	bed_finish(&bed);
}
END_TEST

START_TEST(a_connection_that_goes_silent_ends_in_time)
{
	gint64 begun = g_get_monotonic_time();
	bed_t bed;

	bed_init(&bed);
	bed.end = FAKE_HOLD;
	ck_assert(store_read(&bed.store, STORE_CONFIG, 1, 100, on_page, &bed,
			     NULL));
	run(&bed);
	ck_assert_int_ne(bed.error, ERR_NONE);
	ck_assert_int_lt(g_get_monotonic_time() - begun, G_USEC_PER_SEC);
	bed_finish(&bed);
}
END_TEST

SUITE_MAIN("store", records_are_read_as_keys_and_values,
	   answers_without_records, a_list_goes_on_over_pages,
	   an_entry_is_appended_as_one_record,
	   a_connection_that_goes_silent_ends_in_time)
