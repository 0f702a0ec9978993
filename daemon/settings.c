#include "daemon/settings.h"

#include <glib.h>

#include "common/option.h"
#include "daemon/call.h"
#include "net/http.h"

#define FIELD(name) offsetof(settings_t, name)
#define INT(key, unit, min, max, def, help)                                   \
	{                                                                     \
#key, OPTION_INT, unit, min, max, def, FIELD(key), help, NULL \
	}
#define DURATION(key, min, max, def, help)                                    \
	{                                                                     \
#key, OPTION_DURATION, "ms", min, max, def, FIELD(key), help, \
			NULL                                                  \
	}
#define REAL(key, min, max, def, help)                                       \
	{                                                                    \
#key, OPTION_REAL, "", min, max, def, FIELD(key), help, NULL \
	}
#define STRING(key, min, max, def, help)                                       \
	{                                                                      \
#key, OPTION_STRING, "", min, max, def, FIELD(key), help, NULL \
	}
#define LIST(key, min, max, def, help)                                       \
	{                                                                    \
#key, OPTION_LIST, "", min, max, def, FIELD(key), help, NULL \
	}

enum {
	NAME_MAX_LEN = MEMBER_NAME_SIZE - 1,
	ADDRESS_MAX_LEN = MEMBER_NAME_SIZE - 1,
	DAY_MS = 24 * 3600 * 1000,
};

static const char *const log_levels[] = { "error", "warning", "info", "debug",
					  NULL };
static const char *const policies[] = { "ledger", "round-robin", "two-choices",
					NULL };

