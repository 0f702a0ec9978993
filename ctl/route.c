#include "ctl/args.h"
#include "ctl/ctl.h"

#include <jansson.h>
#include <string.h>

#include "ctl/remote.h"

enum {
	MAX_TIMEOUT_MS = 600000,
	MAX_HEADERS = 32,
	STATUS_OK = 200,
};

/* The request in question, as the command line describes it. */
typedef struct question {
	const char *method;
	const char *path;
	const struct arg_str *headers; /* "Name: value" */
	char *body; /* NULL: none */
	size_t body_len;
} question_t;

/* The request as a caller would send it. */
static GString *question_text(const question_t *q)
{
	GString *text = g_string_new(NULL);

	g_string_printf(text, "%s %s HTTP/1.1\r\n", q->method, q->path);
	for (int i = 0; i < q->headers->count; i++)
		g_string_append_printf(text, "%s\r\n", q->headers->sval[i]);
	g_string_append_printf(text, "Content-Length: %zu\r\n\r\n",
			       q->body_len);
	if (q->body)
		g_string_append_len(text, q->body, (gssize)q->body_len);
	return text;
}

static const char *text_of(json_t *object, const char *key)
{
	const char *text = json_string_value(json_object_get(object, key));

	return text && text[0] ? text : "-";
}

static long long number_of(json_t *object, const char *key)
{
	return (long long)json_number_value(json_object_get(object, key));
}

static double real_of(json_t *object, const char *key)
{
	return json_number_value(json_object_get(object, key));
}

static void print_route(FILE *out, json_t *root)
{
	fprintf(out, "route %s, configuration %lld, team %s, rank %s\n",
		text_of(root, "route"), number_of(root, "config"),
		text_of(root, "team"), text_of(root, "rank"));
	if (number_of(root, "services") > 1)
		fprintf(out,
			"the route is split among %lld services; which one "
			"follows from the attempt's id\n",
			number_of(root, "services"));
	if (json_is_true(json_object_get(root, "rollout")))
		fputs("the service has a roll-out: requests may go to its "
		      "target instead, which papayactl rollouts shows\n",
		      out);
	if (real_of(root, "limit") > 0)
		fprintf(out,
			"limit of the team: %g units a second; this costs "
			"%lld, %g of it is kept for more urgent routes\n",
			real_of(root, "limit"), number_of(root, "cost"),
			real_of(root, "reserved"));
	if (json_object_get(root, "status")) {
		fprintf(out, "answered with %lld: %s\n",
			number_of(root, "status"), text_of(root, "why"));
		return;
	}
	fprintf(out, "dispatcher %s of zone %s on %s (%s)\n",
		text_of(root, "dispatcher"), text_of(root, "zone"),
		text_of(root, "on"), text_of(root, "admin_address"));
	fprintf(out,
		"%lld prompt tokens, about %lld to make, %lld ms to the "
		"deadline\n",
		number_of(root, "prompt_tokens"),
		number_of(root, "output_tokens"),
		number_of(root, "deadline_ms"));
}

static void print_runner(FILE *out, json_t *r)
{
	fprintf(out,
		"  %-20s %-28s %8lld %8lld %7lld %9lld/%-9g %8g %8lld %5lld "
		"%7lld %8lld %6g\n",
		text_of(r, "name"), text_of(r, "verdict"),
		number_of(r, "start_ms"), number_of(r, "end_ms"),
		number_of(r, "running"), number_of(r, "in_flight"),
		real_of(r, "window"), real_of(r, "reported"),
		number_of(r, "report_age_ms"), number_of(r, "pace"),
		number_of(r, "cached_tokens"), number_of(r, "cached_age_ms"),
		real_of(r, "rate"));
}

static void print_explanation(FILE *out, json_t *e)
{
	json_t *runners = json_object_get(e, "runners");
	json_t *runner;
	size_t i;

	fprintf(out, "%s", text_of(e, "outcome"));
	if (json_object_get(e, "reason"))
		fprintf(out, " with 503: %s, come back in about %lld ms",
			text_of(e, "reason"), number_of(e, "wait_ms"));
	fprintf(out,
		"; %lld wait there, %lld run, predicted wait %lld ms\n"
		"%lld runners known, %zu shown\n",
		number_of(e, "queued"), number_of(e, "running"),
		number_of(e, "wait_ms"), number_of(e, "runners_known"),
		json_array_size(runners));
	fprintf(out,
		"  %-20s %-28s %8s %8s %7s %9s/%-9s %8s %8s %5s %7s %8s %6s\n",
		"RUNNER", "VERDICT", "START_MS", "END_MS", "RUNNING",
		"IN_FLIGHT", "WINDOW", "REPORTED", "AGE_MS", "PACE", "CACHED",
		"SINCE_MS", "RATE");
	json_array_foreach (runners, i, runner)
		print_runner(out, runner);
}

