/*
 * Daemons that are cut off from all runners, as real processes: callers, the
 * store and the other daemons still reach them. Checks that first tries at
 * them, and at the daemons from which nothing was cut, are served as before.
 *
 * Each case prints what was served before the cut and from SETTLE_MS after it
 * began; the last line is "N passed, N failed".
 */
#include <arpa/inet.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "standin/lib_args.h"
#include "tests/lib_run_dir.h"
#include "tests/lib_soak_cluster.h"
#include "tests/lib_soak_plan.h"

enum {
	RUNNER_PORT = 9000,
	CALM_MS = 6000, /* before the cut */
	CUT_MS = 12000,
	SETTLE_MS = 3000, /* in which the daemons notice it */
	END_MS = 500, /* of the cut, in which calls may overlap its end */
	LOAD_LIMIT_MS = 20000,
	MOST_FAILURES = 10, /* beyond 1 in FAILURES_DIVISOR */
	FAILURES_DIVISOR = 50,
	FILLING = 4, /* connections that fill a backlog of none */
	LINE_SIZE = 4096,
};

typedef struct cut_case {
	const char *name;
	const char *how; /* as in tests/shim/partition.c */
	unsigned int daemons; /* those cut off; bits, zones alternate */
	double rate; /* calls per second */
} cut_case_t;

static const cut_case_t cases[] = {
	{ "refused-ended", "re", 0x03, 60 },
	{ "refused-living", "rl", 0x03, 60 },
	{ "hanging-ended", "he", 0x03, 60 },
	{ "hanging-silent", "hs", 0x03, 60 },
	{ "hanging-most", "he", 0x0f, 60 },
	{ "refused-zone", "re", 0x15, 60 },
	{ "refused-fast", "re", 0x03, 200 },
};

typedef struct served {
	int calls, whole;
} served_t;

typedef struct play {
	const cut_case_t *how;
	soak_cluster_t cluster;
	int hanging; /* listener whose backlog is full */
	int filling[FILLING];
	int64_t cut_at; /* milliseconds, as in the callers' results */
	served_t before, cut, others;
} play_t;

/* A listener that accepts nothing: further connections to it hang. */
static bool begin_hanging(play_t *p)
{
	struct sockaddr_in name = { .sin_family = AF_INET,
				    .sin_port = htons(RUNNER_PORT) };
	g_autofree char *ip = g_strdup_printf("127.%d.9.250", p->cluster.net);

	inet_pton(AF_INET, ip, &name.sin_addr);
	p->hanging = socket(AF_INET, SOCK_STREAM, 0);
	if (bind(p->hanging, (struct sockaddr *)&name, sizeof(name)) ||
	    listen(p->hanging, 0))
		return false;
	for (int i = 0; i < FILLING; i++) {
		p->filling[i] = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
		(void)connect(p->filling[i], (struct sockaddr *)&name,
			      sizeof(name));
	}
	return true;
}

static void end_hanging(play_t *p)
{
	for (int i = 0; i < FILLING; i++)
		close(p->filling[i]);
	close(p->hanging);
}

static bool is_cut(const play_t *p, int daemon)
{
	return p->how->daemons >> daemon & 1;
}

static bool set_cut(const play_t *p, const char *how)
{
	bool is_ok = true;

	for (int i = 0; i < SOAK_DAEMONS; i++) {
		g_autofree char *file =
			g_strdup_printf("daemon-%d.json.cut", i);
		g_autofree char *path = soak_path(&p->cluster, file);

		if (is_cut(p, i))
			is_ok &= g_file_set_contents(path, how, -1, NULL);
	}
	return is_ok;
}

static int daemon_at(const play_t *p, const char *address)
{
	for (int i = 0; i < SOAK_DAEMONS; i++)
		if (!strcmp(p->cluster.daemons[i].address, address))
			return i;
	return -1;
}

static void count_call(play_t *p, int64_t begin, int daemon, bool is_whole)
{
	served_t *s = NULL;

	if (begin < p->cut_at)
		s = &p->before;
	else if (begin >= p->cut_at + SETTLE_MS &&
		 begin < p->cut_at + CUT_MS - END_MS)
		s = is_cut(p, daemon) ? &p->cut : &p->others;
	if (!s)
		return;
	s->calls++;
	s->whole += is_whole;
}

