/*
 * Callers that nobody controls, before a real daemon: they send bodies that
 * never end, or that are too long, or heads that never end, and stay open. The
 * daemon must live, stay within its memory and its descriptors, and answer
 * ordinary requests. Each crowd is played at both interfaces.
 */
#include <event2/http.h>
#include <glib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "tests/lib_crowd.h"
#include "tests/lib_suite.h"
#include "tests/lib_tcp.h"
#include "tests/lib_unruly.h"

#define KB 1024UL /* bytes */
#define MB (1024 * KB)

enum {
	CROWD = 240,
	LONG_BODY = MB, /* the most that the own interface takes */
	FAR_TOO_LONG = 12 * MB,
	ORDINARY_BODY = 256 * KB,
	/* Left for other daemons, runners, the store and operators. */
	SPARE_DESCRIPTORS = 64,
	MOST_DESCRIPTORS = UNRULY_DESCRIPTORS - SPARE_DESCRIPTORS,
	PAUSE_US = 10000,
	CALLS = 5, /* beside a crowd that comes back */
	MOST_TRIES = 10, /* of each */
	RETRY_US = 1000 * 1000, /* as a refusal says, rounded up */
	WAIT_MS = 20000,
	MANY = 700, /* connections, more than the daemon has descriptors */
};

#define LARGE_REQUEST                                                 \
	"GET /desk/large HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: a2\r\n" \
	"X-Key: key\r\nX-Deadline-Ms: 15000\r\nConnection: close\r\n\r\n"

static void check_ordinary(const unruly_t *u, const char *when)
{
	int small = unruly_call(u, 2);
	int large = unruly_call(u, ORDINARY_BODY);

	ck_assert_msg(small == HTTP_OK && large == HTTP_OK,
		      "%s: ordinary requests got %d and %d", when, small,
		      large);
}

static void check_bounds(unruly_t *u)
{
	int peak = unruly_peak_mb(u);

	unruly_watch(u);
	g_printerr("peak %d MB, %d descriptors\n", peak, u->most_descriptors);
	ck_assert_msg(unruly_is_alive(u), "the daemon ended");
	ck_assert_msg(peak < UNRULY_MEMORY_MB, "%d MB", peak);
	ck_assert_msg(u->most_descriptors < MOST_DESCRIPTORS, "%d descriptors",
		      u->most_descriptors);
}

static void play(bool is_fleet, const crowd_shape_t *shape)
{
	unruly_t u;
	crowd_t *crowd;

	unruly_init(&u, is_fleet);
	crowd = crowd_new(u.ip, UNRULY_PORT, unruly_head(&u), shape);
	crowd_run(crowd, unruly_watch, &u);
	g_printerr("%d of the connections are open, %d sent all\n",
		   crowd_open(crowd), crowd_sent_all(crowd));
	check_bounds(&u);
	check_ordinary(&u, "beside the crowd");
	crowd_free(crowd);
	check_ordinary(&u, "afterwards");
	check_bounds(&u);
	unruly_finish(&u);
}

