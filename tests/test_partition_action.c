/* What becomes of requests whose runner's zone is taken to be partitioned. */
#include "core/partition_action.h"
#include "tests/lib_suite.h"

#define MS INT64_C(1000)

enum {
	NOW_MS = 10000,
	CALLER_WAIT_MS = 2000,
};

static partitioned_request_t running(int64_t silent_ms)
{
	return (partitioned_request_t){
		.is_sent = true,
		.may_resend = true,
		.has_budget = true,
		.has_answer = true,
		.heard_at = (NOW_MS - silent_ms) * MS,
		.caller_wait = CALLER_WAIT_MS * MS,
	};
}

static partition_action_t act(const partitioned_request_t *r)
{
	return partition_action(r, NOW_MS * MS);
}

START_TEST(what_was_not_sent_goes_elsewhere)
{
	partitioned_request_t r = { .may_resend = false };

	ck_assert_int_eq(act(&r), PARTITION_REROUTE);
}
END_TEST

START_TEST(what_may_not_be_resent_waits)
{
	partitioned_request_t r = running(CALLER_WAIT_MS);

	r.may_resend = false;
	ck_assert_int_eq(act(&r), PARTITION_WAIT);
	r.has_answer = false;
	ck_assert_int_eq(act(&r), PARTITION_WAIT);
}
END_TEST

START_TEST(what_got_no_answer_is_resent_at_once)
{
	partitioned_request_t r = running(0);

	r.has_answer = false;
	ck_assert_int_eq(act(&r), PARTITION_RESEND);
}
END_TEST

/* Guards against an answer that is given up since others are silent. */
START_TEST(an_answer_that_arrives_is_given_up_for_its_own_silence_only)
{
	partitioned_request_t r = running(CALLER_WAIT_MS / 2 - 1);

	ck_assert_int_eq(act(&r), PARTITION_WAIT);
	r = running(CALLER_WAIT_MS / 2);
	ck_assert_int_eq(act(&r), PARTITION_RESEND);
}
END_TEST

/* Guards against an answer that ends since there is no retry for it. */
START_TEST(an_answer_is_not_given_up_without_a_retry)
{
	partitioned_request_t r = running(CALLER_WAIT_MS);

	r.has_budget = false;
	ck_assert_int_eq(act(&r), PARTITION_WAIT);
	r.has_answer = false;
	ck_assert_int_eq(act(&r), PARTITION_RESEND);
}
END_TEST

START_TEST(an_answer_that_is_not_read_is_not_silent)
{
	partitioned_request_t r = running(CALLER_WAIT_MS);

	r.is_unread = true;
	ck_assert_int_eq(act(&r), PARTITION_WAIT);
}
END_TEST

SUITE_MAIN("partition_action", what_was_not_sent_goes_elsewhere,
	   what_may_not_be_resent_waits, what_got_no_answer_is_resent_at_once,
	   an_answer_that_arrives_is_given_up_for_its_own_silence_only,
	   an_answer_is_not_given_up_without_a_retry,
	   an_answer_that_is_not_read_is_not_silent)
