#define LOG_PART "rollout"

#include "daemon/rollout_conductor.h"

#include <inttypes.h>

#include "common/log.h"
#include "core/release_history.h"
#include "platform/rollout_json.h"

enum {
	US_PER_MS = 1000,
	TICK_MS = 50,
	STATES_US = 1000 * US_PER_MS, /* between states to the admin task */
	RETRY_US = 300 * US_PER_MS, /* after a call to the store failed */
	/* Orders read so soon after the start may have been written before. */
	STARTUP_US = 2000 * US_PER_MS,
	/* An order is new only if the topic was read to its end so recently. */
	MAX_ORDERS_AGE_US = 2000 * US_PER_MS,
	/* After this, an order for an unconfigured service is refused. */
	UNKNOWN_SERVICE_US = 2000 * US_PER_MS,
};

/* One order, and the state of its roll-out. */
typedef struct rollout_item {
	rollout_t rollout;
	uint64_t target; /* hash of the release */
	char pool[ROLLOUT_POOL_SIZE];
	char *text; /* of the order */
	bool knows_begin; /* the order was written while this process ran */
	bool is_refused; /* the order is invalid: only its state is shown */
	rollout_stage_t logged;
} rollout_item_t;

static void free_item(void *data)
{
	rollout_item_t *item = data;

	rollout_finish(&item->rollout);
	g_free(item->text);
	g_free(item);
}

static void log_stage(rollout_conductor_t *c, rollout_item_t *item)
{
	const rollout_t *r = &item->rollout;
	const rollout_finding_t *f = &r->finding;
	g_autofree char *label =
		g_strdup_printf("service=\"%s\"", r->order.service);

	if (item->logged == r->stage)
		return;
	log_event("rollout-stage",
		  "service=%s target=%s stage=%s was=%s term=%" PRIu64
		  " requests=%" PRIu64 " budget=%" PRIu64 " leased=%" PRIu64
		  " answers=%u bad=%u excess=%.3f score=%.1f waiting_for=%u "
		  "left_ms=%" PRId64 " why=\"%s\"",
		  r->order.service, r->order.target,
		  rollout_stage_name(r->stage),
		  rollout_stage_name(item->logged), r->stored.term,
		  r->budget.counted, r->budget.reserved, r->budget.leased,
		  f->answers, f->bad, f->excess, f->score, r->waiting_for,
		  (r->ends_at - now_us()) / US_PER_MS, r->why);
	metrics_set(&c->sup->metrics, "papaya_rollout_stage", label, r->stage);
	item->logged = r->stage;
}

/* Makes every roll-out read its record before it writes again. */
static void lose_store(rollout_conductor_t *c)
{
	GHashTableIter iter;
	rollout_item_t *item;

	c->has_end = false;
	c->retry_at = now_us() + RETRY_US;
	g_hash_table_iter_init(&iter, c->items);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&item))
		rollout_on_store_lost(&item->rollout, now_us());
}

static void log_failure(const rollout_conductor_t *c, const err_t *err)
{
	char text[ERR_DETAIL_SIZE * 2];

	log_event("rollout-store", "service=%s why=\"%s\"",
		  c->writing[0] ? c->writing : "-",
		  err_text(err, text, sizeof(text)));
}

static bool find_record(const store_page_t *page, const char *service,
			rollout_record_t *out)
{
	for (size_t i = 0; i < page->n_entries; i++)
		if (str_eq(store_rollout_service(page->entries[i].key),
			   str_from(service)))
			return rollout_json_parse_record(page->entries[i].value,
							 out, NULL);
	return false;
}

static void on_list(void *ctx, const store_page_t *page, const err_t *err)
{
	rollout_conductor_t *c = ctx;
	int64_t wall_ms = g_get_real_time() / US_PER_MS;
	GHashTableIter iter;
	rollout_item_t *item;
	const char *service;
	rollout_record_t record;

	c->is_calling = false;
	if (err) {
		log_failure(c, err);
		lose_store(c);
		return;
	}
	c->end = page->next;
	c->has_end = true;
	g_hash_table_iter_init(&iter, c->items);
	while (g_hash_table_iter_next(&iter, (void **)&service,
				      (void **)&item)) {
		bool has_record = find_record(page, service, &record);

		rollout_on_record(&item->rollout, has_record ? &record : NULL,
				  item->knows_begin, now_us(), wall_ms);
		log_stage(c, item);
	}
}

