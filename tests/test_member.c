#include <glib.h>

#include "core/member.h"
#include "tests/lib_member.h"
#include "tests/lib_suite.h"

typedef struct owner_case {
	const char *label;
	const char *script; /* "TIME OP DAEMON [ARG], ..." */
	int at;
	const char *order;
	int key_age;
	member_owner_kind_t kind;
	char peer;
	int holdoff_until;
} owner_case_t;

static void check_owner(const owner_case_t *c)
{
	member_sim_t s;
	char key[16];
	member_owner_t owner;

	member_sim_init(&s);
	member_sim_play(&s, c->script);
	member_sim_tick_to(&s, c->at);
	member_key_owner(&s.m, str_from(member_sim_key_for(c->order, key)),
			 STR_LIT("z1"), c->key_age, s.now, &owner);
	ck_assert_msg(owner.kind == c->kind, "%s: kind %d", c->label,
		      owner.kind);
	ck_assert_msg(!c->peer || owner.vm.name[0] == c->peer, "%s: peer %s",
		      c->label, owner.vm.name);
	ck_assert_msg(
		!c->holdoff_until || owner.holdoff_until == c->holdoff_until,
		"%s: hold-off until %d", c->label, (int)owner.holdoff_until);
	member_finish(&s.m);
}

#define CHECK_OWNERS(cases)                                      \
	do {                                                     \
		for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) \
			check_owner(&(cases)[i]);                \
	} while (0)

START_TEST(new_daemon_holds_off_its_keys)
{
	static const owner_case_t cases[] = {
		{ "at start", "", 0, "a", -1, MEMBER_OWNER_HOLDOFF, 0,
		  HOLDOFF_PERIOD },
		{ "until the end of the period", "", HOLDOFF_PERIOD - 1, "a",
		  -1, MEMBER_OWNER_HOLDOFF, 0, 0 },
		{ "afterwards", "", HOLDOFF_PERIOD, "a", -1, MEMBER_OWNER_SELF,
		  0, 0 },
		{ "peers' keys", "0 beat b 1", 1, "b", -1, MEMBER_OWNER_PEER,
		  'b', 0 },
	};

	CHECK_OWNERS(cases);
}
END_TEST

START_TEST(key_created_after_takeover_runs_at_once)
{
	static const owner_case_t cases[] = {
		{ "old", "", 50, "a", 49, MEMBER_OWNER_HOLDOFF, 0, 0 },
		{ "at margin", "", 50, "a", 50 - KEY_AGE_MARGIN,
		  MEMBER_OWNER_HOLDOFF, 0, 0 },
		{ "past the margin", "", 50, "a", 49 - KEY_AGE_MARGIN,
		  MEMBER_OWNER_SELF, 0, 0 },
		{ "of a dead peer, within the margin after its death",
		  "0 beat b 1, 150 stop b", 190, "ba", 25, MEMBER_OWNER_HOLDOFF,
		  0, 0 },
		{ "fresh key of a dead peer", "0 beat b 1, 150 stop b", 190,
		  "ba", 5, MEMBER_OWNER_SELF, 0, 0 },
	};

	CHECK_OWNERS(cases);
}
END_TEST

START_TEST(new_incarnation_holds_off_its_keys)
{
	static const owner_case_t cases[] = {
		{ "own keys", "150 reincarnate a 2", 151, "a", -1,
		  MEMBER_OWNER_HOLDOFF, 0, 150 + HOLDOFF_PERIOD },
		{ "end of a drain", "150 leave a 1, 160 leave a 0", 170, "a",
		  -1, MEMBER_OWNER_HOLDOFF, 0, 160 + HOLDOFF_PERIOD },
	};

	CHECK_OWNERS(cases);
}
END_TEST

START_TEST(keys_of_dead_peer_are_held_off)
{
	static const owner_case_t cases[] = {
		{ "not yet dead", "0 beat b 1, 150 stop b", 160, "ba", -1,
		  MEMBER_OWNER_PEER, 'b', 0 },
		{ "dead", "0 beat b 1, 150 stop b", 170, "ba", -1,
		  MEMBER_OWNER_HOLDOFF, 0, 161 + HOLDOFF_PERIOD },
		{ "long dead", "0 beat b 1, 150 stop b", 166 + HOLDOFF_PERIOD,
		  "ba", -1, MEMBER_OWNER_SELF, 0, 0 },
		{ "own keys stay", "0 beat b 1, 150 stop b", 170, "ab", -1,
		  MEMBER_OWNER_SELF, 0, 0 },
		{ "next in order", "0 beat b 1, 0 beat c 1, 150 stop b", 170,
		  "bc", -1, MEMBER_OWNER_PEER, 'c', 0 },
	};

	CHECK_OWNERS(cases);
}
END_TEST