/* Defines the test of one crowd at both interfaces. */
#define CROWD_TEST(name, ...)                                 \
	START_TEST(own_##name)                                \
	{                                                     \
		play(false, &(crowd_shape_t){ __VA_ARGS__ }); \
	}                                                     \
	END_TEST                                              \
	START_TEST(fleet_##name)                              \
	{                                                     \
		play(true, &(crowd_shape_t){ __VA_ARGS__ });  \
	}                                                     \
	END_TEST

CROWD_TEST(announced_bodies_that_stop_short, .connections = CROWD,
	   .body = LONG_BODY, .announced = LONG_BODY, .whole = 8, .returns = 1)

CROWD_TEST(bodies_piece_by_piece_that_stop_short, .connections = CROWD,
	   .body = LONG_BODY, .announced = LONG_BODY, .piece = 4 * KB,
	   .whole = 8, .returns = 1)

CROWD_TEST(large_chunks_that_stop_short, .connections = CROWD,
	   .body = LONG_BODY, .chunk = 256 * KB, .whole = 8, .returns = 1)

CROWD_TEST(small_chunks_that_stop_short, .connections = CROWD,
	   .body = LONG_BODY / 2, .chunk = 8, .whole = 8, .returns = 1)

CROWD_TEST(small_chunks_piece_by_piece, .connections = CROWD, .body = 128 * KB,
	   .chunk = 4, .piece = 99, .whole = 8)

CROWD_TEST(bodies_announced_far_too_long, .connections = CROWD,
	   .body = FAR_TOO_LONG, .announced = 400 * MB, .returns = 1)

CROWD_TEST(bodies_sent_far_too_long, .connections = CROWD / 2,
	   .body = FAR_TOO_LONG, .chunk = 32 * KB, .returns = 1)

CROWD_TEST(heads_that_stop_short, .connections = MANY, .head = 12 * KB,
	   .returns = 1)

CROWD_TEST(silent_connections, .connections = MANY, .is_silent = true,
	   .returns = 1)

/* A crowd that comes back each time that it is closed, in its own thread. */
typedef struct restless {
	crowd_t *crowd;
	gint is_over;
} restless_t;

static void *run_restless(void *arg)
{
	restless_t *r = arg;

	crowd_go_on(r->crowd, &r->is_over);
	return NULL;
}

/* A refused caller comes back after a while, as it is told. */
static int call_again(const unruly_t *u, size_t len)
{
	int status = 0;

	for (int i = 0; i < MOST_TRIES && status != HTTP_OK; i++) {
		if (i)
			g_usleep(RETRY_US);
		status = unruly_call(u, len);
	}
	return status;
}

static void play_restless(bool is_fleet)
{
	static const crowd_shape_t shape = { .connections = CROWD,
					     .body = LONG_BODY,
					     .announced = LONG_BODY,
					     .piece = 16 * KB,
					     .returns = G_MAXINT };
	restless_t r = { 0 };
	GThread *thread;
	unruly_t u;

	unruly_init(&u, is_fleet);
	r.crowd = crowd_new(u.ip, UNRULY_PORT, unruly_head(&u), &shape);
	thread = g_thread_new("crowd", run_restless, &r);
	while (crowd_sent_all(r.crowd) < CROWD)
		g_usleep(PAUSE_US);
	for (int i = 0; i < CALLS; i++) {
		ck_assert_int_eq(call_again(&u, 2), HTTP_OK);
		ck_assert_int_eq(call_again(&u, ORDINARY_BODY), HTTP_OK);
		unruly_watch(&u);
	}
	check_bounds(&u);
	g_atomic_int_set(&r.is_over, 1);
	g_thread_join(thread);
	g_printerr("%d connections sent all\n", crowd_sent_all(r.crowd));
	crowd_free(r.crowd);
	unruly_finish(&u);
}

START_TEST(own_crowd_that_comes_back)
{
	play_restless(false);
}
END_TEST

START_TEST(fleet_crowd_that_comes_back)
{
	play_restless(true);
}
END_TEST

/* An answer that is read slowly, of a connection that closes after it. */
START_TEST(fleet_answer_is_whole_beside_silent_connections)
{
	static const crowd_shape_t shape = { .connections = MANY,
					     .is_silent = true,
					     .returns = 1 };
	static char answer[UNRULY_LARGE_ANSWER + 4 * KB];
	int buffer = 64 * KB;
	size_t n = 0;
	ssize_t got;
	unruly_t u;
	crowd_t *crowd;
	int fd;

	unruly_init(&u, true);
	fd = unruly_connect(&u);
	ck_assert_int_ge(fd, 0);
	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &buffer, sizeof(buffer));
	ck_assert(tcp_send_all(fd, LARGE_REQUEST, strlen(LARGE_REQUEST)));
	while (n < KB && (got = tcp_receive(fd, answer + n, KB, WAIT_MS)) > 0)
		n += (size_t)got;
	crowd = crowd_new(u.ip, UNRULY_PORT, unruly_head(&u), &shape);
	crowd_run(crowd, unruly_watch, &u);
	while ((got = tcp_receive(fd, answer + n, sizeof(answer) - n,
				  WAIT_MS)) > 0)
		n += (size_t)got;
	ck_assert_uint_gt(n, UNRULY_LARGE_ANSWER);
	check_bounds(&u);
	close(fd);
	crowd_free(crowd);
	unruly_finish(&u);
}
END_TEST

/* A single body of the greatest legal length is served in calm. */
static void serve_longest(bool is_fleet)
{
	unruly_t u;

	unruly_init(&u, is_fleet);
	ck_assert_int_eq(unruly_call(&u, is_fleet ? 4 * MB : LONG_BODY),
			 HTTP_OK);
	unruly_finish(&u);
}

START_TEST(own_longest_body_is_served)
{
	serve_longest(false);
}
END_TEST

START_TEST(fleet_longest_body_is_served)
{
	serve_longest(true);
}
END_TEST

SUITE_MAIN("unruly_clients", own_announced_bodies_that_stop_short,
	   fleet_announced_bodies_that_stop_short,
	   own_bodies_piece_by_piece_that_stop_short,
	   fleet_bodies_piece_by_piece_that_stop_short,
	   own_large_chunks_that_stop_short, fleet_large_chunks_that_stop_short,
	   own_small_chunks_that_stop_short, fleet_small_chunks_that_stop_short,
	   own_small_chunks_piece_by_piece, fleet_small_chunks_piece_by_piece,
	   own_bodies_announced_far_too_long,
	   fleet_bodies_announced_far_too_long, own_bodies_sent_far_too_long,
	   fleet_bodies_sent_far_too_long, own_heads_that_stop_short,
	   fleet_heads_that_stop_short, own_silent_connections,
	   fleet_silent_connections, own_crowd_that_comes_back,
	   fleet_crowd_that_comes_back,
	   fleet_answer_is_whole_beside_silent_connections,
	   own_longest_body_is_served, fleet_longest_body_is_served)