static const option_t settings_table[] = {
	STRING(name, 1, NAME_MAX_LEN, NULL, "name of this VM"),
	STRING(zone, 1, NAME_MAX_LEN, NULL, "availability zone of this VM"),
	LIST(zones, 1, MEMBER_MAX_ZONES, NULL,
	     "all availability zones, the same list on every VM"),
	STRING(listen, 3, ADDRESS_MAX_LEN, NULL, "IP:port for callers"),
	STRING(peer_listen, 3, ADDRESS_MAX_LEN, NULL,
	       "IP:port for other daemons"),
	INT(tunnel_port_offset, "", 0, 1000, "0",
	    "port of the tunnels to runners that daemons open for each other, "
	    "counted from the port of peer_listen, the same on all VMs; 0: "
	    "none; fleet only"),
	STRING(admin_listen, 3, ADDRESS_MAX_LEN, NULL,
	       "IP:port for operators, metrics and health"),
	STRING(platform, 3, ADDRESS_MAX_LEN, NULL,
	       "IP:port of the platform's service"),
	LIST(seeds, 0, 64, "",
	     "daemons to contact at startup while the platform is down, each "
	     "\"NAME ZONE IP:PORT\" with the peer address"),
	STRING(peer_secret, 16, 256, NULL,
	       "secret shared by all daemons, to authenticate each other"),
	STRING(operator_token, 16, 256, NULL, "credential of operators' calls"),
	{ "log_level", OPTION_STRING, "", 1, 16, "info", FIELD(log_level),
	  "least severe level that is logged", log_levels },
	{ "policy", OPTION_STRING, "", 1, 16, "ledger", FIELD(policy),
	  "how runners are chosen; round-robin and two-choices are "
	  "baselines for measurements",
	  policies },
	{ "alone", OPTION_BOOL, "", 0, 0, "false", FIELD(alone),
	  "choose runners in this daemon instead of the zone's dispatcher; "
	  "a baseline for measurements",
	  NULL },
	{ "fleet", OPTION_BOOL, "", 0, 0, "false", FIELD(fleet),
	  "serve the routes configured by the platform's operators instead "
	  "of published profiles",
	  NULL },
	STRING(ready_listen, 0, ADDRESS_MAX_LEN, "",
	       "IP:port of the readiness check for the load balancer; fleet "
	       "only"),
	LIST(places, 0, 256, "",
	     "zones of the platform's places, each \"PLACE ZONE\"; fleet only"),
	LIST(seed_addresses, 0, 64, "",
	     "IP:port of daemons to contact at startup, with the peer port of "
	     "this daemon; fleet only"),
	REAL(retry_ratio, 0, 10, "0.2",
	     "retries allowed per first attempt, over all daemons; fleet only"),
	REAL(retry_slack, 0, 1000000, "100",
	     "retries allowed per window in addition, over all daemons; fleet "
	     "only"),
	DURATION(retry_window_ms, 100, DAY_MS, "10000",
		 "window of the two settings above"),
	REAL(limit_overrun, 0, 10, "0",
	     "how far teams may exceed their limits in a window, as a "
	     "fraction; fleet only"),
	REAL(limit_slack, 0, 1000000000, "0",
	     "the same in units of the limit, in addition; fleet only"),
	DURATION(limit_window_ms, 100, DAY_MS, "8000",
		 "window of the two settings above"),
	{ "rollouts", OPTION_BOOL, "", 0, 0, "false", FIELD(rollouts),
	  "follow operators' orders to move a service's traffic to another "
	  "release; fleet only",
	  NULL },
	REAL(rollout_exposure, 0, 1, "0.05",
	     "share of a service's requests that a release may get before it "
	     "is found good, over all daemons"),
	REAL(rollout_exposure_slack, 0, 1000000, "50",
	     "requests that it may get in addition"),
	DURATION(rollout_revert_ms, 1, DAY_MS, "5000",
		 "time after which a release that was found bad gets no "
		 "request"),
	DURATION(runners_poll_ms, 50, 60000, "500",
		 "time between reads of the runners' entries; fleet only"),
	DURATION(config_wait_ms, 50, 30000, "700",
		 "how long one read waits for a new configuration; fleet only"),
	{ "learned_speeds", OPTION_BOOL, "", 0, 0, "false",
	  FIELD(learned_speeds),
	  "tell the next host of a dispatcher what was learned of its "
	  "runners' speeds; fleet only",
	  NULL },
	DURATION(heartbeat_ms, 20, 60000, "500",
		 "time between heartbeats to a peer"),
	DURATION(heartbeat_timeout_ms, 100, 600000, "3000",
		 "silence after which a peer is probed by a new connection; a "
		 "daemon that stalled for longer takes a new incarnation"),
	DURATION(retry_horizon_ms, 100, DAY_MS, "60000",
		 "how long callers may repeat a key; answers are kept as long"),
	DURATION(clock_skew_ms, 0, 60000, "1000",
		 "greatest difference of wall clocks, for keys with a creation "
		 "time"),
	DURATION(config_poll_ms, 50, 60000, "1000",
		 "time between reads of the configuration log"),
	DURATION(
		snapshot_ms, 1000, DAY_MS, "600000",
		"age of the newest snapshot at which another is appended; must "
		"be well below the log's retention"),
	DURATION(vms_poll_ms, 50, 60000, "1000",
		 "time between reads of the VM list"),
	DURATION(load_poll_ms, 0, 60000, "500",
		 "time between reads of a runner's load; 0: use only its "
		 "answers"),
	DURATION(accounts_ms, 500, 600000, "10000",
		 "time between batches of accounts"),
	DURATION(platform_timeout_ms, 50, 60000, "2000",
		 "limit of one exchange with the platform"),
	DURATION(connect_timeout_ms, 50, 60000, "1000",
		 "limit of a connection attempt"),
	DURATION(upstream_idle_ms, 100, DAY_MS, "30000",
		 "silence of an upstream after which a request fails; of a "
		 "stream only complete events count"),
	DURATION(caller_idle_ms, 100, 600000, "10000",
		 "silence of a caller that is sending a request"),
	DURATION(keepalive_ms, 100, 600000, "10000",
		 "silence of a stream after which a comment line is sent"),
	DURATION(slow_caller_ms, 100, 600000, "30000",
		 "how long a caller may leave its answer unread"),
	DURATION(drain_ms, 0, DAY_MS, "600000",
		 "limit of a drain; requests still running then are aborted"),
	INT(max_requests, "", 1, 1000000, "10000",
	    "requests in progress, at most"),
	INT(max_keys, "", 1, 10000000, "100000",
	    "keys and tickets remembered, at most"),
	INT(max_body_kib, "KiB", 1, 1048576, "1024",
	    "length of a request's body"),
	INT(max_answer_kib, "KiB", 1, 1048576, "4096",
	    "length of an answer that is not a stream"),
	INT(max_kept_kib, "KiB", 0, 1048576, "8192",
	    "answers kept for repeats, together"),
	INT(caller_backlog_kib, "KiB", 1, 1048576, "256",
	    "unread part of a caller's answer at which its upstream is paused"),
	REAL(memory_mb, 16, 1000000, "1024",
	     "memory of the process, in MB; requests, until they are answered, "
	     "may take up a fifth of it, in a fleet answers another"),
	INT(intake_percent, "%", 1, 50, "20",
	    "part of the memory that requests which are not complete may take "
	    "up; above it, those that hold the most for the longest are "
	    "refused"),
	INT(intake_connections, "", 0, 1000000, "0",
	    "callers' connections, at most; 0: the process's limit of "
	    "descriptors less intake_reserve"),
	INT(intake_reserve, "", 16, 1000000, "256",
	    "descriptors kept free of callers, for other daemons, the platform "
	    "and operators"),
	INT(intake_rate, "B/s", 0, 1000000000, "1024",
	    "bytes of a body that must come each second on average, besides "
	    "intake_grace_ms; 0: a body may take any time"),
	DURATION(intake_grace_ms, 1000, DAY_MS, "60000",
		 "how long a request may take to come whatever its size"),
	INT(max_wants, "", 1, 1000000, "20000",
	    "requests that one dispatcher queues, at most"),
	{ "reuse_connections", OPTION_BOOL, "", 0, 0, "false",
	  FIELD(reuse_connections),
	  "connections to runners are used again for requests that may run "
	  "only once, too, and runners to which there is one are preferred",
	  NULL },
	{ "runner_load", OPTION_BOOL, "", 0, 0, "false", FIELD(runner_load),
	  "the load that runners state counts in the choice of a runner; plain "
	  "ones that state it keep slots for protected tiers only if there are "
	  "some",
	  NULL },
	{ "runner_memory", OPTION_BOOL, "", 0, 0, "false", FIELD(runner_memory),
	  "a request is sent to an engine only if its memory has room for it "
	  "besides all that it holds",
	  NULL },
	{ "placement", OPTION_BOOL, "", 0, 0, "false", FIELD(placement),
	  "a request that an engine with room would serve too late, or whose "
	  "prompt would pause the streams there too long, gives way to one that "
	  "fits there",
	  NULL },
	{ "prompt_cache_weighing", OPTION_BOOL, "", 0, 0, "false",
	  FIELD(prompt_cache_weighing),
	  "what a runner saves by having a prompt's beginning in its cache is "
	  "weighed against the wait there",
	  NULL },
	DURATION(ticket_life_ms, 100, DAY_MS, "300000",
		 "how long a ticket may stay unused"),
	DURATION(grant_timeout_ms, 100, DAY_MS, "600000",
		 "how long a grant may stay without an event"),
	DURATION(max_deadline_ms, 100, DAY_MS, "600000",
		 "longest deadline that a caller may set"),
	INT(seed, "", 0, INT64_MAX, "0",
	    "seed of random numbers; 0 takes one from the system"),
};

