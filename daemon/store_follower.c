#define LOG_PART "store"

#include "daemon/store_follower.h"

#include <inttypes.h>

#include "common/log.h"
#include "common/str_table.h"
#include "common/timeval.h"

enum {
	RETRY_MS = 200, /* after a call to the store can't be started */
	DAEMONS_POLL_MS = 5000,
	/* Between reads: versions may be published in quick succession. */
	CONFIG_READ_GAP_MS = 100,
	DUE_CHECK_MS = 100, /* between checks whether a call is due */
	/* Minimum wait for another daemon's list before the store is called. */
	PEER_LIST_WAIT_US = 1200 * 1000,
	EMPTY_RELAY_GAP_US = 150 * 1000, /* between relays of empty updates */
};

static void call_store(store_follower_t *f);

/* Tells whether an applied entry changes the record that is kept. */
static bool changes_record(const store_follower_t *f,
			   const store_entry_t *entry, entry_news_t news)
{
	bool is_kept = topic_records_get(&f->records, entry->key) != NULL;

	/* The configuration in force stays, whatever the store lost. */
	if (!entry->value.len)
		return is_kept && (f->topic != STORE_CONFIG ||
				   !store_is_config_key(entry->key));
	/* A runner's latest entry has the number that later ones exceed. */
	return news == ENTRY_NEW ||
	       (news == ENTRY_KNOWN && (!is_kept || f->topic == STORE_RUNNERS));
}

void store_follower_keep_relayed(store_follower_t *f, str_t text)
{
	topic_records_set(&f->records, store_config_key(), text);
	f->is_config_relayed = true;
}

/* Tells whether the topic has now reached the configuration that was relayed. */
static bool reaches_relayed(store_follower_t *f, const store_entry_t *entry,
			    entry_news_t news)
{
	bool was_relayed = f->is_config_relayed;

	if (f->topic != STORE_CONFIG || !store_is_config_key(entry->key) ||
	    news == ENTRY_OLD)
		return false;
	f->is_config_relayed = false;
	return was_relayed;
}

/*
 * Applies and keeps an entry. Returns whether it contains anything new to
 * daemons that know as much of the topic as this one.
 */
static bool apply_entry(store_follower_t *f, const store_entry_t *entry)
{
	entry_news_t news = f->env->on_entry(f->env->ctx, f->topic, entry);
	bool is_changed = changes_record(f, entry, news);
	bool was_relayed = reaches_relayed(f, entry, news);

	topic_records_see(&f->records, entry->key);
	if (is_changed)
		topic_records_set(&f->records, entry->key, entry->value);
	return news == ENTRY_NEW || was_relayed ||
	       (is_changed && !entry->value.len);
}

/* Logs whether the list of runners counts the store as down, if it changed. */
static void log_outage(const store_follower_t *f, bool was_down, const char *by)
{
	bool is_down = f->env->runner_list->is_store_down;

	if (is_down != was_down)
		log_event("runners-outage", "state=%s by=%s next=%" PRIu64,
			  is_down ? "begun" : "ended", by, f->state.known.next);
}

/* Tells the list of runners whether this daemon's own call failed. */
static void set_outage(const store_follower_t *f, bool has_failed)
{
	runner_list_t *list = f->env->runner_list;
	bool was_down = list->is_store_down;

	if (f->topic != STORE_RUNNERS)
		return;
	runner_list_set_outage(list, has_failed, now_us());
	log_outage(f, was_down, f->env->sup->settings->name);
}

/* Tells the list of runners that another daemon sent what it read. */
static void set_outage_of(const store_follower_t *f,
			  const message_update_t *update)
{
	runner_list_t *list = f->env->runner_list;
	bool was_down = list->is_store_down;

	if (f->topic != STORE_RUNNERS)
		return;
	runner_list_on_update(list, update->is_stable, now_us());
	log_outage(f, was_down, update->sender);
}

