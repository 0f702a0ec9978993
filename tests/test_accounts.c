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

static void append(accounts_t *a, accounts_reader_t *b)
{
	uint64_t seq;
	str_t text = accounts_next_record(a, &seq);

	ck_assert(text.len > 0);
	ck_assert(accounts_reader_add(b, next_offset++, text, NULL));
	accounts_drop_appended(a, seq);
}

static void sum_up(void *ctx, const accounts_key_t *key,
		   const accounts_sum_t *sum)
{
	accounts_sum_add(ctx, sum);
}

static accounts_sum_t total(const accounts_reader_t *b)
{
	accounts_sum_t sum = { 0 };

	accounts_reader_each(b, 0, INT64_MAX, sum_up, &sum);
	return sum;
}

static accounts_counts_t missing(const accounts_reader_t *b)
{
	accounts_counts_t m;

	accounts_reader_get_counts(b, INT64_MAX / 2, INTERVAL_MS, &m);
	return m;
}

START_TEST(every_field_goes_through_a_record)
{
	accounts_t a;
	accounts_reader_t b;
	accounts_key_t key = key_of("s", "t", "team");
	accounts_sum_t delta;
	accounts_sum_t sum;

	for (size_t i = 0; i < accounts_field_count(); i++)
		accounts_field_set(&delta, i, i * i + 1);
	accounts_init(&a, STR_LIT("vm-1"), UINT64_MAX, MAX_KEYS, MAX_BATCHES);
	accounts_reader_init(&b);
	accounts_add(&a, &key, &delta);
	accounts_add(&a, &key, &delta);
	accounts_close_batch(&a, INTERVAL_MS);
	append(&a, &b);
	sum = total(&b);
	for (size_t i = 0; i < accounts_field_count(); i++)
		ck_assert_uint_eq(accounts_field_get(&sum, i), 2 * (i * i + 1));
	accounts_finish(&a);
	accounts_reader_finish(&b);
}
END_TEST

START_TEST(repeated_batch_counts_once_and_keeps_its_text)
{
	accounts_t a;
	accounts_reader_t b;
	uint64_t seq;
	g_autofree char *first = NULL;

	accounts_init(&a, STR_LIT("vm-1"), 7, MAX_KEYS, 1);
	accounts_reader_init(&b);
	add_one(&a, "x");
	accounts_close_batch(&a, INTERVAL_MS);
	first = g_strdup(accounts_next_record(&a, &seq).ptr);
	/*
	 * The answer is lost; meanwhile more batches are closed than may wait.
	 */
	for (int64_t i = 2; i < 9; i++) {
		add_one(&a, "x");
		accounts_close_batch(&a, i * INTERVAL_MS);
	}
	ck_assert_str_eq(accounts_next_record(&a, &seq).ptr, first);
	ck_assert(
		accounts_reader_add(&b, next_offset++, str_from(first), NULL));
	accounts_drop_appended(&a, 99);
	while (accounts_n_pending(&a))
		append(&a, &b);
	ck_assert_uint_eq(total(&b).offered, 8);
	ck_assert_uint_eq(missing(&b).repeats, 1);
	ck_assert_uint_eq(missing(&b).gaps, 0);
	accounts_finish(&a);
	accounts_reader_finish(&b);
}
END_TEST

