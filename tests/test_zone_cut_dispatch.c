/*
 * A network partition separates a zone under load: its daemons and runners do
 * not answer for seconds. The other zones must go on at once: they agree on one
 * host for each role, use no runners of the partitioned zone, and do not count
 * it against a runner that the owner of its requests is unreachable. Requests
 * that were sent to the partitioned zone go to another one if they may run
 * twice.
 */
#include <sys/socket.h>

#include "core/member.h"
#include "tests/lib_fixture.h"
#include "tests/lib_gateway.h"
#include "tests/lib_suite.h"

enum {
	N_ZONES = 3,
	ZONE_SIZE = 4, /* daemons of each zone */
	N_DAEMONS = N_ZONES * ZONE_SIZE,
	ROLES = 50,
	OTHER_OWNER = 8,
	/* Half of the time that the fixture's callers wait for an event. */
	SILENCE_MS = 1000,
	MARGIN_MS = 400,
	PAUSE_MS = 1200, /* of a stream; its callers wait for 2000 */
	RUN_MS = 300, /* of a call */
	EVENT_MS = 50, /* between a stream's events */
};

/* Events of a chunked stream. */
#define FIRST_EVENT "f\r\nid: 1\ndata: a\n\n\r\n"
#define NEXT_EVENT "f\r\nid: 2\ndata: b\n\n\r\n"
#define LAST_CHUNK "0\r\n\r\n"

static const str_t zones[] = { STR_LIT("z0"), STR_LIT("z1"), STR_LIT("z2") };

static member_vm_t vm_of(int i)
{
	member_vm_t vm = { .is_leaving = false };

	g_snprintf(vm.name, sizeof(vm.name), "d%02d", i);
	g_snprintf(vm.zone, sizeof(vm.zone), "z%d", i / ZONE_SIZE);
	g_snprintf(vm.peer_address, sizeof(vm.peer_address), "10.0.0.%d:1", i);
	return vm;
}

/* Initializes daemon I with heartbeats from all others. */
static void join(member_t *m, int i)
{
	static const member_config_t config = { 10 * SECOND, 100 * SECOND, 0,
						100 };
	static const member_ops_t ops = { NULL, NULL };
	member_vm_t self = vm_of(i);

	member_init(m, &config, &self, 1, zones, N_ZONES, &ops, NULL, 0);
	for (int n = 0; n < N_DAEMONS; n++) {
		member_vm_t vm = vm_of(n);

		if (n != i)
			member_on_heartbeat(m, &vm, 1, false, 1);
	}
}

/* Marks all daemons of ZONE as unresponsive, or as responsive again. */
static void set_zone_unresponsive(member_t *m, int zone, bool is_unresponsive)
{
	for (int n = zone * ZONE_SIZE; n < (zone + 1) * ZONE_SIZE; n++)
		member_set_unresponsive(m, str_from(vm_of(n).name),
					is_unresponsive);
}

START_TEST(reachable_zones_agree_on_hosts)
{
	member_t members[N_DAEMONS];

	for (int i = 0; i < N_DAEMONS; i++)
		join(&members[i], i);
	for (int i = 0; i < 2 * ZONE_SIZE; i++)
		set_zone_unresponsive(&members[i], 2, true);
	for (int i = 2 * ZONE_SIZE; i < N_DAEMONS; i++) {
		set_zone_unresponsive(&members[i], 0, true);
		set_zone_unresponsive(&members[i], 1, true);
	}
	for (int d = 0; d < ROLES; d++) {
		g_autofree char *role = g_strdup_printf("duty-%d", d);
		member_vm_t first = { .is_leaving = false };

		for (int i = 0; i < N_DAEMONS; i++) {
			member_vm_t host;

			ck_assert(member_regional_host(
				&members[i], str_from(role), 2, &host));
			if (i >= 2 * ZONE_SIZE)
				ck_assert_str_eq(host.zone, "z2");
			else if (!first.name[0])
				first = host;
			else
				ck_assert_str_eq(host.name, first.name);
		}
		ck_assert_str_ne(first.zone, "z2");
	}
	for (int i = 0; i < N_DAEMONS; i++)
		member_finish(&members[i]);
}
END_TEST

