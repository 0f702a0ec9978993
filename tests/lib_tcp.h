/* Blocking TCP sockets over IPv4, for tests whose peers run in threads. */
#ifndef TESTS_LIB_TCP_H
#define TESTS_LIB_TCP_H

#include <stdbool.h>
#include <stddef.h>
#include <sys/types.h>

/* Listens on IP:PORT; -1 if that fails. */
int tcp_listen_on(const char *ip, int port);
/* Connects to IP:PORT; -1 if that fails. */
int tcp_connect_to(const char *ip, int port);
/* Sends all bytes; false once the peer takes no more. */
bool tcp_send_all(int fd, const void *bytes, size_t len);
/* Receives within MS milliseconds; 0 at the end, -1 on an error or in vain. */
ssize_t tcp_receive(int fd, void *buf, size_t size, int ms);
/* Closes the connection with a reset. */
void tcp_reset(int fd);

#endif