static bool check_addresses(const settings_t *s, const char *name, err_t *err)
{
	const struct {
		const char *key;
		const char *value;
	} addresses[] = { { "listen", s->listen },
			  { "peer_listen", s->peer_listen },
			  { "admin_listen", s->admin_listen },
			  { "platform", s->platform } };
	char ip[MEMBER_NAME_SIZE];
	uint16_t port;
	member_vm_t vm;

	for (size_t i = 0; i < G_N_ELEMENTS(addresses); i++)
		if (!http_split_address(addresses[i].value, ip, sizeof(ip),
					&port, err))
			return err_set(err, ERR_INVALID, "settings", "",
				       "%s: %s: IP:port is expected", name,
				       addresses[i].key);
	if (s->ready_listen[0] &&
	    !http_split_address(s->ready_listen, ip, sizeof(ip), &port, err))
		return err_set(err, ERR_INVALID, "settings", "",
			       "%s: ready_listen: IP:port is expected", name);
	for (char **seed = s->seeds; *seed; seed++)
		if (!settings_parse_seed(*seed, &vm, err))
			return false;
	return true;
}

static bool check_own_zone(const settings_t *s, const char *name, err_t *err)
{
	for (char **zone = s->zones; *zone; zone++)
		if (!strcmp(*zone, s->zone))
			return true;
	return err_set(err, ERR_INVALID, "settings", "",
		       "%s: zone: a zone listed under zones is expected", name);
}