START_TEST(unresponsive_daemon_keeps_its_keys)
{
	member_t m;
	member_owner_t before, after;

	join(&m, 0);
	for (int k = 0; k < ROLES; k++) {
		g_autofree char *key = g_strdup_printf("key-%d", k);

		member_key_owner(&m, str_from(key), zones[0], -1, 2, &before);
		set_zone_unresponsive(&m, 0, true);
		member_key_owner(&m, str_from(key), zones[0], -1, 2, &after);
		set_zone_unresponsive(&m, 0, false);
		ck_assert_int_eq(before.kind, after.kind);
		ck_assert_str_eq(before.vm.name, after.vm.name);
	}
	member_finish(&m);
}
END_TEST

static void list_runner(fixture_t *fixture, const char *name,
			bool is_partitioned)
{
	dispatcher_runner_t runner = { .is_partitioned = is_partitioned };

	g_strlcpy(runner.name, name, sizeof(runner.name));
	g_strlcpy(runner.address, "a", sizeof(runner.address));
	dispatcher_set_runner(&fixture->d, &runner, fixture->now);
}

START_TEST(runners_in_a_partitioned_zone_get_no_work)
{
	static fixture_t fixture;

	fixture = (fixture_t){ 0 };
	fixture_init(&fixture, false);
	list_runner(&fixture, "near", false);
	list_runner(&fixture, "far", true);
	for (uint64_t a = 1; a < 20; a++) {
		fixture_submit(&fixture, a, 1, 1);
		ck_assert_int_eq(fixture_answer_kind(&fixture, a),
				 ANSWER_GRANT);
		ck_assert_str_eq(fixture.answers[a].runner, "near");
		fixture_done(&fixture, a, DONE_COMPLETED);
	}
	list_runner(&fixture, "far", false);
	fixture_submit(&fixture, 20, 1, 1);
	fixture_submit(&fixture, 21, 1, 1);
	ck_assert_str_ne(fixture.answers[20].runner,
			 fixture.answers[21].runner);
	dispatcher_finish(&fixture.d);
}
END_TEST

/*
 * Returns how many calls a runner is granted at once after another owner's
 * grants, when that owner is unreachable or not.
 */
static uint32_t free_window_after(bool is_unreachable)
{
	static fixture_t fixture;
	want_t want;
	uint32_t n;

	fixture = (fixture_t){ 0 };
	fixture_init(&fixture, false);
	fixture_set_runner(&fixture, "r", false);
	fixture_submit(&fixture, 1, 1, 1);
	fixture_tick(&fixture, 10 * MS);
	fixture_done(&fixture, 1, DONE_COMPLETED);
	for (uint64_t a = 2; a < 5; a++) {
		want = fixture_make_want(&fixture, a, 1, 1);
		want.id.owner = OTHER_OWNER;
		dispatcher_want(&fixture.d, &want, fixture.now);
	}
	if (is_unreachable)
		dispatcher_set_owner_unresponsive(&fixture.d, OTHER_OWNER, true,
						  fixture.now);
	for (int i = 0; i < 20; i++)
		fixture_tick(&fixture, 50 * MS);
	n = fixture_fill_runners(&fixture, 100);
	dispatcher_finish(&fixture.d);
	return n;
}

START_TEST(unreachable_owner_does_not_degrade_a_runner)
{
	static fixture_t fixture;

	fixture = (fixture_t){ 0 };
	fixture_init(&fixture, false);
	fixture_set_runner(&fixture, "r", false);
	/*
	 * Its grants no longer occupy the runner nor count against its health.
	 */
	ck_assert_uint_eq(free_window_after(true),
			  fixture_fill_runners(&fixture, 100));
	ck_assert_uint_lt(free_window_after(false), free_window_after(true));
	dispatcher_finish(&fixture.d);
}
END_TEST

START_TEST(wants_of_an_unreachable_owner_leave_the_queue)
{
	static fixture_t fixture;
	want_t want;

	fixture = (fixture_t){ 0 };
	fixture_init_busy(&fixture);
	want = fixture_make_want(&fixture, 2, 1, 1);
	want.id.owner = OTHER_OWNER;
	dispatcher_want(&fixture.d, &want, fixture.now);
	fixture_submit(&fixture, 3, 1, 1);
	dispatcher_set_owner_unresponsive(&fixture.d, OTHER_OWNER, true,
					  fixture.now);
	fixture_done(&fixture, 1, DONE_COMPLETED);
	ck_assert_int_eq(fixture_answer_kind(&fixture, 2), ANSWER_NONE);
	ck_assert_int_eq(fixture_answer_kind(&fixture, 3), ANSWER_GRANT);
	/* The owner sends the want again once it is reachable. */
	dispatcher_set_owner_unresponsive(&fixture.d, OTHER_OWNER, false,
					  fixture.now);
	fixture_done(&fixture, 3, DONE_COMPLETED);
	ck_assert(!dispatcher_want_again(&fixture.d, &want, fixture.now));
	ck_assert_int_eq(fixture_answer_kind(&fixture, 2), ANSWER_GRANT);
	dispatcher_finish(&fixture.d);
}
END_TEST

