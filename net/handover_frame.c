#include "net/handover_frame.h"

enum { US_PER_MS = 1000 };

static void pack_key(Papaya__HandedKey *out, const handover_key_t *key,
		     bool has_outcome)
{
	const dedup_answer_t *answer = &key->answer;
	gsize len;

	papaya__handed_key__init(out);
	out->scoped.data = (uint8_t *)g_bytes_get_data(key->scoped, &len);
	out->scoped.len = len;
	out->fingerprint = key->fingerprint;
	if (!has_outcome)
		return;
	out->outcome = (char *)outcome_name(answer->outcome);
	out->status = (uint32_t)answer->status;
	if (answer->content_type)
		out->content_type = answer->content_type;
	out->has_answer = answer->body != NULL;
	if (!answer->body)
		return;
	out->body.data = (uint8_t *)g_bytes_get_data(answer->body, &len);
	out->body.len = len;
}

/* A part of a hand-over as a message, with the arrays it points to. */
typedef struct part_msg {
	Papaya__HandOver msg;
	Papaya__HandedKey *keys;
	Papaya__Heard *members, *owing;
	Papaya__Gap *gaps;
} part_msg_t;

static void pack_keys(part_msg_t *p, const handover_part_t *part)
{
	p->keys = g_new(Papaya__HandedKey, part->n_keys + 1);
	p->msg.keys = g_new(Papaya__HandedKey *, part->n_keys + 1);
	p->msg.n_keys = part->n_keys;
	for (size_t i = 0; i < part->n_keys; i++) {
		pack_key(&p->keys[i], &part->keys[i], part->is_answers);
		p->msg.keys[i] = &p->keys[i];
	}
}

/* Converts members into a new array *OUT; returns pointers to its items. */
static Papaya__Heard **pack_members(Papaya__Heard **out,
				    const handover_member_t *members, size_t n)
{
	Papaya__Heard **ptrs = g_new(Papaya__Heard *, n + 1);

	*out = g_new(Papaya__Heard, n + 1);
	for (size_t i = 0; i < n; i++) {
		ptrs[i] = &(*out)[i];
		papaya__heard__init(ptrs[i]);
		ptrs[i]->name = (char *)members[i].name.ptr;
		ptrs[i]->incarnation = members[i].incarnation;
	}
	return ptrs;
}

static void pack_gaps(part_msg_t *p, const handover_part_t *part)
{
	p->gaps = g_new(Papaya__Gap, part->n_gaps + 1);
	p->msg.gaps = g_new(Papaya__Gap *, part->n_gaps + 1);
	p->msg.n_gaps = part->n_gaps;
	for (size_t i = 0; i < part->n_gaps; i++) {
		papaya__gap__init(&p->gaps[i]);
		p->gaps[i].name = (char *)part->gaps[i].name.ptr;
		p->gaps[i].age_ms = (uint32_t)(part->gaps[i].age / US_PER_MS);
		p->gaps[i].leaving_incarnation =
			part->gaps[i].leaving_incarnation;
		p->msg.gaps[i] = &p->gaps[i];
	}
}

static void part_msg_init(part_msg_t *p, const handover_part_t *part)
{
	papaya__hand_over__init(&p->msg);
	pack_keys(p, part);
	p->msg.members =
		pack_members(&p->members, part->members, part->n_members);
	p->msg.n_members = part->n_members;
	p->msg.owing = pack_members(&p->owing, part->owing, part->n_owing);
	p->msg.n_owing = part->n_owing;
	pack_gaps(p, part);
	p->msg.last = part->is_last;
	p->msg.incarnation = part->incarnation;
	p->msg.to_incarnation = part->to_incarnation;
	p->msg.serial = part->serial;
	p->msg.index = part->index;
	p->msg.leaving = part->is_draining;
	p->msg.answers = part->is_answers;
}

static void part_msg_finish(part_msg_t *p)
{
	g_free(p->keys);
	g_free(p->members);
	g_free(p->owing);
	g_free(p->gaps);
	g_free(p->msg.keys);
	g_free(p->msg.members);
	g_free(p->msg.owing);
	g_free(p->msg.gaps);
}

