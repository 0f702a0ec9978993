#include <glib.h>

#include "core/member.h"
#include "core/rendezvous.h"
#include "tests/lib_suite.h"

/* Times are in ticks; this daemon is "a" in zone z1, "x" is in z2. */
enum {
	TIMEOUT = 10,
	QUIET = 100,
	MARGIN = 12,
	MAX_PEERS = 26,
};

typedef enum op {
	OP_END,
	OP_BEAT, /* sends heartbeats from now on, as incarnation ARG */
	OP_DRAIN, /* its heartbeats say that it drains */
	OP_STOP, /* falls silent; probes fail */
	OP_MUTE, /* falls silent; probes succeed */
	OP_HANG, /* falls silent; probes are never answered */
	OP_REPORTED, /* "c" says that it hears it, as incarnation ARG */
	OP_HANDED, /* handed over; ARG is HANDED(incarnation, since) */
	OP_CALLED_DEAD, /* a peer calls incarnation ARG dead */
	OP_REINCARNATE, /* we become incarnation ARG */
	OP_STALL, /* our loop stands still until now */
	OP_LEAVE, /* we drain (ARG 1) or no longer do (ARG 0) */
} op_t;

#define HANDED(incarnation, since) ((incarnation) + 1000 * (since))

typedef struct step {
	int at;
	op_t op;
	char name;
	int arg;
} step_t;

typedef struct peer_sim {
	uint64_t incarnation;
	bool beats, drains, reported, probe_ok, probe_hangs;
} peer_sim_t;

typedef struct sim {
	member_t m;
	peer_sim_t peers[MAX_PEERS];
	int64_t now;
	int probes, changes;
	int pending; /* index of the peer probed, or -1 */
} sim_t;

static const member_config_t config = { TIMEOUT, QUIET, MARGIN, 8 };

static member_vm_t vm_of(char name)
{
	member_vm_t vm = { .zone = "z1" };

	vm.name[0] = name;
	if (name >= 'x')
		g_strlcpy(vm.zone, "z2", sizeof(vm.zone));
	return vm;
}

static void on_probe(void *ctx, const member_vm_t *vm)
{
	sim_t *s = ctx;

	s->probes++;
	s->pending = vm->name[0] - 'a';
}

static void on_changed(void *ctx)
{
	sim_t *s = ctx;

	s->changes++;
}

static void sim_init(sim_t *s)
{
	static const str_t zones[] = { STR_LIT("z1"), STR_LIT("z2"),
				       STR_LIT("z3") };
	static const member_ops_t ops = { on_probe, on_changed };
	member_vm_t self = vm_of('a');

	*s = (sim_t){ .pending = -1 };
	member_init(&s->m, &config, &self, 1, zones, 3, &ops, s, 0);
}

static str_t name_of(const char *c)
{
	return (str_t){ c, 1 };
}

static void beat(sim_t *s)
{
	for (int i = 0; i < MAX_PEERS; i++) {
		const peer_sim_t *p = &s->peers[i];
		char name = (char)('a' + i);
		member_vm_t vm = vm_of(name);

		if (p->beats)
			member_heard(&s->m, &vm, p->incarnation, p->drains,
				     s->now);
		if (p->reported)
			member_heard_by(&s->m, STR_LIT("c"), name_of(&name),
					p->incarnation, 1, s->now);
	}
}

static void tick_to(sim_t *s, int64_t to)
{
	for (; s->now < to; s->now++) {
		beat(s);
		member_tick(&s->m, s->now);
		if (s->pending >= 0 && !s->peers[s->pending].probe_hangs) {
			char name = (char)('a' + s->pending);

			member_probed(&s->m, name_of(&name),
				      s->peers[s->pending].probe_ok, s->now);
		}
		s->pending = -1;
	}
}

static void apply(sim_t *s, const step_t *step)
{
	peer_sim_t *p = step->name ? &s->peers[step->name - 'a'] : NULL;
	uint64_t arg = (uint64_t)step->arg;

	switch (step->op) {
	case OP_BEAT:
		*p = (peer_sim_t){ .incarnation = arg, .beats = true };
		break;
	case OP_DRAIN:
		p->drains = true;
		break;
	case OP_STOP:
	case OP_MUTE:
	case OP_HANG:
		p->beats = false;
		p->probe_ok = step->op == OP_MUTE;
		p->probe_hangs = step->op == OP_HANG;
		break;
	case OP_REPORTED:
		p->incarnation = arg;
		p->reported = true;
		break;
	case OP_HANDED:
		member_handed_over(&s->m, name_of(&step->name), arg % 1000,
				   step->arg / 1000, s->now);
		break;
	case OP_CALLED_DEAD:
		member_called_dead(&s->m, name_of(&step->name), arg);
		break;
	case OP_REINCARNATE:
		member_reincarnate(&s->m, arg, s->now);
		break;
	case OP_LEAVE:
		member_set_draining(&s->m, step->arg, s->now);
		break;
	case OP_STALL:
	case OP_END:
		break;
	}
}

