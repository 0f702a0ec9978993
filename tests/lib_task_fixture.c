#include "tests/lib_task_fixture.h"

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "tests/lib_suite.h"

static void *shared_state;

void task_fixture_set_state(void *state)
{
	shared_state = state;
}

void *task_fixture_start(supervisor_t *sup, err_t *err)
{
	return shared_state;
}

void task_fixture_stop(void *state)
{
}

static void no_handle(void *state, const message_t *m)
{
}

const task_spec_t task_fixture_idle = { "idle", 1, task_fixture_start,
					no_handle, task_fixture_stop };

void task_fixture_parse_settings(settings_t *out, const char *members)
{
	g_autofree char *text = g_strdup_printf(
		"{\"name\":\"d\",\"zone\":\"z\",\"zones\":[\"z\"],"
		"\"fleet\":true,\"listen\":\"127.0.0.1:%d\","
		"\"peer_listen\":\"127.0.0.1:%d\","
		"\"admin_listen\":\"127.0.0.1:%d\","
		"\"peer_secret\":\"0123456789abcdef\","
		"\"operator_token\":\"0123456789abcdef\",\"seed\":1,%s}",
		task_fixture_free_port(), task_fixture_free_port(),
		task_fixture_free_port(), members);
	err_t err = { 0 };

	ck_assert_msg(settings_parse(out, str_from(text), "test", &err), "%s",
		      err.detail);
}

int task_fixture_free_port(void)
{
	struct sockaddr_in sin = { .sin_family = AF_INET,
				   .sin_addr.s_addr = htonl(INADDR_LOOPBACK) };
	socklen_t len = sizeof(sin);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	ck_assert_int_eq(bind(fd, (struct sockaddr *)&sin, sizeof(sin)), 0);
	getsockname(fd, (struct sockaddr *)&sin, &len);
	close(fd);
	return ntohs(sin.sin_port);
}

void task_fixture_await_count(struct event_base *base, const int *value, int n,
			      int64_t limit_us)
{
	gint64 limit = g_get_monotonic_time() + limit_us;

	while (*value < n && g_get_monotonic_time() < limit)
		event_base_loop(base, EVLOOP_ONCE);
	ck_assert_int_ge(*value, n);
}
