#include "daemon/frames.h"

#include <math.h>
#include <string.h>

enum {
	/* Body bytes of one DOCUMENTS frame; the rest is for other fields. */
	MAX_DOCUMENTS_BYTES = PEER_MAX_FRAME / 2,
	MAX_PERCENT = 100,
	MAX_CONNECTION_MS = 10000, /* that an idle connection is kept */
};

static uint32_t to_ms(int64_t us)
{
	return us <= 0 ? 0 : (uint32_t)MIN(us / 1000, UINT32_MAX);
}

static bool send_want(peer_t *peer, str_t to, const message_capacity_t *c,
		      int64_t now)
{
	Papaya__Frame frame = PAPAYA__FRAME__INIT;
	Papaya__Want want = PAPAYA__WANT__INIT;

	want.attempt = c->want.id.attempt;
	want.owner = c->want.id.owner;
	want.service = (char *)c->service;
	want.tier = (char *)c->tier;
	want.team = (char *)c->want.team;
	want.prompt_tokens = c->want.prompt_tokens;
	want.output_tokens = c->want.output_tokens;
	want.prefix_hash = c->want.prefix_hash;
	want.prefix_tokens = c->want.prefix_tokens;
	want.session_hash = c->want.session_hash;
	want.session_tokens = c->want.session_tokens;
	want.release = c->want.release;
	want.max_pause_ms = c->want.max_pause_ms;
	want.need_ms = to_ms(c->want.deadline - now);
	want.hops = c->hops;
	want.avoid = (char *)c->want.avoid;
	want.running_on = (char *)c->running_on;
	want.again = c->is_resent;
	if (c->want.start_by)
		want.start_ms = MAX(to_ms(c->want.start_by - now), 1);
	if (c->want.target) {
		want.target_ms = to_ms(c->want.target - now);
		want.late = !want.target_ms;
	}
	frame.body_case = PAPAYA__FRAME__BODY_WANT;
	frame.want = &want;
	return peer_send(peer, to, &frame);
}

/* Returns OUT with the limit, or NULL if nothing is known of it. */
static Papaya__RunnerLimit *write_limit(const runner_limit_t *limit,
					int64_t now, Papaya__RunnerLimit *out)
{
	papaya__runner_limit__init(out);
	out->state = limit->state;
	out->rate = limit->rate;
	out->age_ms = to_ms(now - limit->at);
	return limit->state == RUNNER_LIMIT_UNKNOWN ? NULL : out;
}

static runner_limit_t read_limit(const Papaya__RunnerLimit *f, int64_t now)
{
	if (!f || f->state > RUNNER_LIMIT_LIFTED || !isfinite(f->rate) ||
	    f->rate < 0)
		return (runner_limit_t){ 0 };
	return (runner_limit_t){ f->state, f->rate,
				 now - (int64_t)f->age_ms * 1000 };
}

/* Returns OUT with the load, or NULL if the runner stated none. */
static Papaya__RunnerLoad *write_load(const runner_load_t *load, int64_t now,
				      Papaya__RunnerLoad *out)
{
	papaya__runner_load__init(out);
	out->running = load->running;
	out->waiting = load->waiting;
	out->slots = load->slots;
	out->pace = load->pace;
	out->age_ms = to_ms(now - load->at);
	return load->at ? out : NULL;
}

static runner_load_t read_load(const Papaya__RunnerLoad *f, int64_t now)
{
	runner_load_t load = { 0 };

	if (!f)
		return load;
	load = (runner_load_t){ now - (int64_t)f->age_ms * 1000, f->running,
				f->waiting, f->slots, f->pace };
	return runner_load_is_plausible(&load) ? load : (runner_load_t){ 0 };
}

static bool send_grant(peer_t *peer, str_t to, const message_capacity_t *c,
		       int64_t now)
{
	Papaya__RunnerLimit limit;
	Papaya__Frame frame = PAPAYA__FRAME__INIT;
	Papaya__Grant grant = PAPAYA__GRANT__INIT;

	grant.attempt = c->want.id.attempt;
	grant.owner = c->want.id.owner;
	grant.runner = (char *)c->runner.name;
	grant.address = (char *)c->runner.address;
	grant.service = (char *)c->service;
	grant.born_ms = c->runner.born_ms;
	grant.release = c->runner.release;
	grant.limit = write_limit(&c->limit, now, &limit);
	frame.body_case = PAPAYA__FRAME__BODY_GRANT;
	frame.grant = &grant;
	return peer_send(peer, to, &frame);
}

