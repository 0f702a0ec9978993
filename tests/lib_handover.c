#include "tests/lib_handover.h"

#include <check.h>
#include <stdio.h>
#include <stdlib.h>

#include "core/rendezvous.h"
#include "net/handover_frame.h"

void handover_sim_find_key(const char *order, int nth, char *buf)
{
	for (int n = 0;; n++) {
		rendezvous_t last = { .weight = G_MAXUINT64 };
		bool is_ok = true;

		g_snprintf(buf, 16, "k%d", n);
		for (const char *o = order; *o && is_ok; o++) {
			rendezvous_t r = rendezvous_weigh((str_t){ o, 1 },
							  str_from(buf));

			is_ok = r.weight < last.weight;
			last = r;
		}
		for (char c = 'a'; c < 'a' + N_DAEMONS && is_ok; c++) {
			rendezvous_t r = rendezvous_weigh((str_t){ &c, 1 },
							  str_from(buf));

			is_ok = strchr(order, c) || r.weight < last.weight;
		}
		if (is_ok && !nth--)
			return;
	}
}

static bool wire_send(void *ctx, str_t name, const Papaya__Frame *frame)
{
	daemon_sim_t *d = ctx;
	int from = d->vm.name[0] - 'a', to = name.ptr[0] - 'a';
	size_t size = papaya__frame__get_packed_size(frame);
	GByteArray *bytes;

	if (d->sim->state[from][to] == WIRE_LOSES)
		return true;
	bytes = g_byte_array_new();
	g_byte_array_set_size(bytes, (guint)size);
	papaya__frame__pack(frame, bytes->data);
	g_queue_push_tail(&d->sim->wire[from][to], bytes);
	return true;
}

static bool on_send_part(void *ctx, str_t name, const handover_part_t *part)
{
	return handover_frame_send_part(wire_send, ctx, name, part);
}

static void on_send_ack(void *ctx, str_t name, uint64_t incarnation,
			uint32_t serial)
{
	handover_frame_send_ack(wire_send, ctx, name, incarnation, serial);
}

static void on_probe(void *ctx, const member_vm_t *vm)
{
	daemon_sim_t *d = ctx;
	const daemon_sim_t *peer = &d->sim->daemons[vm->name[0] - 'a'];

	member_on_probe_result(&d->member, str_from(vm->name),
			       peer->is_up && !peer->is_paused, d->sim->now);
}

void handover_sim_start_daemon(handover_sim_t *s, int i, uint64_t incarnation)
{
	daemon_sim_t *d = &s->daemons[i];
	static const member_config_t config = { HEARTBEAT_TIMEOUT,
						HOLDOFF_PERIOD, KEY_AGE_MARGIN,
						16 };
	static const str_t zones[] = { STR_LIT("z1") };
	static const member_ops_t member_ops = { .probe = on_probe };
	static const handover_ops_t ops = { on_send_part, on_send_ack };
	dedup_config_t dedup = { s->max_entries, 1 << 20, HOLDOFF_PERIOD,
				 HOLDOFF_PERIOD };

	*d = (daemon_sim_t){ .sim = s,
			     .incarnation = incarnation,
			     .started = s->now,
			     .is_up = true };
	d->vm.name[0] = (char)('a' + i);
	g_strlcpy(d->vm.zone, "z1", sizeof(d->vm.zone));
	member_init(&d->member, &config, &d->vm, incarnation, zones, 1,
		    &member_ops, d, s->now);
	dedup_init(&d->dedup, &dedup);
	handover_init(&d->handover, &d->member, &d->dedup, &ops, d);
}

void handover_sim_stop_daemon(daemon_sim_t *d)
{
	if (!d->is_up)
		return;
	d->is_up = false;
	handover_finish(&d->handover);
	dedup_finish(&d->dedup);
	member_finish(&d->member);
}

static void deliver(handover_sim_t *s, int from, int to)
{
	daemon_sim_t *d = &s->daemons[to];
	str_t name = str_from(s->daemons[from].vm.name);
	GByteArray *bytes;

	if (s->state[from][to] == WIRE_HOLDS || d->is_paused)
		return;
	while ((bytes = g_queue_pop_head(&s->wire[from][to]))) {
		Papaya__Frame *f =
			papaya__frame__unpack(NULL, bytes->len, bytes->data);

		g_byte_array_unref(bytes);
		if (d->is_up && f->body_case == PAPAYA__FRAME__BODY_HAND_OVER)
			handover_frame_receive(&d->handover, name, f->hand_over,
					       s->now);
		else if (d->is_up)
			handover_on_ack(&d->handover, name,
					f->hand_over_ack->incarnation,
					f->hand_over_ack->serial);
		papaya__frame__free_unpacked(f, NULL);
	}
}

void handover_sim_heartbeat(handover_sim_t *s, int from, int to)
{
	const daemon_sim_t *d = &s->daemons[from];
	daemon_sim_t *peer = &s->daemons[to];

	if (from != to && d->is_up && peer->is_up && !d->is_paused &&
	    !peer->is_paused && !s->deaf[from][to])
		member_on_heartbeat(&peer->member, &d->vm, d->incarnation,
				    d->drains, s->now);
}

static void tick_daemon(handover_sim_t *s, daemon_sim_t *d)
{
	if (!d->is_up || d->is_paused)
		return;
	if (member_is_stalled(&d->member, s->now)) {
		d->incarnation += 100;
		member_begin_incarnation(&d->member, d->incarnation, s->now);
		handover_reset(&d->handover);
	}
	member_tick(&d->member, s->now);
	handover_tick(&d->handover, s->now);
}