static void on_written(void *ctx, uint64_t end, const err_t *err)
{
	rollout_conductor_t *c = ctx;
	rollout_item_t *item = g_hash_table_lookup(c->items, c->writing);

	c->is_calling = false;
	if (err)
		log_failure(c, err);
	c->writing[0] = '\0';
	if (err) {
		lose_store(c);
		return;
	}
	c->end = end;
	if (!item || item->rollout.order_id != c->record.order)
		return;
	rollout_on_written(&item->rollout, &c->record, now_us());
	log_event("rollout-written",
		  "service=%s target=%s state=\"%s\" moving=%s term=%" PRIu64
		  " budget=%" PRIu64 " requests=%" PRIu64,
		  c->record.service, c->record.target,
		  rollout_phase_name(c->record.phase),
		  c->record.is_moving ? "yes" : "no", c->record.term,
		  c->record.budget, c->record.counted);
	log_stage(c, item);
}

static void begin_read(rollout_conductor_t *c)
{
	err_t err = { 0 };

	c->is_calling = store_list(c->store, STORE_STATUS, on_list, c, &err);
	if (!c->is_calling)
		on_list(c, NULL, &err);
}

static void begin_write(rollout_conductor_t *c, const rollout_item_t *item)
{
	g_autofree char *key = store_rollout_key(item->rollout.order.service);
	g_autofree char *text = rollout_json_write_record(&c->record);
	err_t err = { 0 };

	g_strlcpy(c->writing, item->rollout.order.service, sizeof(c->writing));
	c->is_calling =
		store_append_at(c->store, STORE_STATUS, c->end, str_from(key),
				str_from(text), on_written, c, &err);
	if (!c->is_calling)
		on_written(c, 0, &err);
}

static rollout_view_t current_view(const rollout_conductor_t *c,
				   const rollout_item_t *item)
{
	rollout_view_t view = { .daemons = c->daemons };

	for (guint i = 0; c->vms && i < c->vms->runners->len; i++) {
		const vm_list_runner_t *listed =
			&g_array_index(c->vms->runners, vm_list_runner_t, i);

		if (listed->runner.is_leaving)
			continue;
		if (listed->runner.release == item->target)
			view.target_runners++;
		else if (!strcmp(listed->service, item->rollout.order.service))
			view.other_runners++;
	}
	return view;
}

static void tick_item(rollout_conductor_t *c, rollout_item_t *item, int64_t now)
{
	rollout_t *r = &item->rollout;
	rollout_view_t view = current_view(c, item);

	if (c->fleet && !fleet_find_service(c->fleet, r->order.service) &&
	    now - r->began_at > UNKNOWN_SERVICE_US)
		rollout_refuse(r, "the service is not configured", now);
	rollout_tick(r, &view, now);
	log_stage(c, item);
}

/* Begins the read or the write that is due first. */
static void call_store(rollout_conductor_t *c, int64_t now)
{
	GHashTableIter iter;
	rollout_item_t *item;
	bool needs_read = false;

	if (c->is_calling || now < c->retry_at)
		return;
	g_hash_table_iter_init(&iter, c->items);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&item))
		needs_read |= rollout_needs_read(&item->rollout, now);
	if (needs_read) {
		begin_read(c);
		return;
	}
	g_hash_table_iter_init(&iter, c->items);
	while (c->has_end &&
	       g_hash_table_iter_next(&iter, NULL, (void **)&item)) {
		if (!rollout_next_record(&item->rollout, &c->record, now,
					 g_get_real_time() / US_PER_MS))
			continue;
		begin_write(c, item);
		return;
	}
}

