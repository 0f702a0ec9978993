/* Messages between daemons are unchanged by encoding and decoding a frame. */
#include <math.h>

#include <glib.h>

#include "daemon/frames.h"
#include "daemon/part_frames.h"
#include "daemon/speed_frames.h"
#include "daemon/vm_frames.h"
#include "tests/lib_suite.h"

static const int64_t now = 1000000;

/* A fake link that stores the frame's bytes. */
static GByteArray *sent;

bool peer_send(peer_t *p, str_t name, const Papaya__Frame *frame)
{
	if (sent)
		g_byte_array_unref(sent);
	sent = g_byte_array_new();
	g_byte_array_set_size(sent, papaya__frame__get_packed_size(frame));
	papaya__frame__pack(frame, sent->data);
	return true;
}

uint32_t peer_send_where(peer_t *p, const Papaya__Frame *frame,
			 bool (*filter)(void *ctx, const char *name), void *ctx)
{
	return peer_send(p, str_from("all"), frame);
}

static Papaya__Frame *received(void)
{
	return papaya__frame__unpack(NULL, sent->len, sent->data);
}

static void fill_capacity(message_t *m, message_type_t type)
{
	memset(m, 0, sizeof(*m));
	m->type = type;
	m->capacity.want = (want_t){ .id = { 7, 9 },
				     .prompt_tokens = 11,
				     .output_tokens = 12,
				     .prefix_hash = 13,
				     .prefix_tokens = 14,
				     .session_hash = 15,
				     .session_tokens = 16,
				     .max_pause_ms = 17,
				     .deadline = now + 5000000 };
	g_strlcpy(m->capacity.service, "model", MEMBER_NAME_SIZE);
	g_strlcpy(m->capacity.tier, "drafts", MEMBER_NAME_SIZE);
	g_strlcpy(m->capacity.want.team, "agents", DISPATCHER_NAME_SIZE);
	g_strlcpy(m->capacity.want.avoid, "r1", DISPATCHER_NAME_SIZE);
	g_strlcpy(m->capacity.running_on, "r2", MEMBER_NAME_SIZE);
	g_strlcpy(m->capacity.runner.name, "r3", DISPATCHER_NAME_SIZE);
	g_strlcpy(m->capacity.runner.address, "127.0.0.1:5",
		  DISPATCHER_NAME_SIZE);
	m->capacity.reason = REFUSE_SHED;
	m->capacity.retry_after_ms = 1500;
	m->capacity.limit =
		(runner_limit_t){ RUNNER_LIMIT_LIFTED, 0, now - 7000 };
	m->capacity.done = (done_t){ DONE_BROKEN,
				     1,
				     2,
				     3,
				     true,
				     4000,
				     { RUNNER_LIMIT_NAMED, 1.5, now - 3000 },
				     { now - 2000, 5, 6, 7, 250 },
				     true,
				     12,
				     true,
				     6000 };
	m->capacity.runner.born_ms = INT64_C(1764800000000);
	m->capacity.hops = 1;
	m->capacity.is_resent = true;
}

static void check_limit(const runner_limit_t *limit,
			const runner_limit_t *expected)
{
	ck_assert_int_eq(limit->state, expected->state);
	ck_assert_double_eq(limit->rate, expected->rate);
	ck_assert_int_eq(limit->at, expected->at);
}

static void check_load(const runner_load_t *load, const runner_load_t *expected)
{
	ck_assert_int_eq(load->at, expected->at);
	ck_assert_uint_eq(load->running, expected->running);
	ck_assert_uint_eq(load->waiting, expected->waiting);
	ck_assert_uint_eq(load->slots, expected->slots);
	ck_assert_uint_eq(load->pace, expected->pace);
}