static const reply_t no_reply[] = { { "", REPLY_MUTE }, {} };
static const reply_t ok[] = { { OK, REPLY_KEEP }, { OK, REPLY_KEEP }, {} };

/* Runner I of the fixture is listed in zone "zI". */
static void list_runners(gateway_fixture_t *fixture)
{
	vm_list_runner_t runners[FIXTURE_RUNNERS] = { 0 };
	message_t m = { .type = MESSAGE_VMS };

	for (int i = 0; i < FIXTURE_RUNNERS; i++) {
		g_strlcpy(runners[i].runner.name, fixture->runners[i].name,
			  sizeof(runners[i].runner.name));
		g_strlcpy(runners[i].service, "s", sizeof(runners[i].service));
		g_snprintf(runners[i].zone, sizeof(runners[i].zone), "z%d", i);
	}
	m.vms = vm_list_new(NULL, 0, runners, FIXTURE_RUNNERS);
	supervisor_post(&fixture->sup, TASK_FRONT, &m);
}

static void set_partitioned_zone(gateway_fixture_t *fixture, const char *zone)
{
	message_t m = { .type = MESSAGE_ZONE_PARTITION,
			.contact.is_lost = true };

	g_strlcpy(m.contact.name, zone, sizeof(m.contact.name));
	supervisor_post(&fixture->sup, TASK_FRONT, &m);
}

static void begin(gateway_fixture_t *fixture)
{
	gateway_fixture_init(fixture);
	gateway_fixture_configure(fixture);
	list_runners(fixture);
	fixture->runners[0].replies = no_reply;
	fixture->runners[1].replies = ok;
}

START_TEST(call_that_may_run_twice_is_sent_to_another_runner)
{
	gateway_fixture_t fixture;

	begin(&fixture);
	gateway_send(&fixture, 0, REQUEST("/safe/", "a"));
	gateway_await_count(&fixture, &fixture.runners[0].n_requests, 1);
	set_partitioned_zone(&fixture, "z0");
	gateway_await(&fixture, 0, "200 OK");
	ck_assert_int_eq(fixture.runners[1].n_requests, 1);
	gateway_fixture_finish(&fixture);
}
END_TEST

START_TEST(call_that_may_run_once_waits_for_its_runner)
{
	gateway_fixture_t fixture;

	begin(&fixture);
	gateway_send(&fixture, 0, REQUEST("/once/", "a"));
	gateway_await_count(&fixture, &fixture.runners[0].n_requests, 1);
	set_partitioned_zone(&fixture, "z0");
	gateway_run(&fixture, 100);
	ck_assert_int_eq(fixture.runners[1].n_requests, 0);
	gateway_await(&fixture, 0, "504 ");
	gateway_fixture_finish(&fixture);
}
END_TEST

START_TEST(grant_in_a_partitioned_zone_is_returned)
{
	gateway_fixture_t fixture;

	begin(&fixture);
	set_partitioned_zone(&fixture, "z0");
	gateway_send(&fixture, 0, REQUEST("/once/", "a"));
	gateway_await(&fixture, 0, "200 OK");
	ck_assert_int_eq(fixture.runners[0].n_requests, 0);
	ck_assert_int_eq(fixture.runners[1].n_requests, 1);
	gateway_fixture_finish(&fixture);
}
END_TEST

/* The runner's stream: its first event at once, more of them by a trail. */
static const reply_t stream_first[] = { { STREAM_HEAD FIRST_EVENT, REPLY_KEEP },
					{} };
static const reply_t stream_rest[] = { { STREAM_HEAD NEXT_EVENT LAST_CHUNK,
					 REPLY_KEEP },
				       {} };

static void begin_stream(gateway_fixture_t *fixture)
{
	begin(fixture);
	fixture->runners[0].replies = stream_first;
	fixture->runners[1].replies = stream_rest;
}

