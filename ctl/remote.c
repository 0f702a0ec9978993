#include "ctl/remote.h"

#include <event2/buffer.h>
#include <string.h>

#include "net/http.h"

enum {
	MAX_PAGE_RECORDS = 200,
	MAX_EXCHANGES = 4,
	MAX_ANSWER_BYTES = 4 << 20,
};

/* State of one call of the platform client that waits for its answer. */
typedef struct waiter {
	bool is_done;
	err_t err;
	uint64_t offset; /* append */
	uint64_t *next; /* read: offset after the records read so far */
	uint64_t log_end; /* read: end of the log; *next if none was read */
	remote_page_fn fn; /* read */
	void *ctx; /* read */
	GArray *vms; /* list */
} waiter_t;

void remote_init(remote_t *r, ctl_t *ctl, const char *platform,
		 int64_t timeout_ms)
{
	platform_client_config_t config = { platform, timeout_ms,
					    MAX_EXCHANGES };

	r->ctl = ctl;
	r->timeout_ms = timeout_ms;
	platform_client_init(&r->platform, ctl->base, &config);
}

void remote_finish(remote_t *r)
{
	platform_client_finish(&r->platform);
}

static void run_until(remote_t *r, const bool *is_done)
{
	while (!*is_done)
		event_base_loop(r->ctl->base, EVLOOP_ONCE);
}

static bool finish_wait(remote_t *r, waiter_t *w, err_t *err)
{
	run_until(r, &w->is_done);
	if (w->err.code == ERR_NONE)
		return true;
	if (err)
		*err = w->err;
	return false;
}

static void set_result(waiter_t *w, const err_t *err)
{
	if (err)
		w->err = *err;
	w->is_done = true;
}

static void on_append(void *ctx, uint64_t offset, const err_t *err)
{
	waiter_t *w = ctx;

	w->offset = offset;
	set_result(w, err);
}

bool remote_append_log(remote_t *r, const char *log, str_t data,
		       uint64_t *offset, err_t *err)
{
	waiter_t w = { 0 };

	if (!platform_client_append(&r->platform, log, data, on_append, &w,
				    err) ||
	    !finish_wait(r, &w, err))
		return false;
	*offset = w.offset;
	return true;
}

static void on_page(void *ctx, const platform_record_t *records, size_t n,
		    uint64_t oldest, uint64_t next, const err_t *err)
{
	waiter_t *w = ctx;

	if (!err) {
		w->fn(w->ctx, records, n, oldest);
		*w->next = MAX(*w->next, oldest);
		if (n)
			*w->next = records[n - 1].offset + 1;
		w->log_end = n ? next : *w->next;
	}
	set_result(w, err);
}

bool remote_read_log(remote_t *r, const char *log, uint64_t *next,
		     remote_page_fn fn, void *ctx, err_t *err)
{
	waiter_t w;

	do {
		w = (waiter_t){ .next = next, .fn = fn, .ctx = ctx };
		if (!platform_client_read(&r->platform, log, *next,
					  MAX_PAGE_RECORDS, on_page, &w, err) ||
		    !finish_wait(r, &w, err))
			return false;
	} while (*next < w.log_end);
	return true;
}

static int compare_vms(const void *a, const void *b)
{
	const member_vm_t *x = a;
	const member_vm_t *y = b;
	int order = strcmp(x->zone, y->zone);

	return order ? order : strcmp(x->name, y->name);
}

static void on_vms(void *ctx, const member_vm_t *entries, size_t n,
		   const vm_list_runner_t *runners, size_t n_runners,
		   const err_t *err)
{
	waiter_t *w = ctx;

	if (n)
		g_array_append_vals(w->vms, entries, n);
	g_array_sort(w->vms, compare_vms);
	set_result(w, err);
}

GArray *remote_list_vms(remote_t *r, err_t *err)
{
	waiter_t w = { .vms = g_array_new(FALSE, FALSE, sizeof(member_vm_t)) };

	if (platform_client_list_vms(&r->platform, on_vms, &w, err) &&
	    finish_wait(r, &w, err))
		return w.vms;
	g_array_unref(w.vms);
	return NULL;
}

static void on_sleep_end(evutil_socket_t fd, short what, void *ctx)
{
	bool *is_done = ctx;

	*is_done = true;
}

void remote_sleep(remote_t *r, int64_t ms)
{
	struct timeval tv = { ms / 1000, (ms % 1000) * 1000 };
	bool is_done = false;

	event_base_once(r->ctl->base, -1, EV_TIMEOUT, on_sleep_end, &is_done,
			&tv);
	run_until(r, &is_done);
}

