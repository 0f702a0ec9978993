#include "daemon/update_frames.h"
#include "daemon/peers.h"

enum {
	STARTUP_US = 5 * G_USEC_PER_SEC, /* to learn of the other daemons */
};

static void receive_update(peers_t *p, const char *name,
			   const Papaya__StoreNews *news)
{
	message_t m;

	if (!update_frames_read(news, &m)) {
		metrics_add(&p->sup->metrics, "papaya_foreign_frames_total",
			    NULL, 1);
		return;
	}
	m.update.is_from_other_zone = !peers_is_own_zone(p, name);
	g_strlcpy(m.update.sender, name, sizeof(m.update.sender));
	supervisor_post(p->sup, TASK_PLATFORM, &m);
}

static void receive_request(peers_t *p, const char *name,
			    const Papaya__StoreAsk *ask)
{
	message_t m = { .type = MESSAGE_LISTS_REQUESTED };

	m.lists.topics = ask->topics;
	g_strlcpy(m.lists.peer, name, sizeof(m.lists.peer));
	supervisor_post(p->sup, TASK_PLATFORM, &m);
}

bool peers_on_store_frame(peers_t *p, const char *name,
			  const Papaya__Frame *frame)
{
	if (frame->body_case == PAPAYA__FRAME__BODY_STORE_NEWS)
		receive_update(p, name, frame->store_news);
	else if (frame->body_case == PAPAYA__FRAME__BODY_STORE_ASK)
		receive_request(p, name, frame->store_ask);
	else
		return false;
	return true;
}

void peers_request_lists(peers_t *p, uint32_t topics)
{
	Papaya__Frame frame = PAPAYA__FRAME__INIT;
	Papaya__StoreAsk ask = PAPAYA__STORE_ASK__INIT;
	char name[MEMBER_NAME_SIZE];

	if (!peer_pick_random(&p->peer, name))
		return;
	ask.topics = topics;
	frame.body_case = PAPAYA__FRAME__BODY_STORE_ASK;
	frame.store_ask = &ask;
	peer_send(&p->peer, str_from(name), &frame);
}

void peers_send_update(peers_t *p, const message_update_t *update)
{
	update_frames_send(&p->peer, update,
			   update->is_relayed ? peers_is_own_zone : NULL, p);
}

/*
 * One daemon reads the store for all others. For its first STARTUP_US a daemon
 * does not know the others; until then only the seeds read, as every daemon
 * links to these first.
 */
static bool is_reader(const peers_t *p)
{
	if (now_us() - p->started_at < STARTUP_US)
		return settings_is_seed(p->sup->settings);
	return member_is_regional_host(&p->member, STR_LIT("store-reader"));
}

void peers_post_reader(peers_t *p)
{
	message_t m = { .type = MESSAGE_READER_ROLE };

	if (!p->sup->settings->fleet)
		return;
	m.number = is_reader(p);
	supervisor_post(p->sup, TASK_PLATFORM, &m);
}
