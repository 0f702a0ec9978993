/*
 * A planned stop under load must not cut off accepted requests. A request gets
 * its complete answer whatever state it is in when the drain begins, and also
 * if it arrives during the drain while the load balancer still sends callers.
 */
#include "tests/lib_gateway.h"
#include "tests/lib_suite.h"

#define EVENT "c\r\nid: 1\ndata\n\n\r\n"
#define REST "c\r\nid: 2\ndata\n\n\r\n0\r\n\r\n"

enum {
	ROUNDS = 10, /* further callers during the drain */
	ROUND_MS = 200, /* in all shorter than the listener stays open */
	STREAM_MS = 300,
};

static const reply_t whole[] = { { OK, REPLY_KEEP }, { OK, REPLY_KEEP },
				 { OK, REPLY_KEEP }, { OK, REPLY_KEEP },
				 { OK, REPLY_KEEP }, { OK, REPLY_KEEP },
				 { OK, REPLY_KEEP }, { OK, REPLY_KEEP },
				 { OK, REPLY_KEEP }, { OK, REPLY_KEEP },
				 { OK, REPLY_KEEP }, { OK, REPLY_KEEP },
				 { OK, REPLY_KEEP }, { OK, REPLY_KEEP },
				 { OK, REPLY_KEEP }, { OK, REPLY_KEEP } };

static void begin(gateway_bed_t *bed)
{
	gateway_bed_init(bed);
	gateway_bed_configure(bed);
	bed->runners[0].replies = whole;
	bed->runners[1].replies = whole;
}

static void drain(gateway_bed_t *bed)
{
	message_t m = { .type = MESSAGE_DRAIN };

	supervisor_post(&bed->sup, TASK_FRONT, &m);
	gateway_run(bed, 20);
}

START_TEST(requests_in_every_state_are_answered)
{
	gateway_bed_t bed;

	begin(&bed);
	/* One idle connection, one request half sent, one not granted. */
	gateway_send(&bed, 0, ASK("/safe/", "a"));
	gateway_await(&bed, 0, "\r\n\r\nok");
	gateway_send(&bed, 1, ASK_HEAD("/once/", "a"));
	bed.is_mute = true;
	gateway_send(&bed, 2, ASK("/once/", "a"));
	gateway_await_count(&bed, &bed.wants, 2);
	drain(&bed);
	bed.is_mute = false;
	gateway_grant_last(&bed);
	gateway_await(&bed, 2, "\r\n\r\nok");
	gateway_send(&bed, 1, "hi");
	gateway_await(&bed, 1, "\r\n\r\nok");
	g_string_truncate(bed.callers[0].received, 0);
	gateway_send(&bed, 0, ASK("/once/", "a"));
	gateway_await(&bed, 0, "\r\n\r\nok");
	/* Each answer announced that the connection closes. */
	for (int i = 0; i < 3; i++) {
		ck_assert_int_eq(gateway_count(&bed, i, "Connection: close"),
				 1);
		gateway_await_close(&bed, i);
	}
	gateway_bed_finish(&bed);
}
END_TEST

START_TEST(callers_that_arrive_during_a_drain_are_served)
{
	gateway_bed_t bed;

	begin(&bed);
	drain(&bed);
	for (int i = 0; i < ROUNDS; i++) {
		gateway_send(&bed, i % BED_CALLERS, ASK("/once/", "a"));
		gateway_await(&bed, i % BED_CALLERS, "\r\n\r\nok");
		gateway_leave(&bed, i % BED_CALLERS);
		gateway_run(&bed, ROUND_MS);
	}
	gateway_bed_finish(&bed);
}
END_TEST

START_TEST(a_running_stream_continues_to_its_end)
{
	static const reply_t begins[] = { { STREAM EVENT, REPLY_KEEP } };
	gateway_bed_t bed;

	begin(&bed);
	bed.runners[0].replies = begins;
	bed.runners[0].trail = (trail_t){ STR_LIT(REST), STREAM_MS, 1 };
	gateway_send(&bed, 0, ASK("/fixed/", "a"));
	gateway_await(&bed, 0, "id: 1");
	drain(&bed);
	gateway_await(&bed, 0, "0\r\n\r\n");
	ck_assert_int_eq(gateway_count(&bed, 0, "id: 2"), 1);
	gateway_bed_finish(&bed);
}
END_TEST

SUITE_MAIN("planned_stop", requests_in_every_state_are_answered,
	   callers_that_arrive_during_a_drain_are_served,
	   a_running_stream_continues_to_its_end)
