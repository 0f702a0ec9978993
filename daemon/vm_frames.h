/*
 * Converts the VM list to a peer frame and back. A daemon that starts during
 * an outage of the platform gets its VM list from another daemon.
 */
#ifndef DAEMON_VM_FRAMES_H
#define DAEMON_VM_FRAMES_H

#include "daemon/message.h"
#include "net/peer.h"

/* Sends the list to a peer. Returns false when it was not sent. */
bool vm_frames_send(peer_t *peer, str_t to, const vm_list_t *vms);
/* Reads a list, skipping entries with fields that are too long. */
vm_list_t *vm_frames_read(const Papaya__VmList *frame);

#endif