static rollout_state_t describe(const rollout_conductor_t *c,
				const rollout_item_t *item, int64_t now)
{
	const rollout_t *r = &item->rollout;
	rollout_state_t s = { .order = r->order,
			      .is_conducted = c->is_host,
			      .is_settled = rollout_is_settled(r),
			      .stage = r->stage,
			      .term = r->stored.term,
			      .requests = r->budget.counted,
			      .budget = r->budget.reserved,
			      .leased = r->budget.leased,
			      .finding = r->finding,
			      .view = current_view(c, item),
			      .waiting_for = r->waiting_for,
			      .left_ms = (r->ends_at - now) / US_PER_MS };

	g_strlcpy(s.why, r->why, sizeof(s.why));
	return s;
}

static void post_states(rollout_conductor_t *c, int64_t now)
{
	message_t m = { .type = MESSAGE_ROLLOUT_STATES };
	GHashTableIter iter;
	rollout_item_t *item;

	if (now - c->states_at < STATES_US)
		return;
	c->states_at = now;
	m.rollout_states = g_array_new(FALSE, FALSE, sizeof(rollout_state_t));
	g_hash_table_iter_init(&iter, c->items);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&item)) {
		rollout_state_t state = describe(c, item, now);

		g_array_append_val(m.rollout_states, state);
	}
	supervisor_post(c->sup, TASK_ADMIN, &m);
}

static void on_timer(evutil_socket_t fd, short what, void *arg)
{
	rollout_conductor_t *c = arg;
	GHashTableIter iter;
	rollout_item_t *item;
	int64_t now = now_us();

	post_states(c, now);
	if (!c->is_host)
		return;
	g_hash_table_iter_init(&iter, c->items);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&item))
		tick_item(c, item, now);
	call_store(c, now);
}

void rollout_conductor_init(rollout_conductor_t *c, supervisor_t *sup,
			    store_t *store)
{
	*c = (rollout_conductor_t){ .sup = sup, .store = store };
	c->started_at = now_us();
	c->items = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					 free_item);
}

void rollout_conductor_finish(rollout_conductor_t *c)
{
	if (c->timer)
		event_free(c->timer);
	g_clear_pointer(&c->items, g_hash_table_destroy);
}

void rollout_conductor_post_orders(const rollout_conductor_t *c)
{
	message_t m = { .type = MESSAGE_ROLLOUT_ORDERS };
	GHashTableIter iter;
	rollout_item_t *item;

	m.rollout_orders = g_array_new(FALSE, FALSE, sizeof(rollout_order_t));
	g_hash_table_iter_init(&iter, c->items);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&item))
		if (!item->is_refused)
			g_array_append_val(m.rollout_orders,
					   item->rollout.order);
	supervisor_post(c->sup, TASK_FRONT, &m);
}

static void add_item(rollout_conductor_t *c, const rollout_order_t *order,
		     str_t text, const char *fault)
{
	const settings_t *s = c->sup->settings;
	rollout_item_t *item = g_new0(rollout_item_t, 1);
	int64_t now = now_us();

	rollout_init(&item->rollout, order, c->sup->boot_id,
		     s->rollout_exposure, s->rollout_exposure_slack, now);
	item->target = release_history_hash(order->service, order->target);
	rollout_pool_name(order->service, order->target, item->pool);
	item->text = g_strndup(text.ptr, text.len);
	item->knows_begin = now - c->started_at > STARTUP_US &&
			    now - c->orders_at < MAX_ORDERS_AGE_US;
	item->is_refused = fault != NULL;
	if (fault)
		rollout_refuse(&item->rollout, fault, now);
	log_event("rollout-order",
		  "service=%s target=%s duration_ms=%" PRId64 " order=%" PRIx64
		  " seen_begin=%s why=\"%s\"",
		  order->service, order->target[0] ? order->target : "-",
		  order->duration_ms, item->rollout.order_id,
		  item->knows_begin ? "yes" : "no",
		  fault ? fault : "an operator ordered it");
	g_hash_table_replace(c->items, g_strdup(order->service), item);
	c->has_end = false;
	if (!c->timer)
		c->timer = supervisor_add_timer(c->sup, TICK_MS, on_timer, c);
	rollout_conductor_post_orders(c);
}

