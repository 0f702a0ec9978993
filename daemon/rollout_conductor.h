/*
 * Conducts the roll-outs that operators order (core/rollout.h): keeps the
 * orders, reads and writes the roll-outs' records in the platform's store, and
 * answers daemons' reports. Part of the store task of every daemon; one of them
 * hosts the role of the conductor at a time, the others only keep the orders.
 */
#ifndef DAEMON_ROLLOUT_CONDUCTOR_H
#define DAEMON_ROLLOUT_CONDUCTOR_H

#include "core/rollout.h"
#include "daemon/supervisor.h"
#include "platform/store.h"

enum { ROLLOUT_CONDUCTOR_MAX = 32 /* roll-outs; later orders are ignored */ };

typedef struct rollout_conductor {
	supervisor_t *sup;
	store_t *store;
	GHashTable *items; /* service to rollout_item_t */
	bool is_host; /* this daemon hosts the role of the conductor */
	uint32_t daemons; /* that are live */
	bool is_calling; /* a call to the store is in progress */
	uint64_t end; /* of the topic, as last read or written */
	bool has_end; /* END is what the store last confirmed */
	int64_t retry_at; /* no call to the store before; set after a failure */
	int64_t started_at;
	int64_t orders_at; /* when the operators' topic was read to its end */
	int64_t states_at; /* when the admin task last got the states */
	char writing[FLEET_NAME_SIZE]; /* service whose record is written */
	rollout_record_t record; /* content of that record */
	struct event *timer;
	const fleet_t *fleet; /* configuration in force; NULL: none */
	const vm_list_t *vms; /* NULL until the list is known */
} rollout_conductor_t;

void rollout_conductor_init(rollout_conductor_t *c, supervisor_t *sup,
			    store_t *store);
void rollout_conductor_finish(rollout_conductor_t *c);
/*
 * An operator's order for SERVICE was read; empty TEXT: it was withdrawn.
 * Returns whether anything changed.
 */
bool rollout_conductor_set_order(rollout_conductor_t *c, str_t service,
				 str_t text);
/* The operators' topic was read to its end at the time AT. */
void rollout_conductor_set_orders_read(rollout_conductor_t *c, int64_t at);
/* Handles ROLLOUT_HOST, ROLLOUT_REPORT and DAEMON_COUNT. */
void rollout_conductor_handle(rollout_conductor_t *c, const message_t *m);
/*
 * Gives the targets' runners in a new list of VMs the name of their pool, so
 * that they are dispatched apart from the services' other ones.
 */
void rollout_conductor_split(const rollout_conductor_t *c, vm_list_t *vms);
/* Sends all orders to the front task. */
void rollout_conductor_post_orders(const rollout_conductor_t *c);
/* Sets configuration and VM list; either may be NULL, and must stay valid. */
void rollout_conductor_set_view(rollout_conductor_t *c, const fleet_t *fleet,
				const vm_list_t *vms);

#endif
