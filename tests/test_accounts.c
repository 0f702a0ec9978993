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

static void append(accounts_t *a, accounts_book_t *b)
{
	uint64_t seq;
	str_t text = accounts_peek(a, &seq);

	ck_assert(text.len > 0);
	ck_assert(accounts_book_record(b, text, NULL));
	accounts_appended(a, seq);
}

static void sum_up(void *ctx, const accounts_key_t *key,
		   const accounts_sum_t *sum)
{
	accounts_sum_add(ctx, sum);
}

static accounts_sum_t total(const accounts_book_t *b)
{
	accounts_sum_t sum = { 0 };

	accounts_book_each(b, 0, INT64_MAX, sum_up, &sum);
	return sum;
}

static accounts_missing_t missing(const accounts_book_t *b)
{
	accounts_missing_t m;

	accounts_book_missing(b, INT64_MAX / 2, INTERVAL_MS, &m);
	return m;
}

START_TEST(every_field_goes_through_a_record)
{
	accounts_t a;
	accounts_book_t b;
	accounts_key_t key = key_of("s", "t", "team");
	accounts_sum_t delta;
	accounts_sum_t sum;

	for (size_t i = 0; i < accounts_fields(); i++)
		accounts_field_set(&delta, i, i * i + 1);
	accounts_init(&a, STR_LIT("vm-1"), UINT64_MAX, MAX_KEYS, MAX_BATCHES);
	accounts_book_init(&b);
	accounts_add(&a, &key, &delta);
	accounts_add(&a, &key, &delta);
	accounts_close(&a, INTERVAL_MS);
	append(&a, &b);
	sum = total(&b);
	for (size_t i = 0; i < accounts_fields(); i++)
		ck_assert_uint_eq(accounts_field_get(&sum, i), 2 * (i * i + 1));
	accounts_finish(&a);
	accounts_book_finish(&b);
}
END_TEST

START_TEST(a_repeated_batch_counts_once_and_keeps_its_text)
{
	accounts_t a;
	accounts_book_t b;
	uint64_t seq;
	g_autofree char *first = NULL;

	accounts_init(&a, STR_LIT("vm-1"), 7, MAX_KEYS, MAX_BATCHES);
	accounts_book_init(&b);
	add_one(&a, "x");
	accounts_close(&a, INTERVAL_MS);
	first = g_strdup(accounts_peek(&a, &seq).ptr);
	/* The answer was lost; more is closed meanwhile, past the bound. */
	for (int64_t i = 2; i < 9; i++) {
		add_one(&a, "x");
		accounts_close(&a, i * INTERVAL_MS);
	}
	ck_assert_str_eq(accounts_peek(&a, &seq).ptr, first);
	ck_assert(accounts_book_record(&b, str_from(first), NULL));
	accounts_appended(&a, 99);
	while (accounts_waiting(&a))
		append(&a, &b);
	ck_assert_uint_eq(total(&b).offered, 8);
	ck_assert_uint_eq(missing(&b).repeats, 1);
	ck_assert_uint_eq(missing(&b).gaps, 0);
	accounts_finish(&a);
	accounts_book_finish(&b);
}
END_TEST

START_TEST(an_outage_costs_detail_but_no_sum)
{
	accounts_t a;
	accounts_book_t b;

	accounts_init(&a, STR_LIT("vm-1"), 7, MAX_KEYS, MAX_BATCHES);
	accounts_book_init(&b);
	for (int64_t i = 0; i < 100; i++) {
		g_autofree char *team = g_strdup_printf("team-%d", (int)i);

		add_one(&a, team);
		accounts_close(&a, i * INTERVAL_MS);
		ck_assert_uint_le(accounts_waiting(&a), MAX_BATCHES);
	}
	ck_assert_uint_eq(accounts_merged(&a), 97);
	accounts_end(&a, 100 * INTERVAL_MS);
	while (accounts_waiting(&a))
		append(&a, &b);
	ck_assert_uint_eq(total(&b).offered, 100);
	ck_assert_uint_eq(total(&b).prompt_wasted[WASTE_DEADLINE], 300);
	ck_assert_uint_eq(missing(&b).merged, 98);
	ck_assert_uint_eq(missing(&b).gaps, 0);
	ck_assert_uint_eq(missing(&b).unended, 0);
	accounts_finish(&a);
	accounts_book_finish(&b);
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

	for (size_t i = 0; i < accounts_fields(); i++)
		accounts_field_set(&sum, i, (1ULL << 53) - 1);
	accounts_init(&a, STR_LIT("vm-1"), 7, 100000, MAX_BATCHES);
	for (int i = 0; i < 2000; i++) {
		g_autofree char *quotes = g_strnfill(63, '"');
		accounts_key_t key = key_of(quotes, quotes, quotes);

		g_snprintf(key.team, 6, "%05d", i);
		key.team[5] = '"';
		accounts_add(&a, &key, &sum);
	}
	accounts_close(&a, INTERVAL_MS);
	ck_assert_uint_lt(accounts_peek(&a, &seq).len, RECORD_BYTES);
	accounts_finish(&a);
}
END_TEST

