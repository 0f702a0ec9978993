#include "daemon/rollout_frames.h"

enum {
	US_PER_MS = 1000,
	MAX_TALLIES = 1024, /* of one report; further ones are ignored */
	MAX_ALIKE = 100000, /* answers that a tally may stand for */
};

static void add_tally(const rollout_tally_t *t, GPtrArray *out)
{
	Papaya__RolloutTally *tally = g_new(Papaya__RolloutTally, 1);

	papaya__rollout_tally__init(tally);
	tally->route = t->answer.route;
	tally->runner = t->answer.is_target ? t->answer.runner : 0;
	tally->timing = t->answer.timing;
	tally->bucket = t->answer.bucket;
	tally->target = t->answer.is_target;
	tally->failed = t->answer.has_failed;
	tally->n = t->n;
	g_ptr_array_add(out, tally);
}

static bool send_report(peer_t *peer, str_t to, const message_rollout_t *m)
{
	Papaya__Frame frame = PAPAYA__FRAME__INIT;
	Papaya__RolloutReport out = PAPAYA__ROLLOUT_REPORT__INIT;
	const rollout_counts_t *counts = &m->report.counts;
	g_autoptr(GPtrArray) tallies = g_ptr_array_new_with_free_func(g_free);

	for (guint i = 0; m->tallies && i < m->tallies->len; i++)
		add_tally(&g_array_index(m->tallies, rollout_tally_t, i),
			  tallies);
	out.service = (char *)m->service;
	out.order = m->report.order;
	out.process = counts->process;
	out.requests = counts->requests;
	out.granter = counts->granter;
	out.used = counts->used;
	out.returned = counts->returned;
	out.stage = m->report.stage;
	out.term = m->report.term;
	out.running = m->report.running;
	out.stamp_us = m->report.stamp;
	out.longest_ms =
		(uint32_t)MIN(m->report.longest / US_PER_MS, UINT32_MAX);
	out.tallies = (Papaya__RolloutTally **)tallies->pdata;
	out.n_tallies = tallies->len;
	frame.body_case = PAPAYA__FRAME__BODY_ROLLOUT_REPORT;
	frame.rollout_report = &out;
	return peer_send(peer, to, &frame);
}

static bool send_told(peer_t *peer, str_t to, const message_rollout_t *m)
{
	Papaya__Frame frame = PAPAYA__FRAME__INIT;
	Papaya__RolloutTold out = PAPAYA__ROLLOUT_TOLD__INIT;

	out.service = (char *)m->service;
	out.order = m->told.order;
	out.term = m->told.term;
	out.granter = m->told.granter;
	out.stage = m->told.stage;
	out.granted = m->told.granted;
	out.process = m->told.process;
	out.stamp_us = m->told.stamp;
	out.decided_ms = m->told.decided_ms;
	frame.body_case = PAPAYA__FRAME__BODY_ROLLOUT_TOLD;
	frame.rollout_told = &out;
	return peer_send(peer, to, &frame);
}

bool rollout_frames_send(peer_t *peer, str_t to, const message_t *m)
{
	if (m->type == MESSAGE_ROLLOUT_REPORT)
		return send_report(peer, to, &m->rollout);
	return send_told(peer, to, &m->rollout);
}

static void read_tallies(const Papaya__RolloutReport *in, GArray *out)
{
	for (size_t i = 0; i < MIN(in->n_tallies, MAX_TALLIES); i++) {
		const Papaya__RolloutTally *t = in->tallies[i];
		rollout_tally_t tally = {
			.answer = { .route = t->route,
				    .runner = t->runner,
				    .timing = t->timing,
				    .bucket = t->bucket,
				    .is_target = t->target,
				    .has_failed = t->failed },
			.n = t->n,
		};

		if (t->timing < ROLLOUT_TIMINGS &&
		    t->bucket < ROLLOUT_BUCKETS && t->n <= MAX_ALIKE)
			g_array_append_val(out, tally);
	}
}

static bool read_report(const Papaya__RolloutReport *in, message_t *out)
{
	message_rollout_t *m = &out->rollout;

	if (in->stage >= ROLLOUT_STAGES ||
	    !str_copy(m->service, sizeof(m->service), str_from(in->service)))
		return false;
	out->type = MESSAGE_ROLLOUT_REPORT;
	m->report = (rollout_report_t){
		.order = in->order,
		.counts = { .process = in->process,
			    .requests = in->requests,
			    .granter = in->granter,
			    .used = in->used,
			    .returned = in->returned },
		.stage = in->stage,
		.term = in->term,
		.running = in->running,
		.stamp = in->stamp_us,
		.longest = (int64_t)in->longest_ms * US_PER_MS,
	};
	m->tallies = g_array_new(FALSE, FALSE, sizeof(rollout_tally_t));
	read_tallies(in, m->tallies);
	return true;
}

static bool read_told(const Papaya__RolloutTold *in, message_t *out)
{
	message_rollout_t *m = &out->rollout;

	if (in->stage >= ROLLOUT_STAGES ||
	    !str_copy(m->service, sizeof(m->service), str_from(in->service)))
		return false;
	out->type = MESSAGE_ROLLOUT_TOLD;
	m->told = (rollout_told_t){
		.order = in->order,
		.term = in->term,
		.granter = in->granter,
		.stage = in->stage,
		.granted = in->granted,
		.process = in->process,
		.stamp = in->stamp_us,
		.decided_ms = in->decided_ms,
	};
	return true;
}

bool rollout_frames_read(const Papaya__Frame *frame, const char *peer,
			 message_t *out)
{
	*out = (message_t){ .type = MESSAGE_ROLLOUT_TOLD };
	g_strlcpy(out->rollout.peer, peer, sizeof(out->rollout.peer));
	if (frame->body_case == PAPAYA__FRAME__BODY_ROLLOUT_REPORT)
		return read_report(frame->rollout_report, out);
	if (frame->body_case == PAPAYA__FRAME__BODY_ROLLOUT_TOLD)
		return read_told(frame->rollout_told, out);
	return false;
}
