#include "ctl/args.h"
#include "ctl/ctl.h"

#include <glib.h>
#include <jansson.h>
#include <string.h>

#include "ctl/remote.h"

enum {
	MAX_TIMEOUT_MS = 600000,
	STATUS_OK = 200,
};

static const char *text(const json_t *object, const char *key)
{
	const char *value = json_string_value(json_object_get(object, key));

	return value && value[0] ? value : "-";
}

static int64_t number(const json_t *object, const char *key)
{
	return json_integer_value(json_object_get(object, key));
}

static double real(const json_t *object, const char *key)
{
	return json_number_value(json_object_get(object, key));
}

/* What only the conductor knows. */
static void print_conducted(FILE *out, const json_t *r)
{
	fprintf(out,
		"  stage %s (%s), %" G_GINT64_FORMAT
		" ms left, term %" G_GINT64_FORMAT
		", waits for %" G_GINT64_FORMAT " daemons\n",
		text(r, "stage"),
		json_is_true(json_object_get(r, "settled")) ? "decided" :
							      "in progress",
		MAX(number(r, "left_ms"), 0), number(r, "term"),
		number(r, "waiting_for"));
	fprintf(out,
		"  requests %" G_GINT64_FORMAT ", budget %" G_GINT64_FORMAT
		", leased %" G_GINT64_FORMAT "; answers %" G_GINT64_FORMAT
		", bad %" G_GINT64_FORMAT ", excess %.3f, score %.1f\n",
		number(r, "requests"), number(r, "budget"), number(r, "leased"),
		number(r, "answers"), number(r, "bad"), real(r, "excess"),
		real(r, "score"));
	fprintf(out, "  why: %s\n", text(r, "why"));
}

static void print_rollout(FILE *out, const json_t *r)
{
	fprintf(out,
		"%s to %s: this daemon acts on \"%s\"; runners %" G_GINT64_FORMAT
		" of the target, %" G_GINT64_FORMAT " others\n",
		text(r, "service"), text(r, "target"), text(r, "applied"),
		number(r, "target_runners"), number(r, "other_runners"));
	if (json_is_true(json_object_get(r, "conducts")))
		print_conducted(out, r);
}

static int print_answer(ctl_t *ctl, const remote_answer_t *answer)
{
	json_t *root =
		json_loadb(answer->body->str, answer->body->len, 0, NULL);
	const json_t *list = json_object_get(root, "rollouts");
	const json_t *one;
	err_t err = answer->err;
	size_t i;
	int code = CTL_OK;

	if (answer->status != STATUS_OK || !json_is_array(list)) {
		if (answer->status)
			err_set(&err, ERR_REFUSED, "rollouts", "",
				"the daemon answered with status %d",
				answer->status);
		code = ctl_fail(ctl, &err);
	} else if (!json_array_size(list)) {
		fputs("no roll-out was ordered\n", ctl->out);
	}
	json_array_foreach ((json_t *)list, i, one)
		print_rollout(ctl->out, one);
	json_decref(root);
	return code;
}

static int rollouts(ctl_t *ctl, const char *address, int timeout_ms,
		    const char *token)
{
	g_autoptr(GArray) vms = g_array_new(FALSE, TRUE, sizeof(member_vm_t));
	g_autoptr(GArray) answers = NULL;
	member_vm_t vm = { .is_leaving = false };
	remote_t remote;
	int code;

	g_strlcpy(vm.admin_address, address, sizeof(vm.admin_address));
	g_array_append_val(vms, vm);
	remote_init(&remote, ctl, address, timeout_ms);
	answers = remote_request_all(&remote, vms, EVHTTP_REQ_GET,
				     "/admin/rollouts", token);
	code = print_answer(ctl, &g_array_index(answers, remote_answer_t, 0));
	remote_finish(&remote);
	return code;
}

int ctl_rollouts(ctl_t *ctl, int argc, char **argv)
{
	struct arg_lit *help = arg_lit0("h", "help", "print this help");
	struct arg_str *admin =
		arg_str1(NULL, "admin", "IP:PORT", "admin address of a daemon");
	struct arg_str *token = args_token_option();
	struct arg_int *timeout = args_timeout_option();
	struct arg_end *end = arg_end(ARGS_MAX_ERRORS);
	void *table[] = { help, admin, token, timeout, end };
	int code;

	if (args_parse(
		    ctl, table, G_N_ELEMENTS(table),
		    "Shows the roll-outs that a daemon follows. The one that "
		    "conducts them also tells how they stand, and why.",
		    argc, argv, &code))
		code = rollouts(
			ctl, admin->sval[0],
			args_int(timeout, ARGS_TIMEOUT_MS, 1, MAX_TIMEOUT_MS),
			args_token(token));
	arg_freetable(table, G_N_ELEMENTS(table));
	return code;
}