START_TEST(outage_loses_detail_but_no_sums)
{
	accounts_t a;
	accounts_reader_t b;

	accounts_init(&a, STR_LIT("vm-1"), 7, MAX_KEYS, MAX_BATCHES);
	accounts_reader_init(&b);
	for (int64_t i = 0; i < 100; i++) {
		g_autofree char *team = g_strdup_printf("team-%d", (int)i);

		add_one(&a, team);
		accounts_close_batch(&a, i * INTERVAL_MS);
		ck_assert_uint_le(accounts_n_pending(&a), MAX_BATCHES);
	}
	ck_assert_uint_eq(accounts_n_merged(&a), 97);
	accounts_close_last_batch(&a, 100 * INTERVAL_MS);
	while (accounts_n_pending(&a))
		append(&a, &b);
	ck_assert_uint_eq(total(&b).offered, 100);
	ck_assert_uint_eq(total(&b).prompt_wasted[WASTE_DEADLINE], 300);
	ck_assert_uint_eq(missing(&b).merged, 98);
	ck_assert_uint_eq(missing(&b).gaps, 0);
	ck_assert_uint_eq(missing(&b).unended, 0);
	accounts_finish(&a);
	accounts_reader_finish(&b);
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
		const char *reach; /* one letter a batch: y reaches the log */
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
		accounts_reader_t b;
		accounts_counts_t m;
		uint64_t seq;

		accounts_init(&a, STR_LIT("vm-1"), 7, MAX_KEYS, MAX_BATCHES);
		accounts_reader_init(&b);
		for (int k = 0; k < 4; k++) {
			str_t text;

			if (k < 3)
				add_one(&a, "x");
			if (k == 3)
				accounts_close_last_batch(&a, k * INTERVAL_MS);
			else
				accounts_close_batch(&a, k * INTERVAL_MS);
			text = accounts_next_record(&a, &seq);
			if (cases[i].reach[k] == 'y')
				accounts_reader_add(&b, next_offset++, text,
						    NULL);
			accounts_drop_appended(&a, seq);
		}
		m = missing(&b);
		ck_assert_msg(m.gaps == cases[i].gaps &&
				      m.expired == cases[i].expired &&
				      m.unended == cases[i].unended &&
				      total(&b).offered == cases[i].offered,
			      "%s", cases[i].name);
		accounts_finish(&a);
		accounts_reader_finish(&b);
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
	accounts_reader_t b;

	accounts_reader_init(&b);
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		err_t err = { 0 };

		ck_assert_msg(
			!accounts_reader_add(&b, i, str_from(cases[i]), &err),
			"case %zu", i);
		ck_assert_int_eq(err.code, ERR_INVALID);
	}
	ck_assert_uint_eq(missing(&b).damaged, G_N_ELEMENTS(cases));
	ck_assert_uint_eq(missing(&b).batches, 0);
	accounts_reader_finish(&b);
}
END_TEST

START_TEST(batches_are_selected_by_time)
{
	accounts_t a;
	accounts_reader_t b;
	accounts_sum_t sum = { 0 };
	int64_t first, last;

	accounts_init(&a, STR_LIT("vm-1"), 7, MAX_KEYS, MAX_BATCHES);
	accounts_reader_init(&b);
	ck_assert(!accounts_reader_span(&b, &first, &last));
	for (int64_t i = 1; i <= 5; i++) {
		add_one(&a, "x");
		accounts_close_batch(&a, i * INTERVAL_MS);
		append(&a, &b);
	}
	accounts_reader_each(&b, 2 * INTERVAL_MS, 4 * INTERVAL_MS, sum_up,
			     &sum);
	ck_assert_uint_eq(sum.offered, 2);
	ck_assert(accounts_reader_span(&b, &first, &last));
	ck_assert_int_eq(first, INTERVAL_MS);
	ck_assert_int_eq(last, 5 * INTERVAL_MS);
	accounts_finish(&a);
	accounts_reader_finish(&b);
}
END_TEST

/* Appends with lost answers and outages; the log is read in any order. */
static void run_seed(uint32_t seed)
{
	g_autoptr(GRand) rand = g_rand_new_with_seed(seed);
	g_autoptr(GPtrArray) log = g_ptr_array_new_with_free_func(g_free);
	uint64_t offered = 0;
	accounts_t a[3];
	accounts_reader_t b;
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
	accounts_reader_init(&b);
	for (guint n = log->len * 2; n > 0; n--) {
		guint at = n > log->len ? (guint)g_rand_int_range(
						  rand, 0, (gint32)log->len) :
					  n - 1;

		accounts_reader_add(&b, n, str_from(log->pdata[at]), NULL);
	}
	m = missing(&b);
	ck_assert_uint_eq(total(&b).offered, offered);
	ck_assert_uint_eq(m.gaps + m.expired + m.unended + m.damaged, 0);
	accounts_reader_finish(&b);
}

START_TEST(sums_are_exact_under_repeats_and_reorders)
{
	for (uint32_t seed = 1; seed <= 100; seed++)
		run_seed(seed);
}
END_TEST

START_TEST(killed_writer_that_began_counts_as_unended)
{
	accounts_t a;
	accounts_reader_t b;

	accounts_init(&a, STR_LIT("vm-1"), 7, MAX_KEYS, MAX_BATCHES);
	accounts_reader_init(&b);
	accounts_close_first_batch(&a, INTERVAL_MS);
	append(&a, &b);
	add_one(&a, "x");
	accounts_close_batch(&a, 2 * INTERVAL_MS);
	/* Killed before the append. */
	accounts_finish(&a);
	ck_assert_uint_eq(missing(&b).unended, 1);
	accounts_reader_finish(&b);
}
END_TEST

