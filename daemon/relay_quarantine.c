/*
 * Keeps requests and prompt parts that crash runners from them
 * (core/quarantine.h): reports crashes and sound parts to the other daemons,
 * and refuses requests with a part in quarantine.
 */
#define LOG_PART "relay"

#include <inttypes.h>

#include "common/log.h"
#include "daemon/relay.h"

enum {
	US_PER_MS = 1000,
	/* A kept connection that was closed breaks this soon after sending. */
	STALE_US = 20 * US_PER_MS,
	/* Runners that one request may take down; the first may be chance. */
	MAX_CRASHES = 2,
};

static uint64_t runner_hash(const relay_t *r)
{
	return quarantine_runner_hash(r->runner.name, r->runner.born_ms);
}

/* Posts to TASK_PEERS, for other daemons, or TASK_PLATFORM, for the record. */
static void post_notice(gateway_t *g, task_id_t to,
			const message_part_t *notice)
{
	message_t m = { .type = MESSAGE_PART_NOTICE, .part = *notice };

	supervisor_post(g->sup, to, &m);
}

static void log_quarantine(const quarantine_entry_t *entry, const char *why)
{
	char common[PROMPT_PARTS_TEXT_SIZE];

	log_event("part-quarantined",
		  "part=%" PRIx64 " common=%s times=%u left_ms=%" PRId64
		  " why=\"%s\"",
		  entry->part, prompt_parts_text(&entry->common, common),
		  entry->times, (entry->until - now_us()) / US_PER_MS, why);
}

/* Tells PEER of a quarantine; "": all daemons. */
static void post_quarantine(gateway_t *g, const quarantine_entry_t *entry,
			    const char *peer)
{
	message_part_t notice = { .kind = PART_NOTICE_QUARANTINE,
				  .entry = *entry };

	g_strlcpy(notice.peer, peer, sizeof(notice.peer));
	post_notice(g, TASK_PEERS, &notice);
}

/* Other daemons may lack a report: who sent the last one tells them. */
static void on_quarantine(void *ctx, const quarantine_entry_t *entry,
			  bool is_own)
{
	message_part_t record = { .kind = PART_NOTICE_QUARANTINE,
				  .entry = *entry };

	log_quarantine(entry, "runners crashed on it");
	if (!is_own)
		return;
	post_quarantine(ctx, entry, "");
	post_notice(ctx, TASK_PLATFORM, &record);
}

static void on_early_end(void *ctx, const quarantine_entry_t *entry,
			 bool is_own)
{
	message_part_t record = { .kind = PART_NOTICE_SOUND };

	prompt_parts_add(&record.crash.parts, entry->part);
	post_notice(ctx, TASK_PLATFORM, &record);
}

/* Who began the quarantine deletes its record. */
static void on_told_end(void *ctx, const quarantine_entry_t *entry, bool is_own)
{
	if (is_own)
		on_early_end(ctx, entry, is_own);
}

/* Other daemons count the report until they get an answer of that runner. */
static void post_disproof(void *ctx, const crash_report_t *report)
{
	message_part_t notice = { .kind = PART_NOTICE_ALIVE, .crash = *report };

	post_notice(ctx, TASK_PEERS, &notice);
}

void gateway_check_quarantine(gateway_t *g)
{
	quarantine_tick(&g->quarantine, now_us(), on_quarantine, g);
}

/*
 * Tells whether the exchange broke as the runner began to run the request. A
 * stream's head is sent then; a plain service sends nothing before the end.
 */
static bool broke_at_start(const relay_t *r)
{
	if (r->route->kind == FLEET_STREAM)
		return r->has_answer && relay_is_success(r) && !r->n_events;
	/*
	 * Some runners reset a few requests. A kept connection may have been
	 * closed before the request.
	 */
	return !r->has_answer &&
	       !(r->was_reused && !fleet_may_repeat(r->route) &&
		 now_us() - r->progress_at < STALE_US) &&
	       !quarantine_is_survivor(&r->gateway->quarantine, runner_hash(r),
				       now_us());
}

