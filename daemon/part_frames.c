#include "daemon/part_frames.h"

enum { US_PER_MS = 1000 };

static uint32_t to_ms(int64_t us)
{
	return (uint32_t)CLAMP(us / US_PER_MS, 0, UINT32_MAX);
}

static void set_parts(Papaya__PartNotice *out, const prompt_parts_t *parts)
{
	out->parts = (uint64_t *)parts->ids;
	out->n_parts = parts->n;
}

void part_frames_send(peer_t *peer, const message_part_t *notice, int64_t now,
		      bool (*filter)(void *ctx, const char *name), void *ctx)
{
	Papaya__Frame frame = PAPAYA__FRAME__INIT;
	Papaya__PartNotice out = PAPAYA__PART_NOTICE__INIT;

	out.kind = notice->kind;
	if (notice->kind == PART_NOTICE_QUARANTINE) {
		set_parts(&out, &notice->entry.common);
		out.part = notice->entry.part;
		out.left_ms = to_ms(notice->entry.until - now);
		out.times = notice->entry.times;
	} else {
		set_parts(&out, &notice->crash.parts);
		out.runner = notice->crash.runner;
		out.request = notice->crash.request;
		out.age_ms = to_ms(now - notice->crash.at);
	}
	frame.body_case = PAPAYA__FRAME__BODY_PART_NOTICE;
	frame.part_notice = &out;
	if (notice->peer[0])
		peer_send(peer, str_from(notice->peer), &frame);
	else
		peer_send_where(peer, &frame, filter, ctx);
}

static prompt_parts_t read_parts(const Papaya__PartNotice *in)
{
	prompt_parts_t parts = { .n = 0 };

	for (size_t i = 0; i < in->n_parts; i++)
		prompt_parts_add(&parts, in->parts[i]);
	return parts;
}

bool part_frames_read(const Papaya__Frame *frame, int64_t now, message_t *out)
{
	const Papaya__PartNotice *in = frame->part_notice;
	message_part_t *notice = &out->part;

	if (frame->body_case != PAPAYA__FRAME__BODY_PART_NOTICE ||
	    in->kind >= PART_NOTICE_KINDS || !in->n_parts)
		return false;
	*out = (message_t){ .type = MESSAGE_PART_NOTICE };
	notice->kind = in->kind;
	if (notice->kind == PART_NOTICE_QUARANTINE) {
		notice->entry = (quarantine_entry_t){
			.part = in->part,
			.common = read_parts(in),
			.until = now + (int64_t)in->left_ms * US_PER_MS,
			.times = in->times,
		};
	} else {
		notice->crash = (crash_report_t){
			.runner = in->runner,
			.request = in->request,
			.parts = read_parts(in),
			.at = now - (int64_t)in->age_ms * US_PER_MS,
		};
	}
	return true;
}