START_TEST(holdoff_starts_at_the_last_change_of_owner)
{
	static const owner_case_t cases[] = {
		{ "two dead in turn",
		  "0 beat b 1, 0 beat c 1, 150 stop b, 200 stop c", 220, "bca",
		  -1, MEMBER_OWNER_HOLDOFF, 0, 211 + HOLDOFF_PERIOD },
		{ "key created while c was the owner",
		  "0 beat b 1, 0 beat c 1, 150 stop b, 200 stop c", 220, "bca",
		  30, MEMBER_OWNER_HOLDOFF, 0, 0 },
		{ "death of a daemon behind this one changes nothing",
		  "0 beat b 1, 0 beat c 1, 150 stop b, 200 stop c", 220, "bac",
		  -1, MEMBER_OWNER_HOLDOFF, 0, 161 + HOLDOFF_PERIOD },
	};

	CHECK_OWNERS(cases);
}
END_TEST

START_TEST(broken_link_moves_no_keys)
{
	static const owner_case_t cases[] = {
		{ "a new connection works", "0 beat b 1, 150 mute b", 300, "ba",
		  -1, MEMBER_OWNER_PEER, 'b', 0 },
		{ "another peer receives its heartbeats",
		  "0 beat b 1, 0 beat c 1, 100 reported b 1, 150 stop b", 300,
		  "ba", -1, MEMBER_OWNER_PEER, 'b', 0 },
		{ "another peer receives those of another incarnation",
		  "0 beat b 1, 0 beat c 1, 150 stop b, 150 reported b 2", 300,
		  "ba", -1, MEMBER_OWNER_SELF, 0, 0 },
		{ "the probe is not answered", "0 beat b 1, 150 hang b", 300,
		  "ba", -1, MEMBER_OWNER_PEER, 'b', 0 },
	};

	CHECK_OWNERS(cases);
}
END_TEST

START_TEST(peers_are_asked_before_a_peer_is_declared_dead)
{
	static const owner_case_t cases[] = {
		{ "all answered", "0 beat b 1, 0 beat c 1, 150 stop b", 163,
		  "ba", -1, MEMBER_OWNER_HOLDOFF, 0, 161 + HOLDOFF_PERIOD },
		{ "one did not answer",
		  "0 beat b 1, 0 beat c 1, 0 mum c, 150 stop b", 169, "ba", -1,
		  MEMBER_OWNER_PEER, 'b', 0 },
		{ "one never answers and is not awaited any longer",
		  "0 beat b 1, 0 beat c 1, 0 mum c, 150 stop b", 172, "ba", -1,
		  MEMBER_OWNER_HOLDOFF, 0, 170 + HOLDOFF_PERIOD },
		{ "a draining one is asked too",
		  "0 beat b 1, 0 beat c 1, 0 mum c, 140 drain c, 150 stop b",
		  169, "ba", -1, MEMBER_OWNER_PEER, 'b', 0 },
	};

	CHECK_OWNERS(cases);
}
END_TEST

static void on_gossip(void *ctx, const member_gossip_t *g)
{
	g_string_append_printf(ctx, "%c%d%s%s ", g->name.ptr[0], (int)g->age,
			       g->is_dead ? "dead" : "",
			       g->is_asked ? "?" : "");
}

START_TEST(only_changes_are_gossiped)
{
	static const struct {
		const char *label;
		const char *script; /* "TIME OP DAEMON [ARG], ..." */
		const char *gossiped;
	} cases[] = {
		{ "nothing new", "0 beat b 1, 0 beat c 1, 50 beat c 1", "" },
		{ "a new daemon", "40 beat b 1, 45 beat b 1", "b1 " },
		{ "a silent daemon is asked about",
		  "0 beat b 1, 40 stop b, 47 stop b", "b8? " },
		{ "a dead daemon is not", "0 beat b 1, 40 stop b, 70 stop b",
		  "" },
		{ "a dead incarnation that sends heartbeats",
		  "0 beat b 1, 40 stop b, 70 beat b 1, 72 beat b 1",
		  "b1dead " },
		{ "a daemon of another zone", "40 beat x 1, 45 beat x 1", "" },
	};
	member_gossip_t question = { .name = STR_LIT("b"),
				     .age = -1,
				     .is_asked = true };

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_autoptr(GString) gossiped = g_string_new(NULL);
		member_sim_t s;

		member_sim_init(&s);
		member_sim_play(&s, cases[i].script);
		member_each_gossip(&s.m, on_gossip, gossiped, s.now);
		ck_assert_msg(!strcmp(gossiped->str, cases[i].gossiped),
			      "%s: %s", cases[i].label, gossiped->str);
		/* A peer's question is answered in one gossip only. */
		member_on_gossip(&s.m, STR_LIT("c"), &question, s.now);
		g_string_truncate(gossiped, 0);
		member_each_gossip(&s.m, on_gossip, gossiped, s.now);
		ck_assert_msg(i == 5 || gossiped->str[0] == 'b',
			      "%s: asked: %s", cases[i].label, gossiped->str);
		g_string_truncate(gossiped, 0);
		member_each_gossip(&s.m, on_gossip, gossiped, s.now);
		ck_assert_msg(!strcmp(gossiped->str, cases[i].gossiped),
			      "%s: %s", cases[i].label, gossiped->str);
		member_finish(&s.m);
	}
}
END_TEST

