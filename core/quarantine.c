#include "core/quarantine.h"

#include "common/str.h"

#define SETTLE_US (QUARANTINE_SETTLE_MS * INT64_C(1000))
#define SURVIVOR_SETTLE_US (QUARANTINE_SURVIVOR_SETTLE_MS * INT64_C(1000))
#define MINUTE_US (INT64_C(60) * 1000 * 1000)
/* Crashes further apart than this are not related. */
#define REPORT_LIFE_US MINUTE_US
/* A runner needs longer than this to be back after a crash. */
#define MIN_RESTART_US (INT64_C(250) * 1000)
/* Doubles with each further quarantine of the same part. */
#define FIRST_DURATION_US (5 * MINUTE_US)
#define MAX_DURATION_US (60 * MINUTE_US)
/* After a quarantine, one crash within this time begins the next. */
#define PROBATION_US (60 * MINUTE_US)

void quarantine_init(quarantine_t *q)
{
	crash_reports_init(&q->reports);
	q->survivors = g_array_new(FALSE, TRUE, sizeof(quarantine_survivor_t));
	q->entries = g_array_new(FALSE, TRUE, sizeof(quarantine_entry_t));
}

void quarantine_finish(quarantine_t *q)
{
	crash_reports_finish(&q->reports);
	g_array_unref(q->survivors);
	g_array_unref(q->entries);
}

uint64_t quarantine_runner_hash(const char *name, int64_t born_ms)
{
	return str_hash(str_from(name)) ^
	       str_hash((str_t){ (const char *)&born_ms, sizeof(born_ms) });
}

static quarantine_entry_t *entry_at(const quarantine_t *q, guint i)
{
	return &g_array_index(q->entries, quarantine_entry_t, i);
}

static quarantine_entry_t *find_entry(const quarantine_t *q, uint64_t part)
{
	for (guint i = 0; i < q->entries->len; i++)
		if (entry_at(q, i)->part == part)
			return entry_at(q, i);
	return NULL;
}

static void remove_old(quarantine_t *q, int64_t now)
{
	crash_reports_remove_before(&q->reports, now - REPORT_LIFE_US);
	for (guint i = q->entries->len; i-- > 0;)
		if (now - entry_at(q, i)->until > PROBATION_US)
			g_array_remove_index(q->entries, i);
}

static int64_t duration_us(uint32_t times)
{
	int64_t us = FIRST_DURATION_US;

	while (--times && us < MAX_DURATION_US)
		us *= 2;
	return MIN(us, MAX_DURATION_US);
}

/* Returns the entry of PART; makes room for a new one. */
static quarantine_entry_t *add_entry(quarantine_t *q, uint64_t part)
{
	quarantine_entry_t *entry = find_entry(q, part);
	guint first = 0;

	if (entry)
		return entry;
	if (q->entries->len < QUARANTINE_MAX_ENTRIES) {
		g_array_set_size(q->entries, q->entries->len + 1);
		first = q->entries->len - 1;
	} else {
		for (guint i = 1; i < q->entries->len; i++)
			if (entry_at(q, i)->until < entry_at(q, first)->until)
				first = i;
	}
	entry = entry_at(q, first);
	*entry = (quarantine_entry_t){ .part = part };
	return entry;
}

static bool is_enough(const crash_evidence_t *e)
{
	return e->n_runners >= QUARANTINE_CRASHES &&
	       e->n_requests >= QUARANTINE_REQUESTS;
}

/* Quarantines PART if the reports suffice. Returns whether that is new. */
static bool judge(quarantine_t *q, uint64_t part, bool is_own, int64_t now)
{
	quarantine_entry_t *entry = find_entry(q, part);
	crash_evidence_t e = crash_reports_evidence(&q->reports, part, false);
	bool is_held = entry && now < entry->until;

	/* On probation, or held by another daemon's word, one is enough. */
	if (!e.n_runners || (!is_enough(&e) && !entry))
		return false;
	if (!entry)
		entry = add_entry(q, part);
	if (!is_held) {
		entry->times++;
		entry->is_own = is_own;
		entry->until = e.latest_at + duration_us(entry->times);
	}
	if (entry->common.n)
		prompt_parts_intersect(&entry->common, &e.common);
	else
		entry->common = e.common;
	return !is_held;
}

void quarantine_add_report(quarantine_t *q, const crash_report_t *report,
			   bool is_own, int64_t now)
{
	if (report->parts.n && now - report->at <= REPORT_LIFE_US)
		crash_reports_add(&q->reports, report, is_own, now);
}

