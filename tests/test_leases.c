#include <glib.h>

#include "core/leases.h"
#include "tests/lib_suite.h"

static const int64_t LEASE = 9000000; /* us */
static const int64_t MARGIN = 100000; /* us */

static void start(leases_t *t, const char *holder, uint64_t incarnation)
{
	leases_config_t config = { holder, incarnation, LEASE, MARGIN, 4 };

	leases_init(t, &config);
}

static leases_result_t claim(leases_t *t, leases_t *by, uint64_t offset,
			     int64_t sent, int64_t seen)
{
	g_autofree char *text = leases_claim(by, STR_LIT("r"), sent);

	ck_assert_ptr_nonnull(text);
	return leases_apply_record(t, offset, str_from(text), seen);
}

static bool may(const leases_t *t, int64_t now)
{
	uint64_t fence;

	return leases_may_order(t, STR_LIT("r"), now, &fence);
}

START_TEST(a_first_holder_orders_until_its_lease_ends)
{
	leases_t a;
	uint64_t fence;

	start(&a, "a", 1);
	ck_assert(!may(&a, 0));
	ck_assert_int_eq(claim(&a, &a, 7, 1000, 5000), LEASES_ACCEPTED);
	/* Offsets 0 to 6 were never read: another daemon may hold the term. */
	ck_assert(!may(&a, 6000));
	leases_finish(&a);

	start(&a, "a", 1);
	ck_assert_int_eq(claim(&a, &a, 0, 1000, 5000), LEASES_ACCEPTED);
	ck_assert(leases_may_order(&a, STR_LIT("r"), 6000, &fence));
	ck_assert_uint_eq(fence, 0);
	/*
	 * The lease counts from when the claim was sent, not from its reading.
	 */
	ck_assert(may(&a, 1000 + LEASE - MARGIN - 1));
	ck_assert(!may(&a, 1000 + LEASE - MARGIN));
	leases_finish(&a);
}
END_TEST

START_TEST(a_renewal_extends_and_keeps_the_fence)
{
	leases_t a;
	uint64_t fence;

	start(&a, "a", 1);
	claim(&a, &a, 0, 0, 10);
	ck_assert_ptr_null(leases_claim(&a, STR_LIT("r"), LEASE / 3 - 1));
	ck_assert_int_eq(claim(&a, &a, 1, LEASE / 3, LEASE / 3 + 10),
			 LEASES_ACCEPTED);
	ck_assert(leases_may_order(&a, STR_LIT("r"), LEASE, &fence));
	ck_assert_uint_eq(fence, 0);
	leases_finish(&a);
}
END_TEST

START_TEST(a_new_holder_waits_the_old_lease_out_unless_fenced)
{
	for (int fenced = 0; fenced < 2; fenced++) {
		leases_t a;
		leases_t b;
		g_autofree char *first = NULL;
		g_autofree char *second = NULL;
		g_autofree char *third = NULL;
		uint64_t fence;

		start(&a, "a", 1);
		start(&b, "b", 2);
		leases_set_fencing(&b, STR_LIT("r"), fenced);
		first = leases_claim(&a, STR_LIT("r"), 0);
		leases_apply_record(&a, 0, str_from(first), 10);
		leases_apply_record(&b, 0, str_from(first), 10);
		/* It makes no claim while the lease of the holder may run. */
		ck_assert_ptr_null(leases_claim(&b, STR_LIT("r"), LEASE));
		second = leases_claim(&b, STR_LIT("r"), 10 + LEASE);
		leases_apply_record(&b, 1, str_from(second), 20 + LEASE);
		ck_assert(may(&b, 30 + LEASE) == (fenced == 1));
		third = leases_claim(&b, STR_LIT("r"), 15 + LEASE + LEASE / 2);
		leases_apply_record(&b, 2, str_from(third),
				    20 + LEASE + LEASE / 2);
		ck_assert(leases_may_order(&b, STR_LIT("r"),
					   20 + 2 * LEASE + MARGIN, &fence));
		ck_assert_uint_eq(fence, 1);
		/* The old holder reads the claim and stops. */
		leases_apply_record(&a, 1, str_from(second), 20);
		ck_assert(!may(&a, 30));
		leases_finish(&a);
		leases_finish(&b);
	}
}
END_TEST