START_TEST(idle_writer_differs_from_a_dead_one)
{
	accounts_t a;
	accounts_reader_t b;
	accounts_counts_t m;
	int64_t now = 0;

	accounts_init(&a, STR_LIT("vm-1"), 7, MAX_KEYS, MAX_BATCHES);
	accounts_reader_init(&b);
	accounts_close_first_batch(&a, now);
	for (int i = 0; i < 20; i++) {
		now += INTERVAL_MS;
		accounts_close_batch(&a, now);
		while (accounts_n_pending(&a))
			append(&a, &b);
		accounts_reader_get_counts(&b, now, ACCOUNTS_IDLE_MS, &m);
		ck_assert_uint_eq(m.unended, 0);
		ck_assert_uint_eq(m.running, 1);
	}
	ck_assert_uint_eq(m.batches, 7);
	accounts_reader_get_counts(&b, now + 2L * ACCOUNTS_IDLE_MS,
				   ACCOUNTS_IDLE_MS, &m);
	ck_assert_uint_eq(m.unended, 1);
	ck_assert_uint_eq(m.running, 0);
	accounts_finish(&a);
	accounts_reader_finish(&b);
}
END_TEST

/* A log with retention, writers, and readers who append summaries. */
typedef struct world {
	GRand *rand;
	GPtrArray *log; /* text by offset */
	uint64_t oldest;
	bool is_covered; /* records expire only once a summary has them */
	uint64_t covered;
	char *late[2]; /* summaries that are not appended yet */
	uint64_t late_as_of[2];
	accounts_t writers[2];
	uint64_t offered;
} world_t;

static void read_world(const world_t *w, accounts_reader_t *b)
{
	accounts_reader_init(b);
	accounts_reader_set_oldest(b, w->oldest);
	for (uint64_t i = w->oldest; i < w->log->len; i++)
		accounts_reader_add(b, i, str_from(w->log->pdata[i]), NULL);
}

static void write_some(world_t *w)
{
	accounts_t *a = &w->writers[g_rand_int_range(w->rand, 0, 2)];
	uint64_t seq;
	str_t text;

	add_one(a, g_rand_boolean(w->rand) ? "x" : "y");
	w->offered++;
	accounts_close_batch(a, (int64_t)w->log->len * INTERVAL_MS);
	text = accounts_next_record(a, &seq);
	g_ptr_array_add(w->log, g_strndup(text.ptr, text.len));
	if (g_rand_boolean(w->rand))
		accounts_drop_appended(a, seq);
}

/* A paused reader appends its summary long after it was made. */
static void summarize(world_t *w)
{
	int i = g_rand_int_range(w->rand, 0, 2);
	accounts_reader_t b;

	if (w->late[i]) {
		g_ptr_array_add(w->log, g_steal_pointer(&w->late[i]));
		w->covered = MAX(w->covered, w->late_as_of[i]);
		return;
	}
	read_world(w, &b);
	w->late_as_of[i] =
		w->log->len -
		(uint64_t)g_rand_int_range(
			w->rand, 0, (gint32)(w->log->len - w->oldest) + 1);
	w->late[i] = accounts_reader_summary(&b, w->late_as_of[i]);
	accounts_reader_finish(&b);
}

static void expire(world_t *w)
{
	uint64_t until =
		w->oldest +
		(uint64_t)g_rand_int_range(
			w->rand, 0, (gint32)(w->log->len - w->oldest) + 1);

	w->oldest =
		w->is_covered ? MAX(w->oldest, MIN(until, w->covered)) : until;
}

static void end_world(world_t *w)
{
	for (int i = 0; i < 2; i++) {
		uint64_t seq;
		str_t text;

		accounts_close_last_batch(&w->writers[i], INTERVAL_MS);
		while ((text = accounts_next_record(&w->writers[i], &seq))
			       .len) {
			g_ptr_array_add(w->log, g_strndup(text.ptr, text.len));
			accounts_drop_appended(&w->writers[i], seq);
		}
		accounts_finish(&w->writers[i]);
	}
}

