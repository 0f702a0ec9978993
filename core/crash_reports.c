#include "core/crash_reports.h"

G_STATIC_ASSERT(PROMPT_MAX_PARTS <= 32); /* bits of a sound_mask */

/* Copies of one report may say times this far apart, as links differ. */
#define COPY_US (INT64_C(1000) * 1000)

void crash_reports_init(crash_reports_t *r)
{
	r->records = g_array_new(FALSE, TRUE, sizeof(crash_record_t));
}

void crash_reports_finish(crash_reports_t *r)
{
	g_array_unref(r->records);
}

crash_record_t *crash_reports_get(const crash_reports_t *r, guint i)
{
	return &g_array_index(r->records, crash_record_t, i);
}

static bool is_same_exchange(const crash_report_t *a, const crash_report_t *b)
{
	return a->runner == b->runner && a->request == b->request;
}

crash_record_t *crash_reports_find(const crash_reports_t *r,
				   const crash_report_t *report)
{
	crash_record_t *delayed = NULL;

	for (guint i = 0; i < r->records->len; i++) {
		crash_record_t *record = crash_reports_get(r, i);

		if (!is_same_exchange(&record->crash, report))
			continue;
		if (ABS(record->crash.at - report->at) < COPY_US)
			return record;
		/* A process that is paused reads reports late. */
		if (!record->is_disproved)
			delayed = record;
	}
	return delayed;
}

/* Returns the record that makes room for another. */
static guint find_least(const crash_reports_t *r)
{
	for (guint i = 0; i < r->records->len; i++)
		if (crash_reports_get(r, i)->is_disproved)
			return i;
	return 0;
}

void crash_reports_add(crash_reports_t *r, const crash_report_t *report,
		       bool is_own, int64_t now)
{
	crash_record_t record = { .crash = *report,
				  .received_at = now,
				  .is_own = is_own };

	if (crash_reports_find(r, report))
		return;
	if (r->records->len >= CRASH_REPORTS_MAX)
		g_array_remove_index(r->records, find_least(r));
	g_array_append_val(r->records, record);
}

void crash_reports_remove_before(crash_reports_t *r, int64_t time)
{
	for (guint i = r->records->len; i-- > 0;)
		if (crash_reports_get(r, i)->crash.at < time)
			g_array_remove_index(r->records, i);
}

/* Tells whether a report still speaks against PART. */
static bool is_against(const crash_record_t *record, uint64_t part)
{
	int i = prompt_parts_find(&record->crash.parts, part);

	return !record->is_disproved && i >= 0 &&
	       !(record->sound_mask & 1U << i);
}

/* Tells whether the reports of a runner's crash may be judged. */
static bool is_settled(const crash_reports_t *r, uint64_t runner)
{
	for (guint i = 0; i < r->records->len; i++)
		if (crash_reports_get(r, i)->crash.runner == runner &&
		    crash_reports_get(r, i)->is_judged &&
		    !crash_reports_get(r, i)->is_disproved)
			return true;
	return false;
}

/* Tells whether any report of the runner's crash speaks against PART. */
static bool may_be_due_to(const crash_reports_t *r, uint64_t runner,
			  uint64_t part)
{
	for (guint i = 0; i < r->records->len; i++)
		if (crash_reports_get(r, i)->crash.runner == runner &&
		    is_against(crash_reports_get(r, i), part))
			return true;
	return false;
}

/* Adds the parts of the reports of RUNNER's crash with (or without) PART. */
static void add_causes(const crash_reports_t *r, uint64_t runner, uint64_t part,
		       bool has_part, prompt_parts_t *out)
{
	for (guint i = 0; i < r->records->len; i++) {
		const crash_report_t *crash = &crash_reports_get(r, i)->crash;

		if (crash->runner != runner ||
		    crash_reports_get(r, i)->is_disproved ||
		    is_against(crash_reports_get(r, i), part) != has_part)
			continue;
		for (uint32_t p = 0; p < crash->parts.n; p++)
			if (prompt_parts_find(out, crash->parts.ids[p]) < 0)
				prompt_parts_add(out, crash->parts.ids[p]);
	}
}

/* Returns what RUNNER's crash may be due to, first what goes with PART. */
static prompt_parts_t find_causes(const crash_reports_t *r, uint64_t runner,
				  uint64_t part)
{
	prompt_parts_t causes = { .n = 0 };

	add_causes(r, runner, part, true, &causes);
	add_causes(r, runner, part, false, &causes);
	return causes;
}

/* Removes from PARTS what the crash of RUNNER can't be due to. */
static void keep_causes(const crash_reports_t *r, uint64_t runner,
			prompt_parts_t *parts)
{
	for (uint32_t i = parts->n; i-- > 0;)
		if (!may_be_due_to(r, runner, parts->ids[i]))
			prompt_parts_remove(parts, parts->ids[i]);
}

static uint64_t runner_of(const crash_report_t *report)
{
	return report->runner;
}

static uint64_t request_of(const crash_report_t *report)
{
	return report->request;
}

/* Tells whether a report against PART before END has the same ID_OF. */
static bool is_counted(const crash_reports_t *r, guint end, uint64_t part,
		       uint64_t (*id_of)(const crash_report_t *report))
{
	uint64_t id = id_of(&crash_reports_get(r, end)->crash);

	for (guint i = 0; i < end; i++)
		if (is_against(crash_reports_get(r, i), part) &&
		    id_of(&crash_reports_get(r, i)->crash) == id)
			return true;
	return false;
}

crash_evidence_t crash_reports_evidence(const crash_reports_t *r, uint64_t part,
					bool has_unjudged)
{
	crash_evidence_t e = { 0 };

	for (guint i = 0; i < r->records->len; i++) {
		const crash_report_t *crash = &crash_reports_get(r, i)->crash;

		if (!is_against(crash_reports_get(r, i), part) ||
		    (!has_unjudged && !is_settled(r, crash->runner)))
			continue;
		if (!e.n_runners)
			e.common = find_causes(r, crash->runner, part);
		keep_causes(r, crash->runner, &e.common);
		e.n_runners += !is_counted(r, i, part, runner_of);
		e.n_requests += !is_counted(r, i, part, request_of);
		e.latest_at = MAX(e.latest_at, crash->at);
	}
	return e;
}

bool crash_reports_was_wrong(const crash_reports_t *r, uint64_t part,
			     int64_t from, int64_t to)
{
	for (guint i = 0; i < r->records->len; i++) {
		const crash_record_t *record = crash_reports_get(r, i);

		if (record->is_disproved && record->crash.at >= from &&
		    record->crash.at <= to &&
		    prompt_parts_find(&record->crash.parts, part) >= 0)
			return true;
	}
	return false;
}

bool crash_reports_set_sound(crash_reports_t *r, uint64_t part)
{
	bool is_news = false;

	for (guint i = 0; i < r->records->len; i++) {
		crash_record_t *record = crash_reports_get(r, i);
		int k = prompt_parts_find(&record->crash.parts, part);

		if (k < 0 || record->is_disproved ||
		    record->sound_mask & 1U << k)
			continue;
		record->sound_mask |= 1U << k;
		is_news = true;
	}
	return is_news;
}
