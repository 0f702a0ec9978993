/*
 * Routes what is said of streams' releases: each stream has a recorder among
 * the daemons (daemon/stream_recorder.h), which follows from its hash. There is
 * one recorder for every DAEMONS_PER_RECORDER daemons.
 */
#include "daemon/peers.h"
#include "daemon/stream_frames.h"

enum {
	DAEMONS_PER_RECORDER = 32,
	MAX_RECORDERS = 16, /* as in core/stream_releases.c */
};

static uint32_t count_recorders(const peers_t *p)
{
	return MIN(1 + p->live_daemons / DAEMONS_PER_RECORDER, MAX_RECORDERS);
}

/* Finds recorder I; false when it is this daemon, or none is known. */
static bool find_recorder(peers_t *p, uint32_t i, member_vm_t *out)
{
	char role[MEMBER_NAME_SIZE];

	g_snprintf(role, sizeof(role), "streams-%u", i);
	return member_regional_host(&p->member, str_from(role), now_us(),
				    out) &&
	       strcmp(out->name, p->self.name) != 0;
}

void peers_link_recorders(peers_t *p)
{
	uint32_t n = count_recorders(p);
	member_vm_t vm;

	/* Each lookup records that the link to the host is needed. */
	for (uint32_t i = 0; i < n; i++)
		find_recorder(p, i, &vm);
}

/* Sends streams to recorder I, which may be this daemon. */
static void send_notes(peers_t *p, uint32_t i, GArray *begun)
{
	message_t m = { .type = MESSAGE_STREAM_NOTES };
	member_vm_t vm;

	if (find_recorder(p, i, &vm) &&
	    stream_frames_send_notes(&p->peer, str_from(vm.name), begun))
		return;
	m.streams.begun = g_array_ref(begun);
	supervisor_post(p->sup, TASK_PLATFORM, &m);
}

void peers_send_stream_notes(peers_t *p, const GArray *begun)
{
	GArray *by_recorder[MAX_RECORDERS] = { NULL };
	uint32_t n = count_recorders(p);

	for (guint k = 0; k < begun->len; k++) {
		const stream_release_t *s =
			&g_array_index(begun, stream_release_t, k);
		GArray **part = &by_recorder[s->stream % n];

		if (!*part)
			*part = g_array_new(FALSE, FALSE, sizeof(*s));
		g_array_append_vals(*part, s, 1);
	}
	for (uint32_t i = 0; i < n; i++) {
		if (!by_recorder[i])
			continue;
		send_notes(p, i, by_recorder[i]);
		g_array_unref(by_recorder[i]);
	}
}

void peers_route_stream(peers_t *p, const message_t *m)
{
	uint64_t stream = m->streams.stream.stream;
	member_vm_t vm;

	if (m->type == MESSAGE_STREAM_ANSWER) {
		if (m->streams.peer[0])
			stream_frames_send(&p->peer, str_from(m->streams.peer),
					   m);
		else
			supervisor_post(p->sup, TASK_FRONT, m);
		return;
	}
	if (!find_recorder(p, (uint32_t)(stream % count_recorders(p)), &vm) ||
	    !stream_frames_send(&p->peer, str_from(vm.name), m))
		supervisor_post(p->sup, TASK_PLATFORM, m);
}

bool peers_on_stream_frame(peers_t *p, const char *name,
			   const Papaya__Frame *frame)
{
	message_t m;

	if (!stream_frames_read(frame, name, &m))
		return false;
	supervisor_post(p->sup,
			m.type == MESSAGE_STREAM_ANSWER ? TASK_FRONT :
							  TASK_PLATFORM,
			&m);
	return true;
}