START_TEST(a_renewal_after_another_claim_is_void)
{
	leases_t a;
	leases_t b;
	g_autofree char *renewal = NULL;
	g_autofree char *other = NULL;

	start(&a, "a", 1);
	start(&b, "b", 2);
	claim(&a, &a, 0, 0, 10);
	renewal = leases_claim(&a, STR_LIT("r"), LEASE / 2);
	other = leases_claim(&b, STR_LIT("r"), 0);
	ck_assert_int_eq(leases_apply_record(&a, 1, str_from(other), LEASE / 2),
			 LEASES_ACCEPTED);
	ck_assert_int_eq(
		leases_apply_record(&a, 2, str_from(renewal), LEASE / 2),
		LEASES_STALE);
	ck_assert(!may(&a, LEASE / 2));
	leases_finish(&a);
	leases_finish(&b);
}
END_TEST

START_TEST(a_gap_ends_the_own_term)
{
	leases_t a;

	start(&a, "a", 1);
	claim(&a, &a, 0, 0, 10);
	ck_assert(may(&a, 20));
	leases_set_oldest(&a, 1);
	ck_assert(may(&a, 20));
	leases_set_oldest(&a, 3);
	ck_assert(!may(&a, 20));
	ck_assert_uint_eq(leases_next_offset(&a), 3);
	leases_finish(&a);
}
END_TEST

START_TEST(after_a_gap_the_longest_lease_is_waited_out)
{
	leases_t a;

	start(&a, "a", 1);
	leases_set_oldest(&a, 3);
	claim(&a, &a, 3, 0, 10);
	ck_assert(!may(&a, 20));
	leases_finish(&a);
}
END_TEST

/* The gap may contain a claim of another daemon, which then holds the term. */
START_TEST(a_renewal_past_a_gap_renews_nothing)
{
	leases_t a;
	g_autofree char *renewal = NULL;

	start(&a, "a", 1);
	leases_set_fencing(&a, STR_LIT("r"), true);
	claim(&a, &a, 0, 0, 10);
	ck_assert(may(&a, 20));
	renewal = leases_claim(&a, STR_LIT("r"), LEASE / 2);
	leases_apply_record(&a, 4, str_from(renewal), LEASE / 2);
	ck_assert(!may(&a, LEASE / 2));
	leases_finish(&a);
}
END_TEST

START_TEST(a_renewal_that_arrives_late_is_void)
{
	leases_t a;
	g_autofree char *late = NULL;

	start(&a, "a", 1);
	claim(&a, &a, 0, 0, 10);
	late = leases_claim(&a, STR_LIT("r"), LEASE / 2);
	claim(&a, &a, 1, LEASE / 2 + 5, LEASE / 2 + 10);
	ck_assert_int_eq(leases_apply_record(&a, 2, str_from(late), LEASE),
			 LEASES_STALE);
	leases_finish(&a);
}
END_TEST

/* The claim was delayed, and the old holder renewed its lease before. */
START_TEST(the_wait_counts_from_reading_the_own_claim)
{
	leases_t b;
	g_autofree char *first = NULL;
	g_autofree char *renewal = NULL;
	g_autofree char *late = NULL;
	leases_t a;

	start(&a, "a", 1);
	start(&b, "b", 2);
	late = leases_claim(&b, STR_LIT("r"), 0);
	first = leases_claim(&a, STR_LIT("r"), 0);
	leases_apply_record(&a, 0, str_from(first), 10);
	leases_apply_record(&b, 0, str_from(first), 10);
	renewal = leases_claim(&a, STR_LIT("r"), LEASE / 2);
	leases_apply_record(&a, 1, str_from(renewal), LEASE / 2);
	leases_apply_record(&b, 1, str_from(renewal), LEASE / 2);
	leases_apply_record(&b, 2, str_from(late), LEASE / 2 + 10);
	ck_assert(may(&a, LEASE));
	claim(&b, &b, 3, LEASE / 2 + 20, LEASE / 2 + 30);
	ck_assert(!may(&b, LEASE + 2 * MARGIN));
	leases_finish(&a);
	leases_finish(&b);
}
END_TEST

