/*
 * Fault soak: runs random faults, in series and overlapping, against real
 * daemons under load, and checks the results of callers and runners.
 *
 * Prints "ok seed N" or "FAIL seed N" with its findings, and keeps the logs
 * of a run that failed; the last line is "N passed, N failed". When a seed with
 * an entry "soak:N " in KNOWN-RED.txt fails, it counts neither as passed nor as
 * failed and "KNOWN RED soak seed N" is printed too. With --list it runs the
 * seeds of a file, one per line: SEED SECONDS, and the defect that the seed
 * once found.
 */
#include <glib.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "standin/lib_args.h"
#include "tests/lib_run_dir.h"
#include "tests/lib_soak_check.h"
#include "tests/lib_soak_plan.h"

enum {
	MAX_ACTIVE = 4, /* faults at once */
	MEAN_INTERVAL_MS = 700, /* between the starts of two faults */
	MEAN_NOTICE_INTERVAL_MS = 1500, /* the same for notices */
	NOTICE_SEED_STEP = 1000003, /* separates the seeds of the two tables */
	RECOVERY_MS = 12000, /* from the last fault to full service */
	FULL_SERVICE_MS = 4000, /* duration of the full-service check */
	POLL_US = 10000,
	CONFIG_MS = 2000, /* until a version is in force everywhere */
	CONFIG_RECOVER_MS = 4000, /* after a fault of the store or a daemon */
	DRAIN_SLACK_MS = 500, /* beyond a daemon's drain time */
	LOAD_LIMIT_MS = 15000, /* after the last arrival */
	STATUS_NOT_FOUND = 404,
	MAX_SHOWN = 20, /* findings printed per run */
};

typedef struct soak_run {
	soak_cluster_t cluster;
	GArray *faults; /* soak_fault_t, in order of their beginnings */
	soak_findings_t findings;
	GRand *rand[SOAK_TABLES]; /* one each, so that a seed is reproducible */
	FILE *event_log; /* faults and exits with their times */
	int64_t start_ms;
	int64_t next_ms[SOAK_TABLES]; /* of the next fault */
	int64_t published_ms; /* newest version; 0: it was probed already */
} soak_run_t;