static void play(sim_t *s, const step_t *steps)
{
	for (; steps->op; steps++) {
		if (steps->op == OP_STALL)
			s->now = steps->at;
		tick_to(s, steps->at);
		apply(s, steps);
	}
}

/* Finds a key for which the names of ORDER weigh most, in that order. */
static const char *key_for(const char *order, char *buf)
{
	static const char all[] = "abcd";

	for (int n = 0;; n++) {
		rendezvous_t last = { .weight = G_MAXUINT64 };
		bool is_ok = true;

		g_snprintf(buf, 16, "k%d", n);
		for (const char *o = order; *o && is_ok; o++) {
			rendezvous_t r =
				rendezvous_weigh(name_of(o), str_from(buf));

			is_ok = r.weight < last.weight;
			last = r;
		}
		for (const char *o = all; *o && is_ok; o++) {
			rendezvous_t r =
				rendezvous_weigh(name_of(o), str_from(buf));

			is_ok = strchr(order, *o) || r.weight < last.weight;
		}
		if (is_ok)
			return buf;
	}
}

typedef struct owner_case {
	const char *what;
	step_t steps[8];
	int at;
	const char *order;
	int mint_age;
	member_owner_kind_t kind;
	char peer;
	int quiet_until;
} owner_case_t;

static void check_owner(const owner_case_t *c)
{
	sim_t s;
	char key[16];
	member_owner_t owner;

	sim_init(&s);
	play(&s, c->steps);
	tick_to(&s, c->at);
	member_key_owner(&s.m, str_from(key_for(c->order, key)), STR_LIT("z1"),
			 c->mint_age, s.now, &owner);
	ck_assert_msg(owner.kind == c->kind, "%s: kind %d", c->what,
		      owner.kind);
	ck_assert_msg(!c->peer || owner.vm.name[0] == c->peer, "%s: peer %s",
		      c->what, owner.vm.name);
	ck_assert_msg(!c->quiet_until || owner.quiet_until == c->quiet_until,
		      "%s: quiet until %d", c->what, (int)owner.quiet_until);
	member_finish(&s.m);
}

#define CHECK_OWNERS(cases)                                      \
	do {                                                     \
		for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) \
			check_owner(&(cases)[i]);                \
	} while (0)

#define B_BEATS                    \
	{                          \
		0, OP_BEAT, 'b', 1 \
	}
#define C_BEATS                    \
	{                          \
		0, OP_BEAT, 'c', 1 \
	}

START_TEST(newly_started_is_quiet)
{
	static const owner_case_t cases[] = {
		{ "at start", {}, 0, "a", -1, MEMBER_OWNER_QUIET, 0, QUIET },
		{ "to the end",
		  {},
		  QUIET - 1,
		  "a",
		  -1,
		  MEMBER_OWNER_QUIET,
		  0,
		  0 },
		{ "afterwards", {}, QUIET, "a", -1, MEMBER_OWNER_SELF, 0, 0 },
		{ "peers' keys",
		  { B_BEATS },
		  1,
		  "b",
		  -1,
		  MEMBER_OWNER_PEER,
		  'b',
		  0 },
	};

	CHECK_OWNERS(cases);
}
END_TEST

START_TEST(minted_after_take_over_runs_at_once)
{
	static const owner_case_t cases[] = {
		{ "old", {}, 50, "a", 49, MEMBER_OWNER_QUIET, 0, 0 },
		{ "at margin",
		  {},
		  50,
		  "a",
		  50 - MARGIN,
		  MEMBER_OWNER_QUIET,
		  0,
		  0 },
		{ "past it",
		  {},
		  50,
		  "a",
		  49 - MARGIN,
		  MEMBER_OWNER_SELF,
		  0,
		  0 },
		{ "of a dead peer, since its death",
		  { B_BEATS, { 150, OP_STOP, 'b', 0 } },
		  190,
		  "ba",
		  25,
		  MEMBER_OWNER_QUIET,
		  0,
		  0 },
		{ "fresh key of a dead peer",
		  { B_BEATS, { 150, OP_STOP, 'b', 0 } },
		  190,
		  "ba",
		  5,
		  MEMBER_OWNER_SELF,
		  0,
		  0 },
	};

	CHECK_OWNERS(cases);
}
END_TEST