START_TEST(dead_incarnation_stays_dead)
{
	static const owner_case_t cases[] = {
		{ "same incarnation", "0 beat b 1, 150 stop b, 300 beat b 1",
		  310, "ba", -1, MEMBER_OWNER_SELF, 0, 0 },
		{ "new incarnation", "0 beat b 1, 150 stop b, 300 beat b 2",
		  310, "ba", -1, MEMBER_OWNER_PEER, 'b', 0 },
	};
	member_sim_t s;

	CHECK_OWNERS(cases);
	member_sim_init(&s);
	member_sim_tick_to(&s, 50);
	member_on_declared_dead(&s.m, STR_LIT("a"), 9);
	member_on_declared_dead(&s.m, STR_LIT("b"), 1);
	ck_assert(!member_is_stalled(&s.m, s.now));
	member_on_declared_dead(&s.m, STR_LIT("a"), 1);
	ck_assert(member_is_stalled(&s.m, s.now));
	member_begin_incarnation(&s.m, 2, s.now);
	ck_assert(!member_is_stalled(&s.m, s.now));
	member_finish(&s.m);
}
END_TEST

START_TEST(only_handover_ends_holdoff_of_drained_peer)
{
	static const owner_case_t cases[] = {
		{ "no hand-over", "0 beat b 1, 150 drain b, 200 stop b", 220,
		  "ba", -1, MEMBER_OWNER_HOLDOFF, 0, 211 + HOLDOFF_PERIOD },
		{ "hold-off lasts while it drains", "0 beat b 1, 150 drain b",
		  400, "ba", -1, MEMBER_OWNER_HOLDOFF, 0, 0 },
		{ "hand-over",
		  "0 beat b 1, 150 drain b, 151 handed b 1, 160 stop b", 190,
		  "ba", -1, MEMBER_OWNER_SELF, 0, 0 },
		{ "hand-over of another incarnation",
		  "0 beat b 1, 150 drain b, 151 handed b 7, 160 stop b", 190,
		  "ba", -1, MEMBER_OWNER_HOLDOFF, 0, 0 },
		{ "hand-over by a daemon that was itself new",
		  "150 beat b 1, 170 drain b, 171 handed b 1 150, "
		  "180 stop b",
		  200, "ba", -1, MEMBER_OWNER_HOLDOFF, 0,
		  150 + HOLDOFF_PERIOD },
		{ "hand-over, then no longer draining, then killed",
		  "0 beat b 1, 150 drain b, 151 handed b 1, 160 beat b 1, "
		  "300 stop b",
		  320, "ba", -1, MEMBER_OWNER_HOLDOFF, 0,
		  311 + HOLDOFF_PERIOD },
		{ "hand-over, then restarted, then killed",
		  "0 beat b 1, 150 drain b, 151 handed b 1, 160 beat b 2, "
		  "300 stop b",
		  320, "ba", -1, MEMBER_OWNER_HOLDOFF, 0,
		  311 + HOLDOFF_PERIOD },
	};

	CHECK_OWNERS(cases);
}
END_TEST

static void on_gap(void *ctx, const member_gap_t *gap)
{
	g_string_append_printf(ctx, "%.*s%d%s ", (int)gap->name.len,
			       gap->name.ptr, (int)gap->age,
			       gap->leaving_incarnation ? "?" : "");
}