static void log_event(soak_run_t *r, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

static void log_event(soak_run_t *r, const char *fmt, ...)
{
	va_list args;

	fprintf(r->event_log, "%6d ", (int)(soak_now_ms() - r->start_ms));
	va_start(args, fmt);
	vfprintf(r->event_log, fmt, args);
	va_end(args);
	fputc('\n', r->event_log);
	fflush(r->event_log);
}

/* Reports unexpected exits and drains that exceed the time limit. */
static void watch_daemon(soak_run_t *r, soak_node_t *n)
{
	int status;

	if (n->state == SOAK_DOWN)
		return;
	status = process_wait(&n->process, 0);
	if (n->state == SOAK_LEAVING && status == -1 &&
	    soak_now_ms() - n->since_ms > SOAK_DRAIN_MS + DRAIN_SLACK_MS) {
		soak_add_finding(&r->findings,
				 "DRAIN %s did not exit within its drain time",
				 n->name);
		process_kill(&n->process);
		status = 0;
	}
	if (status == -1)
		return;
	log_event(r, "%s exited with status %d", n->name, status);
	if (n->state != SOAK_LEAVING || status)
		soak_add_finding(&r->findings, "DRAIN %s exited with status %d",
				 n->name, status);
	if (n->state == SOAK_LEAVING)
		soak_set_state(n, SOAK_DOWN);
	else if (!soak_start_daemon(&r->cluster, n->index))
		soak_add_finding(&r->findings, "%s did not start again",
				 n->name);
}

static void watch_daemons(soak_run_t *r)
{
	for (int i = 0; i < SOAK_DAEMONS; i++)
		watch_daemon(r, &r->cluster.daemons[i]);
}

/*
 * True if DAEMON must have the newest version: since CONFIG_RECOVER_MS before
 * the publication it has been up, and no fault has kept it from the store.
 */
static bool must_have_newest(const soak_run_t *r, int daemon)
{
	const soak_node_t *n = &r->cluster.daemons[daemon];
	int64_t since = r->published_ms - CONFIG_RECOVER_MS;

	if (n->state != SOAK_UP || n->since_ms > since)
		return false;
	for (guint i = 0; i < r->faults->len; i++) {
		const soak_fault_t *f =
			&g_array_index(r->faults, soak_fault_t, i);
		bool affects_daemon =
			f->kind->place == SOAK_ON_STORE ||
			(!soak_is_runner_fault(f) && f->target == daemon);

		if (affects_daemon && strcmp(f->kind->name, "config") &&
		    (!f->is_over || f->end_ms >= since))
			return false;
	}
	return true;
}

static void probe_version(soak_run_t *r, int daemon)
{
	int version = r->cluster.version;
	g_autofree char *added = g_strdup_printf("/v%d/x", version);
	g_autofree char *removed =
		g_strdup_printf("/v%d/x", version - SOAK_VERSION_ROUTES);
	const char *name = r->cluster.daemons[daemon].name;

	if (soak_probe(&r->cluster, daemon, added) == STATUS_NOT_FOUND)
		soak_add_finding(&r->findings,
				 "CONFIG %s lacks the route of version %d",
				 name, version);
	if (version > SOAK_VERSION_ROUTES &&
	    soak_probe(&r->cluster, daemon, removed) != STATUS_NOT_FOUND)
		soak_add_finding(
			&r->findings,
			"CONFIG %s still has a route removed by version %d",
			name, version);
}

/* Probes the daemons for the newest version once it must be in force. */
static void probe_versions(soak_run_t *r)
{
	if (!r->published_ms || soak_now_ms() - r->published_ms < CONFIG_MS)
		return;
	for (int i = 0; i < SOAK_DAEMONS; i++)
		if (must_have_newest(r, i))
			probe_version(r, i);
	r->published_ms = 0;
}

static int count_active(const soak_run_t *r)
{
	int n = 0;

	for (guint i = 0; i < r->faults->len; i++)
		n += !g_array_index(r->faults, soak_fault_t, i).is_over;
	return n;
}

static void begin_fault(soak_run_t *r, soak_table_t table)
{
	static const int mean_interval_ms[] = {
		[SOAK_FAULTS] = MEAN_INTERVAL_MS,
		[SOAK_NOTICES] = MEAN_NOTICE_INTERVAL_MS,
	};
	GRand *rand = r->rand[table];
	soak_fault_t f;
	bool is_config;

	r->next_ms[table] += (int64_t)(-log(1 - g_rand_double(rand)) *
				       mean_interval_ms[table]);
	if (!soak_fault_draw(&r->cluster, table, rand, &f) ||
	    count_active(r) >= MAX_ACTIVE)
		return;
	is_config = !strcmp(f.kind->name, "config");
	/* Publish no version before the previous one was probed. */
	if (is_config && r->published_ms)
		return;
	log_event(r, "%s on %d begins", f.kind->name, f.target);
	if (!soak_fault_begin(&r->cluster, &f))
		soak_add_finding(&r->findings, "fault %s could not be set",
				 f.kind->name);
	if (is_config)
		r->published_ms = soak_now_ms();
	g_array_append_val(r->faults, f);
}

/* Ends the faults whose time is over, or with IS_ALL every fault. */
static void end_faults(soak_run_t *r, bool is_all)
{
	for (guint i = 0; i < r->faults->len; i++) {
		soak_fault_t *f = &g_array_index(r->faults, soak_fault_t, i);

		if (f->is_over || (!is_all && soak_now_ms() < f->end_ms) ||
		    !soak_fault_may_end(&r->cluster, f))
			continue;
		if (!soak_fault_end(&r->cluster, f))
			soak_add_finding(&r->findings,
					 "fault %s could not be removed",
					 f->kind->name);
		log_event(r, "%s on %d is over", f->kind->name, f->target);
	}
}

static void end_all_faults(soak_run_t *r)
{
	while (count_active(r)) {
		end_faults(r, true);
		watch_daemons(r);
		g_usleep(POLL_US);
	}
}

static void run_until(soak_run_t *r, int64_t end_ms, bool has_faults)
{
	while (soak_now_ms() < end_ms) {
		for (int t = 0; has_faults && t < SOAK_TABLES; t++)
			if (soak_now_ms() >= r->next_ms[t])
				begin_fault(r, (soak_table_t)t);
		end_faults(r, false);
		watch_daemons(r);
		probe_versions(r);
		g_usleep(POLL_US);
	}
}

/* Runs one seed in DIR; true without findings. */
static bool run_seed(soak_run_t *r, uint32_t seed, double seconds, double rate,
		     const char *dir)
{
	int64_t recovered_ms = 0, faults_ms = (int64_t)(seconds * 1000);
	double load_seconds =
		seconds + (RECOVERY_MS + FULL_SERVICE_MS) / 1000.0;
	g_autofree char *log_path = g_build_filename(dir, "events.log", NULL);

	r->faults = g_array_new(FALSE, TRUE, sizeof(soak_fault_t));
	for (uint32_t t = 0; t < SOAK_TABLES; t++)
		r->rand[t] = g_rand_new_with_seed(seed + t * NOTICE_SEED_STEP);
	r->event_log = fopen(log_path, "w");
	r->start_ms = soak_now_ms();
	soak_findings_init(&r->findings);
	if (!soak_cluster_start(&r->cluster, dir) ||
	    !soak_start_load(&r->cluster, rate, load_seconds, seed)) {
		soak_add_finding(&r->findings,
				 "the deployment or its callers did not start");
	} else {
		r->start_ms = soak_now_ms();
		for (int t = 0; t < SOAK_TABLES; t++)
			r->next_ms[t] = r->start_ms + MEAN_INTERVAL_MS;
		run_until(r, r->start_ms + faults_ms, true);
		end_all_faults(r);
		recovered_ms = soak_now_ms() + RECOVERY_MS;
		run_until(r, recovered_ms + FULL_SERVICE_MS, false);
		if (process_wait(&r->cluster.load, LOAD_LIMIT_MS))
			soak_add_finding(
				&r->findings,
				"the callers failed or did not exit in time");
		soak_check(&r->cluster, r->faults, recovered_ms, &r->findings);
	}
	soak_cluster_finish(&r->cluster);
	fclose(r->event_log);
	return !r->findings.texts->len;
}

static void report(soak_run_t *r, uint32_t seed, const char *dir)
{
	printf("%s seed %u%s%s\n", r->findings.texts->len ? "FAIL" : "ok", seed,
	       r->findings.texts->len ? ", logs in " : "",
	       r->findings.texts->len ? dir : "");
	for (guint i = 0; i < MIN(r->findings.texts->len, MAX_SHOWN); i++)
		printf("   %s\n", (char *)r->findings.texts->pdata[i]);
	fflush(stdout);
	soak_findings_finish(&r->findings);
	g_array_unref(r->faults);
	for (int t = 0; t < SOAK_TABLES; t++)
		g_rand_free(r->rand[t]);
}

static bool is_known_red(const char *list, uint32_t seed)
{
	g_autofree char *entry = g_strdup_printf("soak:%u ", seed);

	return run_is_known_red(list, entry);
}

/* Options that apply to all seeds, and the counts of their results. */
typedef struct soak_session {
	char *known_red;
	double rate;
	int passed, failed;
} soak_session_t;

static void run_and_report(soak_session_t *session, uint32_t seed,
			   double seconds)
{
	static soak_run_t run;
	g_autofree char *dir = g_dir_make_tmp("papaya-soak-XXXXXX", NULL);
	bool ok;

	memset(&run, 0, sizeof(run));
	ok = run_seed(&run, seed, seconds, session->rate, dir);
	report(&run, seed, dir);
	if (ok)
		run_dir_remove(dir);
	if (!ok && is_known_red(session->known_red, seed))
		printf("KNOWN RED soak seed %u\n", seed);
	else
		*(ok ? &session->passed : &session->failed) += 1;
}

static bool run_list(soak_session_t *session, const char *path)
{
	g_autofree char *text = NULL;
	g_auto(GStrv) lines = NULL;

	if (!g_file_get_contents(path, &text, NULL, NULL))
		return false;
	lines = g_strsplit(text, "\n", -1);
	for (char **line = lines; *line; line++) {
		unsigned int seed;
		double seconds;

		if (sscanf(*line, "%u %lf", &seed, &seconds) == 2)
			run_and_report(session, seed, seconds);
	}
	return true;
}

int main(int argc, char **argv)
{
	double first = 1, n_seeds = 1, seconds = 12;
	const char *known = NULL, *list = NULL;
	soak_session_t session = { .rate = 60 };
	const arg_row_t rows[] = {
		{ "seed", ARG_NUMBER, &first, "the first seed to run" },
		{ "seeds", ARG_NUMBER, &n_seeds,
		  "number of consecutive seeds to run" },
		{ "seconds", ARG_NUMBER, &seconds,
		  "duration of the faults of each seed" },
		{ "list", ARG_TEXT, &list,
		  "file with the seeds to run instead" },
		{ "rate", ARG_NUMBER, &session.rate, "calls per second" },
		{ "known-red", ARG_TEXT, &known, "file of known failures" },
	};

	args_read(argc, argv, rows, G_N_ELEMENTS(rows));
	if (known)
		g_file_get_contents(known, &session.known_red, NULL, NULL);
	if (list && !run_list(&session, list)) {
		fprintf(stderr, "soak: %s can't be read\n", list);
		return EXIT_FAILURE;
	}
	for (int i = 0; !list && i < (int)n_seeds; i++)
		run_and_report(&session, (uint32_t)first + (uint32_t)i,
			       seconds);
	printf("%d passed, %d failed\n", session.passed, session.failed);
	g_free(session.known_red);
	return session.failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
