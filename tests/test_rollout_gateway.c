/*
 * A service is being rolled out: which runners the gateway sends its requests
 * to, by what the conductor tells it, and what it reports. Runner 0 is of the
 * current release, runner 1 of the target.
 */
#include "core/release_history.h"
#include "tests/lib_gateway.h"
#include "tests/lib_suite.h"

#define FAILURE                                                           \
	"HTTP/1.1 500 Oops\r\nX-Attempt-Id: @\r\nX-Server-Seal: seal\r\n" \
	"Content-Length: 2\r\n\r\nno"

enum {
	REPORT_MS = 2 * ROLLOUT_REPORT_MS + 100, /* for a report with all */
	LEASE_MS = ROLLOUT_LEASE_US / 1000 + 100,
	GRANTER = 77, /* id of the leases */
};

static const rollout_order_t order = { "s", "v2", 12000 };
static const reply_t good[] = { { OK, REPLY_KEEP },  { OK, REPLY_KEEP },
				{ OK, REPLY_KEEP },  { OK, REPLY_KEEP },
				{ OK, REPLY_KEEP },  { OK, REPLY_KEEP },
				{ NULL, REPLY_KEEP } };
static const reply_t bad[] = { { FAILURE, REPLY_KEEP },
			       { OK, REPLY_KEEP },
			       { NULL, REPLY_KEEP } };

static void post_vms(gateway_fixture_t *f, bool has_current)
{
	static const member_vm_t self = { .name = "d", .zone = "z" };
	vm_list_runner_t runners[2] = { { .service = "s", .zone = "z" },
					{ .zone = "z" } };
	message_t m = { .type = MESSAGE_VMS };
	int first = has_current ? 0 : 1;

	for (int i = 0; i < 2; i++) {
		g_strlcpy(runners[i].runner.name, f->runners[i].name,
			  sizeof(runners[i].runner.name));
		g_strlcpy(runners[i].runner.address, f->runners[i].address,
			  sizeof(runners[i].runner.address));
		runners[i].runner.release = f->runners[i].release;
	}
	rollout_pool_name(order.service, order.target, runners[1].service);
	m.vms = vm_list_new(&self, 1, runners + first, (size_t)(2 - first));
	supervisor_post(&f->sup, TASK_FRONT, &m);
}

static void post_order(gateway_fixture_t *f)
{
	message_t m = { .type = MESSAGE_ROLLOUT_ORDERS };

	m.rollout_orders = g_array_new(FALSE, FALSE, sizeof(rollout_order_t));
	g_array_append_val(m.rollout_orders, order);
	supervisor_post(&f->sup, TASK_FRONT, &m);
}

/* The conductor with this term tells what to do. */
static void tell_as(gateway_fixture_t *f, rollout_stage_t stage,
		    uint64_t granted, uint64_t term)
{
	message_t m = { .type = MESSAGE_ROLLOUT_TOLD };

	g_strlcpy(m.rollout.service, "s", sizeof(m.rollout.service));
	m.rollout.told = (rollout_told_t){ .order = rollout_order_id(&order),
					   .term = term,
					   .granter = GRANTER,
					   .stage = stage,
					   .granted = granted,
					   .process = f->sup.boot_id,
					   .stamp = now_us() };
	supervisor_post(&f->sup, TASK_FRONT, &m);
	gateway_run(f, 5);
}

static void tell(gateway_fixture_t *f, rollout_stage_t stage, uint64_t granted)
{
	tell_as(f, stage, granted, 1);
}

static void begin(gateway_fixture_t *f, const reply_t *of_target)
{
	gateway_fixture_begin(f, good, of_target);
	f->follows_pools = true;
	f->runners[0].release = release_history_hash("s", "v1");
	f->runners[1].release = release_history_hash("s", "v2");
	post_vms(f, true);
	post_order(f);
	gateway_run(f, 5);
}

/*
 * Sends N requests as caller I, one after the other, and waits for their
 * answers.
 */
static void request_as(gateway_fixture_t *f, int caller, int n)
{
	int before = f->callers[caller].received ?
			     gateway_count(f, caller, "200 OK") :
			     0;

	for (int i = 0; i < n; i++) {
		g_autofree char *text = g_strdup_printf(
			"POST /safe/ HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: "
			"n%d-%d\r\nX-Key: key\r\nX-Deadline-Ms: 5000\r\n"
			"Content-Length: 2\r\n\r\nhi",
			caller, before + i);

		gateway_send(f, caller, text);
		for (int k = 0; k < 200; k++) {
			if (gateway_count(f, caller, "200 OK") > before + i)
				break;
			gateway_run(f, 5);
		}
		ck_assert_int_eq(gateway_count(f, caller, "200 OK"),
				 before + i + 1);
	}
}

static void request(gateway_fixture_t *f, int n)
{
	request_as(f, 0, n);
}

static int current(const gateway_fixture_t *f)
{
	return f->runners[0].n_requests;
}

static int target(const gateway_fixture_t *f)
{
	return f->runners[1].n_requests;
}

