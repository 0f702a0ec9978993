#include <glib.h>

#include "core/handover.h"
#include "tests/lib_handover.h"
#include "tests/lib_suite.h"

/* What a daemon does with a request that has a key. */
typedef enum action {
	RUNS,
	HOLDS_OFF, /* `unknown`, because of the hold-off period */
	UNKNOWN, /* `unknown`, because of an entry in the key table */
	ANSWERS, /* with the stored response */
	FORWARDS,
} action_t;

static action_t action_for_key(handover_sim_t *s, daemon_sim_t *d,
			       const char *key)
{
	g_autoptr(GBytes) scoped = g_bytes_new(key, strlen(key));
	const dedup_entry_t *entry = dedup_find(&d->dedup, scoped);
	member_owner_t owner;

	if (entry && entry->answer.outcome == OUTCOME_COMPLETED) {
		ck_assert_int_eq(entry->answer.status, 201);
		ck_assert_str_eq(entry->answer.content_type, "text/plain");
		ck_assert_uint_eq(g_bytes_get_size(entry->answer.body), 6);
	}
	if (entry) {
		ck_assert_uint_eq(entry->fingerprint, FINGERPRINT);
		return entry->answer.outcome == OUTCOME_COMPLETED ? ANSWERS :
								    UNKNOWN;
	}
	member_key_owner(&d->member, str_from(key), STR_LIT("z1"), -1, s->now,
			 &owner);
	return owner.kind == MEMBER_OWNER_SELF	  ? RUNS :
	       owner.kind == MEMBER_OWNER_HOLDOFF ? HOLDS_OFF :
						    FORWARDS;
}

typedef struct handover_case {
	const char *label;
	const char *order; /* daemons that rank first for the keys */
	const char *script; /* "SECONDS OP DAEMON [ARG], ..." */
	int at; /* when the actions are checked, seconds */
	char asked; /* daemon whose actions are checked */
	action_t claimed; /* for the key that OP_CLAIM dispatched */
	action_t fresh; /* for another key */
} handover_case_t;

static void check_case(const handover_case_t *c)
{
	handover_sim_t s = { .max_entries = 100 };
	action_t claimed, fresh;
	daemon_sim_t *d = &s.daemons[c->asked - 'a'];
	const char *script = c->script;
	step_t step;

	handover_sim_find_key(c->order, 0, s.key[0]);
	handover_sim_find_key(c->order, 1, s.key[1]);
	while (handover_sim_next_step(&script, &step)) {
		handover_sim_tick_to(&s, (int64_t)step.at * SECOND);
		handover_sim_apply(&s, &step);
	}
	handover_sim_tick_to(&s, (int64_t)c->at * SECOND);
	claimed = action_for_key(&s, d, s.key[0]);
	fresh = action_for_key(&s, d, s.key[1]);
	ck_assert_msg(claimed == c->claimed, "%s: claimed key: %d", c->label,
		      claimed);
	ck_assert_msg(fresh == c->fresh, "%s: fresh key: %d", c->label, fresh);
	handover_sim_finish(&s);
}

#define CHECK_CASES(cases)                                       \
	do {                                                     \
		for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) \
			check_case(&(cases)[i]);                 \
	} while (0)

START_TEST(draining_daemon_hands_over_its_keys)
{
	static const handover_case_t cases[] = {
		{ "while the request still runs", "ba",
		  "0 start a 1, 0 start b 1, 100 claim b, 101 drain b, "
		  "102 done b 1",
		  103, 'a', UNKNOWN, RUNS },
		{ "and then exits", "ba",
		  "0 start a 1, 0 start b 1, 100 claim b, 101 drain b, "
		  "105 kill b",
		  130, 'a', UNKNOWN, RUNS },
		{ "answered before the hand-over", "ba",
		  "0 start a 1, 0 start b 1, 100 claim b, 100 ended b, "
		  "101 drain b",
		  103, 'a', ANSWERS, RUNS },
		{ "answered after the hand-over", "ba",
		  "0 start a 1, 0 start b 1, 100 claim b, 101 drain b, "
		  "103 ended b",
		  104, 'a', ANSWERS, RUNS },
		{ "abandoned undispatched", "ba",
		  "0 start a 1, 0 start b 1, 100 claim b, 101 drain b, "
		  "103 release b",
		  104, 'a', RUNS, RUNS },
		{ "lost once, sent again", "ba",
		  "0 start a 1, 0 start b 1, 100 claim b, 100 lose b a, "
		  "101 drain b, 102 done b 0, 102 pass b a",
		  106, 'a', UNKNOWN, RUNS },
		{ "acknowledgement lost", "ba",
		  "0 start a 1, 0 start b 1, 100 claim b, 100 lose a b, "
		  "101 drain b, 103 done b 0",
		  104, 'a', UNKNOWN, RUNS },
		{ "new owner restarts", "ba",
		  "0 start a 1, 0 start b 1, 100 claim b, 101 drain b, "
		  "103 kill a, 104 start a 2, 108 done b 1",
		  108, 'a', UNKNOWN, HOLDS_OFF },
		{ "two new owners", "bca",
		  "0 start a 1, 0 start b 1, 0 start c 1, 100 claim b, "
		  "101 drain b, 103 done b 1, 103 kill b",
		  110, 'c', UNKNOWN, RUNS },
	};

	CHECK_CASES(cases);
}
END_TEST

