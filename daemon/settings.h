/* The daemon's settings: one option table, read once at the start. */
#ifndef DAEMON_SETTINGS_H
#define DAEMON_SETTINGS_H

#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

#include "common/err.h"
#include "common/str.h"
#include "core/member.h"

/* Field by field as docs/SETTINGS.md says; strings are owned. */
typedef struct settings {
	char *name;
	char *zone;
	char **zones;
	char *listen;
	char *peer_listen;
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
	int64_t runners_poll_ms;
	int64_t config_wait_ms;
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
	int64_t max_wants;
	int64_t ticket_life_ms;
	int64_t grant_timeout_ms;
	int64_t max_deadline_ms;
	int64_t seed;
} settings_t;

/*
 * Reads settings from a text; NAME is for messages. On false ERR holds file,
 * line, column, key and the accepted range, and nothing needs freeing.
 */
bool settings_parse(settings_t *s, str_t text, const char *name, err_t *err);
/* Reads a file. */
bool settings_load(settings_t *s, const char *path, err_t *err);
void settings_finish(settings_t *s);
/* Writes docs/SETTINGS.md's table. */
void settings_print_markdown(FILE *out);

/* The own VM as other daemons see it. */
void settings_self(const settings_t *s, member_vm_t *out);
/*
 * How long what is known of a key must be kept, milliseconds: a copy of a
 * call may wait unread for a heartbeat timeout in each daemon that forwards it
 * and again in its owner.
 */
int64_t settings_key_life_ms(const settings_t *s);
/* The zone that a place of the platform belongs to; the own one if unknown. */
const char *settings_zone_of(const settings_t *s, const char *place);
/* Reads one seed, "NAME ZONE IP:PORT" (its peer address). */
bool settings_seed(const char *text, member_vm_t *out, err_t *err);
/*
 * The daemon behind a seed address of a fleet, where every daemon is named
 * by its IP and has the same peer port. False when it is no IP:port.
 */
bool settings_seed_address(const settings_t *s, const char *address,
			   member_vm_t *out);
/* Tells whether this daemon is behind one of its own seed addresses. */
bool settings_is_seed(const settings_t *s);

#endif
