/*
 * Preloaded into daemons by tests/partition.c and tests/streams.c: cuts a daemon
 * off from all runners while it reaches everything else. The file that is named
 * like the daemon's settings, plus ".cut", says how:
 *   n  nothing is cut (the same without the file)
 *   r  new connections to runners are refused
 *   h  new connections to runners hang
 * and after that letter what becomes of open ones:
 *   e  they end, as if runners had ended them in order    x  they are reset
 *   l  they live on    s  nothing more arrives on them
 *
 * Or it says z and the third byte of a zone's addresses, a digit: connections
 * between that zone and all else are refused, and open ones reset. The settings of
 * such daemons are named IP.json.
 *
 * Runners are reached at 127.NET.9.*:9000; 127.NET.9.250:9000 accepts nothing.
 */
#define _GNU_SOURCE
#include <arpa/inet.h>
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <linux/filter.h>
#include <netinet/in.h>
#include <pthread.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum {
	MAX_FDS = 4096,
	RUNNER_PORT = 9000,
	RUNNER_BLOCK = 9, /* third byte of the address */
	HANGING_HOST = 250, /* last byte */
	POLL_US = 20 * 1000,
	PATH_SIZE = 512,
};

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static char is_runner[MAX_FDS]; /* by descriptor */
static char blocks[MAX_FDS]; /* third byte of the peer and 1; 0: none */
static int own_block; /* third byte of this daemon's address */
static char zone_digit; /* while a zone is cut off: its block */
static char mode = 'n';
static char file[PATH_SIZE];

static int block_of(const struct sockaddr *addr, socklen_t len)
{
	struct sockaddr_in to;

	if (addr->sa_family != AF_INET || len < sizeof(to))
		return -1;
	memcpy(&to, addr, sizeof(to));
	return ntohl(to.sin_addr.s_addr) >> 8 & 0xff;
}

/* Whether a connection to BLOCK crosses the border of the zone that is cut. */
static int is_across(int block, char digit)
{
	return (block == digit - '0') != (own_block == digit - '0');
}

/* Notes the peer; returns whether the connection is to be refused. */
static int is_zone_cut(int fd, int block)
{
	int is_cut;

	if (block < 0 || fd >= MAX_FDS)
		return 0;
	pthread_mutex_lock(&lock);
	blocks[fd] = (char)(block + 1);
	is_cut = zone_digit && is_across(block, zone_digit);
	pthread_mutex_unlock(&lock);
	return is_cut;
}

static int is_to_runner(const struct sockaddr *addr, socklen_t len,
			struct sockaddr_in *to)
{
	uint32_t ip;

	if (addr->sa_family != AF_INET || len < sizeof(*to))
		return 0;
	memcpy(to, addr, sizeof(*to));
	ip = ntohl(to->sin_addr.s_addr);
	return ip >> 24 == 127 && (ip >> 8 & 0xff) == RUNNER_BLOCK &&
	       ntohs(to->sin_port) == RUNNER_PORT;
}

int connect(int fd, const struct sockaddr *addr, socklen_t len)
{
	int (*real)(int, const struct sockaddr *, socklen_t);
	struct sockaddr_in to;
	char now;

	*(void **)&real = dlsym(RTLD_NEXT, "connect");
	if (is_zone_cut(fd, block_of(addr, len))) {
		errno = ECONNREFUSED;
		return -1;
	}
	if (!is_to_runner(addr, len, &to) || fd >= MAX_FDS)
		return real(fd, addr, len);
	pthread_mutex_lock(&lock);
	now = mode;
	is_runner[fd] = 1;
	pthread_mutex_unlock(&lock);
	if (now == 'r') {
		errno = ECONNREFUSED;
		return -1;
	}
	if (now == 'h')
		to.sin_addr.s_addr = htonl(
			(ntohl(to.sin_addr.s_addr) & ~0xffU) | HANGING_HOST);
	return real(fd, (const struct sockaddr *)&to, sizeof(to));
}

int close(int fd)
{
	int (*real)(int);

	*(void **)&real = dlsym(RTLD_NEXT, "close");
	if (fd >= 0 && fd < MAX_FDS) {
		pthread_mutex_lock(&lock);
		is_runner[fd] = 0;
		blocks[fd] = 0;
		pthread_mutex_unlock(&lock);
	}
	return real(fd);
}

/* What arrives at the socket is dropped, acknowledgements too. */
static void silence(int fd)
{
	struct sock_filter none = BPF_STMT(BPF_RET | BPF_K, 0);
	struct sock_fprog program = { 1, &none };

	setsockopt(fd, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof(program));
}

static void end_silence(int fd)
{
	int none = 0;

	setsockopt(fd, SOL_SOCKET, SO_DETACH_FILTER, &none, sizeof(none));
}

/* Sends a reset; reads fail then, where shutdown() would end them in order. */
static void reset(int fd)
{
	struct sockaddr none = { .sa_family = AF_UNSPEC };
	int (*real)(int, const struct sockaddr *, socklen_t);

	*(void **)&real = dlsym(RTLD_NEXT, "connect");
	real(fd, &none, sizeof(none));
}

static void set_zone(char digit)
{
	pthread_mutex_lock(&lock);
	for (int fd = 0; digit && digit != zone_digit && fd < MAX_FDS; fd++)
		if (blocks[fd] && is_across(blocks[fd] - 1, digit))
			reset(fd);
	zone_digit = digit;
	pthread_mutex_unlock(&lock);
}

static void set_mode(char next, char open_ones)
{
	pthread_mutex_lock(&lock);
	for (int fd = 0; next != mode && fd < MAX_FDS; fd++) {
		if (!is_runner[fd])
			continue;
		if (next == 'n')
			end_silence(fd);
		else if (open_ones == 'e')
			shutdown(fd, SHUT_RDWR);
		else if (open_ones == 'x')
			reset(fd);
		else if (open_ones == 's')
			silence(fd);
	}
	mode = next;
	pthread_mutex_unlock(&lock);
}

static void read_mode(void)
{
	char text[2] = { 'n', 'l' };
	int fd = open(file, O_RDONLY | O_CLOEXEC);

	if (fd >= 0) {
		if (read(fd, text, sizeof(text)) != sizeof(text))
			text[0] = 'n';
		close(fd);
	}
	set_zone(text[0] == 'z' ? text[1] : 0);
	if (text[0] == 'z')
		text[0] = 'n';
	set_mode(text[0], text[1]);
}

static void *watch(void *unused)
{
	for (;;) {
		read_mode();
		usleep(POLL_US);
	}
	return NULL;
}

/* Daemons have one argument, the path of their settings. */
__attribute__((constructor)) static void begin(void)
{
	char line[PATH_SIZE] = "";
	int fd = open("/proc/self/cmdline", O_RDONLY | O_CLOEXEC);
	ssize_t n = fd < 0 ? 0 : read(fd, line, sizeof(line) - 1);
	size_t program = strlen(line) + 1;
	pthread_t thread;

	if (fd >= 0)
		close(fd);
	if (n <= (ssize_t)program || !strstr(line, "papayad"))
		return;
	snprintf(file, sizeof(file), "%.500s.cut", line + program);
	sscanf(strrchr(file, '/') ? strrchr(file, '/') : file, "/127.%*d.%d.",
	       &own_block);
	if (!pthread_create(&thread, NULL, watch, NULL))
		pthread_detach(thread);
}
