/*
 * The platform's store comes back from a copy that is some seconds old: offsets
 * go back and are given out again. What the store says then replaces what was
 * known of it, while configurations never go back.
 */
#include <stdlib.h>
#include <string.h>

#include "common/log.h"
#include "daemon/supervisor.h"
#include "platform/fleet_json.h"
#include "platform/store.h"
#include "tests/lib_fake_http.h"
#include "tests/lib_suite.h"
#include "tests/lib_task_fixture.h"

enum {
	FAKE_TOPICS = 3,
	FAKE_RECORDS = 16,
	LIMIT_US = 3 * 1000 * 1000, /* to learn of what the store says */
	STATUS_OK = 200,
	STATUS_GONE = 410,
};

typedef struct fake_record {
	const char *key;
	char *value;
} fake_record_t;

/* One history of the store: its records of all topics. */
typedef struct fake_topic {
	const char *name;
	fake_record_t records[FAKE_RECORDS];
	size_t n;
} fake_topic_t;

typedef struct fixture {
	struct event_base *base;
	settings_t settings;
	supervisor_t sup;
	fake_http_t http;
	fake_topic_t topics[FAKE_TOPICS];
	int epoch;
	/* What the other tasks were told. */
	int version, lowest_version; /* lowest: after a higher one; 0: none */
	int runners, leaving;
	/* Of the latest update of the configuration with another epoch: */
	topic_position_t told_from, told_to;
	int tells; /* such updates */
	int appends; /* of this daemon's entry */
	int sent_version; /* of the configuration sent to another daemon */
	bool has_old_peer; /* another daemon lists what it knew before */
	int old_peer_next;
} fixture_t;

static fake_topic_t *topic_of(fixture_t *f, const char *path)
{
	for (size_t i = 0; i < FAKE_TOPICS; i++)
		if (strstr(path, f->topics[i].name))
			return &f->topics[i];
	ck_abort_msg("no such topic: %s", path);
	return NULL;
}

static void put(fixture_t *f, int topic, const char *key, char *value)
{
	fake_topic_t *t = &f->topics[topic];

	t->records[t->n++] = (fake_record_t){ key, value };
}

static void put_config(fixture_t *f, int version)
{
	put(f, STORE_CONFIG, "config",
	    g_strdup_printf("{\"version\":%d,\"routes\":[],\"services\":[],"
			    "\"limits\":{\"max_header_bytes\":1024,"
			    "\"max_body_bytes\":2048,"
			    "\"header_timeout_ms\":500,"
			    "\"idle_timeout_ms\":600},\"tenants\":[]}",
			    version));
}

static void put_runner(fixture_t *f, const char *id, int sequence,
		       const char *state)
{
	put(f, STORE_RUNNERS, id,
	    g_strdup_printf("{\"service\":\"s\",\"address\":\"127.0.0.1:9\","
			    "\"zone\":\"z\",\"slots\":4,\"state\":\"%s\","
			    "\"sequence\":%d,\"born\":7}",
			    state, sequence));
}

/* The store comes back with the first records of a topic. */
static void go_back(fixture_t *f, int topic, size_t n)
{
	fake_topic_t *t = &f->topics[topic];

	while (t->n > n)
		g_free(t->records[--t->n].value);
}

static void add_number(GString *out, uint64_t value, int bytes)
{
	for (int i = bytes; i-- > 0;)
		g_string_append_c(out, (char)(value >> (8 * i) & 0xff));
}

static void reply(fixture_t *f, fake_reply_t *out, int status,
		  const GString *body)
{
	g_string_append_printf(out->bytes,
			       "HTTP/1.1 %d x\r\nStore-Era: %d\r\n"
			       "Content-Length: %zu\r\n\r\n",
			       status, f->epoch, (size_t)body->len);
	g_string_append_len(out->bytes, body->str, (gssize)body->len);
}