/* One HTTP exchange of remote_request_all. */
typedef struct vm_request {
	http_call_t call;
	remote_answer_t *answer;
	uint32_t *n_open;
} vm_request_t;

static void on_data(void *ctx, struct evbuffer *body)
{
	vm_request_t *a = ctx;
	size_t n = evbuffer_get_length(body);

	g_string_append_len(a->answer->body,
			    (const char *)evbuffer_pullup(body, -1), (gssize)n);
	evbuffer_drain(body, n);
}

static void on_end(void *ctx, int status, const err_t *err)
{
	vm_request_t *a = ctx;

	a->answer->status = err ? 0 : status;
	if (err)
		a->answer->err = *err;
	http_call_finish(&a->call);
	--*a->n_open;
}

static void clear_answer(void *p)
{
	remote_answer_t *answer = p;

	g_string_free(answer->body, TRUE);
}

static void start_request(remote_t *r, vm_request_t *a, const member_vm_t *vm,
			  http_request_t *request)
{
	static const http_call_ops_t ops = { .data = on_data, .end = on_end };

	request->address = vm->admin_address;
	++*a->n_open;
	if (!http_call_start(&a->call, r->ctl->base, request, &ops, a,
			     &a->answer->err))
		--*a->n_open;
}

static void on_time_limit(evutil_socket_t fd, short what, void *ctx)
{
	event_base_loopbreak(ctx);
}

/*
 * Limits the total time: a daemon that sends its answer in small pieces would
 * never reach the idle timeout.
 */
static void run_requests(remote_t *r, const uint32_t *n_open)
{
	struct timeval tv = { r->timeout_ms / 1000,
			      (r->timeout_ms % 1000) * 1000 };
	struct event *limit =
		evtimer_new(r->ctl->base, on_time_limit, r->ctl->base);

	evtimer_add(limit, &tv);
	while (*n_open && evtimer_pending(limit, NULL))
		event_base_loop(r->ctl->base, EVLOOP_ONCE);
	event_free(limit);
}

static void abort_request(vm_request_t *a, const member_vm_t *vm)
{
	if (a->call.exchange)
		err_set(&a->answer->err, ERR_TIMEOUT, "ask daemon",
			vm->admin_address,
			"no complete answer within the time limit");
	http_call_finish(&a->call);
}

static GArray *request_all(remote_t *r, const GArray *vms,
			   enum evhttp_cmd_type method, const char *path,
			   str_t body, const char *token)
{
	g_autofree char *bearer = g_strconcat("Bearer ", token, NULL);
	http_header_t header = { "Authorization", bearer };
	http_request_t request = {
		.method = method,
		.path = path,
		.headers = &header,
		.n_headers = token[0] ? 1 : 0,
		.body = body,
		.connect_timeout_ms = r->timeout_ms,
		.idle_timeout_ms = r->timeout_ms,
		.max_body = MAX_ANSWER_BYTES,
	};
	vm_request_t *requests = g_new0(vm_request_t, vms->len + 1);
	GArray *answers = g_array_sized_new(FALSE, TRUE,
					    sizeof(remote_answer_t), vms->len);
	uint32_t n_open = 0;

	g_array_set_clear_func(answers, clear_answer);
	g_array_set_size(answers, vms->len);
	for (guint i = 0; i < vms->len; i++) {
		requests[i].answer =
			&g_array_index(answers, remote_answer_t, i);
		requests[i].answer->body = g_string_new("");
		requests[i].n_open = &n_open;
		start_request(r, &requests[i],
			      &g_array_index(vms, member_vm_t, i), &request);
	}
	run_requests(r, &n_open);
	for (guint i = 0; i < vms->len; i++)
		abort_request(&requests[i],
			      &g_array_index(vms, member_vm_t, i));
	g_free(requests);
	return answers;
}

GArray *remote_request_all(remote_t *r, const GArray *vms,
			   enum evhttp_cmd_type method, const char *path,
			   const char *token)
{
	return request_all(r, vms, method, path, STR_LIT(""), token);
}

void remote_post(remote_t *r, const char *address, const char *path, str_t body,
		 const char *token, remote_answer_t *answer)
{
	g_autoptr(GArray) vms = g_array_new(FALSE, TRUE, sizeof(member_vm_t));
	GArray *answers;

	g_array_set_size(vms, 1);
	g_strlcpy(g_array_index(vms, member_vm_t, 0).admin_address, address,
		  MEMBER_NAME_SIZE);
	answers = request_all(r, vms, EVHTTP_REQ_POST, path, body, token);
	*answer = g_array_index(answers, remote_answer_t, 0);
	/* The answer's body is the caller's now. */
	g_array_set_clear_func(answers, NULL);
	g_array_unref(answers);
}