static bool withdraw(rollout_item_t *item)
{
	rollout_t *r = &item->rollout;

	if (r->is_withdrawn)
		return false;
	log_event("rollout-withdrawn", "service=%s target=%s stage=%s",
		  r->order.service, r->order.target,
		  rollout_stage_name(r->stage));
	rollout_withdraw(r);
	return true;
}

void rollout_conductor_set_orders_read(rollout_conductor_t *c, int64_t at)
{
	GHashTableIter iter;
	rollout_item_t *item;

	c->orders_at = at;
	g_hash_table_iter_init(&iter, c->items);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&item))
		rollout_set_orders_read(&item->rollout, at);
}

bool rollout_conductor_set_order(rollout_conductor_t *c, str_t service,
				 str_t text)
{
	g_autofree char *name = g_strndup(service.ptr, service.len);
	rollout_item_t *known = g_hash_table_lookup(c->items, name);
	rollout_order_t order;
	err_t err = { 0 };
	bool is_valid;

	if (!text.len)
		return known && withdraw(known);
	if (known && str_eq(text, str_from(known->text)))
		return false;
	is_valid = rollout_json_parse_order(service, text, &order, &err);
	if (!order.service[0] || !g_utf8_validate(name, -1, NULL) ||
	    (!known && g_hash_table_size(c->items) >= ROLLOUT_CONDUCTOR_MAX)) {
		log_warn("ignored the order of a roll-out of %s: %s", name,
			 err.detail[0] ?
				 err.detail :
				 "there are too many, or its name is no "
				 "text");
		return false;
	}
	add_item(c, &order, text, is_valid ? NULL : err.detail);
	return true;
}

void rollout_conductor_split(const rollout_conductor_t *c, vm_list_t *vms)
{
	for (guint i = 0; i < vms->runners->len; i++) {
		vm_list_runner_t *r =
			&g_array_index(vms->runners, vm_list_runner_t, i);
		const rollout_item_t *item =
			g_hash_table_lookup(c->items, r->service);

		if (item && !item->is_refused &&
		    r->runner.release == item->target)
			g_strlcpy(r->service, item->pool, sizeof(r->service));
	}
}

static void set_host(rollout_conductor_t *c, bool is_host)
{
	if (c->is_host == is_host)
		return;
	c->is_host = is_host;
	log_event("rollout-host", "conducts=%s rollouts=%u",
		  is_host ? "yes" : "no", g_hash_table_size(c->items));
	/* Another daemon may have conducted meanwhile. */
	lose_store(c);
	c->retry_at = 0;
}

static void on_report(rollout_conductor_t *c, const message_rollout_t *m)
{
	rollout_item_t *item = g_hash_table_lookup(c->items, m->service);
	message_t out = { .type = MESSAGE_ROLLOUT_TOLD };
	int64_t now = now_us();

	if (!c->is_host || !item || item->rollout.order_id != m->report.order)
		return;
	for (guint i = 0; m->tallies && i < m->tallies->len; i++) {
		const rollout_tally_t *t =
			&g_array_index(m->tallies, rollout_tally_t, i);

		rollout_on_answer(&item->rollout, &t->answer, t->n, now);
	}
	out.rollout.told =
		rollout_on_report(&item->rollout, m->peer, &m->report, now);
	if (!out.rollout.told.term)
		return;
	g_strlcpy(out.rollout.peer, m->peer, sizeof(out.rollout.peer));
	g_strlcpy(out.rollout.service, m->service, sizeof(out.rollout.service));
	supervisor_post(c->sup, TASK_PEERS, &out);
}

void rollout_conductor_handle(rollout_conductor_t *c, const message_t *m)
{
	if (m->type == MESSAGE_ROLLOUT_HOST)
		set_host(c, m->number);
	else if (m->type == MESSAGE_ROLLOUT_REPORT)
		on_report(c, &m->rollout);
	else if (m->type == MESSAGE_DAEMON_COUNT)
		c->daemons = m->daemons.live;
}

void rollout_conductor_set_view(rollout_conductor_t *c, const fleet_t *fleet,
				const vm_list_t *vms)
{
	c->fleet = fleet;
	c->vms = vms;
}
