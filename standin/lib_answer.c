#include "standin/lib_answer.h"

#include <jansson.h>
#include <stdio.h>

#include "standin/lib_server.h"

enum { MAX_BUFFER = 4 << 20 /* bytes */ };

void answer_init(answer_t *a, answer_kind_t kind, const char *call, str_t text,
		 uint32_t tokens)
{
	memset(a, 0, sizeof(*a));
	a->kind = kind;
	a->call = call;
	a->expected_tokens = tokens;
	a->buf = g_string_new(NULL);
	answer_hash(text, a->hash);
}

void answer_finish(answer_t *a)
{
	if (a->buf)
		g_string_free(g_steal_pointer(&a->buf), TRUE);
}

/* Marks the answer as wrong; only the first reason is kept. */
static void set_wrong(answer_t *a, const char *reason, const char *detail)
{
	if (a->is_wrong)
		return;
	a->is_wrong = true;
	snprintf(a->reason, sizeof(a->reason), "%s: %.60s", reason, detail);
}

/* Compares TEXT with the tokens that are expected next. */
static void check_text(answer_t *a, const char *text)
{
	while (*text && !a->is_wrong) {
		char next[32];
		int len = snprintf(next, sizeof(next), "%s%s:%u",
				   a->received_tokens ? " " : "", a->hash,
				   a->received_tokens);

		if (strncmp(text, next, len)) {
			set_wrong(a, "text of another request, or out of order",
				  text);
			return;
		}
		text += len;
		a->received_tokens++;
	}
}

static void handle_error(answer_t *a, json_t *error)
{
	const char *outcome =
		json_string_value(json_object_get(error, "outcome"));

	g_strlcpy(a->outcome, outcome ? outcome : "unnamed",
		  sizeof(a->outcome));
}

static void handle_event(answer_t *a, const char *data)
{
	json_t *event, *error, *text;

	if (a->is_done || a->outcome[0]) {
		set_wrong(a, "data after the end", data);
		return;
	}
	if (!strcmp(data, "[DONE]")) {
		a->is_done = true;
		return;
	}
	event = json_loads(data, 0, NULL);
	error = json_object_get(event, "error");
	text = json_object_get(
		json_array_get(json_object_get(event, "choices"), 0), "text");
	if (error)
		handle_error(a, error);
	else if (json_is_string(text))
		check_text(a, json_string_value(text));
	else
		set_wrong(a, "malformed event", data);
	json_decref(event);
}

static void handle_line(answer_t *a, char *line)
{
	size_t len = strlen(line);

	if (len && line[len - 1] == '\r')
		line[len - 1] = '\0';
	if (g_str_has_prefix(line, "data:"))
		handle_event(a, g_strstrip(line + strlen("data:")));
	else if (*line && *line != ':')
		set_wrong(a, "malformed line", line);
}

void answer_feed(answer_t *a, str_t data)
{
	char *end;

	if (a->buf->len + data.len > MAX_BUFFER) {
		set_wrong(a, "answer too long", "");
		return;
	}
	g_string_append_len(a->buf, data.ptr, (gssize)data.len);
	if (a->kind != ANSWER_STREAM)
		return;
	while ((end = memchr(a->buf->str, '\n', a->buf->len))) {
		gssize len = end - a->buf->str;
		g_autofree char *line = g_strndup(a->buf->str, len);

		g_string_erase(a->buf, 0, len + 1);
		handle_line(a, line);
	}
}

static void check_whole(answer_t *a)
{
	json_t *root = json_loadb(a->buf->str, a->buf->len, 0, NULL);
	json_t *choice = json_array_get(json_object_get(root, "choices"), 0);
	const char *text = json_string_value(json_object_get(choice, "text"));

	if (text)
		check_text(a, text);
	else
		set_wrong(a, "malformed answer", a->buf->str);
	json_decref(root);
}

static void check_plain(answer_t *a)
{
	json_t *root = json_loadb(a->buf->str, a->buf->len, 0, NULL);
	const char *call = json_string_value(json_object_get(root, "call"));
	const char *echo = json_string_value(json_object_get(root, "echo"));

	if (!call || !echo || strcmp(call, a->call) || strcmp(echo, a->hash))
		set_wrong(a, "malformed, or the answer to another request",
			  a->buf->str);
	json_decref(root);
}

void answer_check_complete(answer_t *a)
{
	if (a->kind == ANSWER_PLAIN) {
		check_plain(a);
		return;
	}
	if (a->kind == ANSWER_WHOLE)
		check_whole(a);
	else if (!a->is_done)
		set_wrong(a, "stream ended without [DONE]", "");
	if (a->received_tokens != a->expected_tokens) {
		char count[32];

		snprintf(count, sizeof(count), "%u of %u", a->received_tokens,
			 a->expected_tokens);
		set_wrong(a, "unexpected number of tokens", count);
	}
}