START_TEST(incomplete_handover_leaves_keys_in_holdoff)
{
	static const handover_case_t cases[] = {
		{ "all parts lost", "ba",
		  "0 start a 1, 0 start b 1, 100 claim b, 100 lose b a, "
		  "101 drain b, 105 done b 0, 105 kill b",
		  115, 'a', HOLDS_OFF, HOLDS_OFF },
		{ "killed at the start of its drain", "ba",
		  "0 start a 1, 0 start b 1, 100 claim b, 101 drain b, "
		  "101 kill b",
		  110, 'a', HOLDS_OFF, HOLDS_OFF },
		{ "new owner dies", "bca",
		  "0 start a 1, 0 start b 1, 0 start c 1, 100 claim b, "
		  "101 drain b, 105 kill b, 110 kill c",
		  120, 'a', HOLDS_OFF, HOLDS_OFF },
	};

	CHECK_CASES(cases);
}
END_TEST

START_TEST(handover_read_after_a_stall_is_ignored)
{
	static const handover_case_t cases[] = {
		{ "receiver paused", "ba",
		  "0 start a 1, 0 start b 1, 100 claim b, 100 pause a, "
		  "101 drain b, 102 kill b, 110 resume a",
		  120, 'a', HOLDS_OFF, HOLDS_OFF },
	};

	CHECK_CASES(cases);
}
END_TEST

START_TEST(handover_of_an_old_incarnation_is_ignored)
{
	static const handover_case_t cases[] = {
		{ "sender restarts as a new incarnation and dies", "ba",
		  "0 start a 1, 0 start b 1, 100 hold b a, 101 drain b, "
		  "102 kill b, 103 start b 2, 104 lose b a, 130 kill b",
		  140, 'a', HOLDS_OFF, HOLDS_OFF },
		{ "acknowledged by an old incarnation", "ba",
		  "0 start a 1, 0 start b 1, 100 hold a b, 101 drain b, "
		  "102 kill a, 102 lose b a, 103 start a 2, 104 pass a b, "
		  "106 done b 0",
		  106, 'a', HOLDS_OFF, HOLDS_OFF },
		{ "receiver is a new incarnation", "ba",
		  "0 start a 1, 0 start b 1, 100 claim b, 100 hold b a, "
		  "101 drain b, 102 kill a, 102 start a 2, 102 kill b, "
		  "102 pass b a",
		  110, 'a', HOLDS_OFF, HOLDS_OFF },
	};

	CHECK_CASES(cases);
}
END_TEST

START_TEST(handover_with_a_different_membership_is_refused)
{
	static const handover_case_t cases[] = {
		{ "sender knows one more daemon", "bca",
		  "0 start a 1, 0 start b 1, 0 start c 1, 0 deaf c a, "
		  "100 claim b, 101 drain b, 105 done b 0, 105 kill b",
		  115, 'a', HOLDS_OFF, HOLDS_OFF },
	};

	CHECK_CASES(cases);
}
END_TEST

START_TEST(gaps_are_handed_over)
{
	static const handover_case_t cases[] = {
		{ "of the sender itself", "ba",
		  "0 start a 1, 99 lose a b, 100 start b 1, 110 drain b, "
		  "115 kill b",
		  120, 'a', HOLDS_OFF, HOLDS_OFF },
		{ "of a peer that only the sender knew", "cba",
		  "0 start a 1, 0 start b 1, 0 start c 1, 0 deaf c a, "
		  "99 claim c, 99 kill c, 110 drain b, 112 kill b",
		  120, 'a', HOLDS_OFF, HOLDS_OFF },
	};

	CHECK_CASES(cases);
}
END_TEST