static void reply_read(fixture_t *f, const fake_topic_t *t, size_t from,
		       fake_reply_t *out)
{
	g_autoptr(GString) body = g_string_new("");

	if (from > t->n) {
		reply(f, out, STATUS_GONE, body);
		return;
	}
	add_number(body, t->n, 8);
	add_number(body, 0, 8);
	for (size_t i = from; i < t->n; i++) {
		const fake_record_t *r = &t->records[i];
		size_t key = strlen(r->key);

		add_number(body, 1 + key + strlen(r->value), 4);
		add_number(body, key, 1);
		g_string_append(body, r->key);
		g_string_append(body, r->value);
	}
	reply(f, out, STATUS_OK, body);
}

static bool is_newest(const fake_topic_t *t, size_t i)
{
	for (size_t k = i + 1; k < t->n; k++)
		if (!strcmp(t->records[k].key, t->records[i].key))
			return false;
	return true;
}

static void reply_list(fixture_t *f, const fake_topic_t *t, fake_reply_t *out)
{
	g_autoptr(GString) body = g_string_new("{\"entries\":[");
	const char *separator = "";

	for (size_t i = 0; i < t->n; i++) {
		const fake_record_t *r = &t->records[i];
		g_autofree char *value = g_base64_encode(
			(const guchar *)r->value, strlen(r->value));

		if (!is_newest(t, i))
			continue;
		g_string_append_printf(body,
				       "%s{\"key\":\"%s\",\"value\":\"%s\","
				       "\"offset\":%zu}",
				       separator, r->key, value, i);
		separator = ",";
	}
	g_string_append_printf(body, "],\"has_more\":false,\"end_offset\":%zu}",
			       t->n);
	reply(f, out, STATUS_OK, body);
}

/* The daemon writes its own entry. */
static void reply_append(fixture_t *f, str_t record, fake_reply_t *out)
{
	enum { LENGTH_SIZE = 4, KEY_SIZE = 2 }; /* bytes; the key is "d" */
	g_autoptr(GString) empty = g_string_new("{}");

	ck_assert_uint_gt(record.len, LENGTH_SIZE + KEY_SIZE);
	put(f, STORE_DAEMONS, "d",
	    g_strndup(record.ptr + LENGTH_SIZE + KEY_SIZE,
		      record.len - LENGTH_SIZE - KEY_SIZE));
	f->appends++;
	reply(f, out, STATUS_OK, empty);
}

/* Another daemon sends its list of the configuration, as it was before. */
static void send_old_list(fixture_t *f)
{
	message_t m = { .type = MESSAGE_TOPIC_UPDATE };

	m.update.topic = STORE_CONFIG;
	m.update.is_list = true;
	m.update.to.epoch = 1;
	m.update.to.next = (uint64_t)f->old_peer_next;
	m.update.records = message_records_new();
	supervisor_post(&f->sup, TASK_PLATFORM, &m);
}

static void on_request(void *ctx, const fake_request_t *request,
		       fake_reply_t *out)
{
	fixture_t *f = ctx;
	const char *source = strstr(request->path, "source=");
	fake_topic_t *t = topic_of(f, request->path);

	if (source)
		reply_read(f, t, (size_t)atoi(source + strlen("source=")), out);
	else if (strstr(request->path, "log-newest"))
		reply_list(f, t, out);
	else
		reply_append(f, request->body, out);
	/* It is asked at the same time, and nearer than the store. */
	if (f->has_old_peer && !source)
		send_old_list(f);
}

static void count_runners(fixture_t *f, const vm_list_t *vms)
{
	f->runners = (int)vms->runners->len;
	f->leaving = 0;
	for (guint i = 0; i < vms->runners->len; i++)
		f->leaving += g_array_index(vms->runners, vm_list_runner_t, i)
				      .runner.is_leaving;
}

