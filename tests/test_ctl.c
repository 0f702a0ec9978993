#include <glib.h>
#include <glib/gstdio.h>
#include <stdlib.h>
#include <unistd.h>

#include "core/accounts.h"
#include "core/config_docs.h"
#include "ctl/ctl.h"
#include "tests/lib_fake_platform.h"
#include "tests/lib_suite.h"

enum { MAX_ARGS = 32 };

static const int64_t NOW_MS = 1700000000000;

#define BODY "{\"tiers\":[{\"name\":\"a\",\"need_ms\":1}]}"

#define SETTINGS                                                           \
	"{\"name\":\"d\",\"zone\":\"a\",\"zones\":[\"a\",\"b\"],\n"        \
	"\"listen\":\"127.0.0.1:1\",\"peer_listen\":\"127.0.0.1:2\",\n"    \
	"\"admin_listen\":\"127.0.0.1:3\",\"platform\":\"127.0.0.1:4\",\n" \
	"\"peer_secret\":\"0123456789abcdef\",\n"                          \
	"\"operator_token\":\"0123456789abcdef\"}"

typedef struct fixture {
	struct event_base *base;
	fake_platform_t platform;
	char *file; /* a valid profile */
	char *out;
	char *err;
	size_t out_len;
	size_t err_len;
} fixture_t;

static int64_t clock_ms(void)
{
	return g_get_monotonic_time() / 1000;
}

static int64_t fixed_clock_ms(void)
{
	return NOW_MS;
}

static char *write_file(const char *text)
{
	char *path;
	int fd = g_file_open_tmp("papaya-ctl-XXXXXX", &path, NULL);

	ck_assert_int_ge(fd, 0);
	close(fd);
	ck_assert(g_file_set_contents(path, text, -1, NULL));
	return path;
}

static void setup(fixture_t *f)
{
	memset(f, 0, sizeof(*f));
	f->base = event_base_new();
	fake_platform_init(&f->platform, f->base);
	f->file = write_file("// comment\n" BODY);
}

static void teardown(fixture_t *f)
{
	fake_platform_finish(&f->platform);
	event_base_free(f->base);
	g_unlink(f->file);
	g_free(f->file);
	free(f->out);
	free(f->err);
}

/* Runs a command line; replaces @F by the file, @P by the platform. */
static int run_at(fixture_t *f, int64_t (*now_ms)(void), const char *line)
{
	g_auto(GStrv) words = g_strsplit(line, " ", MAX_ARGS);
	ctl_t ctl = { f->base, NULL, NULL, now_ms };
	char *argv[MAX_ARGS + 2] = { "papayactl" };
	int argc = 1;
	int code;

	free(f->out);
	free(f->err);
	ctl.out = open_memstream(&f->out, &f->out_len);
	ctl.err = open_memstream(&f->err, &f->err_len);
	for (size_t i = 0; words[i]; i++) {
		argv[argc++] = words[i];
		if (!strcmp(words[i], "@F"))
			argv[argc - 1] = f->file;
		else if (!strcmp(words[i], "@P"))
			argv[argc - 1] = f->platform.http.address;
	}
	code = ctl_run(&ctl, argc, argv);
	fclose(ctl.out);
	fclose(ctl.err);
	return code;
}

static int run(fixture_t *f, const char *line)
{
	return run_at(f, clock_ms, line);
}

#define PUBLISH                                                         \
	"publish --platform @P --doc profile/p --by op --token secret " \
	"--wait-ms 600 --timeout-ms 150 @F"

START_TEST(usage_errors_exit_with_2)
{
	static const char *const lines[] = {
		"",
		"nonsense",
		"publish",
		"publish --doc profile/p @F",
		"publish --nonsense",
		"check @F",
		"report",
		"report --platform @P --by day",
		"report --platform @P --from yesterday",
	};
	fixture_t f;

	setup(&f);
	for (size_t i = 0; i < G_N_ELEMENTS(lines); i++) {
		ck_assert_msg(run(&f, lines[i]) == CTL_USAGE, "%s", lines[i]);
		ck_assert_uint_gt(f.err_len, 0);
		ck_assert_uint_eq(f.out_len, 0);
	}
	teardown(&f);
}
END_TEST

