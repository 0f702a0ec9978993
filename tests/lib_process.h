/* Real processes for tests: started, stopped by process id. */
#ifndef TESTS_LIB_PROCESS_H
#define TESTS_LIB_PROCESS_H

#include <stdbool.h>
#include <sys/types.h>

enum { PROCESS_ADDRESS_SIZE = 64, PROCESS_MAX_ARGS = 40 };

typedef struct process {
	pid_t pid; /* 0: not running */
	int out; /* pipe from its standard output; -1: none */
	char address[PROCESS_ADDRESS_SIZE]; /* stand-ins: where it listens */
} process_t;

/* Returns the folder that the programs were built into. */
const char *process_build_dir(void);

/*
 * Starts build/NAME with ARGS (NULL-terminated, without the program's name).
 * LOG_PATH receives standard error, and standard output too unless it is
 * piped; NULL leaves standard error as it is.
 */
bool process_start(process_t *p, const char *name, const char *const *args,
		   const char *log_path, bool is_piped);
/*
 * The same in a process group of its own, which what it starts belongs to;
 * for process_kill_group.
 */
bool process_start_group(process_t *p, const char *name,
			 const char *const *args, const char *log_path);
/* SIGKILL to the whole group, and reaps its first process. */
void process_kill_group(process_t *p);
/* Starts a stand-in and waits until it listens. */
bool process_start_standin(process_t *p, const char *name,
			   const char *const *args);
/* Sends a signal; no effect when it is not running. */
void process_signal(const process_t *p, int number);
/*
 * Waits up to MS for the end and reaps it. Returns the exit status, 128 and
 * more for a signal, -1 when it is still running.
 */
int process_wait(process_t *p, int ms);
/* SIGTERM, then SIGKILL after MS; returns what process_wait would. */
int process_stop(process_t *p, int ms);
/* SIGKILL, and reaps it. */
void process_kill(process_t *p);

#endif
