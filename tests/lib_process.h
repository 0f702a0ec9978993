/* Starts and stops processes for tests, always by process id. */
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
 * Starts build/NAME with ARGS (NULL-terminated, without the program's name);
 * a NAME that is an absolute path stands for itself.
 * LOG_PATH receives standard error, and standard output too unless it is
 * piped; NULL leaves standard error as it is.
 */
bool process_start(process_t *p, const char *name, const char *const *args,
		   const char *log_path, bool is_piped);
/*
 * Like process_start without a pipe, in a new process group that its own child
 * processes belong to, for process_kill_group.
 */
bool process_start_group(process_t *p, const char *name,
			 const char *const *args, const char *log_path);
/* Sends SIGKILL to the whole group and reaps its first process. */
void process_kill_group(process_t *p);
/* Starts a stand-in, waits until it listens, and sets p->address. */
bool process_start_standin(process_t *p, const char *name,
			   const char *const *args);
/* Sends a signal; no effect if the process is not running. */
void process_signal(const process_t *p, int number);
/*
 * Waits up to MS milliseconds for the process to end and reaps it. Returns its
 * exit status, 128 plus the number of the signal that ended it, -1 if it is
 * still running, or 0 if there is no process to wait for.
 */
int process_wait(process_t *p, int ms);
/*
 * Sends SIGTERM, also to a paused process, and after MS milliseconds SIGKILL.
 * Returns what process_wait returned; -1 means that SIGKILL was needed.
 */
int process_stop(process_t *p, int ms);
/* Sends SIGKILL and reaps the process. */
void process_kill(process_t *p);

#endif
