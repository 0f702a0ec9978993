#define LOG_PART "store"

#include "daemon/release_record.h"

#include <jansson.h>
#include <stdlib.h>

#include "common/log.h"
#include "daemon/supervisor.h"

enum {
	/* After a write, until it must be in the topic as read. */
	READ_BACK_US = 10 * 1000 * 1000,
};

static const char record_key[] = "releases";

static void on_failure(void *ctx)
{
	release_record_t *r = ctx;

	r->written_at = 0;
}

void release_record_init(release_record_t *r, store_t *store,
			 const topic_records_t *topic)
{
	*r = (release_record_t){ .topic = topic };
	release_history_init(&r->history);
	record_writer_init(&r->writer, store, "the record of releases",
			   on_failure, r);
}

void release_record_finish(release_record_t *r)
{
	release_history_finish(&r->history);
}

static void see_runner(void *ctx, const listed_runner_t *runner)
{
	release_record_t *r = ctx;

	release_history_see(&r->history, runner->service, runner->release,
			    r->seen_at);
}

void release_record_see(release_record_t *r, const runner_list_t *runners,
			int64_t now)
{
	r->seen_at = now;
	release_history_begin(&r->history, now);
	runner_list_each(runners, see_runner, r);
}

static void set_only(void *ctx, const char *service, uint64_t only)
{
	vm_list_set_release(ctx, service, only);
}

void release_record_set_only(const release_record_t *r, vm_list_t *vms,
			     int64_t now)
{
	release_history_each_only(&r->history, now, set_only, vms);
}

/* A list of VMs, and whether it has another only release of a service. */
typedef struct comparison {
	const vm_list_t *vms;
	bool has_news;
} comparison_t;

static void compare_only(void *ctx, const char *service, uint64_t only)
{
	comparison_t *c = ctx;

	c->has_news |= vm_list_release(c->vms, service) != only;
}

bool release_record_has_news(const release_record_t *r, const vm_list_t *vms,
			     int64_t now)
{
	comparison_t c = { .vms = vms };

	release_history_each_only(&r->history, now, compare_only, &c);
	return c.has_news;
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
			release_history_see(&r->history, service,
					    json_string_value(release), now);
	release_history_set_complete(&r->history, service);
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

	release_history_each(&r->history, now, add_release, root);
	text = json_dumps(root, JSON_COMPACT | JSON_SORT_KEYS);
	json_decref(root);
	return text;
}

/* The topic isn't read so soon after a write. */
static bool is_just_written(const release_record_t *r, const char *value,
			    int64_t now)
{
	return r->written_at && r->written == str_hash(str_from(value)) &&
	       now - r->written_at < READ_BACK_US;
}

static void begin_write(release_record_t *r, const char *value, int64_t now)
{
	log_event("release-record",
		  "releases=%s why=\"the releases in service changed\"", value);
	r->written = str_hash(str_from(value));
	r->written_at = now;
	record_writer_begin(&r->writer, str_from(record_key), str_from(value));
}

void release_record_tick(release_record_t *r, int64_t now)
{
	GBytes *known = topic_records_get(r->topic, str_from(record_key));
	char *value;

	if (!r->is_loaded || !r->history.window ||
	    !record_writer_is_ready(&r->writer, now))
		return;
	value = write_value(r, now);
	if ((!known || !str_eq(topic_records_view(known), str_from(value))) &&
	    !is_just_written(r, value, now))
		begin_write(r, value, now);
	free(value);
}