START_TEST(capacity_messages_are_decoded_unchanged)
{
	static const message_type_t types[] = {
		MESSAGE_WANT,	MESSAGE_GRANT,	  MESSAGE_REFUSE,
		MESSAGE_CANCEL, MESSAGE_WITHDRAW, MESSAGE_FIRST_TOKEN,
		MESSAGE_DONE,
	};

	for (size_t i = 0; i < G_N_ELEMENTS(types); i++) {
		message_t in, out;
		Papaya__Frame *frame;

		fill_capacity(&in, types[i]);
		ck_assert(frames_send_capacity(NULL, STR_LIT("d2"), &in, now));
		frame = received();
		ck_assert(frames_read_capacity(frame, "d1", now, &out));
		ck_assert_int_eq(out.type, types[i]);
		ck_assert_str_eq(out.capacity.peer, "d1");
		ck_assert_uint_eq(out.capacity.want.id.attempt, 9);
		if (types[i] == MESSAGE_WANT) {
			ck_assert_int_eq(out.capacity.want.deadline,
					 in.capacity.want.deadline);
			ck_assert_uint_eq(out.capacity.want.max_pause_ms, 17);
			ck_assert_str_eq(out.capacity.want.avoid, "r1");
			ck_assert_str_eq(out.capacity.running_on, "r2");
			ck_assert(out.capacity.is_resent);
		} else if (types[i] == MESSAGE_GRANT) {
			ck_assert_str_eq(out.capacity.runner.address,
					 "127.0.0.1:5");
			ck_assert_int_eq(out.capacity.runner.born_ms,
					 in.capacity.runner.born_ms);
			check_limit(&out.capacity.limit, &in.capacity.limit);
		} else if (types[i] == MESSAGE_REFUSE) {
			ck_assert_int_eq(out.capacity.reason, REFUSE_SHED);
		} else if (types[i] == MESSAGE_DONE) {
			ck_assert_int_eq(out.capacity.done.result, DONE_BROKEN);
			ck_assert_uint_eq(out.capacity.done.cached_tokens, 3);
			ck_assert(out.capacity.done.says_leaving);
			ck_assert_uint_eq(out.capacity.done.pause_ms, 4000);
			check_limit(&out.capacity.done.limit,
				    &in.capacity.done.limit);
			check_load(&out.capacity.done.load,
				   &in.capacity.done.load);
			ck_assert_uint_eq(out.capacity.done.connection_ms,
					  6000);
			ck_assert(out.capacity.done.is_brittle);
			ck_assert_uint_eq(out.capacity.done.refusals_borne, 12);
			ck_assert(out.capacity.done.is_refused);
		} else if (types[i] == MESSAGE_FIRST_TOKEN) {
			check_load(&out.capacity.done.load,
				   &in.capacity.done.load);
			ck_assert(out.capacity.done.says_leaving);
			check_limit(&out.capacity.done.limit,
				    &in.capacity.done.limit);
			ck_assert(out.capacity.done.is_brittle);
			ck_assert_uint_eq(out.capacity.done.refusals_borne, 12);
		}
		papaya__frame__free_unpacked(frame, NULL);
	}
}
END_TEST

START_TEST(an_implausible_load_of_a_peer_is_ignored)
{
	static const runner_load_t loads[] = {
		{ 1, 4000000000U, 0, 8, 100 },
		{ 1, 1, 0, 8, 1 },
		{ 1, 1, 0, 8, UINT32_MAX },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(loads); i++) {
		message_t in, out;
		Papaya__Frame *frame;

		fill_capacity(&in, MESSAGE_DONE);
		in.capacity.done.load = loads[i];
		ck_assert(frames_send_capacity(NULL, STR_LIT("d2"), &in, now));
		frame = received();
		ck_assert(frames_read_capacity(frame, "d1", now, &out));
		ck_assert_int_eq(out.capacity.done.load.at, 0);
		papaya__frame__free_unpacked(frame, NULL);
	}
}
END_TEST

START_TEST(fields_out_of_range_are_refused)
{
	Papaya__Frame frame = PAPAYA__FRAME__INIT;
	Papaya__Refuse refuse = PAPAYA__REFUSE__INIT;
	Papaya__Done done = PAPAYA__DONE__INIT;
	Papaya__Want want = PAPAYA__WANT__INIT;
	char name[MEMBER_NAME_SIZE + 1];
	message_t out;

	refuse.reason = REFUSE_REASONS;
	frame.body_case = PAPAYA__FRAME__BODY_REFUSE;
	frame.refuse = &refuse;
	ck_assert(!frames_read_capacity(&frame, "d", now, &out));
	done.result = DONE_LEAVING + 1;
	frame.body_case = PAPAYA__FRAME__BODY_DONE;
	frame.done = &done;
	ck_assert(!frames_read_capacity(&frame, "d", now, &out));
	memset(name, 'x', sizeof(name));
	name[MEMBER_NAME_SIZE] = '\0';
	want.service = name;
	frame.body_case = PAPAYA__FRAME__BODY_WANT;
	frame.want = &want;
	ck_assert(!frames_read_capacity(&frame, "d", now, &out));
	frame.body_case = PAPAYA__FRAME__BODY__NOT_SET;
	ck_assert(!frames_read_capacity(&frame, "d", now, &out));
	ck_assert(!frames_read_limit(&frame, "d", &out));
}
END_TEST

