#include "common/log.h"
#include "daemon/supervisor.h"
#include "tests/lib_suite.h"

enum { LIMIT_US = 20 * G_USEC_PER_SEC, STALL_US = 250 * 1000 };

/* What the fake tasks did. */
static struct {
	int starts[TASK_COUNT];
	int stops[TASK_COUNT];
	uint64_t numbers[8];
	int n_numbers;
	int failing_starts; /* next starts of the front task that fail */
} seen;

static void stop(void *state)
{
	seen.stops[*(task_id_t *)state]++;
	g_free(state);
}

static void handle(void *state, const message_t *m)
{
	if (m->type == MESSAGE_CONFIG_NEXT)
		seen.numbers[seen.n_numbers++] = m->number;
}

static void *start_as(task_id_t id)
{
	task_id_t *state = g_new(task_id_t, 1);

	*state = id;
	seen.starts[id]++;
	return state;
}

#define START(id)                                              \
	static void *start_##id(supervisor_t *sup, err_t *err) \
	{                                                      \
		return start_as(id);                           \
	}
START(TASK_PLATFORM)
START(TASK_PEERS)
START(TASK_CAPACITY)
START(TASK_LIMITS)
START(TASK_ACCOUNTS)
START(TASK_ADMIN)

static void *start_TASK_FRONT(supervisor_t *sup, err_t *err)
{
	void *state = start_as(TASK_FRONT);

	if (seen.starts[TASK_FRONT] == 1 || !seen.failing_starts)
		return state;
	seen.failing_starts--;
	g_free(state);
	err_set(err, ERR_SYSTEM, "start", "", "refused");
	return NULL;
}

#define SPEC(id, group)                              \
	[id] = &(const task_spec_t)                  \
	{                                            \
#id, group, start_##id, handle, stop \
	}

static const task_spec_t *const specs[TASK_COUNT] = {
	SPEC(TASK_PLATFORM, 0), SPEC(TASK_PEERS, 2), SPEC(TASK_CAPACITY, 2),
	SPEC(TASK_LIMITS, 2),	SPEC(TASK_FRONT, 2), SPEC(TASK_ACCOUNTS, 1),
	SPEC(TASK_ADMIN, 3),
};

static settings_t settings = { .seed = 7, .heartbeat_timeout_ms = 200 };
static struct event_base *base;

static void begin(supervisor_t *sup)
{
	err_t err = { 0 };

	memset(&seen, 0, sizeof(seen));
	log_init("error");
	base = event_base_new();
	ck_assert(supervisor_init(sup, base, &settings));
	ck_assert(supervisor_start(sup, specs, &err));
}

static void finish(supervisor_t *sup)
{
	supervisor_finish(sup);
	event_base_free(base);
}

static void run_until_starts(task_id_t id, int starts)
{
	int64_t limit = now_us() + LIMIT_US;

	while (seen.starts[id] < starts && now_us() < limit)
		event_base_loop(base, EVLOOP_ONCE);
	ck_assert_int_ge(seen.starts[id], starts);
}

START_TEST(processes_with_one_seed_have_different_boot_ids)
{
	supervisor_t sup;
	uint64_t boot;

	begin(&sup);
	boot = sup.boot_id;
	finish(&sup);
	begin(&sup);
	ck_assert_uint_ne(sup.boot_id, boot);
	finish(&sup);
}
END_TEST

START_TEST(messages_come_in_order_and_survive_a_restart_of_others)
{
	supervisor_t sup;
	err_t err = { .step = "test" };

	begin(&sup);
	for (uint64_t i = 1; i <= 3; i++)
		supervisor_post(&sup, TASK_PLATFORM,
				&(message_t){ .type = MESSAGE_CONFIG_NEXT,
					      .number = i });
	supervisor_task_failed(&sup, TASK_ADMIN, &err);
	run_until_starts(TASK_ADMIN, 2);
	ck_assert_int_eq(seen.n_numbers, 3);
	for (int i = 0; i < 3; i++)
		ck_assert_uint_eq(seen.numbers[i], i + 1);
	ck_assert_int_eq(seen.starts[TASK_PLATFORM], 1);
	finish(&sup);
}
END_TEST

START_TEST(a_failed_task_restarts_with_its_group)
{
	supervisor_t sup;
	err_t err = { .step = "test" };

	begin(&sup);
	seen.failing_starts = 1;
	supervisor_task_failed(&sup, TASK_PEERS, &err);
	run_until_starts(TASK_FRONT, 3);
	ck_assert_int_eq(seen.stops[TASK_PEERS], 1);
	ck_assert_int_eq(seen.stops[TASK_LIMITS], 1);
	ck_assert_int_eq(seen.starts[TASK_CAPACITY], 2);
	ck_assert_int_eq(seen.stops[TASK_ADMIN], 0);
	ck_assert(!supervisor_has_failed(&sup));
	finish(&sup);
}
END_TEST

START_TEST(a_task_that_fails_too_often_ends_the_daemon)
{
	supervisor_t sup;
	err_t err = { .step = "test" };

	begin(&sup);
	for (int i = 0; i < 6 && !supervisor_has_failed(&sup); i++)
		supervisor_task_failed(&sup, TASK_ADMIN, &err);
	ck_assert(supervisor_has_failed(&sup));
	finish(&sup);
}
END_TEST

START_TEST(a_stall_is_seen_by_the_first_check)
{
	supervisor_t sup;
	uint64_t epoch;

	begin(&sup);
	event_base_loop(base, EVLOOP_NONBLOCK);
	epoch = supervisor_stall_epoch(&sup);
	ck_assert_uint_eq(supervisor_stall_epoch(&sup), epoch);
	g_usleep(STALL_US);
	ck_assert_uint_eq(supervisor_stall_epoch(&sup), epoch + 1);
	ck_assert_uint_eq(supervisor_stall_epoch(&sup), epoch + 1);
	finish(&sup);
}
END_TEST

SUITE_MAIN("supervisor", processes_with_one_seed_have_different_boot_ids,
	   messages_come_in_order_and_survive_a_restart_of_others,
	   a_failed_task_restarts_with_its_group,
	   a_task_that_fails_too_often_ends_the_daemon,
	   a_stall_is_seen_by_the_first_check)