START_TEST(help_and_version_exit_with_0)
{
	static const char *const lines[] = {
		"--help",	  "--version",	   "check --help",
		"publish --help", "report --help", "profiles --help",
	};
	fixture_t f;

	setup(&f);
	for (size_t i = 0; i < G_N_ELEMENTS(lines); i++) {
		ck_assert_msg(run(&f, lines[i]) == CTL_OK, "%s", lines[i]);
		ck_assert_uint_gt(f.out_len, 0);
	}
	teardown(&f);
}
END_TEST

START_TEST(check_accepts_valid_and_rejects_invalid_files)
{
	static const char document[] = "check --doc profile/p @F";
	static const char settings[] = "check --settings @F";
	static const struct {
		const char *line;
		const char *text;
		int code;
		const char *message;
	} cases[] = {
		{ document, BODY, CTL_OK, "is sound" },
		{ document, "{\"tiers\":[]}", CTL_ERROR, "1 to 8 tiers" },
		{ document, "{", CTL_ERROR, "profile/p:1:1" },
		{ settings, "{\n\"nonsense\":1}", CTL_ERROR,
		  ":2:1: nonsense: unknown key" },
		{ settings, SETTINGS, CTL_OK, "settings are sound" },
		{ "check @F", BODY, CTL_USAGE, "--doc or --settings" },
		{ "check --settings --doc profile/p @F", BODY, CTL_USAGE,
		  "--doc or --settings" },
	};
	fixture_t f;

	setup(&f);
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		ck_assert(g_file_set_contents(f.file, cases[i].text, -1, NULL));
		ck_assert_int_eq(run(&f, cases[i].line), cases[i].code);
		ck_assert_msg(strstr(f.out, cases[i].message) ||
				      strstr(f.err, cases[i].message),
			      "%s%s", f.out, f.err);
	}
	ck_assert_int_eq(run(&f, "check --doc profile/p /nowhere/at/all"),
			 CTL_ERROR);
	teardown(&f);
}
END_TEST

