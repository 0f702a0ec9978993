/* TCP options for connections whose loss must be detected quickly. */
#ifndef NET_TCP_H
#define NET_TCP_H

#include <event2/util.h>

/* Disables Nagle's algorithm; enables keep-alive, TCP_USER_TIMEOUT. */
void tcp_detect_dead_peer(evutil_socket_t fd);
/*
 * Has closing the socket reset the connection: what the peer has not received
 * yet is dropped, instead of being delivered later. For what is given up.
 */
void tcp_reset_on_close(evutil_socket_t fd);

#endif
