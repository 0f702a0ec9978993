#include "tests/lib_soak_check.h"

#include <jansson.h>
#include <stdio.h>
#include <string.h>

#include "tests/lib_soak_plan.h"
#include "tests/lib_soak_notice.h"

enum {
	ANSWER_SLACK_MS = 500, /* after the route's timeout */
	LINE_SIZE = 4096,
	STATUS_OK = 200,
	STATUS_UNAUTHORIZED = 401,
	STATUS_NOT_FOUND = 404,
	SETTLE_MS = 500, /* for effects of a fault after its end */
};

/* One line of the callers' results: a call that ended. */
typedef struct soak_call {
	const char *id, *how;
	const soak_kind_t *kind;
	const soak_key_t *key;
	int daemon;
	int status;
	int64_t begin_ms, end_ms;
} soak_call_t;

typedef struct soak_checker {
	const soak_cluster_t *cluster;
	const GArray *faults;
	int64_t recovered_ms;
	GHashTable *runs; /* attempt -> GPtrArray of the teams it was run for */
	GHashTable *origins; /* attempt -> soak_origin_t */
	soak_findings_t *out;
	int served, calls;
} soak_checker_t;

void soak_findings_init(soak_findings_t *f)
{
	f->texts = g_ptr_array_new_with_free_func(g_free);
}

void soak_findings_finish(soak_findings_t *f)
{
	g_ptr_array_unref(f->texts);
}

void soak_add_finding(soak_findings_t *f, const char *fmt, ...)
{
	va_list args;

	va_start(args, fmt);
	g_ptr_array_add(f->texts, g_strdup_vprintf(fmt, args));
	va_end(args);
}

static void read_runs_of(soak_checker_t *c, int runner)
{
	g_autofree char *file = g_strdup_printf("runner-%d.runs", runner);
	g_autofree char *path = soak_path(c->cluster, file);
	FILE *in = fopen(path, "r");
	char line[LINE_SIZE];

	while (in && fgets(line, sizeof(line), in)) {
		g_auto(GStrv) words = g_strsplit(g_strchomp(line), " ", 2);
		GPtrArray *teams = g_hash_table_lookup(c->runs, words[0]);

		if (!teams) {
			teams = g_ptr_array_new_with_free_func(g_free);
			g_hash_table_insert(c->runs, g_strdup(words[0]), teams);
		}
		g_ptr_array_add(teams, g_strdup(words[1] ? words[1] : ""));
	}
	if (in)
		fclose(in);
}

static bool is_concurrent(const soak_fault_t *f, const soak_call_t *call)
{
	return f->begin_ms <= call->end_ms &&
	       f->end_ms + SETTLE_MS >= call->begin_ms;
}

/* True when the call overlapped with a fault of any runner. */
static bool overlaps_runner_fault(const soak_checker_t *c,
				  const soak_call_t *call)
{
	for (guint i = 0; i < c->faults->len; i++) {
		const soak_fault_t *f =
			&g_array_index(c->faults, soak_fault_t, i);

		if (soak_is_runner_fault(f) && is_concurrent(f, call))
			return true;
	}
	return false;
}

/* True when the call overlapped with fault NAME of its own daemon. */
static bool overlaps_fault(const soak_checker_t *c, const soak_call_t *call,
			   const char *name)
{
	for (guint i = 0; i < c->faults->len; i++) {
		const soak_fault_t *f =
			&g_array_index(c->faults, soak_fault_t, i);

		if (!strcmp(f->kind->name, name) && f->target == call->daemon &&
		    is_concurrent(f, call))
			return true;
	}
	return false;
}

static bool means_not_run(int status)
{
	return status == 503 || status == 429 || status == 408 || status == 421;
}

static bool is_whole(const soak_call_t *call)
{
	return !strcmp(call->how, "whole");
}

static void check_runs(soak_checker_t *c, const soak_call_t *call)
{
	const GPtrArray *teams = g_hash_table_lookup(c->runs, call->id);
	int runs = teams ? (int)teams->len : 0;

	if (runs > call->kind->max_runs)
		soak_add_finding(c->out, "TWICE %s (%s): %d runs, %d allowed",
				 call->id, call->kind->name, runs,
				 call->kind->max_runs);
	if (runs && !call->key->team)
		soak_add_finding(
			c->out, "DENIED %s: a call with an unknown key was run",
			call->id);
	if (runs && means_not_run(call->status))
		soak_add_finding(c->out,
				 "REFUSED %s (%s): got status %d, but was run",
				 call->id, call->kind->name, call->status);
	if (!runs && call->status == STATUS_OK)
		soak_add_finding(c->out,
				 "MIXED %s: got status 200, but was never run",
				 call->id);
	for (int i = 0; i < runs && call->key->team; i++)
		if (strcmp(teams->pdata[i], call->key->team))
			soak_add_finding(c->out,
					 "MIXED %s: run for team '%s', not %s",
					 call->id, (char *)teams->pdata[i],
					 call->key->team);
}

static void check_status(soak_checker_t *c, const soak_call_t *call)
{
	bool is_404_expected = !call->kind->prefix;

	if (call->key->team && call->status == STATUS_UNAUTHORIZED)
		soak_add_finding(
			c->out,
			"DENIED %s: a call with a valid key got status 401",
			call->id);
	if (call->status == STATUS_NOT_FOUND && !is_404_expected)
		soak_add_finding(
			c->out,
			"ROUTE %s (%s): status 404, but the route exists",
			call->id, call->kind->name);
	if (call->status == STATUS_OK && (is_404_expected || !call->key->team))
		soak_add_finding(
			c->out,
			"DENIED %s: status 200 without a route or a valid key",
			call->id);
}