/* Result of publish after each kind of failed append. */
START_TEST(publish_handles_failed_appends)
{
	static const struct {
		const char *name;
		fake_append_t append[8];
		int code;
		const char *out;
		guint records;
	} cases[] = {
		{ "sound", { 0 }, CTL_OK, "accepted 1\n", 1 },
		{ "answer lost",
		  { FAKE_APPEND_LOST },
		  CTL_OK,
		  "accepted 1\n",
		  1 },
		{ "dropped, then sound",
		  { FAKE_APPEND_DROPPED },
		  CTL_OK,
		  "accepted 1\n",
		  1 },
		{ "over the rate",
		  { FAKE_APPEND_RATE },
		  CTL_OK,
		  "accepted 1\n",
		  1 },
		{ "outage ends",
		  { FAKE_APPEND_OUTAGE },
		  CTL_OK,
		  "accepted 1\n",
		  1 },
		{ "outage lasts",
		  { FAKE_APPEND_OUTAGE, FAKE_APPEND_OUTAGE, FAKE_APPEND_OUTAGE,
		    FAKE_APPEND_OUTAGE, FAKE_APPEND_OUTAGE, FAKE_APPEND_OUTAGE,
		    FAKE_APPEND_OUTAGE, FAKE_APPEND_OUTAGE },
		  CTL_ERROR,
		  "",
		  0 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		fixture_t f;

		setup(&f);
		memcpy(f.platform.append, cases[i].append,
		       sizeof(cases[i].append));
		fake_platform_add(&f.platform, "east", "e1", 1)->token =
			"secret";
		ck_assert_msg(run(&f, PUBLISH) == cases[i].code, "%s: %s",
			      cases[i].name, f.err);
		ck_assert_str_eq(f.out, cases[i].out);
		ck_assert_uint_eq(f.platform.config->len, cases[i].records);
		ck_assert(!cases[i].code || strstr(f.err, "--base 0"));
		teardown(&f);
	}
}
END_TEST

static char *concurrent_publication(void)
{
	return config_docs_write_publication("profile/p", 0, "rival", "other",
					     STR_LIT(BODY));
}

START_TEST(concurrent_publish_supersedes_one_operator)
{
	static const fake_append_t faults[] = { FAKE_APPEND_OK,
						FAKE_APPEND_LOST,
						FAKE_APPEND_DROPPED };

	for (size_t i = 0; i < G_N_ELEMENTS(faults); i++) {
		fixture_t f;

		setup(&f);
		f.platform.concurrent_record = concurrent_publication();
		f.platform.append[0] = faults[i];
		fake_platform_add(&f.platform, "east", "e1", 1);
		ck_assert_int_eq(run(&f, PUBLISH), CTL_SUPERSEDED);
		ck_assert_str_eq(f.out, "superseded\n");
		/* The next publication has the accepted version as its base. */
		f.platform.vms[0].version = 2;
		ck_assert_int_eq(run(&f, PUBLISH), CTL_OK);
		ck_assert_str_eq(f.out, "accepted 2\n");
		teardown(&f);
	}
}
END_TEST

START_TEST(publish_keeps_a_given_base)
{
	fixture_t f;

	setup(&f);
	g_ptr_array_add(f.platform.config, concurrent_publication());
	ck_assert_int_eq(run(&f, PUBLISH " --base 0"), CTL_SUPERSEDED);
	teardown(&f);
}
END_TEST

/*
 * Each case gives the state of two VMs in zone east and one in zone west, and
 * the expected exit code and output.
 */
START_TEST(publish_accepts_only_when_every_zone_reports_it)
{
	static const struct {
		const char *name;
		uint64_t versions[3];
		/*
		 * One letter a VM: s accepts but never answers, d refuses
		 * connections, l is leaving, t expects another token.
		 */
		const char *special;
		int code;
		const char *out;
	} cases[] = {
		{ "all", { 1, 1, 1 }, "   ", CTL_OK, "accepted 1\n" },
		{ "newer too", { 2, 1, 9 }, "   ", CTL_OK, "accepted 1\n" },
		{ "west behind",
		  { 1, 1, 0 },
		  "   ",
		  CTL_PENDING,
		  "pending 1: west\n" },
		{ "one daemon of east behind",
		  { 1, 0, 1 },
		  "   ",
		  CTL_PENDING,
		  "pending 1: east\n" },
		{ "all behind",
		  { 0, 0, 0 },
		  "   ",
		  CTL_PENDING,
		  "pending 1: east, west\n" },
		{ "one silent",
		  { 1, 1, 1 },
		  " s ",
		  CTL_PENDING,
		  "pending 1: east\n" },
		{ "one dead", { 1, 1, 1 }, " d ", CTL_OK, "accepted 1\n" },
		{ "west dead",
		  { 1, 1, 1 },
		  "  d",
		  CTL_PENDING,
		  "pending 1: west\n" },
		{ "one leaving", { 1, 0, 1 }, " l ", CTL_OK, "accepted 1\n" },
		{ "wrong token",
		  { 1, 1, 1 },
		  "  t",
		  CTL_PENDING,
		  "pending 1: west\n" },
	};
	static const char *const zones[] = { "east", "east", "west" };
	static const char *const names[] = { "e1", "e2", "w1" };

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		fixture_t f;

		setup(&f);
		for (size_t k = 0; k < 3; k++) {
			fake_vm_t *vm = fake_platform_add(&f.platform, zones[k],
							  names[k],
							  cases[i].versions[k]);
			char special = cases[i].special[k];

			vm->token = special == 't' ? "other" : "secret";
			vm->is_silent = special == 's';
			vm->is_leaving = special == 'l';
			if (special == 'd')
				fake_http_finish(&vm->http);
		}
		ck_assert_msg(run(&f, PUBLISH) == cases[i].code, "%s: %s",
			      cases[i].name, f.out);
		ck_assert_str_eq(f.out, cases[i].out);
		teardown(&f);
	}
}
END_TEST

START_TEST(publish_stays_pending_without_a_vm_list)
{
	fixture_t f;

	setup(&f);
	ck_assert_int_eq(run(&f, PUBLISH), CTL_PENDING);
	ck_assert_str_eq(f.out, "pending 1: the VM list has no entry VM\n");
	f.platform.fails_vm_list = true;
	ck_assert_int_eq(run(&f, PUBLISH), CTL_PENDING);
	ck_assert_str_eq(f.out, "pending 2: the VM list could not be read\n");
	teardown(&f);
}
END_TEST

START_TEST(publish_fails_if_records_have_expired)
{
	fixture_t f;

	setup(&f);
	g_ptr_array_add(f.platform.config, concurrent_publication());
	g_ptr_array_add(f.platform.config, g_strdup("junk"));
	f.platform.oldest = 1;
	ck_assert_int_eq(run(&f, PUBLISH), CTL_ERROR);
	ck_assert_ptr_nonnull(strstr(f.err, "no snapshot covers"));
	ck_assert_uint_eq(f.platform.config->len, 2);
	teardown(&f);
}
END_TEST