/* Judges all parts of a report that counts from now on. */
static void judge_parts(quarantine_t *q, const crash_record_t *record,
			int64_t now, quarantine_fn fn, void *ctx)
{
	for (uint32_t p = 0; p < record->crash.parts.n; p++) {
		uint64_t part = record->crash.parts.ids[p];

		if (judge(q, part, record->is_own, now))
			fn(ctx, find_entry(q, part), record->is_own);
	}
}

static quarantine_survivor_t *find_survivor(const quarantine_t *q,
					    uint64_t runner, int64_t now)
{
	for (guint i = q->survivors->len; i-- > 0;) {
		quarantine_survivor_t *s =
			&g_array_index(q->survivors, quarantine_survivor_t, i);

		if (s->runner == runner && now - s->at <= REPORT_LIFE_US)
			return s;
	}
	return NULL;
}

/* One that lived before may well answer again; a crashed one can't so soon. */
static bool is_due(const quarantine_t *q, const crash_record_t *record,
		   int64_t now)
{
	bool lived = find_survivor(q, record->crash.runner, now);

	return !record->is_judged && !record->is_disproved &&
	       now - record->received_at >=
		       (lived ? SURVIVOR_SETTLE_US : SETTLE_US);
}

void quarantine_tick(quarantine_t *q, int64_t now, quarantine_fn fn, void *ctx)
{
	remove_old(q, now);
	for (guint i = 0; i < q->reports.records->len; i++) {
		crash_record_t *record = crash_reports_get(&q->reports, i);

		if (!is_due(q, record, now))
			continue;
		record->is_judged = true;
		judge_parts(q, record, now, fn, ctx);
	}
}

/* Removes entry I; tells FN, if there is one, that its quarantine ended. */
static void end_entry(quarantine_t *q, guint i, quarantine_fn fn, void *ctx)
{
	quarantine_entry_t entry = *entry_at(q, i);

	g_array_remove_index(q->entries, i);
	if (fn)
		fn(ctx, &entry, entry.is_own);
}

bool quarantine_set_sound(quarantine_t *q, const prompt_parts_t *parts,
			  quarantine_fn fn, void *ctx)
{
	bool is_news = false;

	for (uint32_t p = 0; p < parts->n; p++) {
		is_news |= crash_reports_set_sound(&q->reports, parts->ids[p]);
		for (guint i = q->entries->len; i-- > 0;) {
			quarantine_entry_t *entry = entry_at(q, i);

			if (entry->part != parts->ids[p]) {
				prompt_parts_remove(&entry->common,
						    parts->ids[p]);
				continue;
			}
			end_entry(q, i, fn, ctx);
			is_news = true;
		}
	}
	return is_news;
}

/*
 * Tells whether a first quarantine began on reports that turned out to be
 * wrong, and the others don't suffice.
 */
static bool is_wrong(const quarantine_t *q, const quarantine_entry_t *entry,
		     bool has_unjudged, int64_t now)
{
	int64_t since = entry->until - duration_us(entry->times);

	return entry->times == 1 && now - since < REPORT_LIFE_US &&
	       crash_reports_was_wrong(&q->reports, entry->part,
				       since - REPORT_LIFE_US,
				       since + SETTLE_US) &&
	       crash_reports_evidence(&q->reports, entry->part, has_unjudged)
			       .n_runners < QUARANTINE_CRASHES;
}

/* Requests with fewer parts were refused for a report that was wrong. */
static void restore_common(quarantine_t *q, quarantine_entry_t *entry)
{
	crash_evidence_t e =
		crash_reports_evidence(&q->reports, entry->part, false);

	if (is_enough(&e))
		entry->common = e.common;
}

/* A report turned out to be wrong: takes back what came of it. */
static void disprove(quarantine_t *q, crash_record_t *record, int64_t now,
		     quarantine_fn fn, void *ctx)
{
	record->is_disproved = true;
	for (guint i = q->entries->len; i-- > 0;) {
		quarantine_entry_t *entry = entry_at(q, i);

		if (prompt_parts_find(&record->crash.parts, entry->part) < 0)
			continue;
		if (is_wrong(q, entry, false, now))
			end_entry(q, i, fn, ctx);
		else
			restore_common(q, entry);
	}
}

bool quarantine_is_survivor(const quarantine_t *q, uint64_t runner, int64_t now)
{
	const quarantine_survivor_t *s = find_survivor(q, runner, now);

	return s && s->is_own;
}

