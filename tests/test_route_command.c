/*
 * An operator asks a real daemon where a request would go: at both interfaces,
 * and nothing is sent to a runner by asking.
 */
#include <glib.h>
#include <string.h>
#include <unistd.h>

#include "tests/lib_suite.h"
#include "tests/lib_unruly.h"

enum { OUTPUT_BYTES = 16 * 1024, CTL_MS = 10000 };

/* Runs papayactl route for a path; returns its output, and its exit code. */
static char *ask(const unruly_t *u, const char *path, const char *key,
		 int *status)
{
	g_autofree char *admin = g_strdup_printf("%s:8002", u->ip);
	g_autofree char *header = g_strdup_printf("X-Key: %s", key);
	const char *const args[] = { "route",
				     "--admin",
				     admin,
				     "--token",
				     "0123456789abcdef",
				     "-H",
				     "Host: h",
				     "-H",
				     "X-Attempt-Id: a1",
				     "-H",
				     header,
				     path,
				     NULL };
	char *text = g_malloc0(OUTPUT_BYTES);
	size_t n = 0;
	ssize_t got;
	process_t p;

	ck_assert(process_start(&p, "papayactl", args, NULL, true));
	while (n + 1 < OUTPUT_BYTES &&
	       (got = read(p.out, text + n, OUTPUT_BYTES - 1 - n)) > 0)
		n += (size_t)got;
	*status = process_wait(&p, CTL_MS);
	return text;
}

static void check_says(const char *text, const char *wanted)
{
	ck_assert_msg(strstr(text, wanted) != NULL, "%s is missing in\n%s",
		      wanted, text);
}

START_TEST(a_fleets_request_is_explained)
{
	g_autofree char *text = NULL;
	unruly_t u;
	int status;

	unruly_init(&u, true);
	text = ask(&u, "/desk/x", "key", &status);
	ck_assert_int_eq(status, 0);
	check_says(text, "route r, configuration 1, team t, rank ");
	check_says(text, "dispatcher desk");
	check_says(text, "granted at once");
	check_says(text, "chosen");
	check_says(text, "i-0");
	unruly_finish(&u);
}
END_TEST

START_TEST(the_answer_of_a_refusal_is_told)
{
	g_autofree char *no_route = NULL;
	g_autofree char *no_key = NULL;
	unruly_t u;
	int status;

	unruly_init(&u, true);
	no_route = ask(&u, "/elsewhere/x", "key", &status);
	ck_assert_int_eq(status, 0);
	check_says(no_route, "answered with 404: no route fits");
	no_key = ask(&u, "/desk/x", "other", &status);
	check_says(no_key, "answered with 401: the key is not known");
	unruly_finish(&u);
}
END_TEST

START_TEST(a_request_of_the_own_interface_is_explained)
{
	g_autofree char *text = NULL;
	g_autofree char *unknown = NULL;
	unruly_t u;
	int status;

	unruly_init(&u, false);
	text = ask(&u, "/v1/services/desk/x", "", &status);
	ck_assert_int_eq(status, 0);
	check_says(text, "route desk");
	check_says(text, "granted at once");
	check_says(text, "chosen");
	unknown = ask(&u, "/v1/services/none/x", "", &status);
	check_says(unknown, "answered with 404: no such service is in force");
	unruly_finish(&u);
}
END_TEST

SUITE_MAIN("route_command", a_fleets_request_is_explained,
	   the_answer_of_a_refusal_is_told,
	   a_request_of_the_own_interface_is_explained)