void relay_report_crash(relay_t *r)
{
	gateway_t *g = r->gateway;
	message_part_t notice = {
		.kind = PART_NOTICE_CRASH,
		.crash = { runner_hash(r), str_hash(r->call.attempt_id),
			   r->parts, now_us() },
	};
	char parts[PROMPT_PARTS_TEXT_SIZE];

	if (!broke_at_start(r))
		return;
	log_event("crash-reported",
		  "request=%s runner=%s born=%" PRId64 " parts=%s", r->id,
		  r->runner.name, r->runner.born_ms,
		  prompt_parts_text(&r->parts, parts));
	metrics_add(&g->sup->metrics, "papaya_crash_reports_total", NULL, 1);
	r->crash_reports++;
	post_notice(g, TASK_PEERS, &notice);
	quarantine_add_report(&g->quarantine, &notice.crash, true, now_us());
}

void relay_report_sound(relay_t *r)
{
	gateway_t *g = r->gateway;
	message_part_t notice = { .kind = PART_NOTICE_SOUND };
	char parts[PROMPT_PARTS_TEXT_SIZE];

	if (!quarantine_set_sound(&g->quarantine, &r->parts, on_early_end, g))
		return;
	notice.crash.parts = r->parts;
	log_event("part-sound", "request=%s runner=%s parts=%s", r->id,
		  r->runner.name, prompt_parts_text(&r->parts, parts));
	post_notice(g, TASK_PEERS, &notice);
}

void relay_report_alive(relay_t *r)
{
	quarantine_t *q = &r->gateway->quarantine;
	quarantine_answer_t answer = {
		.runner = runner_hash(r),
		.connected_at = upstream_conn_opened_at(r->upstream),
		.sent_at = r->progress_at,
	};

	/* Called for every answer; there are reports only after crashes. */
	if (!q->reports.records->len ||
	    !quarantine_set_alive(q, &answer, now_us(), on_early_end,
				  r->gateway))
		return;
	log_event("crash-disproved", "request=%s runner=%s", r->id,
		  r->runner.name);
	quarantine_take_disproofs(q, post_disproof, r->gateway);
}

bool relay_is_quarantined(const relay_t *r)
{
	const quarantine_t *q = &r->gateway->quarantine;
	int64_t now = now_us();

	if (r->n_events)
		return false;
	if (r->crash_reports >= MAX_CRASHES)
		return true;
	if (r->crash_reports)
		return quarantine_is_suspect(q, &r->parts, now);
	return quarantine_match(q, &r->parts, now) != NULL;
}

bool relay_refuse_quarantined(relay_t *r)
{
	const char *why = "a part of its prompt crashes runners";
	const quarantine_entry_t *entry =
		quarantine_match(&r->gateway->quarantine, &r->parts, now_us());
	int64_t left_ms;

	/* Once there was output, its parts are sound. */
	if (!entry || r->n_events)
		return false;
	if (entry->part == r->fingerprint)
		why = "this request crashes runners";
	r->possible_runs += r->upstream && upstream_conn_is_sent(r->upstream);
	left_ms = (entry->until - now_us()) / US_PER_MS;
	relay_release_grant(r, DONE_CANCELLED);
	if (r->possible_runs || r->has_begun)
		relay_fail(r, 502, 0, why);
	else
		relay_fail(r, 503, MAX(left_ms, 1), why);
	return true;
}

void gateway_on_part_notice(gateway_t *g, const message_part_t *notice)
{
	switch (notice->kind) {
	case PART_NOTICE_CRASH:
		quarantine_add_report(&g->quarantine, &notice->crash, false,
				      now_us());
		break;
	case PART_NOTICE_SOUND:
		quarantine_set_sound(&g->quarantine, &notice->crash.parts, NULL,
				     NULL);
		break;
	case PART_NOTICE_QUARANTINE:
		if (quarantine_add_entry(&g->quarantine, &notice->entry,
					 now_us()))
			log_quarantine(&notice->entry,
				       "another daemon or the store told so");
		break;
	case PART_NOTICE_ALIVE:
		quarantine_set_disproved(&g->quarantine, &notice->crash,
					 now_us(), on_told_end, g);
		break;
	case PART_NOTICE_KINDS:
		break;
	}
}

/* Where a quarantine is sent to, for quarantine_each. */
typedef struct quarantine_receiver {
	gateway_t *gateway;
	const char *peer;
} quarantine_receiver_t;

static void send_entry(void *ctx, const quarantine_entry_t *entry, bool is_own)
{
	const quarantine_receiver_t *to = ctx;

	post_quarantine(to->gateway, entry, to->peer);
}

void gateway_send_quarantine(gateway_t *g, const char *peer)
{
	quarantine_receiver_t to = { g, peer };

	quarantine_each(&g->quarantine, now_us(), send_entry, &to);
}