#define CLAIM_OF(holder, lease)                                          \
	"{\"type\":\"claim\",\"holder\":\"" holder "\",\"incarnation\":" \
	"\"00000000000000ff\",\"sent_us\":1,\"runner\":\"r\","           \
	"\"lease_us\":" lease "}"

START_TEST(the_longest_lease_of_all_before_is_waited_out)
{
	leases_t a;

	start(&a, "a", 1);
	leases_apply_record(&a, 0, STR_LIT(CLAIM_OF("x", "50000000")), 0);
	leases_apply_record(&a, 1, STR_LIT(CLAIM_OF("y", "1")), 10);
	claim(&a, &a, 2, 1000, 1010);
	claim(&a, &a, 3, LEASE / 2, LEASE / 2);
	ck_assert(!may(&a, LEASE));
	leases_finish(&a);
}
END_TEST

START_TEST(a_restarted_daemon_is_another_holder)
{
	leases_t a;
	leases_t again;
	g_autofree char *first = NULL;

	start(&a, "a", 1);
	start(&again, "a", 2);
	first = leases_claim(&a, STR_LIT("r"), 0);
	leases_apply_record(&again, 0, str_from(first), 5);
	ck_assert(!may(&again, 10));
	ck_assert_ptr_null(leases_claim(&again, STR_LIT("r"), 10));
	leases_finish(&a);
	leases_finish(&again);
}
END_TEST

START_TEST(damage_is_skipped_and_the_table_is_bounded)
{
#define CLAIM(rest)                                             \
	"{\"type\":\"claim\",\"holder\":\"x\",\"incarnation\":" \
	"\"00000000000000ff\",\"sent_us\":1," rest "}"
	static const char *const cases[] = {
		"",
		"[]",
		"{\"type\":\"claim\"}",
		CLAIM("\"runner\":\"\",\"lease_us\":1"),
		CLAIM("\"runner\":\"r\",\"lease_us\":0"),
		CLAIM("\"runner\":\"r\",\"lease_us\":60000001"),
		CLAIM("\"runner\":\"r\",\"lease_us\":1,\"over\":-1"),
		CLAIM("\"runner\":\"r\",\"lease_us\":1,\"over\":\"1\""),
		CLAIM("\"runner\":\"r\",\"runner\":\"r\",\"lease_us\":1"),
	};
	leases_t a;

	start(&a, "a", 1);
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++)
		ck_assert_msg(leases_apply_record(&a, i, str_from(cases[i]),
						  0) == LEASES_DAMAGED,
			      "case %zu", i);
	ck_assert_uint_eq(leases_damaged(&a), G_N_ELEMENTS(cases));
	for (uint64_t i = 0; i < 6; i++) {
		g_autofree char *text = g_strdup_printf(
			CLAIM("\"runner\":\"r%d\",\"lease_us\":1"), (int)i);

		ck_assert_int_eq(
			leases_apply_record(&a, 20 + i, str_from(text), 0),
			i < 4 ? LEASES_ACCEPTED : LEASES_FULL);
	}
	ck_assert_ptr_null(leases_claim(&a, STR_LIT("r5"), 99 * LEASE));
	leases_finish(&a);
}
END_TEST

/*
 * Holders with different clocks, late reads, late and lost appends, pauses and
 * restarts, for one runner that checks no fencing tokens. At no true time may
 * two of them order.
 */
enum { HOLDERS = 3, RUN_STEPS = 600, MAX_LOG = 4000, LATE = 4 };

typedef struct holder {
	leases_t terms;
	int64_t skew; /* its clock minus the true time */
	char *late[LATE]; /* claims that are not in the log yet */
	uint64_t incarnations;
} holder_t;

typedef struct run {
	GRand *rand;
	holder_t holders[HOLDERS];
	char *log[MAX_LOG];
	uint64_t next;
	uint64_t oldest;
	int64_t now; /* true time */
	int64_t ordered; /* steps in which a holder may order */
} run_t;

static void restart(run_t *r, int i)
{
	holder_t *h = &r->holders[i];
	g_autofree char *name = g_strdup_printf("h%d", i);

	leases_finish(&h->terms);
	start(&h->terms, name, (uint64_t)i << 32 | h->incarnations++);
}

