/* Options of TCP connections that must not go silent unnoticed. */
#ifndef NET_TCP_H
#define NET_TCP_H

#include <event2/util.h>

/* Sends small pieces at once, and finds a peer that fell silent. */
void tcp_keep_watch(evutil_socket_t fd);

#endif