static bool send_refuse(peer_t *peer, str_t to, const message_capacity_t *c)
{
	Papaya__Frame frame = PAPAYA__FRAME__INIT;
	Papaya__Refuse refuse = PAPAYA__REFUSE__INIT;

	refuse.attempt = c->want.id.attempt;
	refuse.owner = c->want.id.owner;
	refuse.reason = c->reason;
	refuse.retry_after_ms = c->retry_after_ms;
	frame.body_case = PAPAYA__FRAME__BODY_REFUSE;
	frame.refuse = &refuse;
	return peer_send(peer, to, &frame);
}

static bool send_cancel(peer_t *peer, str_t to, const message_capacity_t *c)
{
	Papaya__Frame frame = PAPAYA__FRAME__INIT;
	Papaya__Cancel cancel = PAPAYA__CANCEL__INIT;

	cancel.attempt = c->want.id.attempt;
	cancel.owner = c->want.id.owner;
	frame.body_case = PAPAYA__FRAME__BODY_CANCEL;
	frame.cancel = &cancel;
	return peer_send(peer, to, &frame);
}

static bool send_queued(peer_t *peer, str_t to, const message_capacity_t *c)
{
	Papaya__Frame frame = PAPAYA__FRAME__INIT;
	Papaya__Queued queued = PAPAYA__QUEUED__INIT;

	queued.attempt = c->want.id.attempt;
	queued.owner = c->want.id.owner;
	frame.body_case = PAPAYA__FRAME__BODY_QUEUED;
	frame.queued = &queued;
	return peer_send(peer, to, &frame);
}

static bool send_withdraw(peer_t *peer, str_t to, const message_capacity_t *c)
{
	Papaya__Frame frame = PAPAYA__FRAME__INIT;
	Papaya__Withdraw withdraw = PAPAYA__WITHDRAW__INIT;

	withdraw.attempt = c->want.id.attempt;
	withdraw.owner = c->want.id.owner;
	withdraw.service = (char *)c->service;
	frame.body_case = PAPAYA__FRAME__BODY_WITHDRAW;
	frame.withdraw = &withdraw;
	return peer_send(peer, to, &frame);
}

static bool send_first_token(peer_t *peer, str_t to,
			     const message_capacity_t *c, int64_t now)
{
	Papaya__RunnerLimit limit;
	Papaya__RunnerLoad load;
	Papaya__Frame frame = PAPAYA__FRAME__INIT;
	Papaya__FirstToken first = PAPAYA__FIRST_TOKEN__INIT;

	first.attempt = c->want.id.attempt;
	first.owner = c->want.id.owner;
	first.service = (char *)c->service;
	first.leaving = c->done.says_leaving;
	first.limit = write_limit(&c->done.limit, now, &limit);
	first.load = write_load(&c->done.load, now, &load);
	first.brittle = c->done.is_brittle;
	first.refusals_borne = c->done.refusals_borne;
	frame.body_case = PAPAYA__FRAME__BODY_FIRST_TOKEN;
	frame.first_token = &first;
	return peer_send(peer, to, &frame);
}

static bool send_done(peer_t *peer, str_t to, const message_capacity_t *c,
		      int64_t now)
{
	Papaya__RunnerLimit limit;
	Papaya__RunnerLoad load;
	Papaya__Frame frame = PAPAYA__FRAME__INIT;
	Papaya__Done done = PAPAYA__DONE__INIT;

	done.attempt = c->want.id.attempt;
	done.owner = c->want.id.owner;
	done.service = (char *)c->service;
	done.result = c->done.result;
	done.prompt_tokens = c->done.prompt_tokens;
	done.output_tokens = c->done.output_tokens;
	done.cached_tokens = c->done.cached_tokens;
	done.leaving = c->done.says_leaving;
	done.pause_ms = c->done.pause_ms;
	done.limit = write_limit(&c->done.limit, now, &limit);
	done.load = write_load(&c->done.load, now, &load);
	done.connection_ms = c->done.connection_ms;
	done.brittle = c->done.is_brittle;
	done.refusals_borne = c->done.refusals_borne;
	done.refused = c->done.is_refused;
	frame.body_case = PAPAYA__FRAME__BODY_DONE;
	frame.done = &done;
	return peer_send(peer, to, &frame);
}