/* A late or incomplete answer is a finding unless a fault explains it. */
static void check_end(soak_checker_t *c, const soak_call_t *call)
{
	const GPtrArray *teams = g_hash_table_lookup(c->runs, call->id);
	int64_t limit = call->kind->timeout_ms + ANSWER_SLACK_MS;
	bool is_killed_or_paused = overlaps_fault(c, call, "daemon-kill") ||
				   overlaps_fault(c, call, "daemon-pause");

	if (is_killed_or_paused)
		return;
	if (call->end_ms - call->begin_ms > limit)
		soak_add_finding(c->out, "LATE %s (%s): ended after %d ms, %s",
				 call->id, call->kind->name,
				 (int)(call->end_ms - call->begin_ms),
				 call->how);
	if (is_whole(call))
		return;
	/*
	 * A draining daemon may close a connection without reading its request.
	 */
	if (!call->status && !teams && overlaps_fault(c, call, "daemon-drain"))
		return;
	if (call->kind->is_stream && call->status == STATUS_OK &&
	    overlaps_runner_fault(c, call))
		return;
	soak_add_finding(c->out, "LOST %s (%s): %s after status %d", call->id,
			 call->kind->name, call->how, call->status);
}

/* A call that begins at recovered_ms or later must get the expected status. */
static void check_recovered(soak_checker_t *c, const soak_call_t *call)
{
	int expected = !call->key->team	   ? STATUS_UNAUTHORIZED :
		       !call->kind->prefix ? STATUS_NOT_FOUND :
					     STATUS_OK;
	/* A call with neither a valid key nor a route may get 401 or 404. */
	bool is_404_allowed = !call->key->team && !call->kind->prefix &&
			      call->status == STATUS_NOT_FOUND;

	if (call->begin_ms < c->recovered_ms || is_404_allowed ||
	    (is_whole(call) && call->status == expected))
		return;
	soak_add_finding(
		c->out,
		"RECOVER %s (%s): %s, status %d, %d ms after the recovery time",
		call->id, call->kind->name, call->how, call->status,
		(int)(call->begin_ms - c->recovered_ms));
}

static int daemon_of(const soak_cluster_t *s, const char *address)
{
	for (int i = 0; i < SOAK_DAEMONS; i++)
		if (!g_strcmp0(s->daemons[i].address, address))
			return i;
	return -1;
}

static void check_line(soak_checker_t *c, const json_t *line)
{
	const char *violation =
		json_string_value(json_object_get(line, "violation"));
	soak_origin_t origin;
	soak_call_t call = {
		.id = json_string_value(json_object_get(line, "id")),
		.how = json_string_value(json_object_get(line, "how")),
		.status = (int)json_integer_value(
			json_object_get(line, "status")),
		.begin_ms = json_integer_value(json_object_get(line, "begin")),
		.end_ms = json_integer_value(json_object_get(line, "end")),
		.daemon = daemon_of(
			c->cluster,
			json_string_value(json_object_get(line, "daemon"))),
	};

	if (violation)
		soak_add_finding(c->out, "MIXED %s: %s",
				 call.id ? call.id : "-", violation);
	if (!call.id)
		return;
	call.kind = soak_find_kind(
		json_string_value(json_object_get(line, "kind")));
	call.key =
		soak_find_key(json_string_value(json_object_get(line, "key")));
	origin = (soak_origin_t){ call.daemon, call.begin_ms };
	g_hash_table_insert(c->origins, g_strdup(call.id),
			    g_memdup2(&origin, sizeof(origin)));
	c->calls++;
	c->served += call.status == STATUS_OK && is_whole(&call);
	check_runs(c, &call);
	check_status(c, &call);
	check_end(c, &call);
	check_recovered(c, &call);
}

void soak_check(const soak_cluster_t *s, const GArray *faults,
		int64_t recovered_ms, soak_findings_t *out)
{
	soak_checker_t c = {
		.cluster = s,
		.faults = faults,
		.recovered_ms = recovered_ms,
		.runs = g_hash_table_new_full(
			g_str_hash, g_str_equal, g_free,
			(GDestroyNotify)g_ptr_array_unref),
		.origins = g_hash_table_new_full(g_str_hash, g_str_equal,
						 g_free, g_free),
		.out = out,
	};
	g_autofree char *path = soak_path(s, "calls");
	FILE *in = fopen(path, "r");
	char line[LINE_SIZE];

	for (int i = 0; i < SOAK_RUNNERS; i++)
		read_runs_of(&c, i);
	while (in && fgets(line, sizeof(line), in)) {
		json_t *root = json_loads(line, 0, NULL);

		if (root)
			check_line(&c, root);
		else
			soak_add_finding(
				out,
				"a line of the callers' results is not valid JSON");
		json_decref(root);
	}
	if (in)
		fclose(in);
	soak_check_notices(s, faults, c.origins, out);
	if (!c.served)
		soak_add_finding(out, "no call was served");
	printf("# %d calls, %d served, %u faults\n", c.calls, c.served,
	       faults->len);
	g_hash_table_destroy(c.runs);
	g_hash_table_destroy(c.origins);
}