/*
 * Guards against a stream that is broken off midway since its runner's zone was
 * taken to be cut off: the belief is wrong, and no other runner has room.
 */
START_TEST(stream_whose_runner_goes_on_is_not_broken_off)
{
	static const char event[] = NEXT_EVENT;
	gateway_fixture_t fixture;

	begin_stream(&fixture);
	fixture.runners[0].trail = (trail_t){ STR_LIT(event), EVENT_MS, 0 };
	gateway_send(&fixture, 0, REQUEST("/stream/", "a"));
	gateway_await(&fixture, 0, "data: a");
	fixture.refuses = true;
	set_partitioned_zone(&fixture, "z0");
	gateway_run(&fixture, SILENCE_MS + MARGIN_MS);
	ck_assert(!fixture.callers[0].is_closed);
	ck_assert_int_eq(fixture.runners[0].n_closed, 0);
	ck_assert_int_eq(fixture.runners[1].n_requests, 0);
	gateway_fixture_finish(&fixture);
}
END_TEST

/* Guards against the same while the runner is slow to make its next event. */
START_TEST(stream_is_kept_through_a_short_silence_of_its_zone)
{
	gateway_fixture_t fixture;

	begin_stream(&fixture);
	gateway_send(&fixture, 0, REQUEST("/stream/", "a"));
	gateway_await(&fixture, 0, "data: a");
	fixture.refuses = true;
	set_partitioned_zone(&fixture, "z0");
	gateway_run(&fixture, SILENCE_MS / 2);
	ck_assert(!fixture.callers[0].is_closed);
	ck_assert_int_eq(fixture.runners[0].n_closed, 0);
	gateway_fixture_finish(&fixture);
}
END_TEST

START_TEST(stream_that_is_silent_for_long_goes_on_elsewhere)
{
	gateway_fixture_t fixture;

	begin_stream(&fixture);
	gateway_send(&fixture, 0, REQUEST("/stream/", "a"));
	gateway_await(&fixture, 0, "data: a");
	set_partitioned_zone(&fixture, "z0");
	gateway_await(&fixture, 0, "data: b");
	ck_assert_int_eq(fixture.runners[0].n_closed, 1);
	ck_assert_int_eq(fixture.runners[1].n_requests, 1);
	gateway_fixture_finish(&fixture);
}
END_TEST

/* Guards against a pause that is no reason to end an answer: none has room. */
START_TEST(stream_that_pauses_is_not_broken_off_for_want_of_room)
{
	static const char event[] = NEXT_EVENT;
	gateway_fixture_t fixture;

	begin_stream(&fixture);
	fixture.runners[0].trail = (trail_t){ STR_LIT(event), PAUSE_MS, 1 };
	gateway_send(&fixture, 0, REQUEST("/stream/", "a"));
	gateway_await(&fixture, 0, "data: a");
	fixture.refuses = true;
	set_partitioned_zone(&fixture, "z0");
	gateway_run(&fixture, PAUSE_MS + MARGIN_MS);
	ck_assert(!fixture.callers[0].is_closed);
	ck_assert_int_eq(gateway_count(&fixture, 0, "data: b"), 1);
	gateway_fixture_finish(&fixture);
}
END_TEST

/* Guards against a call that is given up while its runner works on it. */
START_TEST(call_whose_runner_works_is_not_failed_for_want_of_room)
{
	static const char answer[] =
		"HTTP/1.1 200 OK\r\nX-Attempt-Id: a\r\nX-Server-Seal: seal\r\n"
		"Content-Length: 2\r\n\r\nok";
	gateway_fixture_t fixture;

	begin(&fixture);
	fixture.runners[0].trail = (trail_t){ STR_LIT(answer), RUN_MS, 1 };
	gateway_send(&fixture, 0, REQUEST("/safe/", "a"));
	gateway_await_count(&fixture, &fixture.runners[0].n_requests, 1);
	fixture.refuses = true;
	set_partitioned_zone(&fixture, "z0");
	gateway_await(&fixture, 0, "HTTP/1.1 ");
	ck_assert_int_eq(gateway_count(&fixture, 0, "200 OK"), 1);
	gateway_fixture_finish(&fixture);
}
END_TEST

static const reply_t broken_stream[] = {
	{ STREAM_HEAD FIRST_EVENT, REPLY_RESET },
	{ STREAM_HEAD NEXT_EVENT LAST_CHUNK, REPLY_KEEP },
	{},
};