static void put(run_t *r, char **text)
{
	if (*text && r->next < MAX_LOG)
		r->log[r->next++] = g_steal_pointer(text);
	g_clear_pointer(text, g_free);
}

static void read_run(run_t *r, holder_t *h)
{
	int n = g_rand_int_range(r->rand, 1, 20);

	leases_set_oldest(&h->terms, r->oldest);
	while (n-- > 0 && leases_next_offset(&h->terms) < r->next) {
		uint64_t at = leases_next_offset(&h->terms);

		leases_apply_record(&h->terms, at, str_from(r->log[at]),
				    r->now + h->skew);
	}
}

/* An append takes effect now, later, twice or never. */
static void claim_run(run_t *r, holder_t *h)
{
	char *text = leases_claim(&h->terms, STR_LIT("r"), r->now + h->skew);
	char **slot = &h->late[g_rand_int_range(r->rand, 0, LATE)];

	if (!text)
		return;
	if (g_rand_int_range(r->rand, 0, 3) == 0) {
		put(r, slot);
		*slot = g_strdup(text);
	}
	if (g_rand_int_range(r->rand, 0, 5))
		put(r, &text);
	g_free(text);
}

static void step_run(run_t *r)
{
	int i = g_rand_int_range(r->rand, 0, HOLDERS);
	holder_t *h = &r->holders[i];
	int what = g_rand_int_range(r->rand, 0, 100);

	if (what < 55)
		read_run(r, h);
	else if (what < 90)
		claim_run(r, h);
	else if (what < 97)
		put(r, &h->late[g_rand_int_range(r->rand, 0, LATE)]);
	else if (what < 98)
		restart(r, i);
	else if (r->next > r->oldest)
		r->oldest += (uint64_t)g_rand_int_range(
			r->rand, 0, (gint32)(r->next - r->oldest));
}

static int count_orderers(const run_t *r)
{
	int n = 0;

	for (int i = 0; i < HOLDERS; i++)
		n += may(&r->holders[i].terms, r->now + r->holders[i].skew);
	return n;
}

static int64_t run_seed(uint32_t seed)
{
	run_t *r = g_new0(run_t, 1);
	int64_t ordered;

	r->rand = g_rand_new_with_seed(seed);
	for (int i = 0; i < HOLDERS; i++) {
		r->holders[i].skew = (int64_t)i * 1000 * LEASE;
		restart(r, i);
	}
	for (int step = 0; step < RUN_STEPS; step++) {
		int n;

		r->now += g_rand_int_range(r->rand, 0, (gint32)(LEASE / 8));
		step_run(r);
		n = count_orderers(r);
		ck_assert_msg(n <= 1, "seed %u step %d: %d may order", seed,
			      step, n);
		r->ordered += n;
	}
	ordered = r->ordered;
	for (int i = 0; i < HOLDERS; i++) {
		leases_finish(&r->holders[i].terms);
		for (int k = 0; k < LATE; k++)
			g_free(r->holders[i].late[k]);
	}
	for (uint64_t i = 0; i < r->next; i++)
		g_free(r->log[i]);
	g_rand_free(r->rand);
	g_free(r);
	return ordered;
}

START_TEST(never_two_may_order_an_unfenced_runner)
{
	int64_t ordered = 0;

	for (uint32_t seed = 1; seed <= 400; seed++)
		ordered += run_seed(seed);
	/* The rules must not keep all holders from ordering. */
	ck_assert_int_gt(ordered, 1000);
}
END_TEST

SUITE_MAIN("leases", a_first_holder_orders_until_its_lease_ends,
	   a_renewal_extends_and_keeps_the_fence,
	   a_new_holder_waits_the_old_lease_out_unless_fenced,
	   a_renewal_after_another_claim_is_void, a_gap_ends_the_own_term,
	   after_a_gap_the_longest_lease_is_waited_out,
	   a_renewal_past_a_gap_renews_nothing,
	   a_renewal_that_arrives_late_is_void,
	   the_wait_counts_from_reading_the_own_claim,
	   the_longest_lease_of_all_before_is_waited_out,
	   a_restarted_daemon_is_another_holder,
	   damage_is_skipped_and_the_table_is_bounded,
	   never_two_may_order_an_unfenced_runner)