static void set_down(store_follower_t *f, const err_t *err)
{
	char text[ERR_DETAIL_SIZE * 2];

	set_outage(f, err != NULL);
	if (f->is_down == (err != NULL))
		return;
	f->is_down = err != NULL;
	if (err)
		log_event("dependency-lost",
			  "dependency=store topic=%s "
			  "why=\"%s\"",
			  store_topic_name(f->topic),
			  err_text(err, text, sizeof(text)));
	else
		log_event("dependency-back", "dependency=store topic=%s",
			  store_topic_name(f->topic));
}

static void schedule_call(store_follower_t *f, int64_t ms)
{
	struct timeval delay = timeval_from_ms(ms);

	event_add(f->timer, &delay);
}

static int64_t next_delay_ms(const store_follower_t *f)
{
	const settings_t *s = f->env->sup->settings;

	if (!f->state.is_listed || !f->state.is_reader)
		return DUE_CHECK_MS;
	if (f->topic == STORE_CONFIG)
		return CONFIG_READ_GAP_MS;
	return f->topic == STORE_RUNNERS ? s->runners_poll_ms : DAEMONS_POLL_MS;
}

static void add_record(GArray *records, const store_entry_t *e)
{
	message_record_t record = {
		.key = g_bytes_new(e->key.ptr, e->key.len),
		.value = g_bytes_new(e->value.ptr, e->value.len),
	};

	g_array_append_val(records, record);
}

/* Returns the position that a page reaches; the known epoch if unstated. */
static topic_position_t page_position(const store_follower_t *f,
				      const store_page_t *page)
{
	uint64_t epoch = page->epoch ? page->epoch : f->state.known.epoch;

	return (topic_position_t){ epoch, page->next };
}

static void add_kept_entry(const store_follower_t *f, str_t key, GArray *out)
{
	GBytes *value = topic_records_get(&f->records, key);
	store_entry_t last = { .key = key };

	if (!value)
		return;
	last.value = topic_records_view(value);
	add_record(out, &last);
}

/* Adds the entry that the page's record number I removes. */
static void add_last_entry(const store_follower_t *f, const store_page_t *page,
			   size_t i, GArray *out)
{
	str_t key = page->entries[i].key;

	while (i-- > 0) {
		const store_entry_t *e = &page->entries[i];

		if (e->value.len && str_eq(e->key, key)) {
			add_record(out, e);
			return;
		}
	}
	add_kept_entry(f, key, out);
}

/*
 * Returns the latest entries of runners that the page, or their absence in its
 * list, removes. Other daemons were told of the last one that changed something,
 * and would take a late write between the two for a new entry.
 */
static GArray *find_last_entries(const store_follower_t *f,
				 const store_page_t *page,
				 const GArray *removed)
{
	GArray *out = message_records_new();

	if (f->topic != STORE_RUNNERS)
		return out;
	for (size_t i = 0; i < page->n_entries; i++)
		if (!page->entries[i].value.len)
			add_last_entry(f, page, i, out);
	for (guint i = 0; removed && i < removed->len; i++)
		add_kept_entry(f, g_array_index(removed, store_entry_t, i).key,
			       out);
	return out;
}

/*
 * Sends an update to the other daemons, also when nothing is new. It has the
 * records of LAST, then the page's newest record of each key in CHANGED, and the
 * entries in REMOVED. A daemon that has all records up to FROM, or has listed the
 * topic since, has the same state as this one after it applies the update.
 */
static void post_update(store_follower_t *f, topic_position_t from,
			const store_page_t *page, GArray *last,
			GHashTable *changed, const GArray *removed)
{
	message_t m = { .type = MESSAGE_TOPIC_UPDATE };

	m.update.topic = f->topic;
	m.update.from = from;
	m.update.to = page_position(f, page);
	m.update.is_stable =
		runner_list_is_stable(f->env->runner_list, now_us());
	m.update.records = g_array_ref(last);
	for (size_t i = page->n_entries; i-- > 0;)
		if (g_hash_table_remove(changed, &page->entries[i].key))
			add_record(m.update.records, &page->entries[i]);
	for (guint i = 0; removed && i < removed->len; i++)
		add_record(m.update.records,
			   &g_array_index(removed, store_entry_t, i));
	supervisor_post(f->env->sup, TASK_PEERS, &m);
}