bool frames_send_capacity(peer_t *peer, str_t to, const message_t *m,
			  int64_t now)
{
	const message_capacity_t *c = &m->capacity;

	switch (m->type) {
	case MESSAGE_WANT:
		return send_want(peer, to, c, now);
	case MESSAGE_GRANT:
		return send_grant(peer, to, c, now);
	case MESSAGE_REFUSE:
		return send_refuse(peer, to, c);
	case MESSAGE_CANCEL:
		return send_cancel(peer, to, c);
	case MESSAGE_QUEUED:
		return send_queued(peer, to, c);
	case MESSAGE_WITHDRAW:
		return send_withdraw(peer, to, c);
	case MESSAGE_FIRST_TOKEN:
		return send_first_token(peer, to, c, now);
	case MESSAGE_DONE:
		return send_done(peer, to, c, now);
	default:
		return false;
	}
}

static bool copy_name(char *buf, const char *s)
{
	return str_copy(buf, MEMBER_NAME_SIZE, str_from(s));
}

static bool read_want(const Papaya__Want *f, int64_t now, message_capacity_t *c)
{
	c->want.id = (want_id_t){ f->owner, f->attempt };
	c->want.prompt_tokens = f->prompt_tokens;
	c->want.output_tokens = f->output_tokens;
	c->want.prefix_hash = f->prefix_hash;
	c->want.prefix_tokens = f->prefix_tokens;
	c->want.session_hash = f->session_hash;
	c->want.session_tokens = f->session_tokens;
	c->want.release = f->release;
	c->want.max_pause_ms = f->max_pause_ms;
	c->want.deadline = now + (int64_t)f->need_ms * 1000;
	c->hops = f->hops;
	c->is_resent = f->again;
	if (f->start_ms)
		c->want.start_by = now + (int64_t)f->start_ms * 1000;
	if (f->target_ms || f->late)
		c->want.target = now + (int64_t)f->target_ms * 1000;
	return copy_name(c->service, f->service) &&
	       copy_name(c->tier, f->tier) &&
	       copy_name(c->want.team, f->team) &&
	       copy_name(c->want.avoid, f->avoid) &&
	       copy_name(c->running_on, f->running_on);
}

static bool read_grant(const Papaya__Grant *f, int64_t now,
		       message_capacity_t *c)
{
	c->limit = read_limit(f->limit, now);
	c->want.id = (want_id_t){ f->owner, f->attempt };
	c->runner.born_ms = f->born_ms;
	c->runner.release = f->release;
	return copy_name(c->runner.name, f->runner) &&
	       copy_name(c->runner.address, f->address) &&
	       copy_name(c->service, f->service);
}

static bool read_refuse(const Papaya__Refuse *f, message_capacity_t *c)
{
	c->want.id = (want_id_t){ f->owner, f->attempt };
	c->reason = f->reason;
	c->retry_after_ms = f->retry_after_ms;
	return f->reason < REFUSE_REASONS;
}

static bool read_done(const Papaya__Done *f, int64_t now, message_capacity_t *c)
{
	c->done.limit = read_limit(f->limit, now);
	c->done.load = read_load(f->load, now);
	c->done.is_brittle = f->brittle;
	c->done.refusals_borne = f->refusals_borne;
	c->done.is_refused = f->refused;
	c->done.connection_ms = MIN(f->connection_ms, MAX_CONNECTION_MS);
	c->want.id = (want_id_t){ f->owner, f->attempt };
	c->done.result = f->result;
	c->done.prompt_tokens = f->prompt_tokens;
	c->done.output_tokens = f->output_tokens;
	c->done.cached_tokens = f->cached_tokens;
	c->done.says_leaving = f->leaving;
	c->done.pause_ms = f->pause_ms;
	return f->result <= DONE_LEAVING && copy_name(c->service, f->service);
}

bool frames_read_capacity(const Papaya__Frame *frame, const char *peer,
			  int64_t now, message_t *out)
{
	message_capacity_t *c = &out->capacity;

	memset(out, 0, sizeof(*out));
	g_strlcpy(c->peer, peer, sizeof(c->peer));
	switch (frame->body_case) {
	case PAPAYA__FRAME__BODY_WANT:
		out->type = MESSAGE_WANT;
		return read_want(frame->want, now, c);
	case PAPAYA__FRAME__BODY_GRANT:
		out->type = MESSAGE_GRANT;
		return read_grant(frame->grant, now, c);
	case PAPAYA__FRAME__BODY_REFUSE:
		out->type = MESSAGE_REFUSE;
		return read_refuse(frame->refuse, c);
	case PAPAYA__FRAME__BODY_CANCEL:
		out->type = MESSAGE_CANCEL;
		c->want.id = (want_id_t){ frame->cancel->owner,
					  frame->cancel->attempt };
		return true;
	case PAPAYA__FRAME__BODY_QUEUED:
		out->type = MESSAGE_QUEUED;
		c->want.id = (want_id_t){ frame->queued->owner,
					  frame->queued->attempt };
		return true;
	case PAPAYA__FRAME__BODY_WITHDRAW:
		out->type = MESSAGE_WITHDRAW;
		c->want.id = (want_id_t){ frame->withdraw->owner,
					  frame->withdraw->attempt };
		return copy_name(c->service, frame->withdraw->service);
	case PAPAYA__FRAME__BODY_FIRST_TOKEN:
		out->type = MESSAGE_FIRST_TOKEN;
		c->want.id = (want_id_t){ frame->first_token->owner,
					  frame->first_token->attempt };
		c->done.says_leaving = frame->first_token->leaving;
		c->done.limit = read_limit(frame->first_token->limit, now);
		c->done.load = read_load(frame->first_token->load, now);
		c->done.is_brittle = frame->first_token->brittle;
		c->done.refusals_borne = frame->first_token->refusals_borne;
		return copy_name(c->service, frame->first_token->service);
	case PAPAYA__FRAME__BODY_DONE:
		out->type = MESSAGE_DONE;
		return read_done(frame->done, now, c);
	default:
		return false;
	}
}

