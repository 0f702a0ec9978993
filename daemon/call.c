#include "daemon/call.h"

#include <event2/buffer.h>
#include <event2/keyvalq_struct.h>
#include <jansson.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/queue.h>

enum {
	BYTES_PER_TOKEN = 4,
	PREFIX_HASH_BYTES = 512,
	DEFAULT_MAX_TOKENS = 16,
	MAX_OUTPUT_TOKENS = 1000000,
	MAX_OPAQUE_ID_LEN = 200, /* key, ticket or request ID; bytes */
	UUID_LEN = 36,
};

static const char services_prefix[] = "/v1/services/";

bool call_reject(call_error_t *error, int status, const char *field,
		 const char *fmt, ...)
{
	va_list ap;

	error->status = status;
	error->field = field;
	va_start(ap, fmt);
	vsnprintf(error->message, sizeof(error->message), fmt, ap);
	va_end(ap);
	return false;
}

static bool is_name(const char *s)
{
	for (; *s; s++)
		if (!g_ascii_isalnum(*s) && !strchr("-_.", *s))
			return false;
	return true;
}

/* Reads a header that holds a name; without the header uses FALLBACK. */
static bool read_name(struct evkeyvalq *headers, const char *header, char *out,
		      const char *fallback, call_error_t *error)
{
	const char *value = evhttp_find_header(headers, header);

	if (!value)
		value = fallback;
	if (str_copy(out, MEMBER_NAME_SIZE, str_from(value)) && is_name(out))
		return true;
	return call_reject(error, HTTP_BADREQUEST, header,
			   "at most %d letters, digits, '-', '_' and '.' are "
			   "expected",
			   MEMBER_NAME_SIZE - 1);
}

static bool read_deadline(call_t *call, struct evkeyvalq *headers,
			  const settings_t *settings, call_error_t *error)
{
	const char *value = evhttp_find_header(headers, "Papaya-Deadline-Ms");
	gint64 n;

	if (!value)
		return true;
	if (!g_ascii_string_to_signed(value, 10, 1, settings->max_deadline_ms,
				      &n, NULL))
		return call_reject(
			error, HTTP_BADREQUEST, "Papaya-Deadline-Ms",
			"a whole number from 1 to %lld ms is expected",
			(long long)settings->max_deadline_ms);
	call->deadline_ms = n;
	return true;
}

/* Reads a key, ticket or request ID; a missing header leaves OUT as is. */
static bool read_opaque_id(struct evkeyvalq *headers, const char *header,
			   char **out, call_error_t *error)
{
	const char *value = evhttp_find_header(headers, header);

	if (!value)
		return true;
	if (!value[0] || strlen(value) > MAX_OPAQUE_ID_LEN)
		return call_reject(error, HTTP_BADREQUEST, header,
				   "1 to %d characters are expected",
				   MAX_OPAQUE_ID_LEN);
	for (const char *p = value; *p; p++)
		if (!g_ascii_isgraph(*p))
			return call_reject(error, HTTP_BADREQUEST, header,
					   "visible characters are expected");
	*out = g_strdup(value);
	return true;
}

static bool read_credential(call_t *call, struct evkeyvalq *headers,
			    call_error_t *error)
{
	static const char scheme[] = "Bearer ";
	const char *value = evhttp_find_header(headers, "Authorization");

	if (!value)
		return true;
	if (g_ascii_strncasecmp(value, scheme, sizeof(scheme) - 1))
		return call_reject(error, 401, "Authorization",
				   "\"Bearer KEY\" is expected");
	call->credential = g_strdup(value + sizeof(scheme) - 1);
	return true;
}

static bool read_headers(call_t *call, struct evkeyvalq *headers,
			 const settings_t *settings, call_error_t *error)
{
	const char *hops = evhttp_find_header(headers, "Papaya-Hops");

	call->is_forwarded = hops;
	call->hops = hops ? (uint32_t)CLAMP(atoi(hops), 1, CALL_MAX_HOPS) : 0;
	if (call->is_forwarded &&
	    !read_opaque_id(headers, "X-Request-Id", &call->parent_id, error))
		return false;
	if (!read_name(headers, "Papaya-Team", call->team, "default", error) ||
	    !read_name(headers, "Papaya-Tier", call->tier, "", error) ||
	    !read_deadline(call, headers, settings, error) ||
	    !read_opaque_id(headers, "Idempotency-Key", &call->key, error) ||
	    !read_opaque_id(headers, "Papaya-Ticket", &call->ticket, error) ||
	    !read_credential(call, headers, error))
		return false;
	if (call->key && call->ticket)
		return call_reject(
			error, HTTP_BADREQUEST, "Papaya-Ticket",
			"a ticket and an Idempotency-Key exclude each "
			"other");
	return true;
}