/* Asks one daemon; NULL with ERR set if it doesn't answer with JSON. */
static json_t *ask(remote_t *remote, const char *address, const char *path,
		   str_t question, const char *token, err_t *err)
{
	remote_answer_t answer;
	json_t *root = NULL;

	remote_post(remote, address, path, question, token, &answer);
	if (answer.status == STATUS_OK)
		root = json_loadb(answer.body->str, answer.body->len, 0, NULL);
	if (!root && answer.status)
		err_set(err, ERR_REFUSED, "ask daemon", address,
			"it answered with status %d", answer.status);
	else if (!root)
		*err = answer.err;
	g_string_free(answer.body, TRUE);
	return root;
}

/* Asks the dispatcher's daemon, if that is another one. */
static int follow(ctl_t *ctl, remote_t *remote, json_t *root, str_t question,
		  const char *token)
{
	g_autofree char *group = NULL;
	g_autofree char *path = NULL;
	const char *address = text_of(root, "admin_address");
	json_t *found;
	int code = CTL_OK;
	err_t err = { 0 };

	group = g_uri_escape_string(text_of(root, "dispatcher"), NULL, FALSE);
	path = g_strdup_printf("/admin/route?group=%s", group);
	found = ask(remote, address, path, question, token, &err);
	if (!found)
		return ctl_fail(ctl, &err);
	if (json_object_get(found, "explanation"))
		print_explanation(ctl->out,
				  json_object_get(found, "explanation"));
	else
		fputs("it runs no such dispatcher yet; the first request "
		      "starts it\n",
		      ctl->out);
	json_decref(found);
	return code;
}

static int route(ctl_t *ctl, const char *admin, int timeout_ms,
		 const char *token, const question_t *q)
{
	GString *text = question_text(q);
	str_t question = { text->str, text->len };
	remote_t remote;
	json_t *root;
	int code = CTL_OK;
	err_t err = { 0 };

	remote_init(&remote, ctl, admin, timeout_ms);
	root = ask(&remote, admin, "/admin/route", question, token, &err);
	if (!root) {
		code = ctl_fail(ctl, &err);
		goto out;
	}
	print_route(ctl->out, root);
	if (json_object_get(root, "explanation"))
		print_explanation(ctl->out,
				  json_object_get(root, "explanation"));
	else if (!json_object_get(root, "status"))
		code = follow(ctl, &remote, root, question, token);
	json_decref(root);
out:
	remote_finish(&remote);
	g_string_free(text, TRUE);
	return code;
}

static int read_and_route(ctl_t *ctl, const char *admin, int timeout_ms,
			  const char *token, question_t *q,
			  const struct arg_file *body)
{
	err_t err = { 0 };
	int code;

	if (body->count) {
		q->body = args_read_file(body->filename[0], &q->body_len, &err);
		if (!q->body)
			return ctl_fail(ctl, &err);
	}
	code = route(ctl, admin, timeout_ms, token, q);
	g_free(q->body);
	return code;
}

int ctl_route(ctl_t *ctl, int argc, char **argv)
{
	struct arg_lit *help = arg_lit0("h", "help", "print this help");
	struct arg_str *admin =
		arg_str1(NULL, "admin", "IP:PORT", "admin address of a daemon");
	struct arg_str *token = args_token_option();
	struct arg_int *timeout = args_timeout_option();
	struct arg_str *method =
		arg_str0("X", "method", "METHOD", "method (default: POST)");
	struct arg_str *headers =
		arg_strn("H", "header", "NAME: VALUE", 0, MAX_HEADERS,
			 "a header of the request");
	struct arg_file *body =
		arg_file0(NULL, "body", "FILE", "the body (default: none)");
	struct arg_str *path =
		arg_str1(NULL, NULL, "PATH", "path and query of the request");
	struct arg_end *end = arg_end(ARGS_MAX_ERRORS);
	void *table[] = { help,	   admin, token, timeout, method,
			  headers, body,  path,	 end };
	int code;

	if (args_parse(ctl, table, G_N_ELEMENTS(table),
		       "Asks a daemon where a request would go now, and why. "
		       "Sends nothing to a runner,\nand changes nothing.",
		       argc, argv, &code)) {
		question_t q = { .method = args_str(method, "POST"),
				 .path = path->sval[0],
				 .headers = headers };

		code = read_and_route(
			ctl, admin->sval[0],
			args_int(timeout, ARGS_TIMEOUT_MS, 1, MAX_TIMEOUT_MS),
			args_token(token), &q, body);
	}
	arg_freetable(table, G_N_ELEMENTS(table));
	return code;
}