START_TEST(gaps_are_forwarded)
{
	static const struct {
		const char *label;
		const char *script; /* "TIME OP DAEMON [ARG], ..." */
		const char *gaps;
	} cases[] = {
		{ "own start", "30 beat b 1", "a30 " },
		{ "own start long ago", "150 beat b 1", "" },
		{ "dead peer", "0 beat b 1, 150 stop b, 200 beat c 1", "b39 " },
		{ "restarted peer", "0 beat b 1, 150 beat b 2, 180 beat b 2",
		  "b30 " },
		{ "drained peer",
		  "0 beat b 1, 150 drain b, 180 handed b 1 120, "
		  "190 stop b, 210 beat c 1",
		  "b90 " },
		{ "drained peer that handed over to others",
		  "0 beat b 1, 150 drain b, 170 beat c 1", "b1? " },
	};
	const member_gap_t overflowing = { .name = STR_LIT("z"), .age = 30 };
	member_sim_t s;

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_autoptr(GString) gaps = g_string_new(NULL);

		member_sim_init(&s);
		member_sim_play(&s, cases[i].script);
		member_each_gap(&s.m, on_gap, gaps, s.now);
		ck_assert_msg(!strcmp(gaps->str, cases[i].gaps), "%s: %s",
			      cases[i].label, gaps->str);
		member_finish(&s.m);
	}
	/* A gap for which the table has no room applies to every key. */
	member_sim_init(&s);
	member_sim_tick_to(&s, 150);
	for (int i = 0; i < 8; i++) {
		const member_gap_t gap = {
			.name = member_sim_name_of(&"bcdefghi"[i]), .age = 20
		};

		member_add_gap(&s.m, &gap, s.now);
	}
	ck_assert_int_eq(member_known_since(&s.m), 0);
	member_add_gap(&s.m, &overflowing, s.now);
	ck_assert_int_eq(member_known_since(&s.m), 120);
	member_on_joined(&s.m, 10);
	ck_assert_int_eq(member_known_since(&s.m), 10);
	member_finish(&s.m);
}
END_TEST

START_TEST(draining_daemon_owns_no_keys)
{
	static const owner_case_t cases[] = {
		{ "keys go to the peer", "0 beat b 1, 150 leave a 1", 151, "ab",
		  -1, MEMBER_OWNER_PEER, 'b', 0 },
		{ "no other daemon", "150 leave a 1", 151, "a", -1,
		  MEMBER_OWNER_NONE, 0, 0 },
	};

	CHECK_OWNERS(cases);
}
END_TEST

START_TEST(stall_is_detected)
{
	member_sim_t s;

	member_sim_init(&s);
	member_sim_play(&s, "0 beat b 1, 150 beat b 1");
	ck_assert(!member_is_stalled(&s.m, s.now));
	member_sim_play(&s, "170 stop b, 200 stall a");
	ck_assert(member_is_stalled(&s.m, s.now));
	/* A stall of this daemon must not make its peer count as dead. */
	member_begin_incarnation(&s.m, 2, s.now);
	member_tick(&s.m, s.now);
	ck_assert(!member_is_stalled(&s.m, s.now));
	ck_assert(member_is_stable(&s.m, s.now + HEARTBEAT_TIMEOUT + 1));
	ck_assert_uint_eq(member_incarnation(&s.m), 2);
	member_finish(&s.m);
}
END_TEST

START_TEST(home_zone_is_the_prefix_of_a_key_or_its_hash)
{
	static const struct {
		const char *key;
		const char *zone; /* NULL: by hash, one of the zones */
	} cases[] = {
		{ "z1/abc", "z1" }, { "z3/", "z3" },	 { "z9/abc", NULL },
		{ "z1", NULL },	    { "/z1/abc", NULL }, { "", NULL },
	};
	unsigned int seen = 0;
	member_sim_t s;

	member_sim_init(&s);
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		str_t zone = member_home_zone(&s.m, str_from(cases[i].key));

		ck_assert_uint_eq(zone.len, 2);
		if (cases[i].zone)
			ck_assert(str_eq(zone, str_from(cases[i].zone)));
	}
	for (int i = 0; i < 64; i++) {
		char key[16];

		g_snprintf(key, sizeof(key), "key%d", i);
		seen |= 1U << (member_home_zone(&s.m, str_from(key)).ptr[1] -
			       '1');
	}
	ck_assert_uint_eq(seen, 7);
	member_finish(&s.m);
}
END_TEST

