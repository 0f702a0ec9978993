#define LOG_PART "store"

#include "daemon/part_records.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdlib.h>

#include "common/log.h"

enum {
	US_PER_MS = 1000,
	/* Longer than any quarantine, by more than clocks may differ. */
	MAX_LEFT_MS = 2 * 60 * 60 * 1000,
	KEY_SIZE = 16,
};

static const char prefix[] = "part/";

void part_records_finish(part_records_t *p)
{
	for (uint32_t i = 0; i < PART_RECORDS_MAX; i++)
		g_free(p->values[i]);
}

bool part_records_is_key(str_t key)
{
	size_t n = sizeof(prefix) - 1;

	return key.len > n && !memcmp(key.ptr, prefix, n);
}

static void write_key(uint32_t i, char key[KEY_SIZE])
{
	g_snprintf(key, KEY_SIZE, "%s%u", prefix, i);
}

static uint32_t index_of(uint64_t part)
{
	return (uint32_t)(part % PART_RECORDS_MAX);
}

static int64_t wall_ms(void)
{
	return g_get_real_time() / US_PER_MS;
}

static json_t *hex_json(uint64_t id)
{
	char text[17];

	g_snprintf(text, sizeof(text), "%" PRIx64, id);
	return json_string(text);
}

/* Returns the record's value; the caller frees it with g_free. */
static char *write_value(const quarantine_entry_t *entry, int64_t now)
{
	json_int_t until_ms = wall_ms() + (entry->until - now) / US_PER_MS;
	json_t *common = json_array();
	json_t *root;
	char *text, *copy;

	for (uint32_t i = 0; i < entry->common.n; i++)
		json_array_append_new(common, hex_json(entry->common.ids[i]));
	root = json_pack("{s:o, s:o, s:I, s:I}", "part", hex_json(entry->part),
			 "common", common, "until_ms", until_ms, "times",
			 (json_int_t)entry->times);
	text = json_dumps(root, JSON_COMPACT);
	copy = g_strdup(text);
	free(text);
	json_decref(root);
	return copy;
}

static bool read_hex(const json_t *value, uint64_t *out)
{
	const char *text = json_string_value(value);

	return text &&
	       g_ascii_string_to_unsigned(text, 16, 0, G_MAXUINT64, out, NULL);
}

static bool read_parts(const json_t *list, prompt_parts_t *out)
{
	const json_t *item;
	uint64_t id;
	size_t i;

	*out = (prompt_parts_t){ .n = 0 };
	json_array_foreach ((json_t *)list, i, item) {
		if (!read_hex(item, &id))
			return false;
		prompt_parts_add(out, id);
	}
	return out->n > 0;
}

/* Reads a record's members; false when one is missing or out of range. */
static bool read_members(const json_t *root, int64_t now,
			 quarantine_entry_t *out)
{
	json_int_t until =
		json_integer_value(json_object_get(root, "until_ms"));
	json_int_t times = json_integer_value(json_object_get(root, "times"));
	int64_t wall = wall_ms();

	if (!read_hex(json_object_get(root, "part"), &out->part) ||
	    !read_parts(json_object_get(root, "common"), &out->common) ||
	    prompt_parts_find(&out->common, out->part) < 0 || times < 1 ||
	    times > UINT32_MAX || until < 0 || until > wall + MAX_LEFT_MS)
		return false;
	out->times = (uint32_t)times;
	out->until = now + (until - wall) * US_PER_MS;
	return true;
}

static bool read_value(str_t text, int64_t now, quarantine_entry_t *out)
{
	json_t *root = json_loadb(text.ptr, text.len, 0, NULL);
	bool is_ok = read_members(root, now, out);

	json_decref(root);
	return is_ok;
}

/* Replaces what this process has for key I, and has it written. */
static void set_value(part_records_t *p, uint32_t i, char *value)
{
	g_free(p->values[i]);
	p->values[i] = value;
	p->is_due[i] = true;
}

