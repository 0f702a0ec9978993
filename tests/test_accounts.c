#include <glib.h>

#include "core/accounts.h"
#include "tests/lib_suite.h"

enum { MAX_KEYS = 8, MAX_BATCHES = 3 };

static const int64_t INTERVAL_MS = 10000;

static accounts_key_t key_of(const char *service, const char *tier,
			     const char *team)
{
	accounts_key_t key = { 0 };

	g_strlcpy(key.service, service, sizeof(key.service));
	g_strlcpy(key.tier, tier, sizeof(key.tier));
	g_strlcpy(key.team, team, sizeof(key.team));
	return key;
}

static void add_one(accounts_t *a, const char *team)
{
	accounts_key_t key = key_of("s", "t", team);
	accounts_sum_t delta = { .offered = 1,
				 .prompt_wasted = { [WASTE_DEADLINE] = 3 } };

	accounts_add(a, &key, &delta);
}

static uint64_t next_offset; /* of the log that the tests write */

static void append(accounts_t *a, accounts_reader_t *r)
{
	uint64_t seq;
	str_t text = accounts_next_record(a, &seq);

	ck_assert(text.len > 0);
	ck_assert(accounts_reader_add(r, next_offset++, text, NULL));
	accounts_drop_appended(a, seq);
}

static void sum_up(void *ctx, const accounts_key_t *key,
		   const accounts_sum_t *sum)
{
	accounts_sum_add(ctx, sum);
}

static accounts_sum_t total(const accounts_reader_t *r)
{
	accounts_sum_t sum = { 0 };

	accounts_reader_each(r, 0, INT64_MAX, sum_up, &sum);
	return sum;
}

static accounts_counts_t counts_of(const accounts_reader_t *r)
{
	accounts_counts_t m;

	accounts_reader_get_counts(r, INT64_MAX / 2, INTERVAL_MS, &m);
	return m;
}

START_TEST(record_keeps_every_field)
{
	accounts_t a;
	accounts_reader_t r;
	accounts_key_t key = key_of("s", "t", "team");
	accounts_sum_t delta;
	accounts_sum_t sum;

	for (size_t i = 0; i < accounts_field_count(); i++)
		accounts_field_set(&delta, i, i * i + 1);
	accounts_init(&a, STR_LIT("vm-1"), UINT64_MAX, MAX_KEYS, MAX_BATCHES);
	accounts_reader_init(&r);
	accounts_add(&a, &key, &delta);
	accounts_add(&a, &key, &delta);
	accounts_close_batch(&a, INTERVAL_MS);
	append(&a, &r);
	sum = total(&r);
	for (size_t i = 0; i < accounts_field_count(); i++)
		ck_assert_uint_eq(accounts_field_get(&sum, i), 2 * (i * i + 1));
	accounts_finish(&a);
	accounts_reader_finish(&r);
}
END_TEST

START_TEST(repeated_batch_counts_once_and_keeps_its_text)
{
	accounts_t a;
	accounts_reader_t r;
	uint64_t seq;
	g_autofree char *first = NULL;

	accounts_init(&a, STR_LIT("vm-1"), 7, MAX_KEYS, 1);
	accounts_reader_init(&r);
	add_one(&a, "x");
	accounts_close_batch(&a, INTERVAL_MS);
	first = g_strdup(accounts_next_record(&a, &seq).ptr);
	/*
	 * The log's answer is lost. Until the record is appended again, more
	 * batches are closed than may be pending.
	 */
	for (int64_t i = 2; i < 9; i++) {
		add_one(&a, "x");
		accounts_close_batch(&a, i * INTERVAL_MS);
	}
	ck_assert_str_eq(accounts_next_record(&a, &seq).ptr, first);
	ck_assert(
		accounts_reader_add(&r, next_offset++, str_from(first), NULL));
	accounts_drop_appended(&a, 99);
	while (accounts_n_pending(&a))
		append(&a, &r);
	ck_assert_uint_eq(total(&r).offered, 8);
	ck_assert_uint_eq(counts_of(&r).repeats, 1);
	ck_assert_uint_eq(counts_of(&r).gaps, 0);
	accounts_finish(&a);
	accounts_reader_finish(&r);
}
END_TEST