/*
 * Relays another zone's update within this daemon's zone, because a reader has
 * links to only a few daemons of each other zone. Empty updates are relayed
 * too: they show that the topic is up to date.
 */
static void relay_update(store_follower_t *f, const message_update_t *update)
{
	message_t m = { .type = MESSAGE_TOPIC_UPDATE, .update = *update };

	m.update.is_relayed = true;
	m.update.records = g_array_ref(update->records);
	supervisor_post(f->env->sup, TASK_PEERS, &m);
}

/* Entries applied between begin_list and end_list replace the whole list. */
static void begin_list(store_follower_t *f)
{
	topic_records_begin(&f->records);
	if (f->topic == STORE_RUNNERS)
		runner_list_begin(f->env->runner_list);
}

static void end_list(store_follower_t *f)
{
	runner_list_t *list = f->env->runner_list;
	int64_t now = now_us();
	guint missing;

	/* An old copy may be from before the first configuration. */
	if (f->topic != STORE_CONFIG)
		topic_records_end(&f->records);
	if (f->topic != STORE_RUNNERS)
		return;
	missing = runner_list_end(list, now);
	if (missing)
		log_event("runners-unlisted",
			  "runners=%u put_off_ms=%" PRId64 " next=%" PRIu64,
			  missing, runner_list_removal_delay(list, now) / 1000,
			  f->state.known.next);
}

/* What is applied from now on is of the position's epoch. */
static void set_epoch(const store_follower_t *f)
{
	if (f->topic == STORE_RUNNERS)
		runner_list_set_epoch(f->env->runner_list, f->state.known.epoch,
				      now_us());
}

/* Applies a page; adds the keys of entries with anything new to CHANGED. */
static void apply_page(store_follower_t *f, const store_page_t *page,
		       bool is_list, GHashTable *changed)
{
	f->source = "store";
	set_epoch(f);
	if (is_list)
		begin_list(f);
	for (size_t i = 0; i < page->n_entries; i++)
		if (apply_entry(f, &page->entries[i]))
			g_hash_table_add(changed,
					 (gpointer)&page->entries[i].key);
	if (is_list)
		end_list(f);
}

static void apply_records(store_follower_t *f, const message_update_t *update)
{
	const GArray *records = update->records;

	f->source = update->sender;
	set_epoch(f);
	for (guint i = 0; i < records->len; i++) {
		const message_record_t *r =
			&g_array_index(records, message_record_t, i);
		store_entry_t entry = { topic_records_view(r->key),
					topic_records_view(r->value) };

		apply_entry(f, &entry);
	}
}

/* Replaces the list with another daemon's, unless this one is as new. */
static void apply_list(store_follower_t *f, const message_update_t *update)
{
	if (!topic_follow_on_list(&f->state, update->to, now_us()))
		return;
	log_event("listed-by-daemon",
		  "topic=%s by=%s records=%u epoch=%" PRIu64 " next=%" PRIu64,
		  store_topic_name(f->topic), update->sender,
		  update->records->len, update->to.epoch, update->to.next);
	begin_list(f);
	apply_records(f, update);
	end_list(f);
}

/* BY: "store", or the daemon that read the topic. */
static void note_read(store_follower_t *f, const char *by)
{
	if (!topic_follow_note_read(&f->state, now_us()))
		return;
	log_event("store-back", "topic=%s by=%s failures=%u",
		  store_topic_name(f->topic), by, f->state.failures);
	f->env->on_back(f->env->ctx);
}