START_TEST(joining_daemon_receives_its_keys)
{
	static const handover_case_t cases[] = {
		{ "from one", "ba", "0 start a 1, 100 claim a, 101 start b 1",
		  104, 'b', UNKNOWN, RUNS },
		{ "from two", "bca",
		  "0 start a 1, 0 start c 1, 100 claim c, 101 start b 1", 104,
		  'b', UNKNOWN, RUNS },
		{ "with the answer", "ba",
		  "0 start a 1, 100 claim a, 101 start b 1, 103 ended a", 104,
		  'b', ANSWERS, RUNS },
		{ "from one that drained and knew of the new one", "cba",
		  "0 start a 1, 0 start b 1, 100 claim b, 100 lose b c, "
		  "100 lose a c, 101 start c 1, 103 drain b, 105 pass a c, "
		  "106 pass b c",
		  110, 'c', UNKNOWN, RUNS },
		{ "sender forwards meanwhile", "ba",
		  "0 start a 1, 101 start b 1", 104, 'a', FORWARDS, FORWARDS },
		{ "one restart after the other", "ba",
		  "0 start a 1, 0 start b 1, 100 claim b, 101 drain b, "
		  "103 kill b, 104 start b 2, 110 drain a, 112 kill a, "
		  "113 start a 2",
		  120, 'b', UNKNOWN, RUNS },
	};

	CHECK_CASES(cases);
}
END_TEST

START_TEST(two_daemons_join_beside_an_established_one)
{
	static const handover_case_t cases[] = {
		{ "two new ones beside one", "bca",
		  "0 start a 1, 100 claim a, 101 start b 1, 101 start c 1", 108,
		  'b', UNKNOWN, RUNS },
		{ "then the old one leaves", "bca",
		  "0 start a 1, 100 claim a, 101 start b 1, 101 start c 1, "
		  "110 drain a, 114 kill a",
		  120, 'b', UNKNOWN, RUNS },
		{ "and the first new one leaves", "bca",
		  "0 start a 1, 100 claim a, 101 start b 1, 101 start c 1, "
		  "110 drain a, 114 kill a, 116 drain b, 118 kill b",
		  120, 'c', UNKNOWN, RUNS },
		{ "the old one dies before it sent its keys", "bca",
		  "0 start a 1, 99 lose a b, 99 lose a c, 100 claim a, "
		  "101 start b 1, 101 start c 1, 104 kill a",
		  115, 'b', HOLDS_OFF, HOLDS_OFF },
	};

	CHECK_CASES(cases);
}
END_TEST

START_TEST(ready_when_all_keys_are_received)
{
	static const handover_case_t cases[] = {
		{ "no other daemon", "ba",
		  "0 start b 1, 1 ready b 0, 3 ready b 1", 4, 'b', HOLDS_OFF,
		  HOLDS_OFF },
		{ "beside one", "ba",
		  "0 start a 1, 100 claim a, 101 start b 1, 103 ready b 1", 104,
		  'b', UNKNOWN, RUNS },
		{ "not before the last one sent its keys", "bca",
		  "0 start a 1, 0 start c 1, 99 lose c b, 100 claim c, "
		  "101 start b 1, 105 ready b 0, 105 pass c b, 109 ready b 1",
		  110, 'b', UNKNOWN, RUNS },
		{ "after the time limit even without its keys", "ba",
		  "0 start a 1, 99 lose a b, 100 claim a, 101 start b 1, "
		  "105 ready b 0, 106 ready b 1",
		  110, 'b', HOLDS_OFF, HOLDS_OFF },
		{ "all start at once", "ba",
		  "0 start a 1, 0 start b 1, 3 ready a 1, 3 ready b 1", 50, 'b',
		  HOLDS_OFF, HOLDS_OFF },
	};

	CHECK_CASES(cases);
}
END_TEST