START_TEST(outage_loses_detail_but_no_sums)
{
	accounts_t a;
	accounts_reader_t r;

	accounts_init(&a, STR_LIT("vm-1"), 7, MAX_KEYS, MAX_BATCHES);
	accounts_reader_init(&r);
	for (int64_t i = 0; i < 100; i++) {
		g_autofree char *team = g_strdup_printf("team-%d", (int)i);

		add_one(&a, team);
		accounts_close_batch(&a, i * INTERVAL_MS);
		ck_assert_uint_le(accounts_n_pending(&a), MAX_BATCHES);
	}
	ck_assert_uint_eq(accounts_n_merged(&a), 97);
	accounts_close_last_batch(&a, 100 * INTERVAL_MS);
	while (accounts_n_pending(&a))
		append(&a, &r);
	ck_assert_uint_eq(total(&r).offered, 100);
	ck_assert_uint_eq(total(&r).prompt_wasted[WASTE_DEADLINE], 300);
	ck_assert_uint_eq(counts_of(&r).merged, 98);
	ck_assert_uint_eq(counts_of(&r).gaps, 0);
	ck_assert_uint_eq(counts_of(&r).unended, 0);
	accounts_finish(&a);
	accounts_reader_finish(&r);
}
END_TEST

typedef struct rows {
	int n;
	uint64_t offered;
	uint64_t of_others;
} rows_t;

static void count_row(void *ctx, const accounts_key_t *key,
		      const accounts_sum_t *sum)
{
	rows_t *rows = ctx;

	rows->n++;
	rows->offered += sum->offered;
	if (!strcmp(key->team, ACCOUNTS_OTHER))
		rows->of_others += sum->offered;
}

START_TEST(keys_past_the_bound_go_to_other)
{
	accounts_t a;
	rows_t rows = { 0 };

	accounts_init(&a, STR_LIT("vm-1"), 7, MAX_KEYS, MAX_BATCHES);
	for (int i = 0; i < 50; i++) {
		g_autofree char *team = g_strdup_printf("team-%d", i);

		add_one(&a, team);
	}
	add_one(&a, "\xff\xfe");
	accounts_each(&a, count_row, &rows);
	ck_assert_int_eq(rows.n, MAX_KEYS + 1);
	ck_assert_uint_eq(rows.offered, 51);
	ck_assert_uint_eq(rows.of_others, 51 - MAX_KEYS);
	accounts_finish(&a);
}
END_TEST

START_TEST(the_largest_batch_fits_a_record)
{
	enum { RECORD_BYTES = 1 << 20 };
	accounts_t a;
	accounts_sum_t sum;
	uint64_t seq;

	for (size_t i = 0; i < accounts_field_count(); i++)
		accounts_field_set(&sum, i, (1ULL << 53) - 1);
	accounts_init(&a, STR_LIT("vm-1"), 7, 100000, MAX_BATCHES);
	for (int i = 0; i < 2000; i++) {
		g_autofree char *quotes = g_strnfill(63, '"');
		accounts_key_t key = key_of(quotes, quotes, quotes);

		g_snprintf(key.team, 6, "%05d", i);
		key.team[5] = '"';
		accounts_add(&a, &key, &sum);
	}
	accounts_close_batch(&a, INTERVAL_MS);
	ck_assert_uint_lt(accounts_next_record(&a, &seq).len, RECORD_BYTES);
	accounts_finish(&a);
}
END_TEST