static void run_world(uint32_t seed, bool is_covered)
{
	world_t w = { .rand = g_rand_new_with_seed(seed),
		      .is_covered = is_covered };
	accounts_counts_t m;
	accounts_reader_t b;
	uint64_t got;

	w.log = g_ptr_array_new_with_free_func(g_free);
	for (uint64_t i = 0; i < 2; i++)
		accounts_init(&w.writers[i], STR_LIT("vm"), i, MAX_KEYS,
			      MAX_BATCHES);
	for (int step = 0; step < 150; step++) {
		int what = g_rand_int_range(w.rand, 0, 8);

		if (what < 5)
			write_some(&w);
		else if (what < 7)
			summarize(&w);
		else
			expire(&w);
	}
	end_world(&w);
	read_world(&w, &b);
	got = total(&b).offered;
	m = missing(&b);
	ck_assert_uint_le(got, w.offered);
	if (is_covered) {
		ck_assert_uint_eq(got, w.offered);
		ck_assert_uint_eq(m.gaps + m.expired + m.unread, 0);
	} else if (got < w.offered) {
		ck_assert_uint_gt(m.unread, 0);
	}
	accounts_reader_finish(&b);
	g_ptr_array_unref(w.log);
	g_free(w.late[0]);
	g_free(w.late[1]);
	g_rand_free(w.rand);
}

START_TEST(summaries_keep_sums_exact_past_retention)
{
	for (uint32_t seed = 1; seed <= 150; seed++)
		run_world(seed, true);
}
END_TEST

START_TEST(what_expired_before_a_summary_is_shown)
{
	for (uint32_t seed = 1; seed <= 150; seed++)
		run_world(seed, false);
}
END_TEST

START_TEST(writer_idle_for_long_expires_but_not_its_sums)
{
	static const int64_t MONTH_MS = 30LL * 24 * 3600 * 1000;
	accounts_t a[2];
	accounts_reader_t b;
	g_autofree char *summary = NULL;
	uint64_t as_of;

	accounts_reader_init(&b);
	for (uint64_t i = 0; i < 2; i++) {
		accounts_init(&a[i], STR_LIT("vm"), i, MAX_KEYS, MAX_BATCHES);
		add_one(&a[i], "x");
		accounts_close_batch(&a[i], (int64_t)i * MONTH_MS);
		append(&a[i], &b);
		accounts_finish(&a[i]);
	}
	as_of = next_offset++;
	summary = accounts_reader_summary(&b, as_of);
	ck_assert_ptr_null(strstr(summary, "0000000000000000"));
	/* The first writer's record is still in the log. */
	ck_assert(accounts_reader_add(&b, as_of, str_from(summary), NULL));
	ck_assert_uint_eq(total(&b).offered, 2);
	ck_assert_uint_eq(missing(&b).unended, 2);
	accounts_reader_finish(&b);
}
END_TEST

START_TEST(a_summary_fits_a_record_at_the_cost_of_detail)
{
	enum {
		RECORD_BYTES = 1 << 20,
		BATCHES = 1200,
		KEYS = 30,
		REQUESTS = BATCHES * KEYS,
	};
	accounts_t a;
	accounts_reader_t b;
	accounts_reader_t again;
	g_autofree char *summary = NULL;

	accounts_init(&a, STR_LIT("vm-1"), 7, KEYS, MAX_BATCHES);
	accounts_reader_init(&b);
	for (int64_t i = 0; i < BATCHES; i++) {
		for (int k = 0; k < KEYS; k++) {
			g_autofree char *team = g_strdup_printf("t%d", k);

			add_one(&a, team);
		}
		accounts_close_batch(&a, i * 360 * INTERVAL_MS);
		append(&a, &b);
	}
	summary = accounts_reader_summary(&b, next_offset);
	ck_assert_ptr_nonnull(summary);
	ck_assert_uint_le(strlen(summary), RECORD_BYTES);
	accounts_reader_init(&again);
	ck_assert(accounts_reader_add(&again, next_offset, str_from(summary),
				      NULL));
	ck_assert_uint_eq(total(&again).offered, REQUESTS);
	ck_assert_ptr_null(accounts_reader_summary(&again, next_offset));
	accounts_finish(&a);
	accounts_reader_finish(&b);
	accounts_reader_finish(&again);
}
END_TEST

SUITE_MAIN("accounts", every_field_goes_through_a_record,
	   repeated_batch_counts_once_and_keeps_its_text,
	   outage_loses_detail_but_no_sums, keys_past_the_bound_go_to_other,
	   the_largest_batch_fits_a_record, missing_batches_are_counted,
	   damaged_records_are_skipped_and_counted,
	   batches_are_selected_by_time, idle_writer_differs_from_a_dead_one,
	   killed_writer_that_began_counts_as_unended,
	   summaries_keep_sums_exact_past_retention,
	   what_expired_before_a_summary_is_shown,
	   a_summary_fits_a_record_at_the_cost_of_detail,
	   writer_idle_for_long_expires_but_not_its_sums,
	   sums_are_exact_under_repeats_and_reorders)