START_TEST(nothing_goes_to_the_target_without_a_conductor)
{
	gateway_fixture_t f;

	begin(&f, good);
	request(&f, 3);
	ck_assert_int_eq(current(&f), 3);
	ck_assert_int_eq(target(&f), 0);
	gateway_fixture_finish(&f);
}
END_TEST

/* A dispatcher doesn't know of the order yet. */
START_TEST(a_grant_of_the_target_is_declined)
{
	gateway_fixture_t f;

	begin(&f, good);
	f.follows_pools = false;
	request(&f, 3);
	ck_assert_int_eq(current(&f), 3);
	ck_assert_int_eq(target(&f), 0);
	ck_assert_int_gt(f.wants, 3);
	gateway_fixture_finish(&f);
}
END_TEST

START_TEST(each_lease_is_one_request)
{
	gateway_fixture_t f;

	begin(&f, good);
	tell(&f, ROLLOUT_TRYING, 2);
	request(&f, 5);
	ck_assert_int_eq(target(&f), 2);
	ck_assert_int_eq(current(&f), 3);
	gateway_run(&f, REPORT_MS);
	ck_assert_uint_eq(f.last_rollout.report.counts.requests, 5);
	ck_assert_uint_eq(f.last_rollout.report.counts.used, 2);
	ck_assert_int_eq(f.target_answers, 2);
	ck_assert_int_eq(f.target_failures, 0);
	gateway_fixture_finish(&f);
}
END_TEST

START_TEST(a_lease_ends_with_the_conductor)
{
	gateway_fixture_t f;

	begin(&f, good);
	tell(&f, ROLLOUT_TRYING, 2);
	gateway_run(&f, LEASE_MS);
	request(&f, 2);
	ck_assert_int_eq(target(&f), 0);
	gateway_run(&f, REPORT_MS);
	ck_assert_uint_eq(f.last_rollout.report.counts.returned, 2);
	ck_assert_int_eq(f.last_rollout.report.stage, ROLLOUT_HELD);
	gateway_fixture_finish(&f);
}
END_TEST

START_TEST(a_call_that_failed_on_the_target_goes_to_the_other_release)
{
	gateway_fixture_t f;

	begin(&f, bad);
	tell(&f, ROLLOUT_TRYING, 1);
	request(&f, 1);
	ck_assert_int_eq(target(&f), 1);
	ck_assert_int_eq(current(&f), 1);
	gateway_run(&f, REPORT_MS);
	ck_assert_int_eq(f.target_failures, 1);
	ck_assert_uint_eq(f.last_rollout.report.counts.requests, 1);
	gateway_fixture_finish(&f);
}
END_TEST

START_TEST(all_move_when_told)
{
	gateway_fixture_t f;

	begin(&f, good);
	tell(&f, ROLLOUT_MOVING, 0);
	request(&f, 3);
	ck_assert_int_eq(target(&f), 3);
	gateway_run(&f, REPORT_MS);
	ck_assert_int_eq(f.last_rollout.report.stage, ROLLOUT_MOVING);
	ck_assert_uint_eq(f.last_rollout.report.running, 0);
	/* The conductor is silent: back to the other release. */
	gateway_run(&f, LEASE_MS);
	request_as(&f, 1, 1);
	ck_assert_int_eq(current(&f), 1);
	/* Once it may be completed, the other runners may be gone. */
	tell(&f, ROLLOUT_MOVED, 0);
	gateway_run(&f, LEASE_MS);
	request_as(&f, 2, 1);
	ck_assert_int_eq(target(&f), 4);
	gateway_fixture_finish(&f);
}
END_TEST

/* A request waits for a runner of the current release meanwhile. */
START_TEST(a_waiting_request_moves)
{
	gateway_fixture_t f;

	begin(&f, good);
	f.is_mute = true;
	gateway_send(&f, 0, REQUEST("/safe/", "w1"));
	gateway_await_count(&f, &f.wants, 1);
	f.is_mute = false;
	tell(&f, ROLLOUT_MOVING, 0);
	gateway_await(&f, 0, "200 OK");
	ck_assert_int_eq(f.withdraws, 1);
	ck_assert_int_eq(target(&f), 1);
	gateway_fixture_finish(&f);
}
END_TEST

START_TEST(nothing_goes_to_a_reverted_target)
{
	gateway_fixture_t f;

	begin(&f, good);
	tell(&f, ROLLOUT_MOVING, 0);
	request(&f, 1);
	f.is_mute = true;
	gateway_send(&f, 1, REQUEST("/safe/", "w1"));
	gateway_await_count(&f, &f.wants, 2);
	f.is_mute = false;
	tell(&f, ROLLOUT_TAKEN_BACK, 0);
	gateway_await(&f, 1, "200 OK");
	request(&f, 2);
	ck_assert_int_eq(target(&f), 1);
	ck_assert_int_eq(current(&f), 3);
	gateway_fixture_finish(&f);
}
END_TEST