/* A fleet's setting may list a zone once for each of its places. */
static void remove_duplicate_zones(settings_t *s)
{
	guint n = 0;

	for (char **zone = s->zones; *zone; zone++) {
		guint i = 0;

		while (i < n && strcmp(s->zones[i], *zone) != 0)
			i++;
		if (i < n)
			g_free(*zone);
		else
			s->zones[n++] = *zone;
	}
	s->zones[n] = NULL;
}

const char *settings_place_zone(const settings_t *s, const char *place)
{
	size_t n = strlen(place);

	for (char **line = s->places; *line; line++)
		if (!strncmp(*line, place, n) && (*line)[n] == ' ')
			return *line + n + 1;
	return s->zone;
}

bool settings_parse(settings_t *s, str_t text, const char *name, err_t *err)
{
	memset(s, 0, sizeof(*s));
	if (option_parse(settings_table, G_N_ELEMENTS(settings_table), s, text,
			 name, err) &&
	    check_addresses(s, name, err) && check_own_zone(s, name, err)) {
		remove_duplicate_zones(s);
		return true;
	}
	settings_finish(s);
	return false;
}

bool settings_load(settings_t *s, const char *path, err_t *err)
{
	g_autoptr(GError) error = NULL;
	g_autofree char *text = NULL;
	gsize len;

	if (!g_file_get_contents(path, &text, &len, &error))
		return err_set(err, ERR_SYSTEM, "settings", "", "%s",
			       error->message);
	return settings_parse(s, (str_t){ text, len }, path, err);
}

void settings_finish(settings_t *s)
{
	option_free(settings_table, G_N_ELEMENTS(settings_table), s);
}

void settings_print_markdown(FILE *out)
{
	option_print_markdown(settings_table, G_N_ELEMENTS(settings_table),
			      out);
}

void settings_own_vm(const settings_t *s, member_vm_t *out)
{
	memset(out, 0, sizeof(*out));
	g_strlcpy(out->name, s->name, sizeof(out->name));
	g_strlcpy(out->zone, s->zone, sizeof(out->zone));
	g_strlcpy(out->address, s->listen, sizeof(out->address));
	g_strlcpy(out->peer_address, s->peer_listen, sizeof(out->peer_address));
	g_strlcpy(out->admin_address, s->admin_listen,
		  sizeof(out->admin_address));
}

int64_t settings_key_ttl_ms(const settings_t *s)
{
	return s->retry_horizon_ms +
	       (CALL_MAX_HOPS + 1) * s->heartbeat_timeout_ms;
}

bool settings_parse_seed(const char *text, member_vm_t *out, err_t *err)
{
	g_auto(GStrv) parts = g_strsplit(text, " ", -1);
	char ip[MEMBER_NAME_SIZE];
	uint16_t port;

	memset(out, 0, sizeof(*out));
	if (g_strv_length(parts) != 3 ||
	    !str_copy(out->name, sizeof(out->name), str_from(parts[0])) ||
	    !str_copy(out->zone, sizeof(out->zone), str_from(parts[1])) ||
	    !str_copy(out->peer_address, sizeof(out->peer_address),
		      str_from(parts[2])) ||
	    !http_split_address(parts[2], ip, sizeof(ip), &port, NULL))
		return err_set(err, ERR_INVALID, "settings", "",
			       "seeds: \"%s\" is not NAME ZONE IP:PORT", text);
	return true;
}

bool settings_seed_to_vm(const settings_t *s, const char *address,
			 member_vm_t *out)
{
	char ip[MEMBER_NAME_SIZE];
	char own_ip[MEMBER_NAME_SIZE];
	uint16_t port;

	memset(out, 0, sizeof(*out));
	if (!http_split_address(address, ip, sizeof(ip), &port, NULL) ||
	    !http_split_address(s->peer_listen, own_ip, sizeof(own_ip), &port,
				NULL))
		return false;
	g_strlcpy(out->name, ip, sizeof(out->name));
	g_strlcpy(out->zone, s->zone, sizeof(out->zone));
	g_snprintf(out->peer_address, sizeof(out->peer_address), "%s:%u", ip,
		   port);
	return true;
}

bool settings_is_seed(const settings_t *s)
{
	member_vm_t vm;

	for (char **seed = s->seed_addresses; *seed; seed++)
		if (settings_seed_to_vm(s, *seed, &vm) &&
		    !strcmp(vm.peer_address, s->peer_listen))
			return true;
	return false;
}