START_TEST(reincarnated_is_quiet)
{
	static const owner_case_t cases[] = {
		{ "own keys",
		  { { 150, OP_REINCARNATE, 0, 2 } },
		  151,
		  "a",
		  -1,
		  MEMBER_OWNER_QUIET,
		  0,
		  150 + QUIET },
		{ "end of a drain",
		  { { 150, OP_LEAVE, 0, 1 }, { 160, OP_LEAVE, 0, 0 } },
		  170,
		  "a",
		  -1,
		  MEMBER_OWNER_QUIET,
		  0,
		  160 + QUIET },
	};

	CHECK_OWNERS(cases);
}
END_TEST

START_TEST(keys_of_dead_peer_are_quiet)
{
	static const owner_case_t cases[] = {
		{ "not yet dead",
		  { B_BEATS, { 150, OP_STOP, 'b', 0 } },
		  160,
		  "ba",
		  -1,
		  MEMBER_OWNER_PEER,
		  'b',
		  0 },
		{ "dead",
		  { B_BEATS, { 150, OP_STOP, 'b', 0 } },
		  170,
		  "ba",
		  -1,
		  MEMBER_OWNER_QUIET,
		  0,
		  165 + QUIET },
		{ "long dead",
		  { B_BEATS, { 150, OP_STOP, 'b', 0 } },
		  166 + QUIET,
		  "ba",
		  -1,
		  MEMBER_OWNER_SELF,
		  0,
		  0 },
		{ "own keys stay",
		  { B_BEATS, { 150, OP_STOP, 'b', 0 } },
		  170,
		  "ab",
		  -1,
		  MEMBER_OWNER_SELF,
		  0,
		  0 },
		{ "next in order",
		  { B_BEATS, C_BEATS, { 150, OP_STOP, 'b', 0 } },
		  170,
		  "bc",
		  -1,
		  MEMBER_OWNER_PEER,
		  'c',
		  0 },
	};

	CHECK_OWNERS(cases);
}
END_TEST

START_TEST(latest_of_several_owners_counts)
{
	static const owner_case_t cases[] = {
		{ "two dead in turn",
		  { B_BEATS,
		    C_BEATS,
		    { 150, OP_STOP, 'b', 0 },
		    { 200, OP_STOP, 'c', 0 } },
		  220,
		  "bca",
		  -1,
		  MEMBER_OWNER_QUIET,
		  0,
		  215 + QUIET },
		{ "key minted while c had it",
		  { B_BEATS,
		    C_BEATS,
		    { 150, OP_STOP, 'b', 0 },
		    { 200, OP_STOP, 'c', 0 } },
		  220,
		  "bca",
		  30,
		  MEMBER_OWNER_QUIET,
		  0,
		  0 },
		{ "a lesser one's death moves nothing",
		  { B_BEATS,
		    C_BEATS,
		    { 150, OP_STOP, 'b', 0 },
		    { 200, OP_STOP, 'c', 0 } },
		  220,
		  "bac",
		  -1,
		  MEMBER_OWNER_QUIET,
		  0,
		  165 + QUIET },
	};

	CHECK_OWNERS(cases);
}
END_TEST

START_TEST(broken_link_moves_nothing)
{
	static const owner_case_t cases[] = {
		{ "a new connection works",
		  { B_BEATS, { 150, OP_MUTE, 'b', 0 } },
		  300,
		  "ba",
		  -1,
		  MEMBER_OWNER_PEER,
		  'b',
		  0 },
		{ "another peer hears it",
		  { B_BEATS,
		    C_BEATS,
		    { 100, OP_REPORTED, 'b', 1 },
		    { 150, OP_STOP, 'b', 0 } },
		  300,
		  "ba",
		  -1,
		  MEMBER_OWNER_PEER,
		  'b',
		  0 },
		{ "another incarnation is heard",
		  { B_BEATS,
		    C_BEATS,
		    { 150, OP_STOP, 'b', 0 },
		    { 150, OP_REPORTED, 'b', 2 } },
		  300,
		  "ba",
		  -1,
		  MEMBER_OWNER_SELF,
		  0,
		  0 },
		{ "the probe is not answered",
		  { B_BEATS, { 150, OP_HANG, 'b', 0 } },
		  300,
		  "ba",
		  -1,
		  MEMBER_OWNER_PEER,
		  'b',
		  0 },
	};

	CHECK_OWNERS(cases);
}
END_TEST

