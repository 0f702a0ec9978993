#include "ctl/args.h"
#include "ctl/ctl.h"

#include <glib.h>
#include <string.h>

#include "ctl/remote.h"

enum {
	MAX_TIMEOUT_MS = 600000,
	STATUS_OK = 200,
	STATUS_ACCEPTED = 202,
};

/* Removes all VMs but the one named NAME from the list. */
static bool pick_vm(GArray *vms, const char *name, err_t *err)
{
	for (guint i = 0; i < vms->len; i++) {
		member_vm_t vm = g_array_index(vms, member_vm_t, i);

		if (strcmp(vm.name, name))
			continue;
		g_array_set_size(vms, 0);
		g_array_append_val(vms, vm);
		return true;
	}
	return err_set(err, ERR_INVALID, "drain", "",
		       "the VM list has no entry VM %s", name);
}

static int drain(ctl_t *ctl, const char *platform, int timeout_ms,
		 const char *token, const char *name)
{
	g_autoptr(GArray) vms = NULL;
	g_autoptr(GArray) answers = NULL;
	const remote_answer_t *answer;
	int code = CTL_OK;
	remote_t remote;
	err_t err;

	remote_init(&remote, ctl, platform, timeout_ms);
	vms = remote_list_vms(&remote, &err);
	if (!vms || !pick_vm(vms, name, &err)) {
		code = ctl_fail(ctl, &err);
		goto out;
	}
	answers = remote_request_all(&remote, vms, EVHTTP_REQ_POST,
				     "/admin/drain", token);
	answer = &g_array_index(answers, remote_answer_t, 0);
	if (answer->status == STATUS_OK || answer->status == STATUS_ACCEPTED) {
		fprintf(ctl->out, "%s is draining\n", name);
		goto out;
	}
	err = answer->err;
	if (answer->status)
		err_set(&err, ERR_REFUSED, "drain", name,
			"the daemon answered with status %d", answer->status);
	code = ctl_fail(ctl, &err);
out:
	remote_finish(&remote);
	return code;
}

int ctl_drain(ctl_t *ctl, int argc, char **argv)
{
	struct arg_lit *help = arg_lit0("h", "help", "print this help");
	struct arg_str *platform = args_platform_option();
	struct arg_str *token = args_token_option();
	struct arg_int *timeout = args_timeout_option();
	struct arg_str *vm =
		arg_str1(NULL, NULL, "VM",
			 "the daemon's VM, by its name in the VM list");
	struct arg_end *end = arg_end(ARGS_MAX_ERRORS);
	void *table[] = { help, platform, token, timeout, vm, end };
	int code;

	if (args_parse(ctl, table, G_N_ELEMENTS(table),
		       "Tells a daemon to finish what it has and exit.", argc,
		       argv, &code))
		code = drain(
			ctl, platform->sval[0],
			args_int(timeout, ARGS_TIMEOUT_MS, 1, MAX_TIMEOUT_MS),
			args_token(token), vm->sval[0]);
	arg_freetable(table, G_N_ELEMENTS(table));
	return code;
}
