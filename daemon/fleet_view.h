/*
 * A fleet's configuration and lists in the terms of the tasks that also
 * serve published profiles.
 */
#ifndef DAEMON_FLEET_VIEW_H
#define DAEMON_FLEET_VIEW_H

#include "core/zone_groups.h"
#include "core/runner_list.h"
#include "daemon/message.h"
#include "daemon/settings.h"

/*
 * One profile whose tiers are the ranks that occur, and the services under
 * it. The caller owns the view.
 */
config_view_t *fleet_view_profile(const fleet_t *fleet);
/* The daemons and runners listed; the caller owns the view. */
vm_view_t *fleet_view_vms(const runner_list_t *runners, GHashTable *daemons,
			  const settings_t *settings);

/* Counts the list's runners by service and zone, anew. */
void fleet_view_groups(const vm_view_t *vms, zone_groups_t *out);

#endif