void store_follower_on_update(store_follower_t *f,
			      const message_update_t *update)
{
	int64_t known_at = f->state.updated_at;
	topic_position_t known = f->state.known;

	if (update->is_list) {
		apply_list(f, update);
		return;
	}
	set_outage_of(f, update);
	note_read(f, update->sender);
	switch (topic_follow_on_update(&f->state, update->from, update->to,
				       now_us())) {
	case TOPIC_UPDATE_OLD:
		if (update->is_from_other_zone &&
		    !topic_position_is_after(known, update->to) &&
		    f->state.updated_at - known_at > EMPTY_RELAY_GAP_US)
			relay_update(f, update);
		return;
	case TOPIC_UPDATE_GAP:
		return;
	case TOPIC_UPDATE_APPLY:
		if (update->is_from_other_zone)
			relay_update(f, update);
		break;
	}
	apply_records(f, update);
}

/* Logs which of the store's epochs an answer belongs to, if it changed. */
static void log_epoch(store_follower_t *f, const store_page_t *page)
{
	if (page->epoch == f->epoch)
		return;
	log_event("store-epoch",
		  "topic=%s epoch=%" PRIu64 " was=%" PRIu64 " next=%" PRIu64
		  " known=%" PRIu64 " known_epoch=%" PRIu64,
		  store_topic_name(f->topic), page->epoch, f->epoch, page->next,
		  f->state.known.next, f->state.known.epoch);
	f->epoch = page->epoch;
}

/* Logs an answer of the store that says less than is known here. */
static void log_ignored(const store_follower_t *f, const store_page_t *page)
{
	log_event("store-ignored",
		  "topic=%s epoch=%" PRIu64 " records=%zu next=%" PRIu64
		  " known=%" PRIu64 " known_epoch=%" PRIu64,
		  store_topic_name(f->topic), page->epoch, page->n_entries,
		  page->next, f->state.known.next, f->state.known.epoch);
}

static void list_again(store_follower_t *f, const char *why)
{
	log_info("listing topic %s again: %s", store_topic_name(f->topic), why);
	call_store(f);
}

/*
 * Applies what the store answered if it IS_NEW, and sends it to the other
 * daemons as the difference to FROM, what was known before. A daemon that isn't
 * a reader, but read the store because no update arrived, sends an update, too:
 * the store may be rejecting calls from the readers' VMs and from other VMs. So
 * does one that had to list the topic again.
 */
static void on_records(store_follower_t *f, const store_page_t *page,
		       topic_position_t from, bool is_new)
{
	g_autoptr(GHashTable) changed = str_table_new(NULL);
	topic_position_t to = page_position(f, page);
	g_autoptr(GArray) removed = NULL;
	g_autoptr(GArray) last = NULL;

	if (f->is_listing)
		removed = topic_records_find_removed(&f->records, page);
	last = find_last_entries(f, page, removed);
	if (is_new)
		apply_page(f, page, f->is_listing, changed);
	else if (topic_position_is_after(from, to))
		log_ignored(f, page);
	/* What was not applied, though it is later, must not count as known. */
	if ((is_new || !topic_position_is_after(to, from)) &&
	    (!f->is_listing || from.next))
		post_update(f, from, page, last, changed, removed);
	schedule_call(f, next_delay_ms(f));
}

static void on_list(store_follower_t *f, const store_page_t *page)
{
	topic_position_t to = { page->epoch, page->next };
	topic_position_t from = f->state.known;

	on_records(f, page, from,
		   topic_follow_on_own_list(&f->state, to, now_us()));
}

static void on_read(store_follower_t *f, const store_page_t *page)
{
	topic_position_t to = { page->epoch, page->next };
	topic_position_t from = f->state.known;

	switch (topic_follow_on_read(&f->state, f->read_from, to, now_us())) {
	case TOPIC_READ_OLD:
		on_records(f, page, from, false);
		break;
	case TOPIC_READ_APPLY:
		on_records(f, page, from, true);
		break;
	case TOPIC_READ_LIST:
		list_again(f, "the store came back from a copy");
		break;
	}
}