static void read_version(fixture_t *f, const config_doc_t *doc)
{
	err_t err = { 0 };
	fleet_t *fleet = fleet_json_parse_config(
		(str_t){ g_bytes_get_data(doc->body, NULL),
			 g_bytes_get_size(doc->body) },
		&err);

	ck_assert_msg(fleet != NULL, "%s", err.detail);
	ck_assert_uint_eq(fleet->version, doc->version);
	f->sent_version = (int)fleet->version;
	fleet_unref(fleet);
}

static void fake_handle(void *state, const message_t *m)
{
	fixture_t *f = state;

	if (m->type == MESSAGE_CONFIG_NEXT) {
		if ((int)m->number < f->version)
			f->lowest_version = (int)m->number;
		f->version = (int)m->number;
	} else if (m->type == MESSAGE_VMS) {
		count_runners(f, m->vms);
	} else if (m->type == MESSAGE_CONFIG_SEND) {
		read_version(f, &g_array_index(m->docs.docs, config_doc_t, 0));
	} else if (m->type == MESSAGE_TOPIC_UPDATE &&
		   m->update.topic == STORE_CONFIG &&
		   m->update.from.epoch != m->update.to.epoch) {
		f->told_from = m->update.from;
		f->told_to = m->update.to;
		f->tells++;
	}
}

static void no_handle(void *state, const message_t *m)
{
}

static const task_spec_t fake_peers = { "peers", 2, task_fixture_start,
					fake_handle, task_fixture_stop };
static const task_spec_t fake_other = { "other", 1, task_fixture_start,
					no_handle, task_fixture_stop };

static const task_spec_t *const specs[TASK_COUNT] = {
	[TASK_PLATFORM] = &store_task, [TASK_PEERS] = &fake_peers,
	[TASK_CAPACITY] = &fake_other, [TASK_LIMITS] = &fake_other,
	[TASK_FRONT] = &fake_other,    [TASK_ACCOUNTS] = &fake_other,
	[TASK_ADMIN] = &fake_other,
};

static void parse_settings(fixture_t *f)
{
	g_autofree char *text = g_strdup_printf(
		"{\"name\":\"d\",\"zone\":\"z\",\"zones\":[\"z\"],"
		"\"fleet\":true,\"listen\":\"127.0.0.1:%d\","
		"\"peer_listen\":\"127.0.0.1:%d\","
		"\"admin_listen\":\"127.0.0.1:%d\","
		"\"platform\":\"%s\",\"platform_timeout_ms\":100,"
		"\"runners_poll_ms\":50,\"config_wait_ms\":50,"
		"\"peer_secret\":\"0123456789abcdef\","
		"\"operator_token\":\"0123456789abcdef\",\"seed\":1}",
		task_fixture_free_port(), task_fixture_free_port(),
		task_fixture_free_port(), f->http.address);
	err_t err = { 0 };

	ck_assert_msg(
		settings_parse(&f->settings, str_from(text), "test", &err),
		"%s", err.detail);
}

/* Starts the store task as the store's reader. */
static void fixture_init(fixture_t *f)
{
	message_t reader = { .type = MESSAGE_READER_ROLE, .number = true };
	message_t count = { .type = MESSAGE_DAEMON_COUNT, .daemons = { 1, 1 } };
	err_t err = { 0 };

	*f = (fixture_t){ .epoch = 1 };
	f->topics[STORE_CONFIG].name = "keyed.op";
	f->topics[STORE_RUNNERS].name = "keyed.servers";
	f->topics[STORE_DAEMONS].name = "keyed.daemons";
	task_fixture_set_state(f);
	log_init("error");
	f->base = event_base_new();
	fake_http_init(&f->http, f->base, on_request, f);
	parse_settings(f);
	supervisor_init(&f->sup, f->base, &f->settings);
	ck_assert_msg(supervisor_start(&f->sup, specs, &err), "%s", err.detail);
	supervisor_post(&f->sup, TASK_PLATFORM, &reader);
	supervisor_post(&f->sup, TASK_PLATFORM, &count);
}

