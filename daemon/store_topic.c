#define LOG_PART "store"

#include "daemon/store_topic.h"

#include <inttypes.h>

#include "common/log.h"
#include "common/str_table.h"
#include "common/timeval.h"

enum {
	RETRY_MS = 200, /* when a call can't begin */
	DAEMONS_POLL_MS = 5000,
	CONFIG_PAUSE_MS = 100, /* after a read: versions may come in a storm */
	LOOK_MS = 100, /* between looks whether the readers fell silent */
	/* For the lists of another daemon, before the store is asked. */
	PEERS_FIRST_US = 1200 * 1000,
	RELAY_GAP_US = 150 * 1000, /* between tellings that nothing is new */
};

static void follow(store_follower_t *f);

/* Returns whether the entry says anything that was not known. */
static bool take_entry(store_follower_t *f, const store_entry_t *entry)
{
	bool is_new = f->env->take(f->env->ctx, f->topic, entry);

	if (is_new || !topic_records_get(&f->records, entry->key))
		topic_records_set(&f->records, entry->key, entry->value);
	return is_new;
}

static void note_down(store_follower_t *f, const err_t *err)
{
	char text[ERR_DETAIL_SIZE * 2];

	if (f->topic == STORE_RUNNERS)
		runner_list_away(f->env->runners, err != NULL, now_us());
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

static void follow_later(store_follower_t *f, int64_t ms)
{
	struct timeval delay = timeval_from_ms(ms);

	event_add(f->timer, &delay);
}

static int64_t pause_ms(const store_follower_t *f)
{
	const settings_t *s = f->env->sup->settings;

	if (!f->state.is_listed || !f->state.is_reader)
		return LOOK_MS;
	if (f->topic == STORE_CONFIG)
		return CONFIG_PAUSE_MS;
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

/*
 * Tells the other daemons what was read, also when it is nothing: of the keys
 * in CHANGED the newest record of the page, and that those in GONE are gone.
 * Whoever knows all up to FROM, or listed the topic since, then knows what
 * this daemon does.
 */
static void post_news(store_follower_t *f, uint64_t from,
		      const store_page_t *page, GHashTable *changed,
		      const GArray *gone)
{
	message_t m = { .type = MESSAGE_NEWS };

	m.news.topic = f->topic;
	m.news.from = from;
	m.news.next = page->next;
	m.news.is_steady = runner_list_is_steady(f->env->runners, now_us());
	m.news.records = message_records_new();
	for (size_t i = page->n_entries; i-- > 0;)
		if (g_hash_table_remove(changed, &page->entries[i].key))
			add_record(m.news.records, &page->entries[i]);
	for (guint i = 0; gone && i < gone->len; i++)
		add_record(m.news.records,
			   &g_array_index(gone, store_entry_t, i));
	supervisor_post(f->env->sup, TASK_PEERS, &m);
}

/*
 * Readers have links to a few daemons of each other zone, and these tell
 * theirs what is new there, be it only that nothing is.
 */
static void relay_news(store_follower_t *f, const message_news_t *news)
{
	message_t m = { .type = MESSAGE_NEWS, .news = *news };

	m.news.is_relayed = true;
	m.news.records = g_array_ref(news->records);
	supervisor_post(f->env->sup, TASK_PEERS, &m);
}

/* What follows is the topic's whole list, until end_list. */
static void begin_list(store_follower_t *f)
{
	topic_records_clear(&f->records);
	if (f->topic == STORE_RUNNERS)
		runner_list_begin(f->env->runners);
}

static void end_list(store_follower_t *f)
{
	if (f->topic == STORE_RUNNERS)
		runner_list_end(f->env->runners, now_us());
}

/* Takes a page over; adds the keys whose entries say anything new. */
static void take_page(store_follower_t *f, const store_page_t *page,
		      bool is_list, GHashTable *changed)
{
	if (is_list)
		begin_list(f);
	for (size_t i = 0; i < page->n_entries; i++)
		if (take_entry(f, &page->entries[i]))
			g_hash_table_add(changed,
					 (gpointer)&page->entries[i].key);
	if (is_list)
		end_list(f);
}

static void take_records(store_follower_t *f, const GArray *records)
{
	for (guint i = 0; i < records->len; i++) {
		const message_record_t *r =
			&g_array_index(records, message_record_t, i);
		store_entry_t entry = { topic_records_view(r->key),
					topic_records_view(r->value) };

		take_entry(f, &entry);
	}
}

/* Takes another daemon's whole list, when nothing newer is known. */
static void hear_list(store_follower_t *f, const message_news_t *news)
{
	if (!topic_follow_take_list(&f->state, news->next, now_us()))
		return;
	log_event("listed-by-daemon", "topic=%s records=%u next=%" PRIu64,
		  store_topic_name(f->topic), news->records->len, news->next);
	begin_list(f);
	take_records(f, news->records);
	end_list(f);
}

void store_follower_hear(store_follower_t *f, const message_news_t *news)
{
	int64_t known_at = f->state.known_at;
	uint64_t next = f->state.next;

	if (news->is_list) {
		hear_list(f, news);
		return;
	}
	if (f->topic == STORE_RUNNERS)
		runner_list_told(f->env->runners, news->is_steady);
	switch (topic_follow_hear(&f->state, news->from, news->next,
				  now_us())) {
	case TOPIC_NEWS_OLD:
		if (news->is_from_other_zone && news->next == next &&
		    f->state.known_at - known_at > RELAY_GAP_US)
			relay_news(f, news);
		return;
	case TOPIC_NEWS_MISSED:
		return;
	case TOPIC_NEWS_APPLY:
		if (news->is_from_other_zone)
			relay_news(f, news);
		break;
	}
	take_records(f, news->records);
}

static void on_page(void *ctx, const store_page_t *page, const err_t *err)
{
	store_follower_t *f = ctx;
	g_autoptr(GHashTable) changed = str_table_new(NULL);
	bool was_listing = !f->state.is_listed;
	uint64_t from = f->state.next;
	g_autoptr(GArray) gone = NULL;

	f->is_calling = false;
	note_down(f, err);
	if (err) {
		topic_follow_failed(&f->state, f->env->daemons,
				    g_rand_double(f->env->sup->rand), now_us());
		follow_later(f, LOOK_MS);
		return;
	}
	if (page->has_gap) {
		log_info("store: %s is listed anew, records are gone",
			 store_topic_name(f->topic));
		topic_follow_lost(&f->state);
		follow(f);
		return;
	}
	if (was_listing)
		gone = topic_records_missing(&f->records, page);
	if (topic_follow_read(&f->state, page->next, now_us()))
		take_page(f, page, was_listing, changed);
	/*
	 * Who read because the readers were silent tells the others too: the
	 * store may turn the readers' VMs away and others with them. So does
	 * who had to list anew, after what was known up to FROM.
	 */
	if (!was_listing || from)
		post_news(f, from, page, changed, gone);
	follow_later(f, pause_ms(f));
}

/* Lists a topic first, then reads what is new. */
static void follow(store_follower_t *f)
{
	store_t *store = f->env->store;
	int64_t wait = f->topic == STORE_CONFIG ?
			       f->env->sup->settings->config_wait_ms :
			       0;
	bool is_begun;

	if (f->is_calling)
		return;
	if (f->state.is_listed)
		is_begun = store_read(store, f->topic, f->state.next, wait,
				      on_page, f, NULL);
	else
		is_begun = store_list(store, f->topic, on_page, f, NULL);
	f->is_calling = is_begun;
	if (!is_begun)
		follow_later(f, RETRY_MS);
}

static void on_follow(evutil_socket_t fd, short what, void *arg)
{
	store_follower_t *f = arg;

	if (topic_follow_is_due(&f->state, now_us()))
		follow(f);
	else
		follow_later(f, LOOK_MS);
}

void store_follower_init(store_follower_t *f, const store_env_t *env,
			 store_topic_t topic)
{
	*f = (store_follower_t){ .env = env, .topic = topic };
	if (!settings_is_seed(env->sup->settings))
		f->state.list_at = now_us() + PEERS_FIRST_US +
				   (int64_t)(env->draw * PEERS_FIRST_US);
	topic_records_init(&f->records);
	f->timer = evtimer_new(env->sup->base, on_follow, f);
	on_follow(-1, 0, f);
}

void store_follower_finish(store_follower_t *f)
{
	event_free(f->timer);
	topic_records_finish(&f->records);
}

void store_follower_give_list(store_follower_t *f, const char *peer)
{
	message_t m = { .type = MESSAGE_NEWS };

	if (!f->state.is_listed)
		return;
	m.news.topic = f->topic;
	m.news.next = f->state.next;
	m.news.is_steady = runner_list_is_steady(f->env->runners, now_us());
	g_strlcpy(m.news.peer, peer, sizeof(m.news.peer));
	m.news.records = message_records_new();
	m.news.batch = topic_records_pack(&f->records, &m.news.batch_size);
	supervisor_post(f->env->sup, TASK_PEERS, &m);
}