/* Counts of lost batches, by which of the batches reach the log. */
START_TEST(missing_batches_are_counted)
{
	static const struct {
		const char *name;
		const char *appended; /* a letter per batch: y is in the log */
		bool has_end;
		uint64_t gaps, expired, unended, offered;
	} cases[] = {
		{ "all", "yyyy", true, 0, 0, 0, 3 },
		{ "killed", "yyyn", false, 0, 0, 1, 3 },
		{ "one batch damaged", "ynyy", true, 1, 0, 0, 2 },
		{ "log expired", "nnyy", true, 0, 2, 0, 1 },
		{ "killed at once", "nnnn", false, 0, 0, 0, 0 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		accounts_t a;
		accounts_reader_t r;
		accounts_counts_t m;
		uint64_t seq;

		accounts_init(&a, STR_LIT("vm-1"), 7, MAX_KEYS, MAX_BATCHES);
		accounts_reader_init(&r);
		for (int k = 0; k < 4; k++) {
			str_t text;

			if (k < 3)
				add_one(&a, "x");
			if (k == 3)
				accounts_close_last_batch(&a, k * INTERVAL_MS);
			else
				accounts_close_batch(&a, k * INTERVAL_MS);
			text = accounts_next_record(&a, &seq);
			if (cases[i].appended[k] == 'y')
				accounts_reader_add(&r, next_offset++, text,
						    NULL);
			accounts_drop_appended(&a, seq);
		}
		m = counts_of(&r);
		ck_assert_msg(m.gaps == cases[i].gaps &&
				      m.expired == cases[i].expired &&
				      m.unended == cases[i].unended &&
				      total(&r).offered == cases[i].offered,
			      "%s", cases[i].name);
		accounts_finish(&a);
		accounts_reader_finish(&r);
	}
}
END_TEST

#define COUNTS                                                              \
	"\"counts\":{\"gaps\":0,\"expired\":0,\"unended\":0,\"damaged\":0," \
	"\"repeats\":0,\"batches\":0,\"merged\":0,\"unread\":0}"

START_TEST(damaged_records_are_skipped_and_counted)
{
#define BATCH(rest)                                             \
	"{\"type\":\"batch\",\"daemon\":\"d\",\"incarnation\":" \
	"\"00000000000000ff\",\"merged\":0," rest "}"
	static const char *const cases[] = {
		"",
		"[]",
		"{\"type\":\"other\"}",
		BATCH("\"seq\":0,\"from_ms\":0,\"until_ms\":1,\"rows\":[]"),
		BATCH("\"seq\":1,\"from_ms\":2,\"until_ms\":1,\"rows\":[]"),
		BATCH("\"seq\":1,\"from_ms\":0,\"until_ms\":1,\"rows\":{}"),
		BATCH("\"seq\":1,\"from_ms\":0,\"until_ms\":1,\"rows\":[1]"),
		BATCH("\"seq\":1,\"from_ms\":0,\"until_ms\":1,\"rows\":["
		      "{\"service\":\"s\",\"tier\":\"t\",\"team\":\"x\","
		      "\"offered\":-1}]"),
		BATCH("\"seq\":1,\"from_ms\":0,\"until_ms\":1,\"rows\":["
		      "{\"service\":\"s\",\"tier\":\"t\",\"team\":\"x\","
		      "\"offered\":1e300}]"),
		"{\"type\":\"summary\",\"as_of\":99," COUNTS "}",
		"{\"type\":\"summary\",\"as_of\":0}",
		"{\"type\":\"summary\",\"as_of\":0," COUNTS ",\"rows\":[{}]}",
		"{\"type\":\"summary\",\"as_of\":0," COUNTS
		",\"writers\":[{\"daemon\":\"d\",\"incarnation\":"
		"\"00000000000000ff\",\"last_ms\":1,\"seen\":[[3,4],[2,2]]}]}",
		BATCH("\"seq\":1,\"seq\":1,\"from_ms\":0,\"until_ms\":1,"
		      "\"rows\":[]"),
	};
	accounts_reader_t r;

	accounts_reader_init(&r);
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		err_t err = { 0 };

		ck_assert_msg(
			!accounts_reader_add(&r, i, str_from(cases[i]), &err),
			"case %zu", i);
		ck_assert_int_eq(err.code, ERR_INVALID);
	}
	ck_assert_uint_eq(counts_of(&r).damaged, G_N_ELEMENTS(cases));
	ck_assert_uint_eq(counts_of(&r).batches, 0);
	accounts_reader_finish(&r);
}
END_TEST

START_TEST(batches_are_selected_by_time)
{
	accounts_t a;
	accounts_reader_t r;
	accounts_sum_t sum = { 0 };
	int64_t first, last;

	accounts_init(&a, STR_LIT("vm-1"), 7, MAX_KEYS, MAX_BATCHES);
	accounts_reader_init(&r);
	ck_assert(!accounts_reader_span(&r, &first, &last));
	for (int64_t i = 1; i <= 5; i++) {
		add_one(&a, "x");
		accounts_close_batch(&a, i * INTERVAL_MS);
		append(&a, &r);
	}
	accounts_reader_each(&r, 2 * INTERVAL_MS, 4 * INTERVAL_MS, sum_up,
			     &sum);
	ck_assert_uint_eq(sum.offered, 2);
	ck_assert(accounts_reader_span(&r, &first, &last));
	ck_assert_int_eq(first, INTERVAL_MS);
	ck_assert_int_eq(last, 5 * INTERVAL_MS);
	accounts_finish(&a);
	accounts_reader_finish(&r);
}
END_TEST