START_TEST(dead_incarnation_stays_dead)
{
	static const owner_case_t cases[] = {
		{ "same incarnation",
		  { B_BEATS,
		    { 150, OP_STOP, 'b', 0 },
		    { 300, OP_BEAT, 'b', 1 } },
		  310,
		  "ba",
		  -1,
		  MEMBER_OWNER_SELF,
		  0,
		  0 },
		{ "new incarnation",
		  { B_BEATS,
		    { 150, OP_STOP, 'b', 0 },
		    { 300, OP_BEAT, 'b', 2 } },
		  310,
		  "ba",
		  -1,
		  MEMBER_OWNER_PEER,
		  'b',
		  0 },
	};
	sim_t s;

	CHECK_OWNERS(cases);
	sim_init(&s);
	tick_to(&s, 50);
	member_called_dead(&s.m, STR_LIT("a"), 9);
	member_called_dead(&s.m, STR_LIT("b"), 1);
	ck_assert(!member_is_stalled(&s.m, s.now));
	member_called_dead(&s.m, STR_LIT("a"), 1);
	ck_assert(member_is_stalled(&s.m, s.now));
	member_reincarnate(&s.m, 2, s.now);
	ck_assert(!member_is_stalled(&s.m, s.now));
	member_finish(&s.m);
}
END_TEST

START_TEST(only_hand_over_ends_quiet_of_drained)
{
	static const owner_case_t cases[] = {
		{ "without",
		  { B_BEATS,
		    { 150, OP_DRAIN, 'b', 0 },
		    { 200, OP_STOP, 'b', 0 } },
		  220,
		  "ba",
		  -1,
		  MEMBER_OWNER_QUIET,
		  0,
		  215 + QUIET },
		{ "quiet lasts while it drains",
		  { B_BEATS, { 150, OP_DRAIN, 'b', 0 } },
		  400,
		  "ba",
		  -1,
		  MEMBER_OWNER_QUIET,
		  0,
		  0 },
		{ "with",
		  { B_BEATS,
		    { 150, OP_DRAIN, 'b', 0 },
		    { 151, OP_HANDED, 'b', 1 },
		    { 160, OP_STOP, 'b', 0 } },
		  190,
		  "ba",
		  -1,
		  MEMBER_OWNER_SELF,
		  0,
		  0 },
		{ "of another incarnation",
		  { B_BEATS,
		    { 150, OP_DRAIN, 'b', 0 },
		    { 151, OP_HANDED, 'b', 7 },
		    { 160, OP_STOP, 'b', 0 } },
		  190,
		  "ba",
		  -1,
		  MEMBER_OWNER_QUIET,
		  0,
		  0 },
		{ "by one that was itself new",
		  { { 150, OP_BEAT, 'b', 1 },
		    { 170, OP_DRAIN, 'b', 0 },
		    { 171, OP_HANDED, 'b', HANDED(1, 150) },
		    { 180, OP_STOP, 'b', 0 } },
		  200,
		  "ba",
		  -1,
		  MEMBER_OWNER_QUIET,
		  0,
		  150 + QUIET },
		{ "then no longer draining, and killed",
		  { B_BEATS,
		    { 150, OP_DRAIN, 'b', 0 },
		    { 151, OP_HANDED, 'b', 1 },
		    { 160, OP_BEAT, 'b', 1 },
		    { 300, OP_STOP, 'b', 0 } },
		  320,
		  "ba",
		  -1,
		  MEMBER_OWNER_QUIET,
		  0,
		  315 + QUIET },
		{ "then back and killed",
		  { B_BEATS,
		    { 150, OP_DRAIN, 'b', 0 },
		    { 151, OP_HANDED, 'b', 1 },
		    { 160, OP_BEAT, 'b', 2 },
		    { 300, OP_STOP, 'b', 0 } },
		  320,
		  "ba",
		  -1,
		  MEMBER_OWNER_QUIET,
		  0,
		  315 + QUIET },
	};

	CHECK_OWNERS(cases);
}
END_TEST

static void on_gap(void *ctx, str_t name, int64_t age)
{
	g_string_append_printf(ctx, "%.*s%d ", (int)name.len, name.ptr,
			       (int)age);
}