START_TEST(two_daemons_drain_at_the_same_time)
{
	static const handover_case_t cases[] = {
		/*
		 * Each learns that the other drains only after it sent its
		 * keys.
		 */
		{ "two at once", "bca",
		  "0 start a 1, 0 start b 1, 0 start c 1, 100 claim b, "
		  "101 drain b, 101 drain c",
		  102, 'a', UNKNOWN, RUNS },
		{ "one without heartbeats to the new owner", "bca",
		  "0 start a 1, 0 start b 1, 0 start c 1, 0 deaf c a, "
		  "100 claim b, 101 drain b, 101 drain c",
		  102, 'a', UNKNOWN, HOLDS_OFF },
		{ "one that dies before it sent its keys", "bca",
		  "0 start a 1, 0 start b 1, 0 start c 1, 100 claim b, "
		  "100 lose c a, 101 drain b, 101 drain c, 103 kill c",
		  110, 'a', UNKNOWN, HOLDS_OFF },
		{ "over a link that was down", "bca",
		  "0 start a 1, 0 start b 1, 0 start c 1, 100 claim b, "
		  "100 lose b a, 101 drain b, 101 drain c, 102 pass b a",
		  103, 'a', UNKNOWN, RUNS },
	};

	CHECK_CASES(cases);
}
END_TEST

START_TEST(joining_daemon_needs_the_keys_of_every_live_daemon)
{
	static const handover_case_t cases[] = {
		{ "no other daemon", "ba", "101 start b 1", 104, 'b', HOLDS_OFF,
		  HOLDS_OFF },
		{ "keys lost", "ba",
		  "0 start a 1, 99 lose a b, 100 claim a, 101 start b 1", 110,
		  'b', HOLDS_OFF, HOLDS_OFF },
		{ "keys of one of two lost", "bca",
		  "0 start a 1, 0 start c 1, 99 lose c b, 100 claim c, "
		  "101 start b 1",
		  110, 'b', HOLDS_OFF, HOLDS_OFF },
		{ "one that no other sender knows", "bca",
		  "0 start a 1, 0 start c 1, 0 deaf c a, 99 lose c b, "
		  "100 claim c, 101 start b 1",
		  110, 'b', HOLDS_OFF, HOLDS_OFF },
		{ "one that drained and knew of the new one", "cba",
		  "0 start a 1, 0 start b 1, 100 claim b, 100 deaf b c, "
		  "100 lose b c, 100 lose a c, 101 start c 1, 103 drain b, "
		  "105 pass a c",
		  110, 'c', HOLDS_OFF, HOLDS_OFF },
		{ "one that drained, then its new owner", "cba",
		  "0 start a 1, 0 start b 1, 100 claim b, 100 deaf b c, "
		  "100 lose b c, 100 lose a c, 101 start c 1, 103 drain b, "
		  "104 drain a, 105 pass a c",
		  110, 'c', HOLDS_OFF, HOLDS_OFF },
		{ "one that only the sender knows", "bca",
		  "0 start a 1, 0 start c 1, 0 deaf c b, 100 claim c, "
		  "101 start b 1",
		  110, 'b', HOLDS_OFF, HOLDS_OFF },
		{ "all start at once", "ba", "0 start a 1, 0 start b 1", 50,
		  'b', HOLDS_OFF, HOLDS_OFF },
	};

	CHECK_CASES(cases);
}
END_TEST

START_TEST(joining_daemon_holds_off_keys_of_dead_daemons)
{
	static const handover_case_t cases[] = {
		{ "its own earlier incarnation", "ba",
		  "0 start a 1, 0 start b 1, 100 claim b, 101 kill b, "
		  "102 start b 2",
		  110, 'b', HOLDS_OFF, HOLDS_OFF },
		{ "the owner before it", "bca",
		  "0 start a 1, 0 start c 1, 100 claim c, 101 kill c, "
		  "110 start b 1",
		  115, 'b', HOLDS_OFF, HOLDS_OFF },
		{ "but not after the hold-off period", "ba",
		  "0 start a 1, 0 start b 1, 101 kill b, 102 start b 2", 163,
		  'b', RUNS, RUNS },
	};

	CHECK_CASES(cases);
}
END_TEST

/* One part of a transfer from "a" to "b", both at incarnation 1. */
typedef struct part_sim {
	uint32_t serial, index;
	bool is_last;
	uint64_t from, to; /* incarnations */
} part_sim_t;