/*
 * Batches are appended with lost answers and outages. Records are read at
 * random, some of them repeatedly, and then all of them from the last one on.
 */
static void run_seed(uint32_t seed)
{
	g_autoptr(GRand) rand = g_rand_new_with_seed(seed);
	g_autoptr(GPtrArray) log = g_ptr_array_new_with_free_func(g_free);
	uint64_t offered = 0;
	accounts_t a[3];
	accounts_reader_t r;
	accounts_counts_t m;
	uint64_t seq;

	for (int i = 0; i < 3; i++)
		accounts_init(&a[i], STR_LIT("vm"), i, MAX_KEYS, MAX_BATCHES);
	for (int step = 0; step < 300; step++) {
		accounts_t *w = &a[g_rand_int_range(rand, 0, 3)];
		str_t text;

		add_one(w, g_rand_boolean(rand) ? "x" : "y");
		offered++;
		if (g_rand_int_range(rand, 0, 3))
			accounts_close_batch(w, (int64_t)step * 100);
		text = accounts_next_record(w, &seq);
		if (!text.len || g_rand_int_range(rand, 0, 3) == 0)
			continue;
		g_ptr_array_add(log, g_strndup(text.ptr, text.len));
		if (g_rand_boolean(rand))
			accounts_drop_appended(w, seq);
	}
	for (int i = 0; i < 3; i++) {
		accounts_close_last_batch(&a[i], 30000);
		while (accounts_n_pending(&a[i])) {
			str_t text = accounts_next_record(&a[i], &seq);

			g_ptr_array_add(log, g_strndup(text.ptr, text.len));
			accounts_drop_appended(&a[i], seq);
		}
		accounts_finish(&a[i]);
	}
	accounts_reader_init(&r);
	for (guint n = log->len * 2; n > 0; n--) {
		guint at = n > log->len ? (guint)g_rand_int_range(
						  rand, 0, (gint32)log->len) :
					  n - 1;

		accounts_reader_add(&r, n, str_from(log->pdata[at]), NULL);
	}
	m = counts_of(&r);
	ck_assert_uint_eq(total(&r).offered, offered);
	ck_assert_uint_eq(m.gaps + m.expired + m.unended + m.damaged, 0);
	accounts_reader_finish(&r);
}

START_TEST(sums_are_exact_under_repeats_and_reorders)
{
	for (uint32_t seed = 1; seed <= 100; seed++)
		run_seed(seed);
}
END_TEST

START_TEST(writer_killed_after_its_first_batch_is_unended)
{
	accounts_t a;
	accounts_reader_t r;

	accounts_init(&a, STR_LIT("vm-1"), 7, MAX_KEYS, MAX_BATCHES);
	accounts_reader_init(&r);
	accounts_close_first_batch(&a, INTERVAL_MS);
	append(&a, &r);
	add_one(&a, "x");
	accounts_close_batch(&a, 2 * INTERVAL_MS);
	/* It is killed before this batch is appended. */
	accounts_finish(&a);
	ck_assert_uint_eq(counts_of(&r).unended, 1);
	accounts_reader_finish(&r);
}
END_TEST

START_TEST(idle_writer_counts_as_running_until_silent)
{
	accounts_t a;
	accounts_reader_t r;
	accounts_counts_t m;
	int64_t now = 0;

	accounts_init(&a, STR_LIT("vm-1"), 7, MAX_KEYS, MAX_BATCHES);
	accounts_reader_init(&r);
	accounts_close_first_batch(&a, now);
	for (int i = 0; i < 20; i++) {
		now += INTERVAL_MS;
		accounts_close_batch(&a, now);
		while (accounts_n_pending(&a))
			append(&a, &r);
		accounts_reader_get_counts(&r, now, ACCOUNTS_IDLE_MS, &m);
		ck_assert_uint_eq(m.unended, 0);
		ck_assert_uint_eq(m.running, 1);
	}
	ck_assert_uint_eq(m.batches, 7);
	accounts_reader_get_counts(&r, now + 2L * ACCOUNTS_IDLE_MS,
				   ACCOUNTS_IDLE_MS, &m);
	ck_assert_uint_eq(m.unended, 1);
	ck_assert_uint_eq(m.running, 0);
	accounts_finish(&a);
	accounts_reader_finish(&r);
}
END_TEST