START_TEST(gaps_are_passed_on)
{
	static const struct {
		const char *what;
		step_t steps[6];
		const char *gaps;
	} cases[] = {
		{ "own start", { { 30, OP_BEAT, 'b', 1 } }, "a30 " },
		{ "long ago", { { 150, OP_BEAT, 'b', 1 } }, "" },
		{ "dead peer",
		  { B_BEATS,
		    { 150, OP_STOP, 'b', 0 },
		    { 200, OP_BEAT, 'c', 1 } },
		  "b35 " },
		{ "restarted peer",
		  { B_BEATS,
		    { 150, OP_BEAT, 'b', 2 },
		    { 180, OP_BEAT, 'b', 2 } },
		  "b30 " },
		{ "drained peer",
		  { B_BEATS,
		    { 150, OP_DRAIN, 'b', 0 },
		    { 180, OP_HANDED, 'b', HANDED(1, 120) },
		    { 190, OP_STOP, 'b', 0 },
		    { 210, OP_BEAT, 'c', 1 } },
		  "b90 " },
		{ "drained peer that handed over to others",
		  { B_BEATS,
		    { 150, OP_DRAIN, 'b', 0 },
		    { 170, OP_BEAT, 'c', 1 } },
		  "b1 " },
	};
	sim_t s;

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_autoptr(GString) gaps = g_string_new(NULL);

		sim_init(&s);
		play(&s, cases[i].steps);
		member_each_gap(&s.m, on_gap, gaps, s.now);
		ck_assert_msg(!strcmp(gaps->str, cases[i].gaps), "%s: %s",
			      cases[i].what, gaps->str);
		member_finish(&s.m);
	}
	/* A gap that does not fit counts for every key. */
	sim_init(&s);
	tick_to(&s, 150);
	for (int i = 0; i < 8; i++)
		member_add_gap(&s.m, name_of(&"bcdefghi"[i]), 20, s.now);
	ck_assert_int_eq(member_born_at(&s.m), 0);
	member_add_gap(&s.m, STR_LIT("z"), 30, s.now);
	ck_assert_int_eq(member_born_at(&s.m), 120);
	member_joined(&s.m, 10);
	ck_assert_int_eq(member_born_at(&s.m), 10);
	member_finish(&s.m);
}
END_TEST

START_TEST(draining_owns_nothing)
{
	static const owner_case_t cases[] = {
		{ "to the peer",
		  { B_BEATS, { 150, OP_LEAVE, 0, 1 } },
		  151,
		  "ab",
		  -1,
		  MEMBER_OWNER_PEER,
		  'b',
		  0 },
		{ "alone",
		  { { 150, OP_LEAVE, 0, 1 } },
		  151,
		  "a",
		  -1,
		  MEMBER_OWNER_NONE,
		  0,
		  0 },
	};

	CHECK_OWNERS(cases);
}
END_TEST

START_TEST(stall_is_seen)
{
	sim_t s;

	sim_init(&s);
	play(&s, (step_t[]){ B_BEATS, { 150, OP_BEAT, 'b', 1 }, {} });
	ck_assert(!member_is_stalled(&s.m, s.now));
	play(&s, (step_t[]){ { 170, OP_STOP, 'b', 0 },
			     { 200, OP_STALL, 0, 0 },
			     {} });
	ck_assert(member_is_stalled(&s.m, s.now));
	/* Our own silence must not be taken for the peer's. */
	member_reincarnate(&s.m, 2, s.now);
	member_tick(&s.m, s.now);
	ck_assert(!member_is_stalled(&s.m, s.now));
	ck_assert(member_is_settled(&s.m, s.now + TIMEOUT + 1));
	ck_assert_uint_eq(member_incarnation(&s.m), 2);
	member_finish(&s.m);
}
END_TEST

