#include "standin/lib_load_report.h"

void load_report_init(load_report_t *r, int64_t lag_us)
{
	g_queue_init(&r->samples);
	r->lag_us = lag_us;
}

void load_report_finish(load_report_t *r)
{
	g_queue_clear_full(&r->samples, g_free);
}

void load_report_add(load_report_t *r, const load_sample_t *sample)
{
	g_queue_push_tail(&r->samples, g_memdup2(sample, sizeof(*sample)));
	while (r->samples.length > 1) {
		const load_sample_t *second = r->samples.head->next->data;

		if (sample->at_us - second->at_us < r->lag_us)
			return;
		g_free(g_queue_pop_head(&r->samples));
	}
}

json_t *load_report_json(const load_report_t *r, int generation)
{
	const load_sample_t *s = r->samples.head->data;

	return json_pack("{s:I,s:s,s:i,s:i,s:i,s:i,s:i}", "as_of_ms",
			 (json_int_t)s->wall_ms, "state",
			 s->is_leaving ? "leaving" : "live", "running",
			 (int)s->running, "waiting", (int)s->waiting,
			 "waiting_prompt_tokens", (int)s->waiting_tokens,
			 "running_tokens", (int)s->running_tokens, "generation",
			 generation);
}
