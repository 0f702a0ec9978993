#define _GNU_SOURCE
#include "tests/lib_process.h"

#include <fcntl.h>
#include <glib.h>
#include <signal.h>
#include <spawn.h>
#include <stdio.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

enum { POLL_US = 5000 };

const char *process_build_dir(void)
{
	static char dir[4096];
	ssize_t len;

	if (dir[0])
		return dir;
	len = readlink("/proc/self/exe", dir, sizeof(dir) - 1);
	dir[MAX(len, 0)] = '\0';
	/* BUILD/tests/PROGRAM */
	for (int i = 0; i < 2; i++) {
		char *slash = strrchr(dir, '/');

		if (slash)
			*slash = '\0';
	}
	return dir;
}

static void redirect(posix_spawn_file_actions_t *actions, const char *log_path,
		     const int *pipe_ends)
{
	const int flags = O_WRONLY | O_CREAT | O_APPEND;

	if (log_path) {
		posix_spawn_file_actions_addopen(actions, STDERR_FILENO,
						 log_path, flags, 0644);
		posix_spawn_file_actions_adddup2(actions, STDERR_FILENO,
						 STDOUT_FILENO);
	}
	if (pipe_ends)
		posix_spawn_file_actions_adddup2(actions, pipe_ends[1],
						 STDOUT_FILENO);
}

static bool spawn(process_t *p, const char *name, const char *const *args,
		  const char *log_path, const int *pipe_ends, short flags)
{
	g_autofree char *path =
		g_canonicalize_filename(name, process_build_dir());
	char *argv[PROCESS_MAX_ARGS + 2] = { path };
	posix_spawn_file_actions_t actions;
	posix_spawnattr_t attr;
	int error;

	for (int i = 0; args[i] && i < PROCESS_MAX_ARGS; i++)
		argv[i + 1] = (char *)args[i];
	posix_spawn_file_actions_init(&actions);
	posix_spawnattr_init(&attr);
	posix_spawnattr_setflags(&attr, flags);
	redirect(&actions, log_path, pipe_ends);
	error = posix_spawn(&p->pid, path, &actions, &attr, argv, environ);
	posix_spawnattr_destroy(&attr);
	posix_spawn_file_actions_destroy(&actions);
	if (error) {
		fprintf(stderr, "%s: %s\n", path, strerror(error));
		p->pid = 0;
	}
	return !error;
}

bool process_start(process_t *p, const char *name, const char *const *args,
		   const char *log_path, bool is_piped)
{
	int pipe_ends[2] = { -1, -1 };
	bool ok;

	memset(p, 0, sizeof(*p));
	p->out = -1;
	if (is_piped && pipe2(pipe_ends, O_CLOEXEC))
		return false;
	ok = spawn(p, name, args, log_path, is_piped ? pipe_ends : NULL, 0);
	if (is_piped) {
		close(pipe_ends[1]);
		p->out = pipe_ends[0];
	}
	return ok;
}

bool process_start_group(process_t *p, const char *name,
			 const char *const *args, const char *log_path)
{
	memset(p, 0, sizeof(*p));
	p->out = -1;
	return spawn(p, name, args, log_path, NULL, POSIX_SPAWN_SETPGROUP);
}

void process_kill_group(process_t *p)
{
	if (p->pid > 0)
		kill(-p->pid, SIGKILL);
	process_kill(p);
}

static bool read_line(int fd, char *line, size_t size)
{
	size_t n = 0;

	while (n + 1 < size && read(fd, line + n, 1) == 1 && line[n] != '\n')
		n++;
	line[n] = '\0';
	return n > 0;
}

bool process_start_standin(process_t *p, const char *name,
			   const char *const *args)
{
	char line[PROCESS_ADDRESS_SIZE + 16];

	if (!process_start(p, name, args, NULL, true))
		return false;
	if (!read_line(p->out, line, sizeof(line)) ||
	    sscanf(line, "listening %63s", p->address) != 1) {
		process_kill(p);
		return false;
	}
	return true;
}

void process_signal(const process_t *p, int number)
{
	if (p->pid > 0)
		kill(p->pid, number);
}

static void close_pipe(process_t *p)
{
	if (p->out >= 0)
		close(p->out);
	p->out = -1;
}

int process_wait(process_t *p, int ms)
{
	gint64 end = g_get_monotonic_time() + ms * 1000LL;
	int status;

	if (p->pid <= 0)
		return 0;
	while (waitpid(p->pid, &status, WNOHANG) == 0) {
		if (g_get_monotonic_time() >= end)
			return -1;
		g_usleep(POLL_US);
	}
	p->pid = 0;
	close_pipe(p);
	return WIFSIGNALED(status) ? 128 + WTERMSIG(status) :
				     WEXITSTATUS(status);
}

int process_stop(process_t *p, int ms)
{
	int status;

	process_signal(p, SIGCONT);
	process_signal(p, SIGTERM);
	status = process_wait(p, ms);
	if (status < 0)
		process_kill(p);
	return status;
}

void process_kill(process_t *p)
{
	int status;

	if (p->pid <= 0)
		return;
	kill(p->pid, SIGKILL);
	waitpid(p->pid, &status, 0);
	p->pid = 0;
	close_pipe(p);
}
