#include "core/dedup.h"
#include "tests/lib_suite.h"

enum { ANSWER_TTL = 1000, TICKET_TTL = 500 };

static const dedup_config_t config = { 3, 8, ANSWER_TTL, TICKET_TTL };

static dedup_verdict_t claim(dedup_t *d, const char *key, bool is_ticket,
			     uint64_t fingerprint, uint64_t epoch,
			     dedup_entry_t **out)
{
	g_autoptr(GBytes) scoped = dedup_scope(STR_LIT("t"), str_from(key));

	return dedup_claim(d, scoped, is_ticket, fingerprint, epoch, out);
}

static void end(dedup_t *d, dedup_entry_t *e, const char *text, int64_t now)
{
	g_autoptr(GBytes) body = g_bytes_new(text, strlen(text));
	dedup_answer_t answer = { OUTCOME_COMPLETED, 200, "text/plain", body };

	dedup_end(d, e, &answer, now);
}

START_TEST(a_key_is_dispatched_once_and_its_answer_kept)
{
	dedup_t d;
	dedup_entry_t *e, *again;

	dedup_init(&d, &config);
	ck_assert_int_eq(claim(&d, "k", false, 7, 0, &e), DEDUP_NEW);
	ck_assert_int_eq(claim(&d, "k", false, 7, 0, &again), DEDUP_JOIN);
	ck_assert_ptr_eq(e, again);
	ck_assert(dedup_mark_dispatched(e, 0));
	ck_assert(!dedup_mark_dispatched(e, 0));
	end(&d, e, "ok", 100);
	ck_assert_int_eq(claim(&d, "k", false, 7, 0, &again), DEDUP_REPLAY);
	ck_assert_int_eq(again->answer.status, 200);
	ck_assert_int_eq(claim(&d, "k", false, 8, 0, &again), DEDUP_MISMATCH);
	dedup_expire(&d, 100 + ANSWER_TTL - 1);
	ck_assert_int_eq(claim(&d, "k", false, 7, 0, &again), DEDUP_REPLAY);
	dedup_expire(&d, 100 + ANSWER_TTL);
	ck_assert_int_eq(claim(&d, "k", false, 7, 0, &again), DEDUP_NEW);
	dedup_finish(&d);
}
END_TEST

START_TEST(stall_invalidates_undispatched_keys_but_no_tickets)
{
	dedup_t d;
	dedup_entry_t *e;
	g_autoptr(GBytes) ticket = dedup_scope(STR_LIT("t"), STR_LIT("x"));

	dedup_init(&d, &config);
	ck_assert_int_eq(claim(&d, "k", false, 7, 4, &e), DEDUP_NEW);
	ck_assert(!dedup_mark_dispatched(e, 5));
	ck_assert(dedup_issue_ticket(&d, ticket, 0));
	ck_assert_int_eq(claim(&d, "x", true, 7, 4, &e), DEDUP_NEW);
	ck_assert(dedup_mark_dispatched(e, 5));
	dedup_finish(&d);
}
END_TEST

START_TEST(ticket_is_valid_where_issued_and_until_it_expires)
{
	dedup_t d;
	dedup_entry_t *e;
	g_autoptr(GBytes) ticket = dedup_scope(STR_LIT("t"), STR_LIT("x"));

	dedup_init(&d, &config);
	ck_assert_int_eq(claim(&d, "x", true, 7, 0, &e), DEDUP_NO_TICKET);
	ck_assert(dedup_issue_ticket(&d, ticket, 0));
	ck_assert(!dedup_issue_ticket(&d, ticket, 0));
	ck_assert_int_eq(claim(&d, "x", true, 7, 0, &e), DEDUP_NEW);
	dedup_expire(&d, 10L * TICKET_TTL);
	dedup_release(&d, e, 100);
	ck_assert_int_eq(claim(&d, "x", true, 9, 0, &e), DEDUP_NEW);
	dedup_release(&d, e, 100);
	dedup_expire(&d, 100 + TICKET_TTL);
	ck_assert_int_eq(claim(&d, "x", true, 7, 0, &e), DEDUP_NO_TICKET);
	dedup_finish(&d);
}
END_TEST

START_TEST(released_keys_run_again_and_tables_are_bounded)
{
	dedup_t d;
	dedup_entry_t *a, *b, *c;

	dedup_init(&d, &config);
	ck_assert_int_eq(claim(&d, "a", false, 1, 0, &a), DEDUP_NEW);
	dedup_release(&d, a, 0);
	ck_assert_int_eq(claim(&d, "a", false, 2, 0, &a), DEDUP_NEW);
	ck_assert_int_eq(claim(&d, "b", false, 1, 0, &b), DEDUP_NEW);
	ck_assert_int_eq(claim(&d, "c", false, 1, 0, &c), DEDUP_NEW);
	ck_assert_int_eq(claim(&d, "d", false, 1, 0, &c), DEDUP_FULL);
	ck_assert(dedup_mark_dispatched(a, 0));
	ck_assert(dedup_mark_dispatched(b, 0));
	end(&d, a, "12345678", 0);
	end(&d, b, "9", 0);
	ck_assert_ptr_nonnull(a->answer.body);
	ck_assert_ptr_null(b->answer.body);
	dedup_expire(&d, ANSWER_TTL);
	ck_assert_uint_eq(d.bytes, 0);
	dedup_finish(&d);
}
END_TEST

START_TEST(teams_do_not_share_keys)
{
	dedup_t d;
	dedup_entry_t *e;
	g_autoptr(GBytes) one = dedup_scope(STR_LIT("a"), STR_LIT("k"));
	g_autoptr(GBytes) two = dedup_scope(STR_LIT("b"), STR_LIT("k"));

	dedup_init(&d, &config);
	ck_assert_int_eq(dedup_claim(&d, one, false, 1, 0, &e), DEDUP_NEW);
	ck_assert_int_eq(dedup_claim(&d, two, false, 1, 0, &e), DEDUP_NEW);
	dedup_finish(&d);
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

SUITE_MAIN("dedup", a_key_is_dispatched_once_and_its_answer_kept,
	   stall_invalidates_undispatched_keys_but_no_tickets,
	   ticket_is_valid_where_issued_and_until_it_expires,
	   released_keys_run_again_and_tables_are_bounded,
	   teams_do_not_share_keys, outcome_names_round_trip)