START_TEST(publish_refuses_a_bad_document_before_sending)
{
	fixture_t f;

	setup(&f);
	ck_assert(g_file_set_contents(f.file, "{}", -1, NULL));
	ck_assert_int_eq(run(&f, PUBLISH), CTL_ERROR);
	ck_assert_ptr_nonnull(strstr(f.err, "tiers: this field is required"));
	ck_assert_int_eq(f.platform.http.requests, 0);
	teardown(&f);
}
END_TEST

START_TEST(profiles_lists_versions_and_prints_bodies)
{
	fixture_t f;

	setup(&f);
	g_ptr_array_add(f.platform.config, concurrent_publication());
	ck_assert_int_eq(run(&f, "profiles --platform @P"), CTL_OK);
	ck_assert_ptr_nonnull(strstr(f.out, "profile/p"));
	ck_assert_int_eq(run(&f, "profiles --platform @P --doc profile/p"),
			 CTL_OK);
	ck_assert_str_eq(f.out, BODY "\n");
	ck_assert_int_eq(run(&f, "profiles --platform @P --doc profile/q"),
			 CTL_ERROR);
	teardown(&f);
}
END_TEST

/* One batch of each of two daemons; the second one's is in the log twice. */
static void fill_accounts(fixture_t *f)
{
	static const struct {
		const char *tier, *team;
		accounts_sum_t sum;
	} work[] = {
		{ "holds",
		  "agents",
		  { .offered = 10, .in_need = 9, .late = 1 } },
		{ "drafts",
		  "agents",
		  { .offered = 4,
		    .in_need = 3,
		    .not_run = 1,
		    .prompt_useful = 900,
		    .prompt_wasted = { [WASTE_PREEMPTED] = 100 } } },
	};

	for (int d = 0; d < 2; d++) {
		accounts_t a;
		uint64_t seq;
		str_t text;

		accounts_init(&a, STR_LIT("vm"), (uint64_t)d, 100, 4);
		for (size_t i = 0; i < G_N_ELEMENTS(work); i++) {
			accounts_key_t key = { .service = "s" };

			g_strlcpy(key.tier, work[i].tier, sizeof(key.tier));
			g_strlcpy(key.team, work[i].team, sizeof(key.team));
			accounts_add(&a, &key, &work[i].sum);
		}
		accounts_close_batch(&a, NOW_MS - 90000 + d * 60000LL);
		text = accounts_next_record(&a, &seq);
		for (int n = 0; n <= d; n++)
			g_ptr_array_add(f->platform.accounts,
					g_strndup(text.ptr, text.len));
		accounts_finish(&a);
	}
}

START_TEST(report_sums_exactly_and_shows_what_is_missing)
{
	static const struct {
		const char *line;
		const char *expect[3];
	} cases[] = {
		{ "report --platform @P --json",
		  { "\"offered\": 20", "\"prompt_wasted_preempted\": 200",
		    "\"repeats\": 1" } },
		{ "report --platform @P --json --by tier",
		  { "\"in_need\": 18", "\"tier\": \"holds\"",
		    "\"unended\": 1" } },
		{ "report --platform @P --json --by time",
		  { "\"time_ms\": 1699999860000", "\"time_ms\": 1699999920000",
		    "\"offered\": 14" } },
		{ "report --platform @P --from 2023-11-14T22:12:30Z --json",
		  { "\"offered\": 10", "\"offered\": 4", "\"offered\": 14" } },
		{ "report --platform @P",
		  { "preempted=200", "90.00", "batches: 2 read" } },
	};
	fixture_t f;

	setup(&f);
	fill_accounts(&f);
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		ck_assert_int_eq(run_at(&f, fixed_clock_ms, cases[i].line),
				 CTL_OK);
		for (size_t k = 0; k < G_N_ELEMENTS(cases[i].expect); k++)
			ck_assert_msg(strstr(f.out, cases[i].expect[k]) != NULL,
				      "%s: no %s in %s", cases[i].line,
				      cases[i].expect[k], f.out);
	}
	teardown(&f);
}
END_TEST