START_TEST(limits_are_decoded_unchanged)
{
	static const message_type_t types[] = { MESSAGE_LIMIT_ASK,
						MESSAGE_LIMIT_ANSWER,
						MESSAGE_LIMIT_RELEASE };

	for (size_t i = 0; i < G_N_ELEMENTS(types); i++) {
		message_t in = { .type = types[i],
				 .limit = { .attempt = 3,
					    .owner = 4,
					    .is_ok = true,
					    .retry_after_ms = 5 } };
		message_t out;
		Papaya__Frame *frame;

		g_strlcpy(in.limit.team, "agents", MEMBER_NAME_SIZE);
		ck_assert(frames_send_limit(NULL, STR_LIT("d2"), &in));
		frame = received();
		ck_assert(frames_read_limit(frame, "d1", &out));
		ck_assert_int_eq(out.type, types[i]);
		ck_assert_str_eq(out.limit.team, "agents");
		ck_assert(out.limit.is_ok ==
			  (types[i] == MESSAGE_LIMIT_ANSWER));
		papaya__frame__free_unpacked(frame, NULL);
	}
}
END_TEST

START_TEST(the_vm_list_is_decoded_unchanged)
{
	member_vm_t entry = { "d1", "z1", "1:1", "1:2", "1:3", true };
	vm_list_runner_t runner = { { .name = "r1",
				      .address = "2:1",
				      .generation = 2,
				      .is_leaving = true },
				    "desk",
				    "z2",
				    true };
	vm_list_t *in = vm_list_new(&entry, 1, &runner, 1);
	Papaya__Frame *frame;
	vm_list_t *out;

	ck_assert(vm_frames_send(NULL, STR_LIT("d2"), in));
	frame = received();
	out = vm_frames_read(frame->vm_list);
	ck_assert_uint_eq(out->daemons->len, 1);
	ck_assert_uint_eq(out->runners->len, 1);
	ck_assert_str_eq(
		g_array_index(out->daemons, member_vm_t, 0).admin_address,
		"1:3");
	ck_assert(g_array_index(out->daemons, member_vm_t, 0).is_leaving);
	ck_assert_str_eq(
		g_array_index(out->runners, vm_list_runner_t, 0).service,
		"desk");
	ck_assert_uint_eq(g_array_index(out->runners, vm_list_runner_t, 0)
				  .runner.generation,
			  2);
	ck_assert(g_array_index(out->runners, vm_list_runner_t, 0).has_fencing);
	papaya__frame__free_unpacked(frame, NULL);
	vm_list_unref(in);
	vm_list_unref(out);
}
END_TEST

START_TEST(a_limit_that_makes_no_sense_is_not_taken)
{
	static const struct {
		uint32_t state;
		double rate;
	} cases[] = { { 3, 1 }, { 1, -1 }, { 1, INFINITY }, { 1, NAN } };

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		Papaya__Frame frame = PAPAYA__FRAME__INIT;
		Papaya__Done done = PAPAYA__DONE__INIT;
		Papaya__RunnerLimit limit = PAPAYA__RUNNER_LIMIT__INIT;
		message_t out;

		limit.state = cases[i].state;
		limit.rate = cases[i].rate;
		done.limit = &limit;
		done.service = (char *)"model";
		frame.body_case = PAPAYA__FRAME__BODY_DONE;
		frame.done = &done;
		ck_assert(frames_read_capacity(&frame, "d1", now, &out));
		ck_assert_int_eq(out.capacity.done.limit.state,
				 RUNNER_LIMIT_UNKNOWN);
	}
}
END_TEST

static message_t decoded_notice(const message_part_t *notice)
{
	Papaya__Frame *frame;
	message_t m;

	part_frames_send(NULL, notice, now, NULL, NULL);
	frame = received();
	ck_assert(part_frames_read(frame, now, &m));
	ck_assert_int_eq(m.type, MESSAGE_PART_NOTICE);
	ck_assert_int_eq(m.part.kind, notice->kind);
	papaya__frame__free_unpacked(frame, NULL);
	return m;
}