bool frames_send_limit(peer_t *peer, str_t to, const message_t *m)
{
	const message_limit_t *l = &m->limit;
	Papaya__Frame frame = PAPAYA__FRAME__INIT;
	Papaya__LimitAsk ask = PAPAYA__LIMIT_ASK__INIT;
	Papaya__LimitAnswer answer = PAPAYA__LIMIT_ANSWER__INIT;
	Papaya__LimitRelease release = PAPAYA__LIMIT_RELEASE__INIT;

	ask.team = answer.team = release.team = (char *)l->team;
	ask.profile = answer.profile = release.profile = (char *)l->profile;
	ask.attempt = answer.attempt = l->attempt;
	ask.owner = answer.owner = l->owner;
	ask.cost = l->cost;
	ask.reserve = l->reserve;
	answer.ok = l->is_ok;
	answer.retry_after_ms = l->retry_after_ms;
	answer.young = l->is_young;
	if (m->type == MESSAGE_LIMIT_ASK) {
		frame.body_case = PAPAYA__FRAME__BODY_LIMIT_ASK;
		frame.limit_ask = &ask;
	} else if (m->type == MESSAGE_LIMIT_ANSWER) {
		frame.body_case = PAPAYA__FRAME__BODY_LIMIT_ANSWER;
		frame.limit_answer = &answer;
	} else {
		frame.body_case = PAPAYA__FRAME__BODY_LIMIT_RELEASE;
		frame.limit_release = &release;
	}
	return peer_send(peer, to, &frame);
}

bool frames_read_limit(const Papaya__Frame *frame, const char *peer,
		       message_t *out)
{
	message_limit_t *l = &out->limit;

	memset(out, 0, sizeof(*out));
	g_strlcpy(l->peer, peer, sizeof(l->peer));
	switch (frame->body_case) {
	case PAPAYA__FRAME__BODY_LIMIT_ASK:
		out->type = MESSAGE_LIMIT_ASK;
		l->attempt = frame->limit_ask->attempt;
		l->owner = frame->limit_ask->owner;
		l->cost = frame->limit_ask->cost;
		l->reserve = MIN(frame->limit_ask->reserve, MAX_PERCENT);
		return copy_name(l->team, frame->limit_ask->team) &&
		       copy_name(l->profile, frame->limit_ask->profile);
	case PAPAYA__FRAME__BODY_LIMIT_ANSWER:
		out->type = MESSAGE_LIMIT_ANSWER;
		l->attempt = frame->limit_answer->attempt;
		l->owner = frame->limit_answer->owner;
		l->is_ok = frame->limit_answer->ok;
		l->is_young = frame->limit_answer->young;
		l->retry_after_ms = frame->limit_answer->retry_after_ms;
		return copy_name(l->team, frame->limit_answer->team) &&
		       copy_name(l->profile, frame->limit_answer->profile);
	case PAPAYA__FRAME__BODY_LIMIT_RELEASE:
		out->type = MESSAGE_LIMIT_RELEASE;
		return copy_name(l->team, frame->limit_release->team) &&
		       copy_name(l->profile, frame->limit_release->profile);
	default:
		return false;
	}
}

