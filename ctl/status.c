#include "ctl/args.h"
#include "ctl/ctl.h"

#include <glib.h>
#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "ctl/remote.h"

enum {
	MAX_TIMEOUT_MS = 600000,
	STATUS_OK = 200,
};

/* Prints the scalar members of an object as " key=value". */
static void print_members(FILE *out, json_t *object)
{
	const char *key;
	json_t *value;

	json_object_foreach (object, key, value) {
		char *text;

		/* Already printed as columns of the VM list. */
		if (!strcmp(key, "name") || !strcmp(key, "zone") ||
		    json_is_object(value) || json_is_array(value))
			continue;
		if (json_is_string(value)) {
			fprintf(out, " %s=%s", key, json_string_value(value));
			continue;
		}
		text = json_dumps(value, JSON_ENCODE_ANY);
		fprintf(out, " %s=%s", key, text);
		free(text);
	}
}

/* Returns whether the daemon answered. */
static bool print_vm(ctl_t *ctl, const member_vm_t *vm,
		     const remote_answer_t *answer)
{
	json_t *root =
		json_loadb(answer->body->str, answer->body->len, 0, NULL);
	bool ok = answer->status == STATUS_OK && json_is_object(root);

	fprintf(ctl->out, "%-20s %-20s %-8s", vm->zone, vm->name,
		vm->is_leaving ? "leaving" : "live");
	if (ok)
		print_members(ctl->out, root);
	else if (answer->status)
		fprintf(ctl->out, " status %d", answer->status);
	else
		fprintf(ctl->out, " no answer: %s", answer->err.detail);
	fputc('\n', ctl->out);
	json_decref(root);
	return ok;
}

static int status(ctl_t *ctl, const char *platform, int timeout_ms,
		  const char *token)
{
	g_autoptr(GArray) vms = NULL;
	g_autoptr(GArray) answers = NULL;
	int code = CTL_OK;
	remote_t remote;
	err_t err;

	remote_init(&remote, ctl, platform, timeout_ms);
	vms = remote_list_vms(&remote, &err);
	if (!vms) {
		code = ctl_fail(ctl, &err);
		goto out;
	}
	answers = remote_request_all(&remote, vms, EVHTTP_REQ_GET,
				     "/admin/status", token);
	fprintf(ctl->out, "%-20s %-20s %-8s %s\n", "ZONE", "VM", "LIST",
		"DAEMON");
	for (guint i = 0; i < vms->len; i++)
		if (!print_vm(ctl, &g_array_index(vms, member_vm_t, i),
			      &g_array_index(answers, remote_answer_t, i)))
			code = CTL_ERROR;
out:
	remote_finish(&remote);
	return code;
}

int ctl_status(ctl_t *ctl, int argc, char **argv)
{
	struct arg_lit *help = arg_lit0("h", "help", "print this help");
	struct arg_str *platform = args_platform_option();
	struct arg_str *token = args_token_option();
	struct arg_int *timeout = args_timeout_option();
	struct arg_end *end = arg_end(ARGS_MAX_ERRORS);
	void *table[] = { help, platform, token, timeout, end };
	int code;

	if (args_parse(ctl, table, G_N_ELEMENTS(table),
		       "Asks every daemon of the VM list how it is. Exits "
		       "with 1 when one does not answer.",
		       argc, argv, &code))
		code = status(
			ctl, platform->sval[0],
			args_int(timeout, ARGS_TIMEOUT_MS, 1, MAX_TIMEOUT_MS),
			args_token(token));
	arg_freetable(table, G_N_ELEMENTS(table));
	return code;
}