/* Simulates a log with retention, two writers, and readers that summarize. */
typedef struct log_sim {
	GRand *rand;
	GPtrArray *log; /* text by offset */
	uint64_t oldest;
	bool expires_only_summarized; /* no record before a summary has it */
	uint64_t summarized_until; /* offset that appended summaries reach */
	char *unappended[2]; /* summaries written but not appended yet */
	uint64_t unappended_as_of[2];
	accounts_t writers[2];
	uint64_t offered;
} log_sim_t;

static void read_log(const log_sim_t *s, accounts_reader_t *r)
{
	accounts_reader_init(r);
	accounts_reader_set_oldest(r, s->oldest);
	for (uint64_t i = s->oldest; i < s->log->len; i++)
		accounts_reader_add(r, i, str_from(s->log->pdata[i]), NULL);
}

static void append_batch(log_sim_t *s)
{
	accounts_t *a = &s->writers[g_rand_int_range(s->rand, 0, 2)];
	uint64_t seq;
	str_t text;

	add_one(a, g_rand_boolean(s->rand) ? "x" : "y");
	s->offered++;
	accounts_close_batch(a, (int64_t)s->log->len * INTERVAL_MS);
	text = accounts_next_record(a, &seq);
	g_ptr_array_add(s->log, g_strndup(text.ptr, text.len));
	if (g_rand_boolean(s->rand))
		accounts_drop_appended(a, seq);
}

/*
 * Writes a summary, or appends one that was written before: a paused reader
 * appends its summary long after it wrote it.
 */
static void summarize(log_sim_t *s)
{
	int i = g_rand_int_range(s->rand, 0, 2);
	accounts_reader_t r;

	if (s->unappended[i]) {
		g_ptr_array_add(s->log, g_steal_pointer(&s->unappended[i]));
		s->summarized_until =
			MAX(s->summarized_until, s->unappended_as_of[i]);
		return;
	}
	read_log(s, &r);
	s->unappended_as_of[i] =
		s->log->len -
		(uint64_t)g_rand_int_range(
			s->rand, 0, (gint32)(s->log->len - s->oldest) + 1);
	s->unappended[i] = accounts_reader_summary(&r, s->unappended_as_of[i]);
	accounts_reader_finish(&r);
}

static void expire(log_sim_t *s)
{
	uint64_t until =
		s->oldest +
		(uint64_t)g_rand_int_range(
			s->rand, 0, (gint32)(s->log->len - s->oldest) + 1);

	s->oldest = s->expires_only_summarized ?
			    MAX(s->oldest, MIN(until, s->summarized_until)) :
			    until;
}

static void end_writers(log_sim_t *s)
{
	for (int i = 0; i < 2; i++) {
		uint64_t seq;
		str_t text;

		accounts_close_last_batch(&s->writers[i], INTERVAL_MS);
		while ((text = accounts_next_record(&s->writers[i], &seq))
			       .len) {
			g_ptr_array_add(s->log, g_strndup(text.ptr, text.len));
			accounts_drop_appended(&s->writers[i], seq);
		}
		accounts_finish(&s->writers[i]);
	}
}

static void run_retention_seed(uint32_t seed, bool expires_only_summarized)
{
	log_sim_t s = { .rand = g_rand_new_with_seed(seed),
			.expires_only_summarized = expires_only_summarized };
	accounts_counts_t m;
	accounts_reader_t r;
	uint64_t got;

	s.log = g_ptr_array_new_with_free_func(g_free);
	for (uint64_t i = 0; i < 2; i++)
		accounts_init(&s.writers[i], STR_LIT("vm"), i, MAX_KEYS,
			      MAX_BATCHES);
	for (int step = 0; step < 150; step++) {
		int what = g_rand_int_range(s.rand, 0, 8);

		if (what < 5)
			append_batch(&s);
		else if (what < 7)
			summarize(&s);
		else
			expire(&s);
	}
	end_writers(&s);
	read_log(&s, &r);
	got = total(&r).offered;
	m = counts_of(&r);
	ck_assert_uint_le(got, s.offered);
	if (expires_only_summarized) {
		ck_assert_uint_eq(got, s.offered);
		ck_assert_uint_eq(m.gaps + m.expired + m.unread, 0);
	} else if (got < s.offered) {
		ck_assert_uint_gt(m.unread, 0);
	}
	accounts_reader_finish(&r);
	g_ptr_array_unref(s.log);
	g_free(s.unappended[0]);
	g_free(s.unappended[1]);
	g_rand_free(s.rand);
}

