/* The daemon's settings, read once at startup by means of an option table. */
#ifndef DAEMON_SETTINGS_H
#define DAEMON_SETTINGS_H

#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

#include "common/err.h"
#include "common/str.h"
#include "core/member.h"

/* docs/SETTINGS.md describes the fields; settings_finish() frees them. */
typedef struct settings {
	char *name;
	char *zone;
	char **zones;
	char *listen;
	char *peer_listen;
	int64_t tunnel_port_offset;
	char *admin_listen;
	char *platform;
	char **seeds;
	char *peer_secret;
	char *operator_token;
	char *log_level;
	char *policy;
	bool alone;
	bool fleet;
	char *ready_listen;
	char **places;
	char **seed_addresses;
	double retry_ratio;
	double retry_slack;
	int64_t retry_window_ms;
	double limit_overrun;
	double limit_slack;
	int64_t limit_window_ms;
	bool rollouts;
	double rollout_exposure;
	double rollout_exposure_slack;
	int64_t rollout_revert_ms;
	int64_t runners_poll_ms;
	int64_t config_wait_ms;
	bool learned_speeds;
	int64_t heartbeat_ms;
	int64_t heartbeat_timeout_ms;
	int64_t retry_horizon_ms;
	int64_t clock_skew_ms;
	int64_t config_poll_ms;
	int64_t snapshot_ms;
	int64_t vms_poll_ms;
	int64_t load_poll_ms;
	int64_t accounts_ms;
	int64_t platform_timeout_ms;
	int64_t connect_timeout_ms;
	int64_t upstream_idle_ms;
	int64_t caller_idle_ms;
	int64_t keepalive_ms;
	int64_t slow_caller_ms;
	int64_t drain_ms;
	int64_t max_requests;
	int64_t max_keys;
	int64_t max_body_kib;
	int64_t max_answer_kib;
	int64_t max_kept_kib;
	int64_t caller_backlog_kib;
	double memory_mb;
	int64_t intake_percent;
	int64_t intake_connections;
	int64_t intake_reserve;
	int64_t intake_rate;
	int64_t intake_grace_ms;
	int64_t max_wants;
	bool reuse_connections;
	bool runner_load;
	bool runner_memory;
	bool prompt_cache_weighing;
	bool placement;
	int64_t ticket_life_ms;
	int64_t grant_timeout_ms;
	int64_t max_deadline_ms;
	int64_t seed;
} settings_t;

/*
 * Parses settings from TEXT; NAME is the file name in error messages. When it
 * returns false, ERR holds the key and what is accepted, with file, line and
 * column where option_parse() found the error, and S needs no
 * settings_finish().
 */
bool settings_parse(settings_t *s, str_t text, const char *name, err_t *err);
bool settings_load(settings_t *s, const char *path, err_t *err);
void settings_finish(settings_t *s);
/* Writes the table of docs/SETTINGS.md. */
void settings_print_markdown(FILE *out);

/* Sets OUT to this VM's own entry, as other daemons list it. */
void settings_own_vm(const settings_t *s, member_vm_t *out);
/*
 * Returns how long the state of a key must be kept, in milliseconds: the retry
 * horizon, plus a heartbeat timeout for each daemon that forwards a copy of the
 * call and one for the key's owner, as the copy may wait unread that long in
 * each of them.
 */
int64_t settings_key_ttl_ms(const settings_t *s);
/* Returns the zone of a place of the platform; this VM's zone if unknown. */
const char *settings_place_zone(const settings_t *s, const char *place);
/* Parses an entry of seeds, "NAME ZONE IP:PORT" with the peer address. */
bool settings_parse_seed(const char *text, member_vm_t *out, err_t *err);
/*
 * Sets OUT to the daemon at a seed address of a fleet, where every daemon is
 * named by its IP and has the same peer port. Returns false when ADDRESS is not
 * IP:port.
 */
bool settings_seed_to_vm(const settings_t *s, const char *address,
			 member_vm_t *out);
/* True when one of seed_addresses is this daemon's own address. */
bool settings_is_seed(const settings_t *s);

#endif