/* What is lost shows: see the table of which records reach the log. */
START_TEST(what_is_missing_is_counted)
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
		accounts_book_t b;
		accounts_missing_t m;
		uint64_t seq;

		accounts_init(&a, STR_LIT("vm-1"), 7, MAX_KEYS, MAX_BATCHES);
		accounts_book_init(&b);
		for (int k = 0; k < 4; k++) {
			str_t text;

			if (k < 3)
				add_one(&a, "x");
			if (k == 3)
				accounts_end(&a, k * INTERVAL_MS);
			else
				accounts_close(&a, k * INTERVAL_MS);
			text = accounts_peek(&a, &seq);
			if (cases[i].reach[k] == 'y')
				accounts_book_record(&b, text, NULL);
			accounts_appended(&a, seq);
		}
		m = missing(&b);
		ck_assert_msg(m.gaps == cases[i].gaps &&
				      m.expired == cases[i].expired &&
				      m.unended == cases[i].unended &&
				      total(&b).offered == cases[i].offered,
			      "%s", cases[i].name);
		accounts_finish(&a);
		accounts_book_finish(&b);
	}
}
END_TEST

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
		BATCH("\"seq\":1,\"seq\":1,\"from_ms\":0,\"until_ms\":1,"
		      "\"rows\":[]"),
	};
	accounts_book_t b;

	accounts_book_init(&b);
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		err_t err = { 0 };

		ck_assert_msg(
			!accounts_book_record(&b, str_from(cases[i]), &err),
			"case %zu", i);
		ck_assert_int_eq(err.code, ERR_INVALID);
	}
	ck_assert_uint_eq(missing(&b).damaged, G_N_ELEMENTS(cases));
	ck_assert_uint_eq(missing(&b).batches, 0);
	accounts_book_finish(&b);
}
END_TEST

START_TEST(times_choose_the_batches)
{
	accounts_t a;
	accounts_book_t b;
	accounts_sum_t sum = { 0 };
	int64_t first, last;

	accounts_init(&a, STR_LIT("vm-1"), 7, MAX_KEYS, MAX_BATCHES);
	accounts_book_init(&b);
	ck_assert(!accounts_book_span(&b, &first, &last));
	for (int64_t i = 1; i <= 5; i++) {
		add_one(&a, "x");
		accounts_close(&a, i * INTERVAL_MS);
		append(&a, &b);
	}
	accounts_book_each(&b, 2 * INTERVAL_MS, 4 * INTERVAL_MS, sum_up, &sum);
	ck_assert_uint_eq(sum.offered, 2);
	ck_assert(accounts_book_span(&b, &first, &last));
	ck_assert_int_eq(first, INTERVAL_MS);
	ck_assert_int_eq(last, 5 * INTERVAL_MS);
	accounts_finish(&a);
	accounts_book_finish(&b);
}
END_TEST

/* A daemon's appends with answers lost, outages and a log read anyhow. */
static void run_seed(uint32_t seed)
{
	g_autoptr(GRand) rand = g_rand_new_with_seed(seed);
	g_autoptr(GPtrArray) log = g_ptr_array_new_with_free_func(g_free);
	uint64_t offered = 0;
	accounts_t a[3];
	accounts_book_t b;
	accounts_missing_t m;
	uint64_t seq;

	for (int i = 0; i < 3; i++)
		accounts_init(&a[i], STR_LIT("vm"), i, MAX_KEYS, MAX_BATCHES);
	for (int step = 0; step < 300; step++) {
		accounts_t *w = &a[g_rand_int_range(rand, 0, 3)];
		str_t text;

		add_one(w, g_rand_boolean(rand) ? "x" : "y");
		offered++;
		if (g_rand_int_range(rand, 0, 3))
			accounts_close(w, (int64_t)step * 100);
		text = accounts_peek(w, &seq);
		if (!text.len || g_rand_int_range(rand, 0, 3) == 0)
			continue;
		g_ptr_array_add(log, g_strndup(text.ptr, text.len));
		if (g_rand_boolean(rand))
			accounts_appended(w, seq);
	}
	for (int i = 0; i < 3; i++) {
		accounts_end(&a[i], 30000);
		while (accounts_waiting(&a[i])) {
			str_t text = accounts_peek(&a[i], &seq);

			g_ptr_array_add(log, g_strndup(text.ptr, text.len));
			accounts_appended(&a[i], seq);
		}
		accounts_finish(&a[i]);
	}
	accounts_book_init(&b);
	for (guint n = log->len * 2; n > 0; n--) {
		guint at = n > log->len ? (guint)g_rand_int_range(
						  rand, 0, (gint32)log->len) :
					  n - 1;

		accounts_book_record(&b, str_from(log->pdata[at]), NULL);
	}
	m = missing(&b);
	ck_assert_uint_eq(total(&b).offered, offered);
	ck_assert_uint_eq(m.gaps + m.expired + m.unended + m.damaged, 0);
	accounts_book_finish(&b);
}

START_TEST(sums_are_exact_under_repeats_and_reorders)
{
	for (uint32_t seed = 1; seed <= 100; seed++)
		run_seed(seed);
}
END_TEST

SUITE_MAIN("accounts", every_field_goes_through_a_record,
	   a_repeated_batch_counts_once_and_keeps_its_text,
	   an_outage_costs_detail_but_no_sum, keys_past_the_bound_go_to_other,
	   the_largest_batch_fits_a_record, what_is_missing_is_counted,
	   damaged_records_are_skipped_and_counted, times_choose_the_batches,
	   sums_are_exact_under_repeats_and_reorders)
