#include "tests/lib_soak_notice.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

enum {
	LINE_SIZE = 512,
	LEAVING_GRACE_MS = 2000, /* for new requests after a leaving notice */
	PAUSE_SLACK_MS = 500, /* for requests in transit when a pause begins */
	MAX_IN_PAUSE = 2, /* requests of one daemon during a pause */
	ANSWER_MS = 500, /* for an answer to reach its daemon */
};

/* The notices that one incarnation of a runner sent to one daemon. */
typedef struct notice {
	int64_t leaving_ms; /* 0: no leaving notice */
	int64_t pause_ms; /* time of the pause notice; 0: none */
	int64_t pause_end_ms;
	int in_pause; /* requests that arrived during the pause */
} notice_t;

typedef struct notice_checker {
	const GArray *faults;
	GHashTable *origins;
	soak_findings_t *out;
	int runner;
	notice_t notices[SOAK_DAEMONS];
} notice_checker_t;

/* One line of a runner's arrivals log. */
typedef struct arrival {
	int64_t at_ms;
	char what[16];
	char attempt[64];
	int pause_ms;
} arrival_t;

/* False if a fault may have kept an answer and its notice from the daemon. */
static bool is_answer_delivered(const notice_checker_t *c, int64_t at_ms)
{
	for (guint i = 0; i < c->faults->len; i++) {
		const soak_fault_t *f =
			&g_array_index(c->faults, soak_fault_t, i);

		if (f->kind->place == SOAK_ON_RUNNER &&
		    f->target == c->runner &&
		    f->begin_ms <= at_ms + ANSWER_MS &&
		    f->end_ms + ANSWER_MS >= at_ms)
			return false;
	}
	return true;
}

/* True if DAEMON was restarted or paused and may have lost the notice. */
static bool may_have_lost_notice(const notice_checker_t *c, int daemon,
				 int64_t from_ms, int64_t to_ms)
{
	for (guint i = 0; i < c->faults->len; i++) {
		const soak_fault_t *f =
			&g_array_index(c->faults, soak_fault_t, i);

		if (f->kind->place == SOAK_ON_DAEMON && f->target == daemon &&
		    f->begin_ms <= to_ms && f->end_ms + ANSWER_MS >= from_ms)
			return true;
	}
	return false;
}

static void check_leaving(notice_checker_t *c, const arrival_t *a,
			  const soak_origin_t *from)
{
	const notice_t *n = &c->notices[from->daemon];

	if (!n->leaving_ms ||
	    from->begin_ms <= n->leaving_ms + LEAVING_GRACE_MS ||
	    may_have_lost_notice(c, from->daemon, n->leaving_ms, a->at_ms))
		return;
	soak_add_finding(
		c->out,
		"DRAIN %s: reached runner %d, which had sent daemon %d a "
		"leaving notice %d ms earlier",
		a->attempt, c->runner, from->daemon,
		(int)(from->begin_ms - n->leaving_ms));
}

static void check_pause(notice_checker_t *c, const arrival_t *a,
			const soak_origin_t *from)
{
	notice_t *n = &c->notices[from->daemon];

	if (!n->pause_ms || a->at_ms <= n->pause_ms + PAUSE_SLACK_MS ||
	    a->at_ms >= n->pause_end_ms ||
	    may_have_lost_notice(c, from->daemon, n->pause_ms, a->at_ms))
		return;
	if (++n->in_pause == MAX_IN_PAUSE + 1)
		soak_add_finding(
			c->out,
			"BUDGET %s: %d requests of daemon %d reached runner "
			"%d, which had asked for a pause",
			a->attempt, n->in_pause, from->daemon, c->runner);
}

static void record_pause(notice_checker_t *c, const arrival_t *a, notice_t *n)
{
	if (!is_answer_delivered(c, a->at_ms))
		return;
	/* A new pause has its own slack; a notice during a pause extends it. */
	if (a->at_ms >= n->pause_end_ms) {
		n->pause_ms = a->at_ms;
		n->in_pause = 0;
	}
	n->pause_end_ms = MAX(n->pause_end_ms, a->at_ms + a->pause_ms);
}

static void process_arrival(notice_checker_t *c, const arrival_t *a)
{
	const soak_origin_t *from = g_hash_table_lookup(c->origins, a->attempt);

	if (!strcmp(a->what, "start")) {
		memset(c->notices, 0, sizeof(c->notices));
		return;
	}
	if (!from || from->daemon < 0)
		return;
	if (!strcmp(a->what, "arrive")) {
		check_leaving(c, a, from);
		check_pause(c, a, from);
	} else if (!strcmp(a->what, "pause")) {
		record_pause(c, a, &c->notices[from->daemon]);
	} else if (!c->notices[from->daemon].leaving_ms &&
		   is_answer_delivered(c, a->at_ms)) {
		c->notices[from->daemon].leaving_ms = a->at_ms;
	}
}

static void check_runner(notice_checker_t *c, const char *path)
{
	FILE *in = fopen(path, "r");
	char line[LINE_SIZE];
	arrival_t a;

	while (in && fgets(line, sizeof(line), in))
		if (sscanf(line, "%" SCNd64 " %15s %63s %d", &a.at_ms, a.what,
			   a.attempt, &a.pause_ms) == 4)
			process_arrival(c, &a);
	if (in)
		fclose(in);
}

void soak_check_notices(const soak_cluster_t *s, const GArray *faults,
			GHashTable *origins, soak_findings_t *out)
{
	for (int i = 0; i < SOAK_RUNNERS; i++) {
		g_autofree char *file =
			g_strdup_printf("runner-%d.arrivals", i);
		g_autofree char *path = soak_path(s, file);
		notice_checker_t c = { .faults = faults,
				       .origins = origins,
				       .out = out,
				       .runner = i };

		check_runner(&c, path);
	}
}
