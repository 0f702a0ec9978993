/*
 * Converts a fleet's configuration and its lists of runners and daemons to
 * config_view_t and vm_list_t, the types that the tasks also use to serve
 * published profiles.
 */
#ifndef DAEMON_FLEET_VIEW_H
#define DAEMON_FLEET_VIEW_H

#include "core/zone_groups.h"
#include "core/runner_list.h"
#include "daemon/message.h"
#include "daemon/settings.h"

/*
 * Returns the fleet's services and the one profile that all of them use. It has
 * a tier for each rank that a team or an anonymous caller has on a route, up to
 * PROFILE_MAX_TIERS; wants of all further ranks use the last tier. The caller
 * owns the view.
 */
config_view_t *fleet_view_config(const fleet_t *fleet);
/*
 * Returns the listed daemons and runners. DAEMONS maps names to
 * listed_daemon_t. The caller owns the list.
 */
vm_list_t *fleet_view_vms(const runner_list_t *runners, GHashTable *daemons,
			  const settings_t *settings);

/* Sets OUT to the numbers of listed runners by service and zone. */
void fleet_view_count_runners(const vm_list_t *vms, zone_groups_t *out);

#endif