static void receive_part(daemon_sim_t *d, const part_sim_t *p)
{
	handover_member_t members[] = { { STR_LIT("a"), 1 },
					{ STR_LIT("b"), 1 } };
	handover_part_t part = {
		.incarnation = p->from,
		.to_incarnation = p->to,
		.serial = p->serial,
		.index = p->index,
		.is_last = p->is_last,
		.members = members,
		.n_members = 2,
	};

	handover_on_part(&d->handover, STR_LIT("a"), &part, d->sim->now);
}

START_TEST(every_part_is_needed)
{
	static const struct {
		const char *label;
		part_sim_t parts[3];
		size_t n;
		bool is_accepted;
	} cases[] = {
		{ "one", { { 9, 0, true, 1, 1 } }, 1, true },
		{ "to another incarnation",
		  { { 9, 0, true, 1, 2 } },
		  1,
		  false },
		{ "of another incarnation",
		  { { 9, 0, true, 2, 1 } },
		  1,
		  false },
		{ "first missing", { { 9, 1, true, 1, 1 } }, 1, false },
		{ "whole",
		  { { 9, 0, false, 1, 1 }, { 9, 1, true, 1, 1 } },
		  2,
		  true },
		{ "not the last",
		  { { 9, 0, false, 1, 1 }, { 9, 1, false, 1, 1 } },
		  2,
		  false },
		{ "second missing",
		  { { 9, 0, false, 1, 1 }, { 9, 2, true, 1, 1 } },
		  2,
		  false },
		{ "of two transfers",
		  { { 9, 0, false, 1, 1 }, { 8, 1, true, 1, 1 } },
		  2,
		  false },
		{ "twice",
		  { { 9, 0, false, 1, 1 },
		    { 9, 0, false, 1, 1 },
		    { 9, 1, true, 1, 1 } },
		  3,
		  true },
		{ "of an older transfer",
		  { { 9, 0, false, 1, 1 },
		    { 10, 0, false, 1, 1 },
		    { 9, 1, true, 1, 1 } },
		  3,
		  false },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		handover_sim_t s = { .max_entries = 9 };

		handover_sim_start_daemon(&s, 0, 1);
		handover_sim_start_daemon(&s, 1, 1);
		handover_sim_heartbeat(&s, 0, 1);
		for (size_t k = 0; k < cases[i].n; k++)
			receive_part(&s.daemons[1], &cases[i].parts[k]);
		ck_assert_msg(handover_has_joined(&s.daemons[1].handover) ==
				      cases[i].is_accepted,
			      "%s", cases[i].label);
		ck_assert_uint_eq(s.wire[1][0].length, cases[i].is_accepted);
		handover_sim_finish(&s);
	}
}
END_TEST

START_TEST(full_table_refuses_a_handover)
{
	static const handover_case_t c = {
		"full",
		"ba",
		"0 start a 1, 0 start b 1, 100 claim b, 101 drain b, "
		"105 done b 0, 105 kill b",
		115,
		'a',
		HOLDS_OFF,
		HOLDS_OFF
	};
	handover_sim_t s = { .max_entries = 1 };
	g_autoptr(GBytes) other = g_bytes_new_static("other", 5);
	const char *script = c.script;
	dedup_entry_t *entry;
	step_t step;

	handover_sim_find_key(c.order, 0, s.key[0]);
	while (handover_sim_next_step(&script, &step)) {
		handover_sim_tick_to(&s, (int64_t)step.at * SECOND);
		if (step.op == OP_CLAIM)
			dedup_claim(&s.daemons[0].dedup, other, false, 1, 1,
				    &entry);
		handover_sim_apply(&s, &step);
	}
	handover_sim_tick_to(&s, (int64_t)c.at * SECOND);
	ck_assert_int_eq(action_for_key(&s, &s.daemons[0], s.key[0]),
			 HOLDS_OFF);
	handover_sim_finish(&s);
}
END_TEST

SUITE_MAIN("handover", draining_daemon_hands_over_its_keys,
	   incomplete_handover_leaves_keys_in_holdoff,
	   handover_read_after_a_stall_is_ignored,
	   handover_of_an_old_incarnation_is_ignored,
	   handover_with_a_different_membership_is_refused,
	   gaps_are_handed_over, joining_daemon_receives_its_keys,
	   two_daemons_join_beside_an_established_one,
	   ready_when_all_keys_are_received, two_daemons_drain_at_the_same_time,
	   joining_daemon_needs_the_keys_of_every_live_daemon,
	   joining_daemon_holds_off_keys_of_dead_daemons, every_part_is_needed,
	   full_table_refuses_a_handover)
