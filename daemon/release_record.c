#define LOG_PART "store"

#include "daemon/release_record.h"

#include <jansson.h>
#include <stdlib.h>

#include "common/log.h"
#include "daemon/supervisor.h"

enum {
	RETRY_US = 1000 * 1000, /* after a failed write */
	/* After a write, until it must be in the topic as read. */
	READ_BACK_US = 10 * 1000 * 1000,
};

static const char record_key[] = "releases";

void release_record_init(release_record_t *r, store_t *store,
			 const topic_records_t *topic,
			 release_history_t *history)
{
	*r = (release_record_t){ .store = store,
				 .topic = topic,
				 .history = history };
}

bool release_record_is_key(str_t key)
{
	return str_eq(key, str_from(record_key));
}

static void load_service(release_record_t *r, const char *service,
			 const json_t *releases, int64_t now)
{
	const json_t *release;
	size_t i;

	json_array_foreach ((json_t *)releases, i, release)
		if (json_is_string(release) && service[0])
			release_history_see(r->history, service,
					    json_string_value(release), now);
	release_history_set_complete(r->history, service);
}

void release_record_load(release_record_t *r, int64_t now)
{
	GBytes *record = topic_records_get(r->topic, str_from(record_key));
	const char *service;
	json_t *root, *releases;
	str_t text;

	if (r->is_loaded)
		return;
	r->is_loaded = true;
	if (!record)
		return;
	text = topic_records_view(record);
	log_event("release-record", "releases=%.*s why=\"read at the start\"",
		  (int)text.len, text.ptr);
	root = json_loadb(text.ptr, text.len, 0, NULL);
	if (!json_is_object(root))
		log_warn("ignoring the invalid record of releases");
	json_object_foreach (root, service, releases)
		load_service(r, service, releases, now);
	json_decref(root);
}

static void add_release(void *ctx, const char *service, const char *release)
{
	json_t *root = ctx;
	json_t *releases = json_object_get(root, service);

	if (!releases) {
		releases = json_array();
		json_object_set_new(root, service, releases);
	}
	json_array_append_new(releases, json_string(release));
}

/* Returns the record's value; the caller frees it with free. */
static char *write_value(const release_record_t *r, int64_t now)
{
	json_t *root = json_object();
	char *text;

	release_history_each(r->history, now, add_release, root);
	text = json_dumps(root, JSON_COMPACT | JSON_SORT_KEYS);
	json_decref(root);
	return text;
}

static void delay_retry(release_record_t *r, const err_t *err)
{
	char reason[ERR_DETAIL_SIZE * 2];

	r->written_at = 0;
	r->retry_at = now_us() + RETRY_US;
	log_warn("cannot write the record of releases: %s",
		 err_text(err, reason, sizeof(reason)));
}

static void on_written(void *ctx, const err_t *err)
{
	release_record_t *r = ctx;

	r->is_writing = false;
	if (err)
		delay_retry(r, err);
}

static void begin_write(release_record_t *r, const char *value, int64_t now)
{
	err_t err = { 0 };

	log_event("release-record",
		  "releases=%s why=\"the releases in service changed\"", value);
	r->written = str_hash(str_from(value));
	r->written_at = now;
	r->is_writing =
		store_append(r->store, STORE_DAEMONS, str_from(record_key),
			     str_from(value), on_written, r, &err);
	if (!r->is_writing)
		delay_retry(r, &err);
}

/* The topic isn't read so soon after a write. */
static bool is_just_written(const release_record_t *r, const char *value,
			    int64_t now)
{
	return r->written_at && r->written == str_hash(str_from(value)) &&
	       now - r->written_at < READ_BACK_US;
}

void release_record_tick(release_record_t *r, int64_t now)
{
	GBytes *known = topic_records_get(r->topic, str_from(record_key));
	char *value;

	if (!r->is_loaded || r->is_writing || !r->history->window ||
	    now < r->retry_at)
		return;
	value = write_value(r, now);
	if ((!known || !str_eq(topic_records_view(known), str_from(value))) &&
	    !is_just_written(r, value, now))
		begin_write(r, value, now);
	free(value);
}
