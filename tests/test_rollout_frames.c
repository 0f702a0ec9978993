/* Messages about roll-outs are unchanged by encoding and decoding a frame. */
#include "daemon/rollout_frames.h"
#include "tests/lib_suite.h"

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

static bool receive(message_t *out)
{
	Papaya__Frame *frame =
		papaya__frame__unpack(NULL, sent->len, sent->data);
	bool is_ok = rollout_frames_read(frame, "d1", out);

	papaya__frame__free_unpacked(frame, NULL);
	return is_ok;
}

static message_t new_report(void)
{
	message_t m = { .type = MESSAGE_ROLLOUT_REPORT };

	g_strlcpy(m.rollout.service, "desk", sizeof(m.rollout.service));
	m.rollout.report = (rollout_report_t){
		.order = UINT64_MAX,
		.counts = { 2, 3, 4, 5, 6 },
		.stage = ROLLOUT_MOVED,
		.term = 7,
		.running = 8,
		.longest = 9000,
		.stamp = 10,
	};
	m.rollout.tallies = g_array_new(FALSE, FALSE, sizeof(rollout_tally_t));
	return m;
}

static void add_tally(message_t *m, uint32_t bucket, uint32_t n)
{
	rollout_tally_t tally = {
		.answer = { .route = 1,
			    .runner = 2,
			    .timing = ROLLOUT_PACE,
			    .bucket = bucket,
			    .is_target = true,
			    .has_failed = true },
		.n = n,
	};

	g_array_append_val(m->rollout.tallies, tally);
}

START_TEST(a_report_is_unchanged)
{
	message_t m = new_report(), out;
	const rollout_tally_t *t;

	add_tally(&m, 3, 4);
	ck_assert(rollout_frames_send(NULL, STR_LIT("d"), &m));
	ck_assert(receive(&out));
	ck_assert_int_eq(out.type, MESSAGE_ROLLOUT_REPORT);
	ck_assert_str_eq(out.rollout.peer, "d1");
	ck_assert_str_eq(out.rollout.service, "desk");
	ck_assert_mem_eq(&out.rollout.report.counts, &m.rollout.report.counts,
			 sizeof(rollout_counts_t));
	ck_assert_uint_eq(out.rollout.report.order, UINT64_MAX);
	ck_assert_int_eq(out.rollout.report.stage, ROLLOUT_MOVED);
	ck_assert_uint_eq(out.rollout.report.term, 7);
	ck_assert_uint_eq(out.rollout.report.running, 8);
	ck_assert_int_eq(out.rollout.report.longest, 9000);
	ck_assert_int_eq(out.rollout.report.stamp, 10);
	ck_assert_uint_eq(out.rollout.tallies->len, 1);
	t = &g_array_index(out.rollout.tallies, rollout_tally_t, 0);
	ck_assert_uint_eq(t->answer.route, 1);
	ck_assert_uint_eq(t->answer.runner, 2);
	ck_assert_int_eq(t->answer.timing, ROLLOUT_PACE);
	ck_assert_uint_eq(t->answer.bucket, 3);
	ck_assert(t->answer.is_target && t->answer.has_failed);
	ck_assert_uint_eq(t->n, 4);
	message_finish(&m);
	message_finish(&out);
}
END_TEST

/* Guards against indices out of range from other builds. */
START_TEST(fields_out_of_range_are_refused)
{
	message_t m = new_report(), out;

	add_tally(&m, ROLLOUT_BUCKETS, 1);
	add_tally(&m, 0, UINT32_MAX);
	rollout_frames_send(NULL, STR_LIT("d"), &m);
	ck_assert(receive(&out));
	ck_assert_uint_eq(out.rollout.tallies->len, 0);
	message_finish(&out);
	m.rollout.report.stage = ROLLOUT_STAGES;
	rollout_frames_send(NULL, STR_LIT("d"), &m);
	ck_assert(!receive(&out));
	message_finish(&m);
}
END_TEST

START_TEST(what_is_told_is_unchanged)
{
	message_t m = { .type = MESSAGE_ROLLOUT_TOLD }, out;

	g_strlcpy(m.rollout.service, "desk", sizeof(m.rollout.service));
	m.rollout.told = (rollout_told_t){ .order = 1,
					   .term = 2,
					   .granter = 3,
					   .stage = ROLLOUT_TAKEN_BACK,
					   .granted = 4,
					   .process = 5,
					   .stamp = -6,
					   .decided_ms = 1700000000000 };
	ck_assert(rollout_frames_send(NULL, STR_LIT("d"), &m));
	ck_assert(receive(&out));
	ck_assert_int_eq(out.type, MESSAGE_ROLLOUT_TOLD);
	ck_assert_uint_eq(out.rollout.told.order, 1);
	ck_assert_uint_eq(out.rollout.told.term, 2);
	ck_assert_uint_eq(out.rollout.told.granter, 3);
	ck_assert_int_eq(out.rollout.told.stage, ROLLOUT_TAKEN_BACK);
	ck_assert_uint_eq(out.rollout.told.granted, 4);
	ck_assert_uint_eq(out.rollout.told.process, 5);
	ck_assert_int_eq(out.rollout.told.stamp, -6);
	ck_assert_int_eq(out.rollout.told.decided_ms, 1700000000000);
}
END_TEST

SUITE_MAIN("rollout_frames", a_report_is_unchanged,
	   fields_out_of_range_are_refused, what_is_told_is_unchanged)