void handover_sim_tick_to(handover_sim_t *s, int64_t to)
{
	for (; s->now < to; s->now += TICK) {
		for (int i = 0; i < N_DAEMONS * N_DAEMONS; i++) {
			handover_sim_heartbeat(s, i / N_DAEMONS, i % N_DAEMONS);
			deliver(s, i / N_DAEMONS, i % N_DAEMONS);
		}
		for (int i = 0; i < N_DAEMONS; i++)
			tick_daemon(s, &s->daemons[i]);
	}
}

static void claim_key(handover_sim_t *s, daemon_sim_t *d)
{
	g_autoptr(GBytes) scoped = g_bytes_new(s->key[0], strlen(s->key[0]));
	dedup_entry_t *entry;
	member_owner_t owner;

	member_key_owner(&d->member, str_from(s->key[0]), STR_LIT("z1"), -1,
			 s->now, &owner);
	ck_assert_int_eq(owner.kind, MEMBER_OWNER_SELF);
	ck_assert_int_eq(
		dedup_claim(&d->dedup, scoped, false, FINGERPRINT, 1, &entry),
		DEDUP_NEW);
}

static void end_request(handover_sim_t *s, daemon_sim_t *d, bool is_run)
{
	g_autoptr(GBytes) scoped = g_bytes_new(s->key[0], strlen(s->key[0]));
	g_autoptr(GBytes) body = g_bytes_new_static("seat 7", 6);
	dedup_entry_t *entry = dedup_find(&d->dedup, scoped);
	dedup_answer_t answer = {
		.outcome = is_run ? OUTCOME_COMPLETED : OUTCOME_NOT_RUN,
		.status = 201,
		.content_type = (char *)"text/plain",
		.body = is_run ? body : NULL,
	};

	ck_assert_ptr_nonnull(entry);
	if (is_run) {
		ck_assert(dedup_mark_dispatched(entry, 1));
		dedup_end(&d->dedup, entry, &answer, s->now);
	} else {
		dedup_release(&d->dedup, entry, s->now);
	}
	handover_on_request_end(&d->handover, scoped, FINGERPRINT, &answer,
				s->now);
}

void handover_sim_apply(handover_sim_t *s, const step_t *step)
{
	int i = step->name - 'a', to = step->arg - 'a';
	daemon_sim_t *d = &s->daemons[i];

	switch (step->op) {
	case OP_START:
		handover_sim_start_daemon(s, i, (uint64_t)step->arg);
		break;
	case OP_KILL:
		handover_sim_stop_daemon(d);
		break;
	case OP_PAUSE:
	case OP_RESUME:
		d->is_paused = step->op == OP_PAUSE;
		break;
	case OP_DRAIN:
		d->drains = true;
		member_set_draining(&d->member, true, s->now);
		break;
	case OP_CLAIM:
		claim_key(s, d);
		break;
	case OP_ENDED:
	case OP_RELEASE:
		end_request(s, d, step->op == OP_ENDED);
		break;
	case OP_LOSE:
	case OP_HOLD:
	case OP_PASS:
		s->state[i][to] = step->op == OP_LOSE ? WIRE_LOSES :
				  step->op == OP_HOLD ? WIRE_HOLDS :
							WIRE_OK;
		break;
	case OP_DEAF:
		s->deaf[i][to] = true;
		break;
	case OP_DONE:
		ck_assert_int_eq(handover_is_done(&d->handover), step->arg);
		break;
	case OP_READY:
		ck_assert_int_eq(
			handover_is_ready(&d->handover, s->now - d->started),
			step->arg);
		break;
	}
}

bool handover_sim_next_step(const char **script, step_t *step)
{
	static const char *const names[] = {
		[OP_START] = "start", [OP_KILL] = "kill",
		[OP_PAUSE] = "pause", [OP_RESUME] = "resume",
		[OP_DRAIN] = "drain", [OP_CLAIM] = "claim",
		[OP_ENDED] = "ended", [OP_RELEASE] = "release",
		[OP_LOSE] = "lose",   [OP_HOLD] = "hold",
		[OP_PASS] = "pass",   [OP_DEAF] = "deaf",
		[OP_DONE] = "done",   [OP_READY] = "ready",
	};
	char op[16] = "", arg[4] = "";
	size_t len = strcspn(*script, ",");
	g_autofree char *text = g_strndup(*script, len);

	if (!len)
		return false;
	ck_assert_msg(sscanf(text, "%d %15s %c %3s", &step->at, op, &step->name,
			     arg) >= 3,
		      "%s", text);
	step->arg = g_ascii_isdigit(arg[0]) ? atoi(arg) : arg[0];
	step->op = OP_START;
	while (strcmp(names[step->op], op))
		ck_assert_msg(++step->op < G_N_ELEMENTS(names), "%s", text);
	*script += len + strspn(*script + len, ", ");
	return true;
}

void handover_sim_finish(handover_sim_t *s)
{
	for (int i = 0; i < N_DAEMONS; i++)
		handover_sim_stop_daemon(&s->daemons[i]);
	for (int i = 0; i < N_DAEMONS * N_DAEMONS; i++)
		g_queue_clear_full(&s->wire[i / N_DAEMONS][i % N_DAEMONS],
				   (GDestroyNotify)g_byte_array_unref);
}
