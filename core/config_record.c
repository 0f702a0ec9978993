#include "core/config_record.h"

#include "common/json_text.h"

enum {
	MAX_RECORD_BYTES = 1 << 20, /* the log's limit on a record */
	/* JSON readers that store numbers as doubles keep these exact. */
	MAX_NUMBER_BITS = 53,
};

static bool invalid_record(err_t *err, const char *what)
{
	return err_set(err, ERR_INVALID, "config record", "", "%s", what);
}

static bool read_number(json_t *object, const char *key, uint64_t *out)
{
	json_t *value = json_object_get(object, key);

	if (!json_is_integer(value) || json_integer_value(value) < 0 ||
	    json_integer_value(value) >> MAX_NUMBER_BITS)
		return false;
	*out = (uint64_t)json_integer_value(value);
	return true;
}

/*
 * Returns a string of printable ASCII without spaces that is not empty and fits
 * in SIZE bytes with its NUL; else NULL.
 */
static const char *read_string(json_t *object, const char *key, size_t size)
{
	json_t *value = json_object_get(object, key);
	const char *s = json_string_value(value);

	if (!s || !s[0] || json_string_length(value) >= size)
		return NULL;
	for (const char *p = s; *p; p++)
		if (!g_ascii_isgraph(*p))
			return NULL;
	return s;
}

static bool read_publish(config_record_t *r, err_t *err)
{
	r->type = CONFIG_RECORD_PUBLISH;
	r->doc = read_string(r->json, "doc", CONFIG_NAME_SIZE);
	r->nonce = read_string(r->json, "nonce", CONFIG_NONCE_SIZE);
	if (!r->doc)
		return invalid_record(err, "doc: a name is expected");
	if (!r->nonce)
		return invalid_record(err,
				      "nonce: 1 to 39 characters are expected");
	if (!read_number(r->json, "base", &r->base))
		return invalid_record(err, "base: a version is expected");
	if (!json_is_object(json_object_get(r->json, "body")))
		return invalid_record(err, "body: an object is expected");
	return true;
}

static bool read_snapshot(config_record_t *r, err_t *err)
{
	r->type = CONFIG_RECORD_SNAPSHOT;
	r->docs = json_object_get(r->json, "docs");
	if (!read_number(r->json, "as_of", &r->as_of))
		return invalid_record(err, "as_of: an offset is expected");
	if (!json_is_array(r->docs))
		return invalid_record(err, "docs: a list is expected");
	return true;
}

bool config_record_parse(config_record_t *r, str_t data, err_t *err)
{
	const char *type;
	bool ok;

	memset(r, 0, sizeof(*r));
	if (data.len > MAX_RECORD_BYTES)
		return invalid_record(err,
				      "longer than a record of the log may be");
	r->json = json_loadb(data.ptr, data.len, JSON_REJECT_DUPLICATES, NULL);
	if (!json_is_object(r->json)) {
		config_record_finish(r);
		return invalid_record(err, "a JSON object is expected");
	}
	type = json_string_value(json_object_get(r->json, "type"));
	if (!g_strcmp0(type, "publish"))
		ok = read_publish(r, err);
	else if (!g_strcmp0(type, "snapshot"))
		ok = read_snapshot(r, err);
	else
		ok = invalid_record(err,
				    "type: publish or snapshot is expected");
	if (!ok)
		config_record_finish(r);
	return ok;
}

void config_record_finish(config_record_t *r)
{
	g_clear_pointer(&r->json, json_decref);
}

/* Copies jansson's malloc'd text so that g_free can free it; frees TEXT. */
static char *copy_and_free(char *text)
{
	char *copy = g_strdup(text);

	free(text);
	return copy;
}

static GBytes *dump_body(json_t *object)
{
	char *text = copy_and_free(
		json_dumps(json_object_get(object, "body"), JSON_COMPACT));

	return g_bytes_new_take(text, strlen(text));
}

GBytes *config_record_body(const config_record_t *r)
{
	return dump_body(r->json);
}

bool config_record_read_doc(json_t *entry, config_doc_t *doc, err_t *err)
{
	const char *name = read_string(entry, "doc", CONFIG_NAME_SIZE);
	const char *nonce = read_string(entry, "nonce", CONFIG_NONCE_SIZE);

	memset(doc, 0, sizeof(*doc));
	if (!name || !nonce || !read_number(entry, "version", &doc->version) ||
	    !doc->version || !read_number(entry, "offset", &doc->offset) ||
	    !json_is_object(json_object_get(entry, "body")))
		return invalid_record(err,
				      "docs: doc, version, offset, nonce and "
				      "body are expected");
	str_copy(doc->name, sizeof(doc->name), str_from(name));
	str_copy(doc->nonce, sizeof(doc->nonce), str_from(nonce));
	doc->body = dump_body(entry);
	return true;
}

static json_t *parse_body(const config_doc_t *doc)
{
	gsize len;
	const char *text = g_bytes_get_data(doc->body, &len);

	return json_loadb(text, len, 0, NULL);
}

char *config_record_write_snapshot(uint64_t as_of,
				   const config_doc_t *const *docs, size_t n)
{
	json_t *list = json_array();
	json_t *root;
	char *text;

	for (size_t i = 0; i < n; i++)
		json_array_append_new(
			list,
			json_pack("{s:s, s:I, s:I, s:s, s:o}", "doc",
				  docs[i]->name, "version",
				  (json_int_t)docs[i]->version, "offset",
				  (json_int_t)docs[i]->offset, "nonce",
				  docs[i]->nonce, "body", parse_body(docs[i])));
	root = json_pack("{s:s, s:I, s:o}", "type", "snapshot", "as_of",
			 (json_int_t)as_of, "docs", list);
	text = copy_and_free(json_dumps(root, JSON_COMPACT));
	json_decref(root);
	return text;
}

char *config_docs_write_publication(const char *doc, uint64_t base,
				    const char *nonce, const char *by,
				    str_t body)
{
	json_t *json = json_text_parse(body, doc, NULL);
	json_t *root;
	char *text;

	if (!json)
		return NULL;
	root = json_pack("{s:s, s:s, s:I, s:s, s:s, s:o}", "type", "publish",
			 "doc", doc, "base", (json_int_t)base, "nonce", nonce,
			 "by", by, "body", json);
	text = root ? copy_and_free(json_dumps(root, JSON_COMPACT)) : NULL;
	json_decref(root);
	return text;
}