START_TEST(summaries_keep_sums_exact_past_retention)
{
	for (uint32_t seed = 1; seed <= 150; seed++)
		run_retention_seed(seed, true);
}
END_TEST

START_TEST(records_that_expired_unsummarized_are_counted)
{
	for (uint32_t seed = 1; seed <= 150; seed++)
		run_retention_seed(seed, false);
}
END_TEST

START_TEST(writer_idle_for_long_expires_but_not_its_sums)
{
	static const int64_t MONTH_MS = 30LL * 24 * 3600 * 1000;
	accounts_t a[2];
	accounts_reader_t r;
	g_autofree char *summary = NULL;
	uint64_t as_of;

	accounts_reader_init(&r);
	for (uint64_t i = 0; i < 2; i++) {
		accounts_init(&a[i], STR_LIT("vm"), i, MAX_KEYS, MAX_BATCHES);
		add_one(&a[i], "x");
		accounts_close_batch(&a[i], (int64_t)i * MONTH_MS);
		append(&a[i], &r);
		accounts_finish(&a[i]);
	}
	as_of = next_offset++;
	summary = accounts_reader_summary(&r, as_of);
	ck_assert_ptr_null(strstr(summary, "0000000000000000"));
	/* The first writer's record is still in the log. */
	ck_assert(accounts_reader_add(&r, as_of, str_from(summary), NULL));
	ck_assert_uint_eq(total(&r).offered, 2);
	ck_assert_uint_eq(counts_of(&r).unended, 2);
	accounts_reader_finish(&r);
}
END_TEST

START_TEST(long_summary_loses_detail_to_fit_a_record)
{
	enum {
		RECORD_BYTES = 1 << 20,
		BATCHES = 1200,
		KEYS = 30,
		REQUESTS = BATCHES * KEYS,
	};
	accounts_t a;
	accounts_reader_t r;
	accounts_reader_t again;
	g_autofree char *summary = NULL;

	accounts_init(&a, STR_LIT("vm-1"), 7, KEYS, MAX_BATCHES);
	accounts_reader_init(&r);
	for (int64_t i = 0; i < BATCHES; i++) {
		for (int k = 0; k < KEYS; k++) {
			g_autofree char *team = g_strdup_printf("t%d", k);

			add_one(&a, team);
		}
		accounts_close_batch(&a, i * 360 * INTERVAL_MS);
		append(&a, &r);
	}
	summary = accounts_reader_summary(&r, next_offset);
	ck_assert_ptr_nonnull(summary);
	ck_assert_uint_le(strlen(summary), RECORD_BYTES);
	accounts_reader_init(&again);
	ck_assert(accounts_reader_add(&again, next_offset, str_from(summary),
				      NULL));
	ck_assert_uint_eq(total(&again).offered, REQUESTS);
	ck_assert_ptr_null(accounts_reader_summary(&again, next_offset));
	accounts_finish(&a);
	accounts_reader_finish(&r);
	accounts_reader_finish(&again);
}
END_TEST

SUITE_MAIN("accounts", record_keeps_every_field,
	   repeated_batch_counts_once_and_keeps_its_text,
	   outage_loses_detail_but_no_sums, keys_past_the_bound_go_to_other,
	   the_largest_batch_fits_a_record, missing_batches_are_counted,
	   damaged_records_are_skipped_and_counted,
	   batches_are_selected_by_time,
	   idle_writer_counts_as_running_until_silent,
	   writer_killed_after_its_first_batch_is_unended,
	   summaries_keep_sums_exact_past_retention,
	   records_that_expired_unsummarized_are_counted,
	   long_summary_loses_detail_to_fit_a_record,
	   writer_idle_for_long_expires_but_not_its_sums,
	   sums_are_exact_under_repeats_and_reorders)
