#include "tests/lib_case.h"

#include <glib.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "standin/lib_fetch.h"
#include "tests/lib_case_files.h"

enum {
	LOAD_LIMIT_MS = 40000,
	BEFORE_FAULT_MS = 1500,
	FAULT_MS = 2000,
	IN_FORCE_US = 6000000,
	/*
	 * Until the hold-off after the daemons' start is over for keys of any
	 * form: see holdoff_period in core/member.h.
	 */
	SETTLE_MS = 3700,
	RECOVERY_TRIES = 8,
	RECOVERY_US = 15000000, /* latest start of the last try */
	RECOVERY_PAUSE_MS = 1000,
	POLL_MS = 200,
	KEYS_TRIES = 50,
	POLL_US = 200000,
	VERSION_TIMEOUT_MS = 150,
};

#define DEFAULT_RATE 30.0
#define DEFAULT_SECONDS 5.0

#define PROFILE_DOC (case_documents[0].doc)

void case_fail(case_run_t *r, const char *fmt, ...)
{
	va_list args;

	if (r->reason[0])
		return;
	va_start(args, fmt);
	vsnprintf(r->reason, sizeof(r->reason), fmt, args);
	va_end(args);
}

void case_expect(case_run_t *r, bool ok, const char *what)
{
	if (!ok)
		case_fail(r, "%s", what);
}

static int64_t version_in(const char *text)
{
	json_t *root = json_loads(text, 0, NULL);
	json_t *entry;
	int64_t version = 0;
	size_t i;

	json_array_foreach (json_object_get(root, "documents"), i, entry)
		if (!g_strcmp0(json_string_value(json_object_get(entry, "doc")),
			       PROFILE_DOC))
			version = json_integer_value(
				json_object_get(entry, "version"));
	json_decref(root);
	return version;
}

int64_t case_version_at(const case_run_t *r, int zone, int slot)
{
	const http_header_t header = { "Authorization",
				       "Bearer " CLUSTER_TOKEN };
	fetch_t f = {
		.method = EVHTTP_REQ_GET,
		.address = r->cluster.zones[zone].daemons[slot].admin_address,
		.path = "/admin/config",
		.headers = &header,
		.n_headers = 1,
		.timeout_ms = VERSION_TIMEOUT_MS
	};
	int64_t version = -1;

	if (!r->cluster.zones[zone].daemons[slot].process.pid)
		return -1;
	if (fetch_run(&f) && f.status == HTTP_OK)
		version = version_in(f.text);
	g_free(f.text);
	return version;
}

/* Fails the run when a daemon's profile version has decreased. */
static void watch_versions(case_run_t *r)
{
	for (int z = 0; z < CLUSTER_ZONES; z++)
		for (int i = 0; i < CLUSTER_SLOTS; i++) {
			int64_t version = case_version_at(r, z, i);

			if (version < 0)
				continue;
			if (version < r->versions[z][i])
				case_fail(r,
					  "%s reverted to profile version %lld",
					  r->cluster.zones[z].daemons[i].name,
					  (long long)version);
			r->versions[z][i] = version;
		}
}

void case_sleep(case_run_t *r, int64_t ms)
{
	gint64 end = g_get_monotonic_time() + ms * 1000;
	gint64 left = ms * 1000;

	while (left > 0) {
		watch_versions(r);
		left = end - g_get_monotonic_time();
		if (left > 0)
			g_usleep((gulong)MIN(left, POLL_US));
		left = end - g_get_monotonic_time();
	}
}

bool case_await_version(case_run_t *r, int64_t version)
{
	gint64 end = g_get_monotonic_time() + IN_FORCE_US;
	bool is_in_force;

	do {
		is_in_force = true;
		for (int z = 0; z < CLUSTER_ZONES; z++)
			for (int i = 0; i < CLUSTER_SLOTS; i++)
				if (r->cluster.zones[z].daemons[i].process.pid)
					is_in_force &=
						case_version_at(r, z, i) >=
						version;
		if (!is_in_force)
			g_usleep(POLL_US);
	} while (!is_in_force && g_get_monotonic_time() < end);
	return is_in_force;
}

void case_publish(case_run_t *r)
{
	g_autofree char *output = NULL;
	int status = cluster_publish(&r->cluster, PROFILE_DOC, "profile.json",
				     NULL, &output);

	if (status)
		case_fail(r, "papayactl publish: exit status %d: %s", status,
			  g_strchomp(output));
}

int64_t case_count(const case_run_t *r, const char *outcome)
{
	json_t *entry;
	const char *id;
	int64_t n = 0;

	json_object_foreach (json_object_get(r->result, "calls"), id, entry)
		n += !strcmp(
			json_string_value(json_object_get(entry, "outcome")),
			outcome);
	return n;
}

