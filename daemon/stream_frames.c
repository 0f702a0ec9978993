#include "daemon/stream_frames.h"

bool stream_frames_send_notes(peer_t *peer, str_t to, const GArray *begun)
{
	Papaya__Frame frame = PAPAYA__FRAME__INIT;
	Papaya__StreamNotes notes = PAPAYA__STREAM_NOTES__INIT;
	g_autofree uint64_t *streams = g_new(uint64_t, begun->len);
	g_autofree uint64_t *releases = g_new(uint64_t, begun->len);

	for (guint i = 0; i < begun->len; i++) {
		const stream_release_t *s =
			&g_array_index(begun, stream_release_t, i);

		streams[i] = s->stream;
		releases[i] = s->release;
	}
	notes.streams = streams;
	notes.releases = releases;
	notes.n_streams = notes.n_releases = begun->len;
	frame.body_case = PAPAYA__FRAME__BODY_STREAM_NOTES;
	frame.stream_notes = &notes;
	return peer_send(peer, to, &frame);
}

bool stream_frames_send(peer_t *peer, str_t to, const message_t *m)
{
	const stream_release_t *stream = &m->streams.stream;
	Papaya__Frame frame = PAPAYA__FRAME__INIT;
	Papaya__StreamAsk ask = PAPAYA__STREAM_ASK__INIT;
	Papaya__StreamAnswer answer = PAPAYA__STREAM_ANSWER__INIT;

	ask.stream = answer.stream = stream->stream;
	ask.from_memory = m->streams.is_to_confirm;
	ask.only_release = stream->release;
	answer.release = stream->release;
	if (m->type == MESSAGE_STREAM_ASK) {
		frame.body_case = PAPAYA__FRAME__BODY_STREAM_ASK;
		frame.stream_ask = &ask;
	} else {
		frame.body_case = PAPAYA__FRAME__BODY_STREAM_ANSWER;
		frame.stream_answer = &answer;
	}
	return peer_send(peer, to, &frame);
}

static bool read_notes(const Papaya__StreamNotes *notes, message_t *out)
{
	if (!notes->n_streams || notes->n_streams != notes->n_releases)
		return false;
	out->type = MESSAGE_STREAM_NOTES;
	out->streams.begun =
		g_array_new(FALSE, FALSE, sizeof(stream_release_t));
	for (size_t i = 0; i < notes->n_streams; i++) {
		stream_release_t s = { notes->streams[i], notes->releases[i] };

		if (s.release)
			g_array_append_val(out->streams.begun, s);
	}
	return true;
}

bool stream_frames_read(const Papaya__Frame *frame, const char *peer,
			message_t *out)
{
	*out = (message_t){ .type = MESSAGE_STREAM_ASK };
	g_strlcpy(out->streams.peer, peer, sizeof(out->streams.peer));
	switch (frame->body_case) {
	case PAPAYA__FRAME__BODY_STREAM_NOTES:
		return read_notes(frame->stream_notes, out);
	case PAPAYA__FRAME__BODY_STREAM_ASK:
		out->streams.stream.stream = frame->stream_ask->stream;
		out->streams.is_to_confirm = frame->stream_ask->from_memory;
		out->streams.stream.release = frame->stream_ask->only_release;
		return true;
	case PAPAYA__FRAME__BODY_STREAM_ANSWER:
		out->type = MESSAGE_STREAM_ANSWER;
		out->streams.stream.stream = frame->stream_answer->stream;
		out->streams.stream.release = frame->stream_answer->release;
		return true;
	default:
		return false;
	}
}