/* Guards against a begun stream that ends while its second runner begins. */
START_TEST(stream_that_awaits_its_second_runner_is_not_broken_off)
{
	gateway_fixture_t fixture;

	begin(&fixture);
	fixture.runners[0].replies = broken_stream;
	fixture.runners[1].replies = no_reply;
	gateway_send(&fixture, 0, REQUEST("/long/", "a"));
	gateway_await_count(&fixture, &fixture.runners[1].n_requests, 1);
	/* Another request, which adds to the retry budget. */
	fixture.refuses = true;
	gateway_send(&fixture, 1, REQUEST("/safe/", "b"));
	gateway_await(&fixture, 1, "503 ");
	set_partitioned_zone(&fixture, "z1");
	gateway_run(&fixture, RUN_MS);
	ck_assert(!fixture.callers[0].is_closed);
	gateway_fixture_finish(&fixture);
}
END_TEST

/* Guards against a retry that is charged for a grant that was not used. */
START_TEST(declined_grant_does_not_break_a_stream_off)
{
	gateway_fixture_t fixture;

	begin(&fixture);
	fixture.runners[0].replies = broken_stream;
	set_partitioned_zone(&fixture, "z1");
	gateway_send(&fixture, 0, REQUEST("/stream/", "a"));
	gateway_await(&fixture, 0, "data: a");
	gateway_run(&fixture, RUN_MS);
	ck_assert(!fixture.callers[0].is_closed);
	ck_assert_int_eq(gateway_count(&fixture, 0, "data: b"), 1);
	gateway_fixture_finish(&fixture);
}
END_TEST

/* The only connection that RUNNER has. */
static evutil_socket_t only_socket(const raw_runner_t *runner)
{
	GHashTableIter iter;
	void *bev = NULL;

	ck_assert_uint_eq(g_hash_table_size(runner->conns), 1);
	g_hash_table_iter_init(&iter, runner->conns);
	g_hash_table_iter_next(&iter, &bev, NULL);
	return bufferevent_getfd(bev);
}

/*
 * Guards against silence that is this process's own: an event arrived while it
 * stood still, and the timer runs before the event is read.
 */
START_TEST(stream_is_kept_when_the_process_itself_was_late)
{
	static const char event[] = NEXT_EVENT;
	gateway_fixture_t fixture;

	begin_stream(&fixture);
	gateway_send(&fixture, 0, REQUEST("/stream/", "a"));
	gateway_await(&fixture, 0, "data: a");
	set_partitioned_zone(&fixture, "z0");
	gateway_run(&fixture, RUN_MS);
	ck_assert_int_eq(fixture.runners[0].n_closed, 0);
	ck_assert_int_eq(send(only_socket(&fixture.runners[0]), event,
			      sizeof(event) - 1, 0),
			 sizeof(event) - 1);
	g_usleep(SILENCE_MS * G_TIME_SPAN_MILLISECOND);
	gateway_run(&fixture, RUN_MS);
	ck_assert_int_eq(fixture.runners[0].n_closed, 0);
	ck_assert_int_eq(fixture.runners[1].n_requests, 0);
	ck_assert_int_eq(gateway_count(&fixture, 0, "data: b"), 1);
	gateway_fixture_finish(&fixture);
}
END_TEST

SUITE_MAIN("zone_cut_dispatch", reachable_zones_agree_on_hosts,
	   unresponsive_daemon_keeps_its_keys,
	   runners_in_a_partitioned_zone_get_no_work,
	   unreachable_owner_does_not_degrade_a_runner,
	   wants_of_an_unreachable_owner_leave_the_queue,
	   call_that_may_run_twice_is_sent_to_another_runner,
	   call_that_may_run_once_waits_for_its_runner,
	   grant_in_a_partitioned_zone_is_returned,
	   stream_whose_runner_goes_on_is_not_broken_off,
	   stream_is_kept_through_a_short_silence_of_its_zone,
	   stream_that_is_silent_for_long_goes_on_elsewhere,
	   stream_that_pauses_is_not_broken_off_for_want_of_room,
	   call_whose_runner_works_is_not_failed_for_want_of_room,
	   stream_that_awaits_its_second_runner_is_not_broken_off,
	   declined_grant_does_not_break_a_stream_off,
	   stream_is_kept_when_the_process_itself_was_late)