START_TEST(keys_have_a_home_zone)
{
	static const struct {
		const char *key;
		const char *zone; /* NULL: by hash, one of the zones */
	} cases[] = {
		{ "z1/abc", "z1" }, { "z3/", "z3" },	 { "z9/abc", NULL },
		{ "z1", NULL },	    { "/z1/abc", NULL }, { "", NULL },
	};
	unsigned int seen = 0;
	sim_t s;

	sim_init(&s);
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

START_TEST(foreign_keys_go_to_their_zone)
{
	member_owner_t owner;
	member_vm_t vm = vm_of('x');
	sim_t s;

	sim_init(&s);
	member_key_owner(&s.m, STR_LIT("k"), STR_LIT("z2"), -1, 0, &owner);
	ck_assert_int_eq(owner.kind, MEMBER_OWNER_NONE);
	ck_assert(
		!member_dispatcher(&s.m, STR_LIT("z2"), STR_LIT("s"), 0, &vm));
	/* Listed is better than nothing, heard better than listed. */
	member_set_list(&s.m, &vm, 1, 0);
	member_key_owner(&s.m, STR_LIT("k"), STR_LIT("z2"), -1, 0, &owner);
	ck_assert_int_eq(owner.kind, MEMBER_OWNER_ZONE);
	ck_assert_str_eq(owner.vm.name, "x");
	for (int i = 0; i < 8; i++) {
		char key[2] = { (char)('0' + i), '\0' };

		vm = vm_of('y');
		member_heard(&s.m, &vm, 1, false, 1);
		member_key_owner(&s.m, str_from(key), STR_LIT("z2"), -1, 1,
				 &owner);
		ck_assert_str_eq(owner.vm.name, "y");
	}
	member_finish(&s.m);
}
END_TEST

START_TEST(a_cut_zone_comes_back_as_it_was)
{
	member_state_t state;
	sim_t s;

	sim_init(&s);
	play(&s, (step_t[]){ { 0, OP_BEAT, 'x', 1 },
			     { 50, OP_STOP, 'x', 0 },
			     { 90, OP_BEAT, 'x', 1 },
			     {} });
	ck_assert(member_find(&s.m, STR_LIT("x"), NULL, &state, NULL));
	ck_assert_int_eq(state, MEMBER_DEAD);
	tick_to(&s, 92);
	ck_assert(member_find(&s.m, STR_LIT("x"), NULL, &state, NULL));
	ck_assert_int_eq(state, MEMBER_LIVE);
	member_finish(&s.m);
}
END_TEST

START_TEST(dispatchers_are_live_and_spread)
{
	unsigned int seen = 0;
	member_vm_t vm;
	sim_t s;

	sim_init(&s);
	play(&s, (step_t[]){ B_BEATS,
			     C_BEATS,
			     { 0, OP_BEAT, 'd', 1 },
			     { 20, OP_DRAIN, 'c', 0 },
			     { 20, OP_STOP, 'd', 0 },
			     { 50, OP_BEAT, 'b', 1 },
			     {} });
	for (uint32_t i = 0; i < 32; i++) {
		ck_assert(member_dispatcher(&s.m, STR_LIT("z1"), STR_LIT("s"),
					    i, &vm));
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
	sim_t s;

	sim_init(&s);
	for (int i = 0; i < 12; i++)
		vms[i] = vm_of((char)('b' + i));
	member_set_list(&s.m, vms, 12, 0);
	ck_assert_uint_eq(member_refused(&s.m), 4);
	/* What leaves the list unheard makes room again. */
	member_set_list(&s.m, vms + 10, 2, 1);
	member_set_list(&s.m, vms + 10, 2, 1);
	ck_assert(member_find(&s.m, STR_LIT("m"), NULL, &state, NULL));
	ck_assert_int_eq(state, MEMBER_LISTED);
	ck_assert(!member_find(&s.m, STR_LIT("b"), NULL, NULL, NULL));
	member_finish(&s.m);
}
END_TEST

START_TEST(the_list_kills_nobody)
{
	member_state_t state;
	sim_t s;

	sim_init(&s);
	play(&s, (step_t[]){ B_BEATS, { 20, OP_BEAT, 'b', 1 }, {} });
	member_set_list(&s.m, NULL, 0, 20);
	ck_assert(member_find(&s.m, STR_LIT("b"), NULL, &state, NULL));
	ck_assert_int_eq(state, MEMBER_LIVE);
	ck_assert(s.changes > 0);
	member_finish(&s.m);
}
END_TEST

SUITE_MAIN("member", newly_started_is_quiet,
	   minted_after_take_over_runs_at_once, reincarnated_is_quiet,
	   keys_of_dead_peer_are_quiet, latest_of_several_owners_counts,
	   broken_link_moves_nothing, dead_incarnation_stays_dead,
	   only_hand_over_ends_quiet_of_drained, gaps_are_passed_on,
	   draining_owns_nothing, stall_is_seen, keys_have_a_home_zone,
	   foreign_keys_go_to_their_zone, a_cut_zone_comes_back_as_it_was,
	   dispatchers_are_live_and_spread, table_is_bounded,
	   the_list_kills_nobody)