START_TEST(keys_of_other_zones_go_to_their_zone)
{
	member_owner_t owner;
	member_vm_t vm = member_sim_vm_of('x');
	member_sim_t s;

	member_sim_init(&s);
	member_key_owner(&s.m, STR_LIT("k"), STR_LIT("z2"), -1, 0, &owner);
	ck_assert_int_eq(owner.kind, MEMBER_OWNER_NONE);
	ck_assert(!member_zone_host(&s.m, STR_LIT("z2"), STR_LIT("s"), 0, 0,
				    &vm));
	/* A listed daemon is used until another one sends heartbeats. */
	member_set_list(&s.m, &vm, 1, 0);
	member_key_owner(&s.m, STR_LIT("k"), STR_LIT("z2"), -1, 0, &owner);
	ck_assert_int_eq(owner.kind, MEMBER_OWNER_ZONE);
	ck_assert_str_eq(owner.vm.name, "x");
	for (int i = 0; i < 8; i++) {
		char key[2] = { (char)('0' + i), '\0' };

		vm = member_sim_vm_of('y');
		member_on_heartbeat(&s.m, &vm, 1, false, 1);
		member_key_owner(&s.m, str_from(key), STR_LIT("z2"), -1, 1,
				 &owner);
		ck_assert_str_eq(owner.vm.name, "y");
	}
	member_finish(&s.m);
}
END_TEST

START_TEST(daemon_is_live_again_after_a_partition)
{
	member_state_t state;
	member_sim_t s;

	member_sim_init(&s);
	member_sim_play(&s, "0 beat x 1, 50 stop x, 90 beat x 1");
	ck_assert(member_find(&s.m, STR_LIT("x"), NULL, &state, NULL));
	ck_assert_int_eq(state, MEMBER_DEAD);
	member_sim_tick_to(&s, 92);
	ck_assert(member_find(&s.m, STR_LIT("x"), NULL, &state, NULL));
	ck_assert_int_eq(state, MEMBER_LIVE);
	member_finish(&s.m);
}
END_TEST

START_TEST(dispatchers_are_live_and_spread)
{
	unsigned int seen = 0;
	member_vm_t vm;
	member_sim_t s;

	member_sim_init(&s);
	member_sim_play(&s, "0 beat b 1, 0 beat c 1, 0 beat d 1, 20 drain c, "
			    "20 stop d, 50 beat b 1");
	for (uint32_t i = 0; i < 32; i++) {
		ck_assert(member_zone_host(&s.m, STR_LIT("z1"), STR_LIT("s"), i,
					   s.now, &vm));
		seen |= 1U << (vm.name[0] - 'a');
	}
	ck_assert_uint_eq(seen, 3);
	member_finish(&s.m);
}
END_TEST

START_TEST(table_is_bounded)
{
	member_vm_t vms[12];
	member_state_t state;
	member_sim_t s;

	member_sim_init(&s);
	for (int i = 0; i < 12; i++)
		vms[i] = member_sim_vm_of((char)('b' + i));
	member_set_list(&s.m, vms, 12, 0);
	ck_assert_uint_eq(member_n_rejected(&s.m), 4);
	/* Unlisted daemons without heartbeats are removed from the table. */
	member_set_list(&s.m, vms + 10, 2, 1);
	member_set_list(&s.m, vms + 10, 2, 1);
	ck_assert(member_find(&s.m, STR_LIT("m"), NULL, &state, NULL));
	ck_assert_int_eq(state, MEMBER_LISTED);
	ck_assert(!member_find(&s.m, STR_LIT("b"), NULL, NULL, NULL));
	member_finish(&s.m);
}
END_TEST

START_TEST(unlisted_peer_stays_live)
{
	member_state_t state;
	member_sim_t s;

	member_sim_init(&s);
	member_sim_play(&s, "0 beat b 1, 20 beat b 1");
	member_set_list(&s.m, NULL, 0, 20);
	ck_assert(member_find(&s.m, STR_LIT("b"), NULL, &state, NULL));
	ck_assert_int_eq(state, MEMBER_LIVE);
	ck_assert(s.changes > 0);
	member_finish(&s.m);
}
END_TEST

SUITE_MAIN("member", new_daemon_holds_off_its_keys,
	   key_created_after_takeover_runs_at_once,
	   new_incarnation_holds_off_its_keys, keys_of_dead_peer_are_held_off,
	   holdoff_starts_at_the_last_change_of_owner,
	   broken_link_moves_no_keys,
	   peers_are_asked_before_a_peer_is_declared_dead,
	   only_changes_are_gossiped, dead_incarnation_stays_dead,
	   only_handover_ends_holdoff_of_drained_peer, gaps_are_forwarded,
	   draining_daemon_owns_no_keys, stall_is_detected,
	   home_zone_is_the_prefix_of_a_key_or_its_hash,
	   keys_of_other_zones_go_to_their_zone,
	   daemon_is_live_again_after_a_partition,
	   dispatchers_are_live_and_spread, table_is_bounded,
	   unlisted_peer_stays_live)