static bool may_forward_header(const char *name)
{
	static const char *const not_forwarded[] = {
		"Connection",
		"Keep-Alive",
		"Proxy-Connection",
		"TE",
		"Trailer",
		"Transfer-Encoding",
		"Upgrade",
		"Host",
		"Content-Length",
		"Authorization",
		"X-Request-Id",
		"Expect",
		"Papaya-Hops",
		"Papaya-Ticket",
		"Papaya-Team",
		"Papaya-Tier",
		"Papaya-Deadline-Ms",
	};

	for (size_t i = 0; i < G_N_ELEMENTS(not_forwarded); i++)
		if (!g_ascii_strcasecmp(not_forwarded[i], name))
			return false;
	return true;
}

static void copy_headers(call_t *call, struct evkeyvalq *headers)
{
	struct evkeyval *header;

	call->headers = g_ptr_array_new_with_free_func(g_free);
	for (header = headers->tqh_first; header;
	     header = header->next.tqe_next) {
		if (!may_forward_header(header->key))
			continue;
		g_ptr_array_add(call->headers, g_strdup(header->key));
		g_ptr_array_add(call->headers, g_strdup(header->value));
	}
}

static uint32_t estimate_tokens(size_t bytes)
{
	return (uint32_t)((bytes + BYTES_PER_TOKEN - 1) / BYTES_PER_TOKEN);
}

static bool read_max_tokens(call_t *call, json_t *root, call_error_t *error)
{
	json_t *value = json_object_get(root, "max_tokens");
	json_int_t n = value ? json_integer_value(value) : DEFAULT_MAX_TOKENS;

	if (n < 1 || n > MAX_OUTPUT_TOKENS)
		return call_reject(error, HTTP_BADREQUEST, "max_tokens",
				   "a whole number from 1 to %d is expected",
				   MAX_OUTPUT_TOKENS);
	call->output_tokens = (uint32_t)n;
	return true;
}

static bool read_prompt(call_t *call, json_t *root, call_error_t *error)
{
	json_t *prompt = json_object_get(root, "prompt");
	size_t len = json_string_length(prompt);

	if (!json_is_string(prompt))
		return call_reject(error, HTTP_BADREQUEST, "prompt",
				   "a string is expected");
	call->prompt_tokens = MAX(estimate_tokens(len), 1);
	call->prefix_hash = str_hash((str_t){ json_string_value(prompt),
					      MIN(len, PREFIX_HASH_BYTES) });
	return true;
}

static bool read_json_members(call_t *call, json_t *root, call_error_t *error)
{
	json_t *stream = json_object_get(root, "stream");
	const char *model = json_string_value(json_object_get(root, "model"));

	if (!model || !model[0] || !is_name(model) ||
	    !str_copy(call->service, sizeof(call->service), str_from(model)))
		return call_reject(error, HTTP_BADREQUEST, "model",
				   "the name of a service is expected");
	if (stream && !json_is_boolean(stream))
		return call_reject(error, HTTP_BADREQUEST, "stream",
				   "true or false is expected");
	call->is_stream = json_is_true(stream);
	return read_prompt(call, root, error) &&
	       read_max_tokens(call, root, error);
}

static bool read_completion(call_t *call, call_error_t *error)
{
	gsize len;
	const char *text = g_bytes_get_data(call->body, &len);
	json_error_t jerr;
	json_t *root = json_loadb(text ? text : "", len, JSON_REJECT_DUPLICATES,
				  &jerr);
	bool ok;

	if (!json_is_object(root)) {
		json_decref(root);
		return call_reject(
			error, HTTP_BADREQUEST, "body",
			"a JSON object is expected: line %d, column %d: "
			"%.80s",
			jerr.line, jerr.column, jerr.text);
	}
	ok = read_json_members(call, root, error);
	json_decref(root);
	return ok;
}

static bool read_service_path(call_t *call, const char *uri,
			      call_error_t *error)
{
	const char *name = uri + sizeof(services_prefix) - 1;
	size_t len = strcspn(name, "/?");

	if (!len ||
	    !str_copy(call->service, sizeof(call->service),
		      (str_t){ name, len }) ||
	    !is_name(call->service))
		return call_reject(error, HTTP_BADREQUEST, "path",
				   "%sSERVICE/... is expected",
				   services_prefix);
	call->path = g_strdup_printf("%s%s", name[len] == '/' ? "" : "/",
				     name + len);
	call->prompt_tokens = 1;
	call->output_tokens = 1;
	return true;
}

static bool read_path(call_t *call, call_error_t *error)
{
	const char *uri = call->uri;

	if (g_str_has_prefix(uri, services_prefix))
		return read_service_path(call, uri, error);
	if (!strcmp(uri, "/v1/tickets"))
		call->is_ticket_request = true;
	else if (!strcmp(uri, "/v1/completions"))
		call->is_completion = true;
	else
		return call_reject(error, HTTP_NOTFOUND, "path",
				   "no such path; see docs/CALLERS.md");
	if (call->method != EVHTTP_REQ_POST)
		return call_reject(error, HTTP_BADMETHOD, "method",
				   "POST is expected");
	call->path = g_strdup(uri);
	return call->is_ticket_request || read_completion(call, error);
}

