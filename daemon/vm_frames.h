/*
 * The VM list as a frame, for a daemon that starts while the platform is
 * down.
 */
#ifndef DAEMON_VM_FRAMES_H
#define DAEMON_VM_FRAMES_H

#include "daemon/message.h"
#include "net/peer.h"

/* Sends the list to a peer; false when it was not sent. */
bool vm_frames_send(peer_t *peer, str_t to, const vm_view_t *vms);
/* Reads a list; entries with fields that are too long are left out. */
vm_view_t *vm_frames_read(const Papaya__VmList *frame);

#endif