static void fixture_finish(fixture_t *f)
{
	supervisor_finish(&f->sup);
	fake_http_finish(&f->http);
	event_base_loop(f->base, EVLOOP_NONBLOCK);
	event_base_free(f->base);
	settings_finish(&f->settings);
	for (int i = 0; i < FAKE_TOPICS; i++)
		go_back(f, i, 0);
}

/* Runs until VALUE equals WANTED; returns whether it does in time. */
static bool await(fixture_t *f, const int *value, int wanted)
{
	int64_t limit = g_get_monotonic_time() + LIMIT_US;

	while (*value != wanted && g_get_monotonic_time() < limit)
		event_base_loop(f->base, EVLOOP_ONCE);
	return *value == wanted;
}

static void run(fixture_t *f, int64_t us)
{
	int64_t limit = g_get_monotonic_time() + us;

	while (g_get_monotonic_time() < limit)
		event_base_loop(f->base, EVLOOP_ONCE);
}

/* Puts versions 3, 7 and 11 in force; the store goes back to the first N. */
static void restore(fixture_t *f, size_t n)
{
	put_config(f, 3);
	put_config(f, 7);
	put_config(f, 11);
	ck_assert(await(f, &f->version, 11));
	go_back(f, STORE_CONFIG, n);
	f->epoch++;
}

/* Guards against a change whose record has an offset that was known before. */
START_TEST(a_change_after_the_store_went_back_is_in_force)
{
	fixture_t f;

	fixture_init(&f);
	restore(&f, 1);
	/* Written again, and one change more: as many records as before. */
	put_config(&f, 11);
	put_config(&f, 14);
	ck_assert(await(&f, &f.version, 14));
	ck_assert_int_eq(f.lowest_version, 0);
	fixture_finish(&f);
}
END_TEST

/* Guards against lists of daemons that still know what the store lost. */
START_TEST(a_list_of_the_old_store_does_not_hide_the_new_one)
{
	fixture_t f;

	fixture_init(&f);
	restore(&f, 1);
	f.has_old_peer = true;
	f.old_peer_next = 3;
	run(&f, LIMIT_US / 3);
	put_config(&f, 14);
	ck_assert(await(&f, &f.version, 14));
	fixture_finish(&f);
}
END_TEST

/* Guards against daemons that don't read the store and are not told. */
START_TEST(a_reader_tells_the_others_of_the_new_epoch)
{
	fixture_t f;

	fixture_init(&f);
	restore(&f, 1);
	ck_assert(await(&f, &f.tells, 1));
	ck_assert_uint_eq(f.told_from.epoch, 1);
	ck_assert_uint_eq(f.told_from.next, 3);
	ck_assert_uint_eq(f.told_to.epoch, 2);
	ck_assert_uint_eq(f.told_to.next, 1);
	fixture_finish(&f);
}
END_TEST

/* Guards against daemons that are told and keep what they knew before. */
START_TEST(an_update_of_the_new_epoch_is_applied)
{
	message_t m = { .type = MESSAGE_TOPIC_UPDATE };
	message_t reader = { .type = MESSAGE_READER_ROLE, .number = false };
	message_record_t record;
	fixture_t f;

	fixture_init(&f);
	restore(&f, 3);
	f.epoch = 1;
	supervisor_post(&f.sup, TASK_PLATFORM, &reader);
	put_config(&f, 14);
	record.key = g_bytes_new_static("config", strlen("config"));
	record.value =
		g_bytes_new(f.topics[STORE_CONFIG].records[3].value,
			    strlen(f.topics[STORE_CONFIG].records[3].value));
	go_back(&f, STORE_CONFIG, 3);
	m.update.topic = STORE_CONFIG;
	m.update.from = (topic_position_t){ 1, 3 };
	m.update.to = (topic_position_t){ 2, 2 };
	m.update.records = message_records_new();
	g_array_append_val(m.update.records, record);
	supervisor_post(&f.sup, TASK_PLATFORM, &m);
	ck_assert(await(&f, &f.version, 14));
	fixture_finish(&f);
}
END_TEST

