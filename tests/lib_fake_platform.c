#include "tests/lib_fake_platform.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>

static void reply_json(fake_reply_t *reply, json_t *json)
{
	char *text = json_dumps(json, JSON_COMPACT);

	fake_reply_json(reply, 200, text);
	free(text);
	json_decref(json);
}

static void append_record(fake_platform_t *p, const fake_request_t *request,
			  fake_reply_t *reply, bool is_appended)
{
	GPtrArray *log =
		strstr(request->path, "/accounts/") ? p->accounts : p->config;

	if (p->concurrent_record)
		g_ptr_array_add(log, g_steal_pointer(&p->concurrent_record));
	if (is_appended)
		g_ptr_array_add(
			log, g_strndup(request->body.ptr, request->body.len));
	reply_json(reply, json_pack("{s:i}", "offset", (int)log->len - 1));
}

static void append(fake_platform_t *p, const fake_request_t *request,
		   fake_reply_t *reply)
{
	size_t i = (size_t)p->appends++;
	fake_append_t fault =
		i < G_N_ELEMENTS(p->append) ? p->append[i] : FAKE_APPEND_OK;

	if (fault == FAKE_APPEND_RATE)
		fake_reply_json(reply, 429, "{}");
	else if (fault == FAKE_APPEND_OUTAGE)
		fake_reply_json(reply, 503, "{}");
	else
		append_record(p, request, reply, fault != FAKE_APPEND_DROPPED);
	if (fault == FAKE_APPEND_LOST || fault == FAKE_APPEND_DROPPED)
		g_string_truncate(reply->bytes, 0);
}

static void read_log(fake_platform_t *p, const fake_request_t *request,
		     fake_reply_t *reply)
{
	bool is_accounts = strstr(request->path, "/accounts/") != NULL;
	GPtrArray *log = is_accounts ? p->accounts : p->config;
	uint64_t oldest = is_accounts ? p->accounts_oldest : p->oldest;
	uint64_t from = strtoull(strstr(request->path, "from=") + 5, NULL, 10);
	uint64_t limit =
		strtoull(strstr(request->path, "limit=") + 6, NULL, 10);
	json_t *list = json_array();

	for (uint64_t i = MAX(from, oldest);
	     i < log->len && json_array_size(list) < limit; i++)
		json_array_append_new(list, json_pack("{s:I, s:I, s:s}",
						      "offset", (json_int_t)i,
						      "time_ms", (json_int_t)1,
						      "data", log->pdata[i]));
	reply_json(reply,
		   json_pack("{s:I, s:I, s:o}", "oldest", (json_int_t)oldest,
			     "next", (json_int_t)log->len, "records", list));
}

static void list_vms(fake_platform_t *p, fake_reply_t *reply)
{
	json_t *list = json_array();

	if (p->fails_vm_list) {
		json_decref(list);
		fake_reply_json(reply, 503, "{}");
		return;
	}
	for (size_t i = 0; i < p->n_vms; i++) {
		const fake_vm_t *vm = &p->vms[i];

		json_array_append_new(
			list,
			json_pack("{s:s, s:s, s:s, s:s, s:s, s:s, s:s}", "name",
				  vm->name, "kind", "entry", "zone", vm->zone,
				  "state", vm->is_leaving ? "leaving" : "live",
				  "address", "127.0.0.1:1", "peer_address",
				  "127.0.0.1:1", "admin_address",
				  vm->http.address));
	}
	reply_json(reply, json_pack("{s:i, s:o}", "as_of_ms", 1, "vms", list));
}

static void handle(void *ctx, const fake_request_t *request,
		   fake_reply_t *reply)
{
	fake_platform_t *p = ctx;

	if (!strcmp(request->method, "POST"))
		append(p, request, reply);
	else if (!strcmp(request->path, "/v1/vms"))
		list_vms(p, reply);
	else
		read_log(p, request, reply);
}

static void handle_admin(void *ctx, const fake_request_t *request,
			 fake_reply_t *reply)
{
	fake_vm_t *vm = ctx;
	g_autofree char *bearer =
		g_strdup_printf("Authorization: Bearer %s", vm->token);

	snprintf(vm->last, sizeof(vm->last), "%s %s", request->method,
		 request->path);
	if (vm->is_silent) {
		reply->end = FAKE_HOLD;
		return;
	}
	if (vm->token && !strstr(request->head, bearer)) {
		fake_reply_json(reply, 401, "{}");
		return;
	}
	reply_json(reply,
		   json_pack("{s:s, s:s, s:[{s:s, s:I}]}", "zone", vm->zone,
			     "state", "live", "documents", "doc", "profile/p",
			     "version", (json_int_t)vm->version));
}

void fake_platform_init(fake_platform_t *p, struct event_base *base)
{
	memset(p, 0, sizeof(*p));
	fake_http_init(&p->http, base, handle, p);
	p->config = g_ptr_array_new_with_free_func(g_free);
	p->accounts = g_ptr_array_new_with_free_func(g_free);
}

void fake_platform_finish(fake_platform_t *p)
{
	for (size_t i = 0; i < p->n_vms; i++)
		fake_http_finish(&p->vms[i].http);
	fake_http_finish(&p->http);
	g_ptr_array_unref(p->config);
	g_ptr_array_unref(p->accounts);
	g_free(p->concurrent_record);
}

fake_vm_t *fake_platform_add(fake_platform_t *p, const char *zone,
			     const char *name, uint64_t version)
{
	fake_vm_t *vm = &p->vms[p->n_vms++];

	g_assert(p->n_vms <= FAKE_MAX_VMS);
	vm->zone = zone;
	vm->name = name;
	vm->version = version;
	fake_http_init(&vm->http, p->http.base, handle_admin, vm);
	return vm;
}
