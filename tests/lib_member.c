#include "tests/lib_member.h"

#include <check.h>
#include <stdio.h>

#include "core/rendezvous.h"

static const member_config_t config = { HEARTBEAT_TIMEOUT, HOLDOFF_PERIOD,
					KEY_AGE_MARGIN, 8 };

member_vm_t member_sim_vm_of(char name)
{
	member_vm_t vm = { .zone = "z1" };

	vm.name[0] = name;
	g_strlcpy(vm.peer_address, "10.0.0.1:1", sizeof(vm.peer_address));
	if (name >= 'x')
		g_strlcpy(vm.zone, "z2", sizeof(vm.zone));
	return vm;
}

static void on_probe(void *ctx, const member_vm_t *vm)
{
	member_sim_t *s = ctx;

	s->probes++;
	s->pending = vm->name[0] - 'a';
}

static void on_changed(void *ctx)
{
	member_sim_t *s = ctx;

	s->changes++;
}

void member_sim_init(member_sim_t *s)
{
	static const str_t zones[] = { STR_LIT("z1"), STR_LIT("z2"),
				       STR_LIT("z3") };
	static const member_ops_t ops = { on_probe, on_changed };
	member_vm_t self = member_sim_vm_of('a');

	*s = (member_sim_t){ .pending = -1 };
	member_init(&s->m, &config, &self, 1, zones, 3, &ops, s, 0);
}

str_t member_sim_name_of(const char *c)
{
	return (str_t){ c, 1 };
}

static void send_heartbeats(member_sim_t *s)
{
	for (int i = 0; i < MAX_PEERS; i++) {
		const peer_sim_t *p = &s->peers[i];
		char name = (char)('a' + i);
		member_vm_t vm = member_sim_vm_of(name);

		if (p->sends_heartbeats)
			member_on_heartbeat(&s->m, &vm, p->incarnation,
					    p->drains, s->now);
		if (p->reported)
			member_on_peer_report(&s->m, STR_LIT("c"),
					      member_sim_name_of(&name),
					      p->incarnation, 1, s->now);
	}
}

/* Live peers report that they get no heartbeats from peers that stopped. */
static void send_gossip(member_sim_t *s)
{
	for (int i = 0; i < MAX_PEERS * MAX_PEERS; i++) {
		char from = (char)('a' + i / MAX_PEERS);
		char about = (char)('a' + i % MAX_PEERS);
		const peer_sim_t *p = &s->peers[from - 'a'];
		member_gossip_t gossip = { .name = member_sim_name_of(&about),
					   .age = -1 };

		if (p->sends_heartbeats && !p->mum &&
		    !s->peers[about - 'a'].sends_heartbeats)
			member_on_gossip(&s->m, member_sim_name_of(&from),
					 &gossip, s->now);
	}
}

static void on_link(void *ctx, const member_vm_t *vm)
{
}

void member_sim_tick_to(member_sim_t *s, int64_t to)
{
	for (; s->now < to; s->now++) {
		send_heartbeats(s);
		send_gossip(s);
		member_each_link(&s->m, on_link, s, s->now);
		member_tick(&s->m, s->now);
		if (s->pending >= 0 && !s->peers[s->pending].probe_hangs) {
			char name = (char)('a' + s->pending);

			member_on_probe_result(&s->m, member_sim_name_of(&name),
					       s->peers[s->pending].probe_ok,
					       s->now);
		}
		s->pending = -1;
	}
}

static void apply(member_sim_t *s, const step_t *step)
{
	peer_sim_t *p = &s->peers[step->name - 'a'];
	uint64_t arg = (uint64_t)step->arg;

	switch (step->op) {
	case OP_BEAT:
		*p = (peer_sim_t){ .incarnation = arg,
				   .sends_heartbeats = true };
		break;
	case OP_DRAIN:
		p->drains = true;
		break;
	case OP_MUM:
		p->mum = true;
		break;
	case OP_STOP:
	case OP_MUTE:
	case OP_HANG:
		p->sends_heartbeats = false;
		p->probe_ok = step->op == OP_MUTE;
		p->probe_hangs = step->op == OP_HANG;
		break;
	case OP_REPORTED:
		p->incarnation = arg;
		p->reported = true;
		break;
	case OP_HANDED:
		member_on_handed_over(&s->m, member_sim_name_of(&step->name),
				      arg, step->since, s->now);
		break;
	case OP_CALLED_DEAD:
		member_on_declared_dead(&s->m, member_sim_name_of(&step->name),
					arg);
		break;
	case OP_REINCARNATE:
		member_begin_incarnation(&s->m, arg, s->now);
		break;
	case OP_LEAVE:
		member_set_draining(&s->m, step->arg, s->now);
		break;
	case OP_STALL:
		break;
	}
}

/* Reads the next step of a script; returns false at its end. */
static bool next_step(const char **script, step_t *step)
{
	static const char *const names[] = {
		"beat",	       "drain",	      "stop",	  "mute",
		"hang",	       "mum",	      "reported", "handed",
		"called-dead", "reincarnate", "stall",	  "leave",
	};
	char op[16] = "";
	size_t len = strcspn(*script, ",");
	g_autofree char *text = g_strndup(*script, len);

	*step = (step_t){ .op = OP_BEAT };
	if (!len)
		return false;
	ck_assert_msg(sscanf(text, "%d %15s %c %d %d", &step->at, op,
			     &step->name, &step->arg, &step->since) >= 3,
		      "%s", text);
	while (strcmp(names[step->op], op))
		ck_assert_msg(++step->op < G_N_ELEMENTS(names), "%s", text);
	*script += len + strspn(*script + len, ", ");
	return true;
}

void member_sim_play(member_sim_t *s, const char *script)
{
	step_t step;

	while (next_step(&script, &step)) {
		if (step.op == OP_STALL)
			s->now = step.at;
		member_sim_tick_to(s, step.at);
		apply(s, &step);
	}
}

const char *member_sim_key_for(const char *order, char *buf)
{
	static const char all[] = "abcd";

	for (int n = 0;; n++) {
		rendezvous_t last = { .weight = G_MAXUINT64 };
		bool is_ok = true;

		g_snprintf(buf, 16, "k%d", n);
		for (const char *o = order; *o && is_ok; o++) {
			rendezvous_t r = rendezvous_weigh(member_sim_name_of(o),
							  str_from(buf));

			is_ok = r.weight < last.weight;
			last = r;
		}
		for (const char *o = all; *o && is_ok; o++) {
			rendezvous_t r = rendezvous_weigh(member_sim_name_of(o),
							  str_from(buf));

			is_ok = strchr(order, *o) || r.weight < last.weight;
		}
		if (is_ok)
			return buf;
	}
}