/* Returns the value after LINE_START in a daemon's /metrics; 0 if absent. */
static double read_metric(const cluster_node_t *n, const char *line_start)
{
	fetch_t f = { .method = EVHTTP_REQ_GET,
		      .address = n->admin_address,
		      .path = "/metrics" };
	const char *line;
	double value = 0;

	if (fetch_run(&f) && (line = strstr(f.text, line_start)))
		value = g_ascii_strtod(line + strlen(line_start), NULL);
	g_free(f.text);
	return value;
}

int case_find_dispatcher(case_run_t *r, int zone, const char *service)
{
	g_autofree char *line = g_strdup_printf(
		"papaya_dispatcher_grants_total{service=\"%s\"} ", service);
	double max_grants = 0;
	int found = 0;

	for (int i = 0; i < CLUSTER_DAEMONS; i++) {
		double n =
			read_metric(&r->cluster.zones[zone].daemons[i], line);

		if (n > max_grants) {
			max_grants = n;
			found = i;
		}
	}
	case_expect(r, max_grants > 0,
		    "no daemon in the zone has granted a request");
	return found;
}

void case_await_keys(case_run_t *r, int zone, int slot)
{
	const cluster_node_t *n = &r->cluster.zones[zone].daemons[slot];

	for (int i = 0; i < KEYS_TRIES; i++) {
		if (read_metric(n, "\npapaya_keys_joined ") > 0)
			return;
		case_sleep(r, POLL_MS);
	}
	case_fail(r, "%s did not receive the keys it owns in time", n->name);
}

static bool publish_all(case_run_t *r)
{
	for (int i = 0; i < CASE_DOCS; i++) {
		g_autofree char *output = NULL;

		if (!cluster_publish(&r->cluster, case_documents[i].doc,
				     case_documents[i].file, NULL, &output))
			continue;
		case_fail(r, "start: %s: %s", case_documents[i].doc,
			  g_strchomp(output));
		return false;
	}
	return true;
}

static bool set_up(case_run_t *r)
{
	cluster_t *c = &r->cluster;

	c->runner_args[CLUSTER_ENGINE] =
		g_strdup(r->fault->options.engine_args);
	c->runner_args[CLUSTER_BOOKING] = g_strdup(r->fault->options.desk_args);
	c->extra_settings = g_strdup(r->fault->options.daemon_settings);
	if (!case_write_files(c) || !cluster_start(c)) {
		case_fail(r, "start: a process did not start");
		return false;
	}
	if (!publish_all(r))
		return false;
	for (int z = 0; z < CLUSTER_ZONES; z++)
		for (int i = 0; i < CLUSTER_DAEMONS; i++)
			if (!cluster_await_ready(c, z, i)) {
				case_fail(
					r,
					"start: %s did not become ready in time",
					c->zones[z].daemons[i].name);
				return false;
			}
	case_sleep(r, SETTLE_MS);
	return true;
}

/* Starts standin-load; RESULT is the file it writes. */
static bool start_load(case_run_t *r, uint32_t seed, const char *mix,
		       const char *extra_args, double rate, double seconds,
		       const char *result)
{
	cluster_t *c = &r->cluster;
	g_autofree char *targets =
		cluster_targets(c, r->fault->options.is_relayed);
	g_autofree char *oracles = cluster_oracles(c);
	g_autofree char *mix_path = cluster_path(c, mix);
	g_autofree char *out = cluster_path(c, result);
	g_autofree char *log = cluster_path(c, "load.log");
	g_autofree char *line = g_strdup_printf(
		"--targets %s --verify %s --mix %s --out %s --seed %u "
		"--rate %g --seconds %g --settle-ms 500 --horizon-ms 2000 %s",
		targets, oracles, mix_path, out, seed, rate, seconds,
		extra_args ? extra_args : "");
	g_auto(GStrv) args = g_strsplit(g_strstrip(line), " ", -1);

	return process_start(&r->load, "standin-load",
			     (const char *const *)args, log, false);
}