START_TEST(a_summary_keeps_sums_when_records_expire)
{
	static const char report[] = "report --platform @P --json --by tier";
	fixture_t f;

	setup(&f);
	fill_accounts(&f);
	ck_assert_int_eq(run_at(&f, fixed_clock_ms, "summarize --platform @P"),
			 CTL_OK);
	ck_assert_uint_eq(f.platform.accounts->len, 4);
	/* Batches that the summary covers are not counted again. */
	ck_assert_int_eq(run(&f, report), CTL_OK);
	ck_assert_ptr_nonnull(strstr(f.out, "\"offered\": 20"));
	f.platform.accounts_oldest = 3;
	ck_assert_int_eq(run(&f, report), CTL_OK);
	ck_assert_ptr_nonnull(strstr(f.out, "\"offered\": 20"));
	ck_assert_ptr_nonnull(strstr(f.out, "\"unread\": 0"));
	/* Without the summary, the expired batches are reported as unread. */
	g_ptr_array_remove_index(f.platform.accounts, 3);
	ck_assert_int_eq(run(&f, report), CTL_OK);
	ck_assert_ptr_nonnull(strstr(f.out, "\"unread\": 3"));
	teardown(&f);
}
END_TEST

#define SERVICE \
	"{\"profile\":\"p\",\"kind\":\"plain\",\"default_tier\":\"holds\"}"
#define TIERS                                                               \
	"{\"tiers\":[{\"name\":\"holds\",\"protected\":true,\"need_ms\":1," \
	"\"objective\":0.999},{\"name\":\"drafts\",\"need_ms\":1,"          \
	"\"objective\":0.5}]}"

START_TEST(burn_alerts_only_when_both_windows_burn)
{
	/* holds: 1 of 10 bad per batch, 90 s and 30 s ago; drafts: 1 of 4. */
	static const struct {
		const char *line;
		int code;
		const char *expect;
	} cases[] = {
		{ "burn --platform @P --min-requests 5", CTL_ALERT,
		  "        1       10   100.00        2       20   100.00  "
		  "ALERT" },
		{ "burn --platform @P --threshold 101", CTL_OK, "100.00" },
		{ "burn --platform @P --short-s 10", CTL_OK, "0.00" },
		{ "burn --platform @P --min-requests 21", CTL_OK, "100.00" },
		{ "burn --platform @P --at 2023-11-14T23:00:00Z --long-s 60",
		  CTL_OK, "OBJECTIVE" },
	};
	fixture_t f;

	setup(&f);
	fill_accounts(&f);
	g_ptr_array_add(f.platform.config,
			config_docs_write_publication("profile/p", 0, "a", "op",
						      STR_LIT(TIERS)));
	g_ptr_array_add(f.platform.config,
			config_docs_write_publication("service/s", 0, "b", "op",
						      STR_LIT(SERVICE)));
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_autofree char *line =
			i ? g_strdup(cases[i].line) :
			    g_strconcat(cases[i].line, " --short-s 60", NULL);

		ck_assert_msg(run_at(&f, fixed_clock_ms, line) == cases[i].code,
			      "%s: %s%s", line, f.out, f.err);
		ck_assert_msg(strstr(f.out, cases[i].expect) != NULL, "%s: %s",
			      line, f.out);
	}
	teardown(&f);
}
END_TEST

START_TEST(burn_writes_a_self_contained_page)
{
	static const char *const parts[] = {
		"<svg",	   "preempted: 200",	   "late: 2",
		"s holds", "class=\"tile alert\"", "&lt;b&gt;team",
		"</html>",
	};
	static const char *const forbidden[] = { "http", "<script",
						 "src=", "nan", "<b>team" };
	accounts_key_t key = { "s", "drafts", "<b>team" };
	accounts_sum_t sum = { .offered = 1, .in_need = 1 };
	g_autofree char *page = NULL;
	g_autofree char *line = NULL;
	accounts_t a;
	fixture_t f;
	uint64_t seq;

	setup(&f);
	fill_accounts(&f);
	accounts_init(&a, STR_LIT("vm"), 9, 10, 2);
	accounts_add(&a, &key, &sum);
	accounts_close_batch(&a, NOW_MS - 1000);
	g_ptr_array_add(f.platform.accounts,
			g_strdup(accounts_next_record(&a, &seq).ptr));
	g_ptr_array_add(f.platform.config,
			config_docs_write_publication("profile/p", 0, "a", "op",
						      STR_LIT(TIERS)));
	g_ptr_array_add(f.platform.config,
			config_docs_write_publication("service/s", 0, "b", "op",
						      STR_LIT(SERVICE)));
	line = g_strdup_printf("burn --platform @P --html %s", f.file);
	ck_assert_int_eq(run_at(&f, fixed_clock_ms, line), CTL_ALERT);
	ck_assert(g_file_get_contents(f.file, &page, NULL, NULL));
	for (size_t i = 0; i < G_N_ELEMENTS(parts); i++)
		ck_assert_msg(strstr(page, parts[i]) != NULL, "no %s",
			      parts[i]);
	for (size_t i = 0; i < G_N_ELEMENTS(forbidden); i++)
		ck_assert_msg(strstr(page, forbidden[i]) == NULL, "a %s",
			      forbidden[i]);
	accounts_finish(&a);
	teardown(&f);
}
END_TEST

