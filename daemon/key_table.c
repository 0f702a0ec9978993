#include "daemon/key_table.h"

#include "net/handover_frame.h"

static bool send_frame(void *ctx, str_t name, const Papaya__Frame *frame)
{
	key_table_t *k = ctx;

	return peer_send(k->peer, name, frame);
}

static bool send_part(void *ctx, str_t name, const handover_part_t *part)
{
	return handover_frame_send_part(send_frame, ctx, name, part);
}

static void send_ack(void *ctx, str_t name, uint64_t incarnation,
		     uint32_t serial)
{
	handover_frame_send_ack(send_frame, ctx, name, incarnation, serial);
}

void key_table_init(key_table_t *k, supervisor_t *sup, member_t *member,
		    peer_t *peer)
{
	static const handover_ops_t ops = { send_part, send_ack };
	const settings_t *s = sup->settings;
	dedup_config_t config = {
		.max_entries = (uint32_t)s->max_keys,
		.max_bytes = (uint64_t)s->max_kept_kib * 1024,
		.answer_ttl = settings_key_ttl_ms(s) * 1000,
		.ticket_ttl = s->ticket_life_ms * 1000,
	};

	k->sup = sup;
	k->member = member;
	k->peer = peer;
	k->started = now_us();
	dedup_init(&k->dedup, &config);
	handover_init(&k->handover, member, &k->dedup, &ops, k);
}

void key_table_finish(key_table_t *k)
{
	handover_finish(&k->handover);
	dedup_finish(&k->dedup);
}

static void claim(key_table_t *k, const message_locate_t *request,
		  message_locate_t *out)
{
	dedup_entry_t *entry = NULL;

	out->owner.kind = MEMBER_OWNER_SELF;
	out->epoch = supervisor_stall_epoch(k->sup);
	out->verdict = dedup_claim(&k->dedup, request->scoped, false,
				   request->fingerprint, out->epoch, &entry);
	if (out->verdict == DEDUP_NEW) {
		entry->user_data = (void *)(uintptr_t)request->attempt;
	} else if (out->verdict == DEDUP_JOIN) {
		out->joined = (uint64_t)(uintptr_t)entry->user_data;
	} else if (out->verdict == DEDUP_REPLAY) {
		out->answer = entry->answer;
		out->answer.content_type = g_strdup(entry->answer.content_type);
		if (entry->answer.body)
			g_bytes_ref(entry->answer.body);
	}
}

void key_table_locate(key_table_t *k, const message_locate_t *request,
		      message_t *out)
{
	message_locate_t *l = &out->locate;
	gsize len;
	const char *scoped_key = g_bytes_get_data(request->scoped, &len);
	str_t name = { scoped_key, len };
	str_t home_zone = request->key_zone[0] ?
				  str_from(request->key_zone) :
				  member_home_zone(k->member, name);

	*out = (message_t){ .type = MESSAGE_LOCATED, .locate = *request };
	l->scoped = g_bytes_ref(request->scoped);
	/* A key in the table is served from it, even if its owner changed. */
	if (dedup_find(&k->dedup, request->scoped)) {
		claim(k, request, l);
		return;
	}
	member_key_owner(k->member, name, home_zone, request->key_age, now_us(),
			 &l->owner);
	if (l->owner.kind == MEMBER_OWNER_SELF)
		claim(k, request, l);
}

void key_table_on_request_end(key_table_t *k, const message_claim_t *ended)
{
	dedup_entry_t *entry = dedup_find(&k->dedup, ended->scoped);
	dedup_answer_t answer = ended->answer;

	if (!entry || entry->state != DEDUP_WAITING)
		return;
	if (ended->is_dispatched) {
		dedup_mark_dispatched(entry, entry->epoch);
		dedup_end(&k->dedup, entry, &answer, now_us());
	} else {
		answer.outcome = OUTCOME_NOT_RUN;
		dedup_release(&k->dedup, entry, now_us());
	}
	handover_on_request_end(&k->handover, ended->scoped, ended->fingerprint,
				&answer, now_us());
}

bool key_table_receive(key_table_t *k, const char *from,
		       const Papaya__Frame *frame)
{
	if (frame->body_case == PAPAYA__FRAME__BODY_HAND_OVER) {
		handover_frame_receive(&k->handover, str_from(from),
				       frame->hand_over, now_us());
		return true;
	}
	if (frame->body_case != PAPAYA__FRAME__BODY_HAND_OVER_ACK)
		return false;
	handover_on_ack(&k->handover, str_from(from),
			frame->hand_over_ack->incarnation,
			frame->hand_over_ack->serial);
	return true;
}

/* Reports readiness at every tick, as the admin task may have restarted. */
static void post_ready(key_table_t *k)
{
	message_t m = { .type = MESSAGE_KEYS_READY };

	m.number = handover_is_ready(&k->handover, now_us() - k->started);
	supervisor_post(k->sup, TASK_ADMIN, &m);
}

void key_table_tick(key_table_t *k)
{
	handover_tick(&k->handover, now_us());
	dedup_expire(&k->dedup, now_us());
	metrics_set(&k->sup->metrics, "papaya_keys_joined", NULL,
		    handover_has_joined(&k->handover));
	metrics_set(&k->sup->metrics, "papaya_keys_awaited", NULL,
		    handover_n_outstanding(&k->handover));
	post_ready(k);
	metrics_set(&k->sup->metrics, "papaya_keys", NULL,
		    g_hash_table_size(k->dedup.entries));
}

void key_table_reset(key_table_t *k)
{
	handover_reset(&k->handover);
}

bool key_table_is_handed_over(const key_table_t *k)
{
	return handover_is_done(&k->handover);
}