/* Waits for the load and reads its result. */
static void finish_load(case_run_t *r, const char *file)
{
	g_autofree char *path = cluster_path(&r->cluster, file);
	gint64 end = g_get_monotonic_time() + LOAD_LIMIT_MS * 1000LL;
	json_t *violations;
	int status;

	while ((status = process_wait(&r->load, 0)) == -1 &&
	       g_get_monotonic_time() < end)
		case_sleep(r, POLL_MS);
	if (status == -1)
		process_kill(&r->load);
	json_decref(r->result);
	r->result = json_load_file(path, 0, NULL);
	violations = json_object_get(r->result, "violations");
	if (json_array_size(violations)) {
		json_t *first = json_array_get(violations, 0);

		case_fail(r, "%zu violations, first %s: %s",
			  json_array_size(violations),
			  json_string_value(json_object_get(first, "id")),
			  json_string_value(json_object_get(first, "what")));
	}
	case_expect(r, status == 0 && r->result,
		    "standin-load failed or exceeded its time limit");
}

/* Fails the run if a call ended as "broken" or "unknown". */
static void check_none_broken(case_run_t *r)
{
	const char *id;
	json_t *entry;

	json_object_foreach (json_object_get(r->result, "calls"), id, entry) {
		const char *outcome =
			json_string_value(json_object_get(entry, "outcome"));

		if (!strcmp(outcome, "broken") || !strcmp(outcome, "unknown"))
			case_fail(r, "%s: %s: %s", id, outcome,
				  json_string_value(
					  json_object_get(entry, "reason")));
	}
}

/* Fails the run unless every call was completed, in time or late. */
static void check_all_completed(case_run_t *r)
{
	const char *id;
	json_t *entry;

	json_object_foreach (json_object_get(r->result, "calls"), id, entry) {
		const char *outcome =
			json_string_value(json_object_get(entry, "outcome"));

		if (strcmp(outcome, "completed") && strcmp(outcome, "late"))
			case_fail(r, "%s: %s: %s", id, outcome,
				  json_string_value(
					  json_object_get(entry, "reason")));
	}
}

/* Checks that all calls are completed again after the fault. */
static void check_recovery(case_run_t *r)
{
	gint64 end = g_get_monotonic_time() + RECOVERY_US;
	char last[CASE_REASON_SIZE] = "";

	if (r->reason[0])
		return;
	for (int i = 0; i < RECOVERY_TRIES && g_get_monotonic_time() < end;
	     i++) {
		if (!start_load(r, r->seed + 1000 + i, "recovery.json",
				"--repeats 0", 20, 1, "recovery.out"))
			break;
		finish_load(r, "recovery.out");
		/* A violation is final; retry after other failures. */
		if (r->reason[0])
			return;
		check_all_completed(r);
		if (!r->reason[0])
			return;
		g_strlcpy(last, r->reason, sizeof(last));
		r->reason[0] = '\0';
		case_sleep(r, RECOVERY_PAUSE_MS);
	}
	case_fail(r, "calls still fail after the fault ended: %s", last);
}

static bool start_case_load(case_run_t *r)
{
	const case_options_t *t = &r->fault->options;
	bool is_ordered = r->fault->flags & CASE_PRIORITY_ORDER;
	g_autofree char *extra_args =
		g_strdup_printf("%s%s", is_ordered ? "--check-order " : "",
				t->load_args ? t->load_args : "");

	return start_load(
		r, r->seed, t->mix ? t->mix : "usual.json",
		g_strstrip(extra_args), t->rate > 0 ? t->rate : DEFAULT_RATE,
		t->seconds > 0 ? t->seconds : DEFAULT_SECONDS, "load.out");
}

static void run_load_and_fault(case_run_t *r)
{
	const fault_case_t *f = r->fault;

	if (!start_case_load(r)) {
		case_fail(r, "standin-load did not start");
		return;
	}
	case_sleep(r, BEFORE_FAULT_MS);
	r->fault_begin_ms = g_get_real_time() / 1000;
	if (f->begin)
		f->begin(r);
	if (f->flags & CASE_PUBLISH)
		case_publish(r);
	case_sleep(r, FAULT_MS);
	if (f->end)
		f->end(r);
	finish_load(r, "load.out");
	if (f->flags & CASE_NONE_BROKEN)
		check_none_broken(r);
	if (f->flags & CASE_ALL_COMPLETED)
		check_all_completed(r);
	if (f->check && r->result)
		f->check(r);
}

bool case_execute(case_run_t *r, const fault_case_t *fault, const char *dir,
		  uint32_t seed)
{
	memset(r, 0, sizeof(*r));
	r->fault = fault;
	r->seed = seed;
	if (!cluster_init(&r->cluster, dir, seed)) {
		case_fail(r, "start: no free loopback addresses");
		return false;
	}
	if (set_up(r)) {
		run_load_and_fault(r);
		if (!(fault->flags & CASE_NO_RECOVERY))
			check_recovery(r);
	}
	process_kill(&r->load);
	cluster_finish(&r->cluster);
	json_decref(r->result);
	return !r->reason[0];
}