/* Guards against taking an old configuration from the copy. */
START_TEST(a_configuration_does_not_go_back)
{
	fixture_t f;

	fixture_init(&f);
	restore(&f, 2);
	run(&f, LIMIT_US / 3);
	ck_assert_int_eq(f.version, 11);
	ck_assert_int_eq(f.lowest_version, 0);
	put_config(&f, 9);
	run(&f, LIMIT_US / 3);
	ck_assert_int_eq(f.version, 11);
	ck_assert_int_eq(f.lowest_version, 0);
	fixture_finish(&f);
}
END_TEST

/* Guards against sending requests to a runner that said that it leaves. */
START_TEST(a_runner_that_leaves_is_not_ready_again)
{
	fixture_t f;

	fixture_init(&f);
	put_runner(&f, "i-1", 4, "ready");
	put_runner(&f, "i-2", 4, "ready");
	put_runner(&f, "i-1", 9, "draining");
	ck_assert(await(&f, &f.runners, 2));
	ck_assert(await(&f, &f.leaving, 1));
	go_back(&f, STORE_RUNNERS, 2);
	f.epoch++;
	run(&f, LIMIT_US / 3);
	ck_assert_int_eq(f.leaving, 1);
	fixture_finish(&f);
}
END_TEST

/* Guards against daemons that a new one can't find, as the store lost them. */
START_TEST(a_daemon_writes_its_entry_again)
{
	fixture_t f;

	fixture_init(&f);
	ck_assert(await(&f, &f.appends, 1));
	run(&f, LIMIT_US / 10);
	go_back(&f, STORE_DAEMONS, 0);
	f.epoch++;
	ck_assert(await(&f, &f.appends, 2));
	run(&f, LIMIT_US / 3);
	ck_assert_int_eq(f.appends, 2);
	/* A copy that has the entry needs no other one. */
	f.epoch++;
	run(&f, LIMIT_US / 3);
	ck_assert_int_eq(f.appends, 2);
	fixture_finish(&f);
}
END_TEST

/* Another daemon sends version 14 itself, not as an update of the store. */
static void relay_config(fixture_t *f)
{
	message_t m = { .type = MESSAGE_CONFIG_RELAYED };
	config_doc_t doc = { .version = 14, .name = FLEET_PROFILE };
	fake_record_t *record;

	put_config(f, 14);
	record =
		&f->topics[STORE_CONFIG].records[f->topics[STORE_CONFIG].n - 1];
	doc.body = g_bytes_new(record->value, strlen(record->value));
	go_back(f, STORE_CONFIG, f->topics[STORE_CONFIG].n - 1);
	m.docs.docs = message_docs_new();
	g_array_append_val(m.docs.docs, doc);
	supervisor_post(&f->sup, TASK_PLATFORM, &m);
}

/* Guards against handing an older configuration on under a newer version. */
START_TEST(the_configuration_in_force_is_what_is_handed_on)
{
	message_t m = { .type = MESSAGE_CONFIG_REQUEST };
	fixture_t f;

	fixture_init(&f);
	restore(&f, 1);
	relay_config(&f);
	ck_assert(await(&f, &f.version, 14));
	supervisor_post(&f.sup, TASK_PLATFORM, &m);
	ck_assert(await(&f, &f.sent_version, 14));
	fixture_finish(&f);
}
END_TEST

SUITE_MAIN("restored_store", a_change_after_the_store_went_back_is_in_force,
	   a_list_of_the_old_store_does_not_hide_the_new_one,
	   a_reader_tells_the_others_of_the_new_epoch,
	   an_update_of_the_new_epoch_is_applied,
	   a_configuration_does_not_go_back,
	   a_runner_that_leaves_is_not_ready_again,
	   a_daemon_writes_its_entry_again,
	   the_configuration_in_force_is_what_is_handed_on)