static void read_call(play_t *p, const char *line)
{
	json_t *j = json_loads(line, 0, NULL);
	json_int_t begin = 0;
	const char *kind = "", *key = "", *daemon = "", *how = "";
	int status = 0;

	if (j &&
	    !json_unpack(j, "{s:s,s:s,s:s,s:I,s:i,s:s}", "kind", &kind, "key",
			 &key, "daemon", &daemon, "begin", &begin, "status",
			 &status, "how", &how) &&
	    strcmp(kind, "nowhere") != 0 && strcmp(key, "stranger") != 0)
		count_call(p, begin, daemon_at(p, daemon),
			   status == 200 && !strcmp(how, "whole"));
	json_decref(j);
}

static bool read_calls(play_t *p)
{
	g_autofree char *path = soak_path(&p->cluster, "calls");
	FILE *in = fopen(path, "r");
	char line[LINE_SIZE];

	while (in && fgets(line, sizeof(line), in))
		read_call(p, line);
	if (in)
		fclose(in);
	return p->before.calls && p->cut.calls && p->others.calls;
}

static bool is_served(const served_t *s)
{
	return s->calls - s->whole <=
	       MOST_FAILURES + s->calls / FAILURES_DIVISOR;
}

static bool play(play_t *p, const char *dir, uint32_t seed)
{
	double seconds = (CALM_MS + CUT_MS) / 1000.0;

	if (!soak_cluster_start(&p->cluster, dir) || !begin_hanging(p) ||
	    !soak_start_load(&p->cluster, p->how->rate, seconds, seed))
		return false;
	g_usleep((gulong)CALM_MS * 1000);
	p->cut_at = soak_now_ms();
	if (!set_cut(p, p->how->how))
		return false;
	g_usleep((gulong)CUT_MS * 1000);
	return set_cut(p, "nl") &&
	       !process_wait(&p->cluster.load, LOAD_LIMIT_MS) && read_calls(p);
}

static bool run_case(const cut_case_t *how, uint32_t seed)
{
	g_autofree char *dir = g_dir_make_tmp("papaya-partition-XXXXXX", NULL);
	play_t p = { .how = how };
	bool is_ok = play(&p, dir, seed);

	if (!is_ok)
		fprintf(stderr, "partition: %s could not be played\n",
			how->name);
	soak_cluster_finish(&p.cluster);
	end_hanging(&p);
	is_ok = is_ok && is_served(&p.cut) && is_served(&p.others);
	printf("%s %s: before %d of %d, cut off %d of %d, others %d of %d%s%s\n",
	       is_ok ? "ok" : "FAIL", how->name, p.before.whole, p.before.calls,
	       p.cut.whole, p.cut.calls, p.others.whole, p.others.calls,
	       is_ok ? "" : ", logs in ", is_ok ? "" : dir);
	fflush(stdout);
	if (is_ok)
		run_dir_remove(dir);
	return is_ok;
}

/* Whether ONLY, names separated by commas, has the case; NULL: it has all. */
static bool is_wanted(const char *only, const char *name)
{
	g_auto(GStrv) names = only ? g_strsplit(only, ",", -1) : NULL;

	return !names || g_strv_contains((const char *const *)names, name);
}

int main(int argc, char **argv)
{
	const char *only = NULL, *known = NULL;
	double seed = 1;
	const arg_row_t rows[] = {
		{ "only", ARG_TEXT, &only, "cases to play: NAME,..." },
		{ "seed", ARG_NUMBER, &seed, "of the calls" },
		{ "known-red", ARG_TEXT, &known, "file of known failures" },
	};
	g_autofree char *shim = NULL, *known_red = NULL;
	int passed = 0, failed = 0;

	args_read(argc, argv, rows, G_N_ELEMENTS(rows));
	if (known)
		g_file_get_contents(known, &known_red, NULL, NULL);
	shim = g_build_filename(process_build_dir(), "tests", "libpartition.so",
				NULL);
	g_setenv("LD_PRELOAD", shim, TRUE);
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		g_autofree char *entry =
			g_strdup_printf("partition:%s ", cases[i].name);

		if (!is_wanted(only, cases[i].name))
			continue;
		if (run_case(&cases[i], (uint32_t)seed))
			passed++;
		else if (run_is_known_red(known_red, entry))
			printf("KNOWN RED partition %s\n", cases[i].name);
		else
			failed++;
	}
	printf("%d passed, %d failed\n", passed, failed);
	return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
