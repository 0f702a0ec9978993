/*
 * Preloaded into daemons by the fault tests: redirects their connections to
 * the cluster's processes through the relay of the daemon's zone, so that links
 * between zones can be broken in one direction. Relays listen on the target's
 * own IP address; their port is the target's plus 1000 times the number of the
 * zone of origin.
 *
 * PAPAYA_SHIM_NET is the second byte of the cluster's addresses 127.NET.*.*,
 * PAPAYA_SHIM_ZONE the zone of origin, counted from 1.
 */
#define _GNU_SOURCE
#include <arpa/inet.h>
#include <dlfcn.h>
#include <netinet/in.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

enum { PORT_STEP = 1000 };

static int env_number(const char *name)
{
	const char *text = getenv(name);

	return text ? (int)strtol(text, NULL, 10) : -1;
}

int connect(int fd, const struct sockaddr *addr, socklen_t len)
{
	int (*real)(int, const struct sockaddr *, socklen_t);
	struct sockaddr_in to;
	uint32_t ip;

	*(void **)&real = dlsym(RTLD_NEXT, "connect");
	if (addr->sa_family != AF_INET || len < sizeof(to))
		return real(fd, addr, len);
	memcpy(&to, addr, sizeof(to));
	ip = ntohl(to.sin_addr.s_addr);
	/*
	 * Third byte 0 is the platform's, which is reached by its own relays.
	 */
	if (ip >> 24 == 127 &&
	    (int)(ip >> 16 & 0xff) == env_number("PAPAYA_SHIM_NET") &&
	    (ip >> 8 & 0xff) != 0)
		to.sin_port = htons(ntohs(to.sin_port) +
				    PORT_STEP * env_number("PAPAYA_SHIM_ZONE"));
	return real(fd, (const struct sockaddr *)&to, sizeof(to));
}