static void add_survivor(quarantine_t *q, uint64_t runner, bool is_own,
			 int64_t now)
{
	quarantine_survivor_t *known = find_survivor(q, runner, now);
	quarantine_survivor_t survivor = { runner, now, is_own };

	if (known && (known->is_own || !is_own))
		return;
	if (known) {
		*known = survivor;
		return;
	}
	if (q->survivors->len >= QUARANTINE_MAX_SURVIVORS)
		g_array_remove_index(q->survivors, 0);
	g_array_append_val(q->survivors, survivor);
}

/*
 * Tells whether an answer shows that its runner didn't crash. One that crashed
 * may be back under its old name before this daemon knows of its new
 * incarnation, but its connections are gone, and it is away for a while.
 */
static bool is_disproof(const quarantine_answer_t *answer,
			const crash_report_t *crash, int64_t now)
{
	return crash->runner == answer->runner && crash->at < answer->sent_at &&
	       (answer->connected_at < crash->at ||
		now - crash->at < MIN_RESTART_US);
}

bool quarantine_set_alive(quarantine_t *q, const quarantine_answer_t *answer,
			  int64_t now, quarantine_fn fn, void *ctx)
{
	bool is_news = false;

	for (guint i = q->reports.records->len; i-- > 0;) {
		crash_record_t *record = crash_reports_get(&q->reports, i);

		if (record->is_disproved ||
		    !is_disproof(answer, &record->crash, now))
			continue;
		record->is_untold = true;
		disprove(q, record, now, fn, ctx);
		is_news = true;
	}
	if (is_news)
		add_survivor(q, answer->runner, true, now);
	return is_news;
}

void quarantine_take_disproofs(quarantine_t *q, quarantine_disproof_fn fn,
			       void *ctx)
{
	for (guint i = 0; i < q->reports.records->len; i++) {
		crash_record_t *record = crash_reports_get(&q->reports, i);

		if (!record->is_untold)
			continue;
		record->is_untold = false;
		fn(ctx, &record->crash);
	}
}

void quarantine_set_disproved(quarantine_t *q, const crash_report_t *report,
			      int64_t now, quarantine_fn fn, void *ctx)
{
	crash_record_t *record;

	quarantine_add_report(q, report, false, now);
	record = crash_reports_find(&q->reports, report);
	if (!record || record->is_disproved)
		return;
	disprove(q, record, now, fn, ctx);
	add_survivor(q, report->runner, false, now);
}

bool quarantine_add_entry(quarantine_t *q, const quarantine_entry_t *entry,
			  int64_t now)
{
	quarantine_entry_t *known = find_entry(q, entry->part);
	bool is_held = known && now < known->until;

	remove_old(q, now);
	if (now >= entry->until || !entry->common.n || !entry->times)
		return false;
	/* Its sender may not have heard of the answer that disproves it. */
	if (!known && is_wrong(q, entry, true, now))
		return false;
	known = add_entry(q, entry->part);
	if (is_held) {
		prompt_parts_intersect(&known->common, &entry->common);
	} else {
		known->common = entry->common;
		known->until = MIN(entry->until, now + MAX_DURATION_US);
		known->is_own = false;
	}
	known->times = MAX(known->times, entry->times);
	return !is_held;
}

const quarantine_entry_t *quarantine_match(const quarantine_t *q,
					   const prompt_parts_t *parts,
					   int64_t now)
{
	for (guint i = 0; i < q->entries->len; i++) {
		const quarantine_entry_t *entry = entry_at(q, i);

		if (now < entry->until &&
		    prompt_parts_find(parts, entry->part) >= 0 &&
		    prompt_parts_is_subset(&entry->common, parts))
			return entry;
	}
	return NULL;
}

bool quarantine_is_suspect(const quarantine_t *q, const prompt_parts_t *parts,
			   int64_t now)
{
	for (uint32_t p = 0; p < parts->n; p++) {
		const quarantine_entry_t *entry = find_entry(q, parts->ids[p]);
		crash_evidence_t e;

		if (entry && now < entry->until)
			return true;
		e = crash_reports_evidence(&q->reports, parts->ids[p], true);
		if (is_enough(&e))
			return true;
	}
	return false;
}

uint32_t quarantine_count(const quarantine_t *q, int64_t now)
{
	uint32_t n = 0;

	for (guint i = 0; i < q->entries->len; i++)
		n += now < entry_at(q, i)->until;
	return n;
}

void quarantine_each(const quarantine_t *q, int64_t now, quarantine_fn fn,
		     void *ctx)
{
	for (guint i = 0; i < q->entries->len; i++)
		if (now < entry_at(q, i)->until)
			fn(ctx, entry_at(q, i), false);
}
