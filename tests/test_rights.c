#include "core/rights.h"
#include "tests/lib_suite.h"

enum { KEEP = 1000, LIFE = 500 };

static const rights_config_t config = { 3, 8, KEEP, LIFE };

static rights_verdict_t begin(rights_t *r, const char *key, bool is_ticket,
			      uint64_t print, uint64_t epoch,
			      rights_entry_t **out)
{
	g_autoptr(GBytes) scoped = rights_scope(STR_LIT("t"), str_from(key));

	return rights_begin(r, scoped, is_ticket, print, epoch, out);
}

static void end(rights_t *r, rights_entry_t *e, const char *text, int64_t now)
{
	g_autoptr(GBytes) body = g_bytes_new(text, strlen(text));
	rights_answer_t answer = { OUTCOME_COMPLETED, 200, "text/plain", body };

	rights_end(r, e, &answer, now);
}

START_TEST(a_key_is_dispatched_once_and_its_answer_kept)
{
	rights_t r;
	rights_entry_t *e, *again;

	rights_init(&r, &config);
	ck_assert_int_eq(begin(&r, "k", false, 7, 0, &e), RIGHTS_NEW);
	ck_assert_int_eq(begin(&r, "k", false, 7, 0, &again), RIGHTS_JOIN);
	ck_assert_ptr_eq(e, again);
	ck_assert(rights_mark_dispatched(e, 0));
	ck_assert(!rights_mark_dispatched(e, 0));
	end(&r, e, "ok", 100);
	ck_assert_int_eq(begin(&r, "k", false, 7, 0, &again), RIGHTS_KEPT);
	ck_assert_int_eq(again->answer.status, 200);
	ck_assert_int_eq(begin(&r, "k", false, 8, 0, &again), RIGHTS_MISMATCH);
	rights_expire(&r, 100 + KEEP - 1);
	ck_assert_int_eq(begin(&r, "k", false, 7, 0, &again), RIGHTS_KEPT);
	rights_expire(&r, 100 + KEEP);
	ck_assert_int_eq(begin(&r, "k", false, 7, 0, &again), RIGHTS_NEW);
	rights_finish(&r);
}
END_TEST

START_TEST(a_right_from_before_a_stall_lapses_but_a_ticket_does_not)
{
	rights_t r;
	rights_entry_t *e;
	g_autoptr(GBytes) ticket = rights_scope(STR_LIT("t"), STR_LIT("x"));

	rights_init(&r, &config);
	ck_assert_int_eq(begin(&r, "k", false, 7, 4, &e), RIGHTS_NEW);
	ck_assert(!rights_mark_dispatched(e, 5));
	ck_assert(rights_issue(&r, ticket, 0));
	ck_assert_int_eq(begin(&r, "x", true, 7, 4, &e), RIGHTS_NEW);
	ck_assert(rights_mark_dispatched(e, 5));
	rights_finish(&r);
}
END_TEST

START_TEST(a_ticket_is_only_good_where_and_while_it_was_issued)
{
	rights_t r;
	rights_entry_t *e;
	g_autoptr(GBytes) ticket = rights_scope(STR_LIT("t"), STR_LIT("x"));

	rights_init(&r, &config);
	ck_assert_int_eq(begin(&r, "x", true, 7, 0, &e), RIGHTS_NO_TICKET);
	ck_assert(rights_issue(&r, ticket, 0));
	ck_assert(!rights_issue(&r, ticket, 0));
	ck_assert_int_eq(begin(&r, "x", true, 7, 0, &e), RIGHTS_NEW);
	rights_expire(&r, 10L * LIFE);
	rights_release(&r, e, 100);
	ck_assert_int_eq(begin(&r, "x", true, 9, 0, &e), RIGHTS_NEW);
	rights_release(&r, e, 100);
	rights_expire(&r, 100 + LIFE);
	ck_assert_int_eq(begin(&r, "x", true, 7, 0, &e), RIGHTS_NO_TICKET);
	rights_finish(&r);
}
END_TEST

START_TEST(released_keys_run_anew_and_tables_are_bounded)
{
	rights_t r;
	rights_entry_t *a, *b, *c;

	rights_init(&r, &config);
	ck_assert_int_eq(begin(&r, "a", false, 1, 0, &a), RIGHTS_NEW);
	rights_release(&r, a, 0);
	ck_assert_int_eq(begin(&r, "a", false, 2, 0, &a), RIGHTS_NEW);
	ck_assert_int_eq(begin(&r, "b", false, 1, 0, &b), RIGHTS_NEW);
	ck_assert_int_eq(begin(&r, "c", false, 1, 0, &c), RIGHTS_NEW);
	ck_assert_int_eq(begin(&r, "d", false, 1, 0, &c), RIGHTS_FULL);
	ck_assert(rights_mark_dispatched(a, 0));
	ck_assert(rights_mark_dispatched(b, 0));
	end(&r, a, "12345678", 0);
	end(&r, b, "9", 0);
	ck_assert_ptr_nonnull(a->answer.body);
	ck_assert_ptr_null(b->answer.body);
	rights_expire(&r, KEEP);
	ck_assert_uint_eq(r.bytes, 0);
	rights_finish(&r);
}
END_TEST

START_TEST(teams_do_not_share_keys)
{
	rights_t r;
	rights_entry_t *e;
	g_autoptr(GBytes) one = rights_scope(STR_LIT("a"), STR_LIT("k"));
	g_autoptr(GBytes) two = rights_scope(STR_LIT("b"), STR_LIT("k"));

	rights_init(&r, &config);
	ck_assert_int_eq(rights_begin(&r, one, false, 1, 0, &e), RIGHTS_NEW);
	ck_assert_int_eq(rights_begin(&r, two, false, 1, 0, &e), RIGHTS_NEW);
	rights_finish(&r);
}
END_TEST

START_TEST(outcome_names_round_trip)
{
	for (outcome_t o = OUTCOME_COMPLETED; o <= OUTCOME_UNKNOWN; o++)
		ck_assert_int_eq(outcome_parse(outcome_name(o)), o);
	ck_assert_int_eq(outcome_parse("none"), OUTCOME_NONE);
	ck_assert_int_eq(outcome_parse(NULL), OUTCOME_NONE);
}
END_TEST

SUITE_MAIN("rights", a_key_is_dispatched_once_and_its_answer_kept,
	   a_right_from_before_a_stall_lapses_but_a_ticket_does_not,
	   a_ticket_is_only_good_where_and_while_it_was_issued,
	   released_keys_run_anew_and_tables_are_bounded,
	   teams_do_not_share_keys, outcome_names_round_trip)
