/*
 * Runs the fault cases on real processes, a few in parallel.
 *
 * Each prints "ok NAME seed N" or "FAIL NAME seed N: reason". When a case with
 * an entry "faults:NAME " in KNOWN-RED.txt fails, "KNOWN RED NAME ..." is
 * printed instead and the case counts neither as passed nor as failed. The
 * last line is "N passed, N failed".
 */
#include <glib.h>
#include <glib/gstdio.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "standin/lib_args.h"
#include "tests/lib_fault_table.h"
#include "tests/lib_run_dir.h"

enum {
	MAX_JOBS = 8,
	CASE_LIMIT_MS = 100000,
	EXIT_FAILED = 1,
	EXIT_TIMED_OUT = 124, /* as of timeout(1) */
	POLL_US = 20000,
};

/* A case that runs in a process of its own. */
typedef struct job {
	const fault_case_t *fault;
	uint32_t seed;
	process_t process;
	char *dir;
	char *out;
	gint64 end_us;
} job_t;

typedef struct suite {
	job_t jobs[MAX_JOBS];
	int n_jobs;
	char *known_red;
	char *root; /* parent of the cases' folders */
	int passed, failed, known;
} suite_t;

static volatile sig_atomic_t is_stopping;

static void on_stop_signal(int number)
{
	is_stopping = 1;
}

/* Runs one case in this process; called in the child. */
static int run_case(const char *name, uint32_t seed, const char *dir)
{
	static case_run_t run;

	for (size_t i = 0; i < fault_table_size; i++) {
		if (strcmp(fault_table[i].name, name))
			continue;
		if (case_execute(&run, &fault_table[i], dir, seed))
			return EXIT_SUCCESS;
		printf("%s\n", run.reason);
		return EXIT_FAILED;
	}
	printf("no fault case of this name; see --list\n");
	return EXIT_FAILED;
}

static bool is_known_red(const suite_t *s, const char *name)
{
	g_autofree char *entry = g_strdup_printf("faults:%s ", name);

	return run_is_known_red(s->known_red, entry);
}

static void report(suite_t *s, const job_t *job, int status)
{
	g_autofree char *reason = NULL;

	if (status == 0) {
		printf("ok %s seed %u\n", job->fault->name, job->seed);
		s->passed++;
		run_dir_remove(job->dir);
		return;
	}
	if (!g_file_get_contents(job->out, &reason, NULL, NULL) || !*reason) {
		g_free(reason);
		reason = g_strdup_printf("exit status %d", status);
	}
	g_strchomp(reason);
	if (is_known_red(s, job->fault->name)) {
		printf("KNOWN RED %s seed %u: %s\n", job->fault->name,
		       job->seed, reason);
		s->known++;
	} else {
		printf("FAIL %s seed %u: %s (logs in %s)\n", job->fault->name,
		       job->seed, reason, job->dir);
		s->failed++;
	}
}

static bool start_job(suite_t *s, job_t *job, const fault_case_t *fault,
		      uint32_t seed)
{
	g_autofree char *number = g_strdup_printf("%u", seed);
	g_autofree char *folder = g_strdup_printf("%s-%u", fault->name, seed);

	job->fault = fault;
	job->seed = seed;
	job->dir = g_build_filename(s->root, folder, NULL);
	job->out = g_build_filename(job->dir, "case.out", NULL);
	job->end_us = g_get_monotonic_time() + CASE_LIMIT_MS * 1000LL;
	const char *const args[] = { "--run", fault->name, "--seed", number,
				     "--dir", job->dir,	   NULL };

	return !g_mkdir_with_parents(job->dir, 0700) &&
	       process_start_group(&job->process, "tests/faults", args,
				   job->out);
}

static void clear_job(job_t *job)
{
	g_free(job->dir);
	g_free(job->out);
	memset(job, 0, sizeof(*job));
}

static void kill_all(suite_t *s)
{
	for (int i = 0; i < s->n_jobs; i++)
		process_kill_group(&s->jobs[i].process);
}

/* Reports a case that ended; kills one that exceeds the time limit. */
static void poll_job(suite_t *s, job_t *job)
{
	int status = process_wait(&job->process, 0);

	if (status == -1 && g_get_monotonic_time() > job->end_us) {
		process_kill_group(&job->process);
		status = EXIT_TIMED_OUT;
	}
	if (status == -1)
		return;
	report(s, job, status);
	clear_job(job);
}

/*
 * Returns the first free job, waiting for one if necessary. With IS_LAST, waits
 * until all jobs are free and returns NULL.
 */
static job_t *await_job(suite_t *s, bool is_last)
{
	for (;;) {
		bool is_busy = false;

		if (is_stopping) {
			kill_all(s);
			exit(EXIT_FAILURE);
		}
		for (int i = 0; i < s->n_jobs; i++) {
			job_t *job = &s->jobs[i];

			if (job->fault)
				poll_job(s, job);
			if (!job->fault && !is_last)
				return job;
			is_busy |= job->fault != NULL;
		}
		if (!is_busy)
			return NULL;
		g_usleep(POLL_US);
	}
}

static void run_all(suite_t *s, const char *only, uint32_t seed)
{
	for (size_t i = 0; i < fault_table_size; i++) {
		job_t *job;

		if (only && strcmp(fault_table[i].name, only))
			continue;
		job = await_job(s, false);
		if (start_job(s, job, &fault_table[i], seed))
			continue;
		report(s, job, EXIT_FAILED);
		clear_job(job);
	}
	await_job(s, true);
}

static void print_list(void)
{
	for (size_t i = 0; i < fault_table_size; i++)
		printf("%s\n", fault_table[i].name);
}

int main(int argc, char **argv)
{
	suite_t s = { 0 };
	const char *only = NULL, *run = NULL, *dir = NULL;
	double seed = 1, jobs = 4, seeds = 1;
	bool is_list = false;
	const arg_row_t rows[] = {
		{ "seed", ARG_NUMBER, &seed, "seed of the first run" },
		{ "seeds", ARG_NUMBER, &seeds,
		  "number of consecutive seeds to run" },
		{ "only", ARG_TEXT, &only, "run only this case" },
		{ "jobs", ARG_NUMBER, &jobs, "cases to run in parallel" },
		{ "list", ARG_FLAG, &is_list, "print the names of all cases" },
		{ "run", ARG_TEXT, &run,
		  "run this case in the current process" },
		{ "dir", ARG_TEXT, &dir, "folder for the files of --run" },
	};
	g_autofree char *root = NULL;

	args_read(argc, argv, rows, G_N_ELEMENTS(rows));
	setvbuf(stdout, NULL, _IOLBF, 0);
	if (is_list) {
		print_list();
		return EXIT_SUCCESS;
	}
	if (run && dir)
		return run_case(run, (uint32_t)seed, dir);
	signal(SIGTERM, on_stop_signal);
	signal(SIGINT, on_stop_signal);
	root = g_dir_make_tmp("faults-XXXXXX", NULL);
	s.root = root;
	s.n_jobs = CLAMP((int)jobs, 1, MAX_JOBS);
	g_file_get_contents("KNOWN-RED.txt", &s.known_red, NULL, NULL);
	for (int i = 0; i < (int)seeds; i++)
		run_all(&s, only, (uint32_t)seed + (uint32_t)i);
	if (s.known)
		printf("%d known red\n", s.known);
	printf("%d passed, %d failed\n", s.passed, s.failed);
	g_rmdir(root);
	g_free(s.known_red);
	return s.failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