bool handover_frame_send_part(handover_frame_send_t send, void *ctx, str_t name,
			      const handover_part_t *part)
{
	Papaya__Frame frame = PAPAYA__FRAME__INIT;
	part_msg_t part_msg;
	bool is_sent;

	part_msg_init(&part_msg, part);
	frame.body_case = PAPAYA__FRAME__BODY_HAND_OVER;
	frame.hand_over = &part_msg.msg;
	is_sent = send(ctx, name, &frame);
	part_msg_finish(&part_msg);
	return is_sent;
}

bool handover_frame_send_ack(handover_frame_send_t send, void *ctx, str_t name,
			     uint64_t incarnation, uint32_t serial)
{
	Papaya__HandOverAck ack = PAPAYA__HAND_OVER_ACK__INIT;
	Papaya__Frame frame = PAPAYA__FRAME__INIT;

	ack.incarnation = incarnation;
	ack.serial = serial;
	frame.body_case = PAPAYA__FRAME__BODY_HAND_OVER_ACK;
	frame.hand_over_ack = &ack;
	return send(ctx, name, &frame);
}

static void free_keys(GArray *keys)
{
	for (guint i = 0; i < keys->len; i++) {
		handover_key_t *key = &g_array_index(keys, handover_key_t, i);

		g_bytes_unref(key->scoped);
		g_clear_pointer(&key->answer.body, g_bytes_unref);
	}
	g_array_unref(keys);
}

/* Reads a key. An outcome unknown to this version counts as UNKNOWN. */
static handover_key_t read_key(const Papaya__HandedKey *msg)
{
	handover_key_t key = { .fingerprint = msg->fingerprint };
	outcome_t outcome = outcome_parse(msg->outcome);

	key.scoped = g_bytes_new(msg->scoped.data, msg->scoped.len);
	key.answer.outcome = outcome ? outcome : OUTCOME_UNKNOWN;
	key.answer.status = (int)msg->status;
	if (msg->content_type[0])
		key.answer.content_type = msg->content_type;
	if (msg->has_answer)
		key.answer.body = g_bytes_new(msg->body.data, msg->body.len);
	return key;
}

static GArray *read_members(Papaya__Heard **msgs, size_t n)
{
	GArray *members = g_array_new(FALSE, FALSE, sizeof(handover_member_t));

	for (size_t i = 0; i < n; i++) {
		handover_member_t member = { str_from(msgs[i]->name),
					     msgs[i]->incarnation };

		g_array_append_val(members, member);
	}
	return members;
}

void handover_frame_receive(handover_t *h, str_t from,
			    const Papaya__HandOver *msg, int64_t now)
{
	GArray *keys = g_array_new(FALSE, FALSE, sizeof(handover_key_t));
	GArray *members = read_members(msg->members, msg->n_members);
	GArray *owing = read_members(msg->owing, msg->n_owing);
	g_autofree member_gap_t *gaps = g_new(member_gap_t, msg->n_gaps + 1);
	handover_part_t part = {
		.incarnation = msg->incarnation,
		.to_incarnation = msg->to_incarnation,
		.serial = msg->serial,
		.index = msg->index,
		.is_last = msg->last,
		.is_draining = msg->leaving,
		.is_answers = msg->answers,
		.n_keys = msg->n_keys,
		.n_members = msg->n_members,
		.n_gaps = msg->n_gaps,
		.members = (handover_member_t *)members->data,
		.owing = (handover_member_t *)owing->data,
		.n_owing = msg->n_owing,
		.gaps = gaps,
	};

	for (size_t i = 0; i < msg->n_keys; i++) {
		handover_key_t key = read_key(msg->keys[i]);

		g_array_append_val(keys, key);
	}
	for (size_t i = 0; i < msg->n_gaps; i++) {
		gaps[i].name = str_from(msg->gaps[i]->name);
		gaps[i].age = (int64_t)msg->gaps[i]->age_ms * US_PER_MS;
		gaps[i].leaving_incarnation = msg->gaps[i]->leaving_incarnation;
	}
	part.keys = (handover_key_t *)keys->data;
	handover_on_part(h, from, &part, now);
	free_keys(keys);
	g_array_unref(members);
	g_array_unref(owing);
}
