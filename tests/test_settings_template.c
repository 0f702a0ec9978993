/*
 * Fills in the settings template of the users' platform as the platform does,
 * for deployments unlike the known ones: fractions in every bound, other
 * numbers of zones and seeds, other addresses, some or all bounds left out.
 */
#include <arpa/inet.h>
#include <glib.h>
#include <sys/socket.h>
#include <unistd.h>

#include "daemon/settings.h"
#include "tests/lib_process.h"
#include "tests/lib_run_dir.h"
#include "tests/lib_suite.h"
#include "tests/lib_template.h"

#define TEMPLATE "deploy/papayad.json"

enum {
	START_MS = 10000,
	STOP_MS = 5000,
	POLL_US = 50 * 1000,
	READY_PORT = 29115,
};

static const char whole_bounds[] =
	"{\"drain_ms\":2000,\"grace_s\":8,\"revoke_fail_closed\":false,"
	"\"retry_ratio\":0.2,\"retry_window_s\":10,\"retry_slack\":129,"
	"\"quota_window_s\":8,\"quota_overrun\":0.1,\"quota_slack\":140000}";
static const char fractions[] =
	"{\"drain_ms\":1999.5,\"grace_s\":7.5,\"revoke_fail_closed\":true,"
	"\"retry_ratio\":0.25,\"retry_window_s\":9.4,\"retry_slack\":33.157,"
	"\"quota_window_s\":7.25,\"quota_overrun\":0,\"quota_slack\":7368.42}";
static const char one_zone[] = "{\"north\":\"r\"}";
static const char seven_zones[] =
	"{\"a\":\"r\",\"b\":\"r\",\"c\":\"r\",\"d\":\"r\",\"e\":\"r\","
	"\"f\":\"s\",\"north\":\"r\"}";
static const char seeds[] =
	"[\"127.83.0.9:29111\",\"172.31.255.254:65000\",\"10.9.8.7:1\"]";

typedef struct deployment {
	const char *name;
	const char *host; /* last byte of its address */
	const char *ports; /* the daemons' first and last port */
	const char *zones;
	const char *seeds;
	const char *bounds;
	int64_t drain_ms;
	double retry_slack;
	int64_t retry_window_ms;
	double limit_slack;
	int64_t limit_window_ms;
} deployment_t;

static const deployment_t deployments[] = {
	{ "usual", "1", "[29116,29131]", seven_zones, seeds, whole_bounds, 8000,
	  129, 10000, 140000, 8000 },
	{ "fractions", "2", "[29116,29131]", seven_zones, seeds, fractions,
	  7500, 33.157, 9400, 7368.42, 7250 },
	{ "one zone, no seeds", "200", "[19117,19118]", one_zone, "[]",
	  fractions, 7500, 33.157, 9400, 7368.42, 7250 },
	{ "no bounds of its own", "9", "[31000,31999]", one_zone, "[]", "{}",
	  600000, 100, 10000, 0, 8000 },
	{ "no grace", "3", "[29116,29131]", one_zone, "[]",
	  "{\"grace_s\":0,\"retry_slack\":0,\"retry_ratio\":0}", 0, 0, 10000, 0,
	  8000 },
};

/* Concurrent runs of this test must not collide: one address each. */
static char *ip_of(const deployment_t *d)
{
	unsigned int run = (unsigned int)getppid() % (200 * 250);

	return g_strdup_printf("127.%u.%u.%s", 20 + run / 250, 1 + run % 250,
			       d->host);
}