bool frames_send_lease(peer_t *peer, const message_t *m)
{
	const message_lease_t *l = &m->lease;
	Papaya__Frame frame = PAPAYA__FRAME__INIT;
	Papaya__LimitLend lend = PAPAYA__LIMIT_LEND__INIT;
	Papaya__LimitStamp stamp = PAPAYA__LIMIT_STAMP__INIT;

	lend.roles = l->roles;
	lend.process = stamp.process = l->stamp.process;
	lend.stamp_us = stamp.stamp_us = l->stamp.at;
	lend.lease_us = stamp.lease_us = l->stamp.duration;
	if (m->type == MESSAGE_LIMIT_LEND) {
		frame.body_case = PAPAYA__FRAME__BODY_LIMIT_LEND;
		frame.limit_lend = &lend;
	} else {
		frame.body_case = PAPAYA__FRAME__BODY_LIMIT_STAMP;
		frame.limit_stamp = &stamp;
	}
	return peer_send(peer, str_from(l->peer), &frame);
}

bool frames_read_lease(const Papaya__Frame *frame, const char *peer,
		       message_t *out)
{
	message_lease_t *l = &out->lease;

	memset(out, 0, sizeof(*out));
	g_strlcpy(l->peer, peer, sizeof(l->peer));
	if (frame->body_case == PAPAYA__FRAME__BODY_LIMIT_LEND) {
		out->type = MESSAGE_LIMIT_LEND;
		l->roles = frame->limit_lend->roles;
		l->stamp = (limit_stamp_t){ frame->limit_lend->process,
					    frame->limit_lend->stamp_us,
					    frame->limit_lend->lease_us };
		return true;
	}
	if (frame->body_case == PAPAYA__FRAME__BODY_LIMIT_STAMP) {
		out->type = MESSAGE_LIMIT_STAMP;
		l->stamp = (limit_stamp_t){ frame->limit_stamp->process,
					    frame->limit_stamp->stamp_us,
					    frame->limit_stamp->lease_us };
		return true;
	}
	return false;
}

static bool send_documents_frame(peer_t *peer, const char *to, uint64_t next,
				 Papaya__Document **batch, size_t n)
{
	Papaya__Frame frame = PAPAYA__FRAME__INIT;
	Papaya__Documents documents = PAPAYA__DOCUMENTS__INIT;

	documents.config_next = next;
	documents.documents = batch;
	documents.n_documents = n;
	frame.body_case = PAPAYA__FRAME__BODY_DOCUMENTS;
	frame.documents = &documents;
	return peer_send(peer, str_from(to), &frame);
}

static void fill_document(Papaya__Document *out, const config_doc_t *doc)
{
	gsize len;
	const void *body = g_bytes_get_data(doc->body, &len);

	papaya__document__init(out);
	out->name = (char *)doc->name;
	out->version = doc->version;
	out->offset = doc->offset;
	out->nonce = (char *)doc->nonce;
	out->body.data = (uint8_t *)body;
	out->body.len = len;
}

/*
 * Only the last frame carries the sender's next offset, so that a receiver
 * that missed a frame isn't marked as up to date.
 */
bool frames_send_documents(peer_t *peer, const message_docs_t *docs)
{
	guint n = docs->docs->len;
	Papaya__Document *all = g_new0(Papaya__Document, n + 1);
	Papaya__Document **batch = g_new0(Papaya__Document *, n + 1);
	size_t count = 0;
	size_t bytes = 0;
	bool is_sent = true;

	for (guint i = 0; i < n && is_sent; i++) {
		fill_document(&all[i],
			      &g_array_index(docs->docs, config_doc_t, i));
		if (count && bytes + all[i].body.len > MAX_DOCUMENTS_BYTES) {
			is_sent = send_documents_frame(peer, docs->peer, 0,
						       batch, count);
			count = 0;
			bytes = 0;
		}
		batch[count++] = &all[i];
		bytes += all[i].body.len;
	}
	is_sent = is_sent && send_documents_frame(peer, docs->peer, docs->next,
						  batch, count);
	g_free(batch);
	g_free(all);
	return is_sent;
}

void frames_read_documents(const Papaya__Documents *frame, const char *peer,
			   message_t *out)
{
	memset(out, 0, sizeof(*out));
	out->type = MESSAGE_CONFIG_RELAYED;
	out->docs.next = frame->config_next;
	out->docs.docs = message_docs_new();
	g_strlcpy(out->docs.peer, peer, sizeof(out->docs.peer));
	for (size_t i = 0; i < frame->n_documents; i++) {
		const Papaya__Document *d = frame->documents[i];
		config_doc_t doc = { .version = d->version,
				     .offset = d->offset };

		if (!str_copy(doc.name, sizeof(doc.name), str_from(d->name)) ||
		    !str_copy(doc.nonce, sizeof(doc.nonce), str_from(d->nonce)))
			continue;
		doc.body = g_bytes_new(d->body.data, d->body.len);
		g_array_append_val(out->docs.docs, doc);
	}
}
