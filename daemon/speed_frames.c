#include "daemon/speed_frames.h"

#include <math.h>

enum { SUMS = 5 }; /* of a line fit: weight, x, y, xx, xy */

/* A digest as the frame has it; its arrays are referenced by the frame. */
typedef struct speed_out {
	Papaya__RunnerSpeed frame;
	float prefill[SUMS], decode[SUMS];
} speed_out_t;

static void write_line(const line_fit_t *line, float *out)
{
	const double sums[SUMS] = { line->weight, line->x, line->y, line->xx,
				    line->xy };

	for (int i = 0; i < SUMS; i++)
		out[i] = (float)sums[i];
}

static void write_digest(const runner_digest_t *digest, speed_out_t *out)
{
	papaya__runner_speed__init(&out->frame);
	out->frame.runner = (char *)digest->name;
	out->frame.born_ms = digest->born_ms;
	out->frame.age_ms = digest->age_ms;
	out->frame.usual_pace = (float)digest->usual_pace;
	out->frame.n_paces = digest->n_paces;
	write_line(&digest->speed.prefill, out->prefill);
	write_line(&digest->speed.decode, out->decode);
	out->frame.prefill = out->prefill;
	out->frame.n_prefill = SUMS;
	out->frame.decode = out->decode;
	out->frame.n_decode = SUMS;
}

bool speed_frames_send(peer_t *peer, str_t to, const message_speeds_t *speeds)
{
	Papaya__Frame frame = PAPAYA__FRAME__INIT;
	Papaya__RunnerSpeeds out = PAPAYA__RUNNER_SPEEDS__INIT;
	Papaya__RunnerSpeed *list[SPEED_DIGEST_MAX];
	speed_out_t digests[SPEED_DIGEST_MAX];
	size_t n = MIN(speeds->digests->len, SPEED_DIGEST_MAX);

	for (size_t i = 0; i < n; i++) {
		write_digest(
			&g_array_index(speeds->digests, runner_digest_t, i),
			&digests[i]);
		list[i] = &digests[i].frame;
	}
	out.service = (char *)speeds->service;
	out.speeds = list;
	out.n_speeds = n;
	frame.body_case = PAPAYA__FRAME__BODY_RUNNER_SPEEDS;
	frame.runner_speeds = &out;
	return peer_send(peer, to, &frame);
}

static bool read_line(const float *sums, size_t n, line_fit_t *out)
{
	if (n != SUMS)
		return false;
	for (int i = 0; i < SUMS; i++)
		if (!isfinite(sums[i]) || sums[i] < 0)
			return false;
	*out = (line_fit_t){ sums[0], sums[1], sums[2], sums[3], sums[4] };
	return true;
}

static bool read_digest(const Papaya__RunnerSpeed *in, runner_digest_t *out)
{
	*out = (runner_digest_t){ .born_ms = in->born_ms,
				  .age_ms = in->age_ms,
				  .usual_pace = in->usual_pace,
				  .n_paces = in->n_paces };
	return in->age_ms <= SPEED_DIGEST_MAX_AGE_MS &&
	       str_copy(out->name, sizeof(out->name), str_from(in->runner)) &&
	       read_line(in->prefill, in->n_prefill, &out->speed.prefill) &&
	       read_line(in->decode, in->n_decode, &out->speed.decode) &&
	       isfinite(in->usual_pace) && runner_digest_is_plausible(out);
}

bool speed_frames_read(const Papaya__Frame *frame, message_t *out)
{
	const Papaya__RunnerSpeeds *in = frame->runner_speeds;
	runner_digest_t digest;

	*out = (message_t){ .type = MESSAGE_SPEEDS };
	if (frame->body_case != PAPAYA__FRAME__BODY_RUNNER_SPEEDS ||
	    !str_copy(out->speeds.service, sizeof(out->speeds.service),
		      str_from(in->service)))
		return false;
	out->speeds.digests =
		g_array_new(FALSE, FALSE, sizeof(runner_digest_t));
	for (size_t i = 0; i < MIN(in->n_speeds, SPEED_DIGEST_MAX); i++)
		if (read_digest(in->speeds[i], &digest))
			g_array_append_val(out->speeds.digests, digest);
	if (out->speeds.digests->len)
		return true;
	g_clear_pointer(&out->speeds.digests, g_array_unref);
	return false;
}