static json_t *fields_of(const deployment_t *d)
{
	g_autofree char *ip = ip_of(d);
	g_autofree char *text = g_strdup_printf(
		"{\"node_name\":\"edge-north-1\",\"ip\":\"%s\","
		"\"zone\":\"north\",\"region\":\"r\",\"internal_ports\":%s,"
		"\"zones\":%s,\"seeds\":%s,\"bounds\":%s,"
		"\"limits\":{\"cpu_share\":0.084,\"cores\":1,"
		"\"memory_mb\":112.5,\"link_mbps\":10.0},"
		"\"listen\":{\"frontend\":\"%s:29113\",\"ready\":\"%s:%d\","
		"\"control_plane\":\"%s:29111\"},"
		"\"platform\":{\"address\":\"127.83.0.250:29110\"}}",
		ip, d->ports, d->zones, d->seeds, d->bounds, ip, ip, READY_PORT,
		ip);
	json_t *fields = json_loads(text, 0, NULL);

	ck_assert_msg(fields != NULL, "%s: %s", d->name, text);
	return fields;
}

/* Returns the settings of a daemon on DEPLOYMENT, to be freed. */
static char *settings_text(const deployment_t *d)
{
	g_autofree char *template = NULL;
	json_t *fields = fields_of(d);
	GString *out = g_string_new("");

	ck_assert(g_file_get_contents(TEMPLATE, &template, NULL, NULL));
	ck_assert_msg(template_render(template, fields, out), "%s", d->name);
	json_decref(fields);
	return g_string_free(out, FALSE);
}

START_TEST(every_deployment_gives_valid_settings)
{
	for (size_t i = 0; i < G_N_ELEMENTS(deployments); i++) {
		const deployment_t *d = &deployments[i];
		g_autofree char *text = settings_text(d);
		g_autofree char *ip = ip_of(d);
		settings_t s;
		err_t err = { 0 };

		ck_assert_msg(settings_parse(&s, str_from(text), d->name, &err),
			      "%s\n%s", err.detail, text);
		ck_assert_str_eq(s.name, ip);
		ck_assert_int_eq(s.drain_ms, d->drain_ms);
		ck_assert_double_eq(s.retry_slack, d->retry_slack);
		ck_assert_int_eq(s.retry_window_ms, d->retry_window_ms);
		ck_assert_double_eq(s.limit_slack, d->limit_slack);
		ck_assert_int_eq(s.limit_window_ms, d->limit_window_ms);
		settings_finish(&s);
	}
}
END_TEST

static bool is_listening(const char *ip, uint16_t port)
{
	struct sockaddr_in to = { .sin_family = AF_INET,
				  .sin_port = htons(port) };
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	bool is_open;

	inet_pton(AF_INET, ip, &to.sin_addr);
	is_open = !connect(fd, (struct sockaddr *)&to, sizeof(to));
	close(fd);
	return is_open;
}

/* A daemon starts and listens even if no store and no other daemon answers. */
START_TEST(a_daemon_starts_on_every_deployment)
{
	g_autofree char *dir = g_dir_make_tmp("papaya-template-XXXXXX", NULL);

	for (size_t i = 0; i < G_N_ELEMENTS(deployments); i++) {
		const deployment_t *d = &deployments[i];
		g_autofree char *text = settings_text(d);
		g_autofree char *ip = ip_of(d);
		g_autofree char *path = g_build_filename(dir, "s.json", NULL);
		g_autofree char *log = g_build_filename(dir, "log", NULL);
		const char *const args[] = { path, NULL };
		process_t p = { .out = -1 };
		int waited_us = 0;

		ck_assert(g_file_set_contents(path, text, -1, NULL));
		ck_assert(process_start(&p, "papayad", args, log, false));
		while (!is_listening(ip, READY_PORT) &&
		       waited_us < START_MS * 1000) {
			ck_assert_msg(process_wait(&p, 0) == -1, "%s: ended",
				      d->name);
			g_usleep(POLL_US);
			waited_us += POLL_US;
		}
		ck_assert_msg(is_listening(ip, READY_PORT), "%s", d->name);
		ck_assert_int_eq(process_stop(&p, STOP_MS), 0);
	}
	run_dir_remove(dir);
}
END_TEST

SUITE_MAIN("settings_template", every_deployment_gives_valid_settings,
	   a_daemon_starts_on_every_deployment)