static void on_page(void *ctx, const store_page_t *page, const err_t *err)
{
	store_follower_t *f = ctx;

	f->is_calling = false;
	set_down(f, err);
	if (err) {
		topic_follow_on_failure(&f->state, f->env->daemons,
					g_rand_double(f->env->sup->rand),
					now_us());
		log_event("store-retry",
			  "topic=%s failures=%u wait_ms=%" PRId64
			  " known_age_ms=%" PRId64,
			  store_topic_name(f->topic), f->state.failures,
			  (f->state.retry_at - now_us()) / 1000,
			  (now_us() - f->state.updated_at) / 1000);
		schedule_call(f, DUE_CHECK_MS);
		return;
	}
	log_epoch(f, page);
	note_read(f, "store");
	if (page->has_gap) {
		topic_follow_invalidate(&f->state, page->epoch);
		list_again(f, "the store doesn't have the records to read");
	} else if (f->is_listing) {
		on_list(f, page);
	} else {
		on_read(f, page);
	}
	/* Last, as it may begin the next call of this follower. */
	f->env->on_epoch(f->env->ctx, page->epoch);
}

/* Lists the topic if it isn't listed yet; otherwise reads new records. */
static void call_store(store_follower_t *f)
{
	store_t *store = f->env->store;
	int64_t wait = f->topic == STORE_CONFIG ?
			       f->env->sup->settings->config_wait_ms :
			       0;
	bool is_begun;

	if (f->is_calling)
		return;
	f->is_listing = !f->state.is_listed;
	f->read_from = f->state.known;
	if (!f->is_listing)
		is_begun = store_read(store, f->topic, f->read_from.next, wait,
				      on_page, f, NULL);
	else
		is_begun = store_list(store, f->topic, on_page, f, NULL);
	f->is_calling = is_begun;
	if (!is_begun)
		schedule_call(f, RETRY_MS);
}

static void on_timer(evutil_socket_t fd, short what, void *arg)
{
	store_follower_t *f = arg;

	if (topic_follow_is_due(&f->state, now_us()))
		call_store(f);
	else
		schedule_call(f, DUE_CHECK_MS);
}

void store_follower_init(store_follower_t *f, const store_env_t *env,
			 store_topic_t topic)
{
	*f = (store_follower_t){
		.env = env,
		.topic = topic,
		.source = "store",
	};
	if (!settings_is_seed(env->sup->settings))
		f->state.list_after =
			now_us() + PEER_LIST_WAIT_US +
			(int64_t)(env->jitter * PEER_LIST_WAIT_US);
	topic_records_init(&f->records);
	f->timer = evtimer_new(env->sup->base, on_timer, f);
	on_timer(-1, 0, f);
}

void store_follower_require_epoch(store_follower_t *f, uint64_t epoch)
{
	if (!f->state.is_reader || !f->state.is_listed || f->is_calling ||
	    epoch <= f->state.known.epoch)
		return;
	topic_follow_invalidate(&f->state, epoch);
	call_store(f);
}

void store_follower_end_wait(store_follower_t *f)
{
	topic_follow_end_wait(&f->state, now_us());
}

void store_follower_call_soon(store_follower_t *f)
{
	topic_follow_call_soon(&f->state, g_rand_double(f->env->sup->rand),
			       now_us());
}

void store_follower_finish(store_follower_t *f)
{
	event_free(f->timer);
	topic_records_finish(&f->records);
}

void store_follower_send_list(store_follower_t *f, const char *peer)
{
	message_t m = { .type = MESSAGE_TOPIC_UPDATE };

	if (!f->state.is_listed)
		return;
	m.update.topic = f->topic;
	m.update.to = f->state.known;
	m.update.is_stable =
		runner_list_is_stable(f->env->runner_list, now_us());
	g_strlcpy(m.update.peer, peer, sizeof(m.update.peer));
	m.update.records = message_records_new();
	m.update.batch =
		topic_records_encode(&f->records, &m.update.batch_size);
	supervisor_post(f->env->sup, TASK_PEERS, &m);
}