START_TEST(an_outdated_conductor_has_no_say)
{
	gateway_fixture_t f;

	begin(&f, good);
	tell_as(&f, ROLLOUT_TAKEN_BACK, 0, 5);
	tell_as(&f, ROLLOUT_MOVING, 0, 4);
	request(&f, 1);
	ck_assert_int_eq(target(&f), 0);
	gateway_fixture_finish(&f);
}
END_TEST

/* It was completed before this process began, and the others have stopped. */
START_TEST(the_only_release_is_used)
{
	gateway_fixture_t f;

	begin(&f, good);
	post_vms(&f, false);
	gateway_run(&f, 5);
	request(&f, 2);
	ck_assert_int_eq(target(&f), 2);
	gateway_fixture_finish(&f);
}
END_TEST

/* All runners have the release that the order names. */
START_TEST(an_order_for_the_only_release_stops_nothing)
{
	gateway_fixture_t f;

	gateway_fixture_begin(&f, good, good);
	f.follows_pools = true;
	f.runners[1].release = release_history_hash("s", "v2");
	post_vms(&f, false);
	post_order(&f);
	gateway_run(&f, 5);
	tell(&f, ROLLOUT_HELD, 0);
	request(&f, 2);
	ck_assert_int_eq(target(&f), 2);
	gateway_fixture_finish(&f);
}
END_TEST

/* Its service's runners are replaced by another release after the completion. */
START_TEST(a_later_release_is_used)
{
	gateway_fixture_t f;

	begin(&f, good);
	tell(&f, ROLLOUT_DONE, 0);
	request(&f, 1);
	ck_assert_int_eq(target(&f), 1);
	/* Runner 0 is of a third release now, the target's is a grant away. */
	f.runners[0].release = release_history_hash("s", "v3");
	post_vms(&f, true);
	gateway_run(&f, 5);
	for (int i = 0; i < 4; i++)
		request(&f, 1);
	ck_assert_int_eq(target(&f) + current(&f), 5);
	for (int i = 0; i < 20 && !current(&f); i++)
		request_as(&f, i % 2, 1);
	/* Both are used, by their numbers of runners. */
	ck_assert_int_gt(current(&f), 0);
	gateway_fixture_finish(&f);
}
END_TEST

START_TEST(a_replaced_release_is_not_used_after_the_completion)
{
	gateway_fixture_t f;

	begin(&f, good);
	tell(&f, ROLLOUT_MOVED, 0);
	tell(&f, ROLLOUT_DONE, 0);
	f.follows_pools = false;
	request(&f, 3);
	ck_assert_int_eq(target(&f), 3);
	ck_assert_int_eq(current(&f), 0);
	gateway_fixture_finish(&f);
}
END_TEST

/* An order that is replaced by one with bad fields isn't followed any more. */
START_TEST(an_order_that_is_gone_holds_nothing)
{
	message_t none = { .type = MESSAGE_ROLLOUT_ORDERS };
	gateway_fixture_t f;

	begin(&f, good);
	none.rollout_orders =
		g_array_new(FALSE, FALSE, sizeof(rollout_order_t));
	supervisor_post(&f.sup, TASK_FRONT, &none);
	gateway_run(&f, 5);
	f.follows_pools = false;
	request(&f, 2);
	ck_assert_int_eq(target(&f), 1);
	ck_assert_int_eq(current(&f), 1);
	gateway_fixture_finish(&f);
}
END_TEST

/* Its dispatcher has no runner any more. */
START_TEST(a_request_leaves_the_pool_of_an_order_that_is_gone)
{
	message_t none = { .type = MESSAGE_ROLLOUT_ORDERS };
	gateway_fixture_t f;

	begin(&f, good);
	tell(&f, ROLLOUT_MOVING, 0);
	f.is_mute = true;
	gateway_send(&f, 0, REQUEST("/safe/", "w1"));
	gateway_await_count(&f, &f.wants, 1);
	ck_assert_ptr_nonnull(strchr(f.last_want.capacity.service, '~'));
	f.is_mute = false;
	none.rollout_orders =
		g_array_new(FALSE, FALSE, sizeof(rollout_order_t));
	supervisor_post(&f.sup, TASK_FRONT, &none);
	gateway_await(&f, 0, "200 OK");
	ck_assert_ptr_null(strchr(f.last_want.capacity.service, '~'));
	gateway_fixture_finish(&f);
}
END_TEST

SUITE_MAIN("rollout_gateway", an_order_for_the_only_release_stops_nothing,
	   a_later_release_is_used,
	   a_replaced_release_is_not_used_after_the_completion,
	   an_order_that_is_gone_holds_nothing,
	   a_request_leaves_the_pool_of_an_order_that_is_gone,
	   nothing_goes_to_the_target_without_a_conductor,
	   a_grant_of_the_target_is_declined, each_lease_is_one_request,
	   a_lease_ends_with_the_conductor,
	   a_call_that_failed_on_the_target_goes_to_the_other_release,
	   all_move_when_told, a_waiting_request_moves,
	   nothing_goes_to_a_reverted_target, an_outdated_conductor_has_no_say,
	   the_only_release_is_used)