static uint64_t compute_fingerprint(const call_t *call)
{
	gsize len;
	const char *body = g_bytes_get_data(call->body, &len);
	g_autoptr(GString) text = g_string_new(NULL);

	g_string_append_printf(text, "%d %s\n", call->method, call->path);
	g_string_append_len(text, body, (gssize)len);
	return str_hash((str_t){ text->str, text->len });
}

static void copy_head(const http1_head_t *head, struct evkeyvalq *out)
{
	TAILQ_INIT(out);
	for (guint i = 0; i < head->headers->len; i++) {
		const http1_header_t *h =
			&g_array_index(head->headers, http1_header_t, i);
		g_autofree char *name = g_strndup(h->name.ptr, h->name.len);
		g_autofree char *value = g_strndup(h->value.ptr, h->value.len);

		evhttp_add_header(out, name, value);
	}
}

static bool read_method(call_t *call, const http1_head_t *head,
			call_error_t *error)
{
	static const struct {
		const char *name;
		enum evhttp_cmd_type method;
	} methods[] = {
		{ "GET", EVHTTP_REQ_GET },
		{ "POST", EVHTTP_REQ_POST },
		{ "HEAD", EVHTTP_REQ_HEAD },
		{ "PUT", EVHTTP_REQ_PUT },
		{ "DELETE", EVHTTP_REQ_DELETE },
		{ "OPTIONS", EVHTTP_REQ_OPTIONS },
		{ "PATCH", EVHTTP_REQ_PATCH },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(methods); i++) {
		if (!str_eq(head->method, str_from(methods[i].name)))
			continue;
		call->method = methods[i].method;
		return true;
	}
	return call_reject(error, HTTP_NOTIMPLEMENTED, "method",
			   "no such method");
}

static bool read_request(call_t *call, const http1_head_t *head,
			 struct evkeyvalq *headers, const settings_t *settings,
			 call_error_t *error)
{
	if (!read_method(call, head, error))
		return false;
	call->is_safe = call->method == EVHTTP_REQ_GET ||
			call->method == EVHTTP_REQ_HEAD ||
			call->method == EVHTTP_REQ_OPTIONS;
	return read_headers(call, headers, settings, error) &&
	       read_path(call, error);
}

bool call_parse(call_t *call, const http1_head_t *head, GBytes *body,
		const settings_t *settings, call_error_t *error)
{
	struct evkeyvalq headers;
	bool ok;

	memset(call, 0, sizeof(*call));
	call->uri = g_strndup(head->target.ptr, head->target.len);
	call->body = g_bytes_ref(body);
	copy_head(head, &headers);
	copy_headers(call, &headers);
	ok = read_request(call, head, &headers, settings, error);
	evhttp_clear_headers(&headers);
	if (ok)
		call->fingerprint = compute_fingerprint(call);
	else
		call_finish(call);
	return ok;
}

void call_finish(call_t *call)
{
	g_free(call->key);
	g_free(call->ticket);
	g_free(call->credential);
	g_free(call->parent_id);
	g_free(call->uri);
	g_free(call->path);
	g_bytes_unref(call->body);
	g_ptr_array_unref(call->headers);
}

int64_t call_key_created_ms(const char *key)
{
	const char *slash = strrchr(key, '/');
	const char *uuid = slash ? slash + 1 : key;
	char digits[13] = { 0 };

	if (strlen(uuid) != UUID_LEN || !g_uuid_string_is_valid(uuid) ||
	    uuid[14] != '7')
		return -1;
	memcpy(digits, uuid, 8);
	memcpy(digits + 8, uuid + 9, 4);
	return (int64_t)strtoull(digits, NULL, 16);
}

void call_key_zone(const char *key, char *const *zones, char *out, size_t size)
{
	const char *slash = strchr(key, '/');

	out[0] = '\0';
	for (; slash && *zones; zones++) {
		size_t len = strlen(*zones);

		if ((size_t)(slash - key) == len && !memcmp(key, *zones, len))
			g_strlcpy(out, *zones, size);
	}
}

bool call_ticket_daemon(const char *ticket, char *out, size_t size,
			uint64_t *boot_id)
{
	g_auto(GStrv) parts = g_strsplit(ticket, ":", -1);

	if (g_strv_length(parts) != 3 ||
	    !str_copy(out, size, str_from(parts[0])) || !is_name(out))
		return false;
	return g_ascii_string_to_unsigned(parts[1], 16, 0, G_MAXUINT64, boot_id,
					  NULL);
}