START_TEST(status_and_drain_ask_the_daemons)
{
	static const struct {
		const char *line;
		int code;
		const char *expect;
		const char *last; /* request that the first VM received */
	} cases[] = {
		{ "status --platform @P --token secret", CTL_OK, "state=live",
		  "GET /admin/status" },
		{ "status --platform @P --token wrong", CTL_ERROR, "status 401",
		  "GET /admin/status" },
		{ "drain --platform @P --token secret e1", CTL_OK,
		  "e1 is draining", "POST /admin/drain" },
		{ "drain --platform @P --token wrong e1", CTL_ERROR,
		  "status 401", "POST /admin/drain" },
		{ "drain --platform @P --token secret e9", CTL_ERROR,
		  "no entry VM e9", "" },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		fixture_t f;

		setup(&f);
		fake_platform_add(&f.platform, "east", "e1", 1)->token =
			"secret";
		ck_assert_int_eq(run(&f, cases[i].line), cases[i].code);
		ck_assert_msg(strstr(f.out, cases[i].expect) ||
				      strstr(f.err, cases[i].expect),
			      "%s: %s%s", cases[i].line, f.out, f.err);
		ck_assert_str_eq(f.platform.vms[0].last, cases[i].last);
		teardown(&f);
	}
}
END_TEST

START_TEST(status_shows_a_daemon_that_does_not_answer)
{
	fixture_t f;

	setup(&f);
	fake_platform_add(&f.platform, "east", "e1", 1)->is_silent = true;
	fake_platform_add(&f.platform, "west", "w1", 1);
	ck_assert_int_eq(run(&f, "status --platform @P --timeout-ms 100"),
			 CTL_ERROR);
	ck_assert_ptr_nonnull(strstr(f.out, "no answer"));
	ck_assert_ptr_nonnull(strstr(f.out, "state=live"));
	teardown(&f);
}
END_TEST

static const char publish_line[] = PUBLISH;

START_TEST(a_platform_that_is_down_is_an_error)
{
	static const char *const lines[] = {
		publish_line,
		"status --platform @P",
		"drain --platform @P e1",
		"burn --platform @P",
		"summarize --platform @P",
		"report --platform @P",
		"profiles --platform @P",
	};
	fixture_t f;

	setup(&f);
	fake_http_finish(&f.platform.http);
	for (size_t i = 0; i < G_N_ELEMENTS(lines); i++) {
		ck_assert_int_eq(run(&f, lines[i]), CTL_ERROR);
		ck_assert_ptr_nonnull(strstr(f.err, "peer 127.0.0.1:"));
	}
	teardown(&f);
}
END_TEST

SUITE_MAIN("ctl", usage_errors_exit_with_2, help_and_version_exit_with_0,
	   check_accepts_valid_and_rejects_invalid_files,
	   publish_handles_failed_appends,
	   concurrent_publish_supersedes_one_operator,
	   publish_keeps_a_given_base,
	   publish_accepts_only_when_every_zone_reports_it,
	   publish_stays_pending_without_a_vm_list,
	   publish_fails_if_records_have_expired,
	   publish_refuses_a_bad_document_before_sending,
	   profiles_lists_versions_and_prints_bodies,
	   report_sums_exactly_and_shows_what_is_missing,
	   a_summary_keeps_sums_when_records_expire,
	   burn_alerts_only_when_both_windows_burn,
	   burn_writes_a_self_contained_page, status_and_drain_ask_the_daemons,
	   status_shows_a_daemon_that_does_not_answer,
	   a_platform_that_is_down_is_an_error)