/* Tells whether the record of PART is, or will be, in the store. */
static bool has_record(const part_records_t *p, uint64_t part, int64_t now)
{
	uint32_t i = index_of(part);
	quarantine_entry_t entry;
	char key[KEY_SIZE];
	GBytes *known;

	if (p->values[i])
		return read_value(str_from(p->values[i]), now, &entry) &&
		       entry.part == part;
	write_key(i, key);
	known = topic_records_get(p->topic, str_from(key));
	return known && read_value(topic_records_view(known), now, &entry) &&
	       entry.part == part;
}

void part_records_on_notice(part_records_t *p, const message_part_t *notice)
{
	const prompt_parts_t *sound = &notice->crash.parts;
	int64_t now = now_us();

	if (notice->kind == PART_NOTICE_QUARANTINE)
		set_value(p, index_of(notice->entry.part),
			  write_value(&notice->entry, now));
	if (notice->kind != PART_NOTICE_SOUND)
		return;
	for (uint32_t i = 0; i < sound->n; i++)
		if (has_record(p, sound->ids[i], now))
			set_value(p, index_of(sound->ids[i]), g_strdup(""));
}

/* Sends a record's quarantine to the front task, unless its time is over. */
static void load_record(part_records_t *p, str_t key, str_t value, int64_t now)
{
	message_t m = { .type = MESSAGE_PART_NOTICE,
			.part.kind = PART_NOTICE_QUARANTINE };
	quarantine_entry_t *entry = &m.part.entry;

	if (!read_value(value, now, entry)) {
		log_warn("ignoring the invalid record %.*s of a prompt part",
			 (int)key.len, key.ptr);
		return;
	}
	if (entry->until <= now)
		return;
	log_event("part-record",
		  "part=%" PRIx64 " left_ms=%" PRId64
		  " why=\"read at the start\"",
		  entry->part, (entry->until - now) / US_PER_MS);
	supervisor_post(p->sup, TASK_FRONT, &m);
}

void part_records_load(part_records_t *p, int64_t now)
{
	GHashTableIter iter;
	void *key, *value;

	if (p->is_loaded)
		return;
	p->is_loaded = true;
	g_hash_table_iter_init(&iter, p->topic->values);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		str_t name = topic_records_view(key);

		if (part_records_is_key(name))
			load_record(p, name, topic_records_view(value), now);
	}
}

static void on_failure(void *ctx)
{
	part_records_t *p = ctx;

	p->is_due[p->writing] = true;
}

void part_records_init(part_records_t *p, supervisor_t *sup, store_t *store,
		       const topic_records_t *topic)
{
	*p = (part_records_t){ .sup = sup, .topic = topic };
	record_writer_init(&p->writer, store, "the record of a prompt part",
			   on_failure, p);
}

static void begin_write(part_records_t *p, uint32_t i)
{
	const char *value = p->values[i];
	char key[KEY_SIZE];

	write_key(i, key);
	log_event("part-record", "key=%s why=\"%s\"", key,
		  value[0] ? "a quarantine began" : "a quarantine ended early");
	p->writing = i;
	p->is_due[i] = false;
	record_writer_begin(&p->writer, str_from(key), str_from(value));
}

/*
 * Has all values written again in another epoch: the store has come back from
 * an old copy. Also in the first one, as they may have been written before it.
 */
static void check_epoch(part_records_t *p, uint64_t epoch)
{
	if (epoch <= p->epoch)
		return;
	for (uint32_t i = 0; i < PART_RECORDS_MAX; i++)
		p->is_due[i] |= p->values[i] != NULL;
	p->epoch = epoch;
}

void part_records_tick(part_records_t *p, uint64_t epoch, int64_t now)
{
	check_epoch(p, epoch);
	if (!record_writer_is_ready(&p->writer, now))
		return;
	for (uint32_t i = 0; i < PART_RECORDS_MAX; i++) {
		if (!p->is_due[i])
			continue;
		begin_write(p, i);
		return;
	}
}