START_TEST(part_notices_are_decoded_unchanged)
{
	static const prompt_parts_t parts = { .ids = { 1, UINT64_MAX },
					      .n = 2 };
	message_part_t crash = { .kind = PART_NOTICE_CRASH,
				 .crash = { UINT64_MAX, 5, parts,
					    now - 70000 } };
	message_part_t held = { .kind = PART_NOTICE_QUARANTINE,
				.entry = { .part = 1,
					   .common = parts,
					   .until = now + 9000,
					   .times = 3 } };
	message_part_t alive = crash;
	message_t m = decoded_notice(&crash);

	ck_assert_uint_eq(m.part.crash.runner, UINT64_MAX);
	ck_assert_uint_eq(m.part.crash.request, 5);
	ck_assert_uint_eq(m.part.crash.parts.n, 2);
	ck_assert_uint_eq(m.part.crash.parts.ids[1], UINT64_MAX);
	ck_assert_int_eq(m.part.crash.at, now - 70000);
	alive.kind = PART_NOTICE_ALIVE;
	m = decoded_notice(&alive);
	ck_assert_uint_eq(m.part.crash.runner, UINT64_MAX);
	ck_assert_uint_eq(m.part.crash.request, 5);
	ck_assert_uint_eq(m.part.crash.parts.n, 2);
	ck_assert_int_eq(m.part.crash.at, now - 70000);
	m = decoded_notice(&held);
	ck_assert_uint_eq(m.part.entry.part, 1);
	ck_assert_uint_eq(m.part.entry.common.n, 2);
	ck_assert_int_eq(m.part.entry.until, now + 9000);
	ck_assert_uint_eq(m.part.entry.times, 3);
}
END_TEST

START_TEST(part_notices_out_of_range_are_refused)
{
	uint64_t parts[PROMPT_MAX_PARTS + 1] = { 0 };
	Papaya__Frame frame = PAPAYA__FRAME__INIT;
	Papaya__PartNotice notice = PAPAYA__PART_NOTICE__INIT;
	message_t m;

	ck_assert(!part_frames_read(&frame, now, &m));
	frame.body_case = PAPAYA__FRAME__BODY_PART_NOTICE;
	frame.part_notice = &notice;
	ck_assert(!part_frames_read(&frame, now, &m));
	notice.parts = parts;
	notice.n_parts = G_N_ELEMENTS(parts);
	ck_assert(part_frames_read(&frame, now, &m));
	ck_assert_uint_eq(m.part.crash.parts.n, PROMPT_MAX_PARTS);
	notice.kind = PART_NOTICE_KINDS;
	ck_assert(!part_frames_read(&frame, now, &m));
}
END_TEST

START_TEST(learned_speeds_are_decoded_unchanged)
{
	runner_digest_t digests[] = {
		{ .name = "r1",
		  .born_ms = -3,
		  .age_ms = 70,
		  .usual_pace = 4,
		  .n_paces = 9,
		  .speed = { .prefill = { 1, 2, 3, 4, 5 },
			     .decode = { 6, 7, 8, 9, 10 } } },
		{ .name = "r2", .speed.decode.weight = NAN },
		{ .name = "r3", .age_ms = UINT32_MAX },
		{ .name = "r4", .speed.decode = { 1e-30, 0, 1e30, 0, 0 } },
		{ .name = "r5", .speed.decode = { 1e30, 1, 1, 1, 1 } },
		{ .name = "r6", .speed.prefill = { 1, 3, 1, 2, 1 } },
		{ .name = "r7", .usual_pace = 1e30 },
	};
	message_speeds_t speeds = { .service = "s#1/2" };
	const runner_digest_t *read;
	Papaya__Frame *frame;
	message_t m;

	speeds.digests = g_array_new(FALSE, FALSE, sizeof(runner_digest_t));
	g_array_append_vals(speeds.digests, digests, G_N_ELEMENTS(digests));
	ck_assert(speed_frames_send(NULL, STR_LIT("d"), &speeds));
	frame = received();
	ck_assert(speed_frames_read(frame, &m));
	ck_assert_str_eq(m.speeds.service, "s#1/2");
	/* Those with figures that make no sense are left out. */
	ck_assert_uint_eq(m.speeds.digests->len, 1);
	read = &g_array_index(m.speeds.digests, runner_digest_t, 0);
	ck_assert_str_eq(read->name, "r1");
	ck_assert_int_eq(read->born_ms, -3);
	ck_assert_uint_eq(read->age_ms, 70);
	ck_assert_double_eq(read->speed.prefill.xx, 4);
	ck_assert_double_eq(read->speed.decode.weight, 6);
	ck_assert_double_eq(read->usual_pace, 4);
	ck_assert_uint_eq(read->n_paces, 9);
	message_finish(&m);
	g_array_unref(speeds.digests);
	papaya__frame__free_unpacked(frame, NULL);
}
END_TEST

SUITE_MAIN("frames", part_notices_are_decoded_unchanged,
	   part_notices_out_of_range_are_refused,
	   a_limit_that_makes_no_sense_is_not_taken,
	   capacity_messages_are_decoded_unchanged,
	   an_implausible_load_of_a_peer_is_ignored,
	   fields_out_of_range_are_refused, limits_are_decoded_unchanged,
	   the_vm_list_is_decoded_unchanged,
	   learned_speeds_are_decoded_unchanged)
