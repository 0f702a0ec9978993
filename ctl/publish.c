#include "ctl/args.h"
#include "ctl/ctl.h"

#include <event2/util.h>
#include <glib.h>
#include <jansson.h>

#include "core/profile.h"
#include "ctl/config_log.h"
#include "ctl/remote.h"

enum {
	NONCE_BYTES = 16,
	DEFAULT_WAIT_MS = 10000,
	MAX_WAIT_MS = 10 * 60 * 1000,
	RETRY_MS = 250, /* between two appends, or two polls of the daemons */
	STATUS_OK = 200,
};

/* A publication in progress. */
typedef struct publication {
	ctl_t *ctl;
	remote_t remote;
	config_log_t log;
	const char *doc;
	const char *by;
	const char *token;
	str_t body;
	uint64_t base; /* version that the publication replaces; 0: none */
	int64_t deadline_ms; /* wall clock: when the command stops waiting */
} publication_t;

static void make_nonce(char *out)
{
	unsigned char bytes[NONCE_BYTES];

	evutil_secure_rng_get_bytes(bytes, sizeof(bytes));
	for (size_t i = 0; i < sizeof(bytes); i++)
		g_snprintf(out + 2 * i, 3, "%02x", bytes[i]);
}

static bool has_time(const publication_t *p)
{
	return p->ctl->now_ms() < p->deadline_ms;
}

/*
 * Reads the log and sets the base version: --base, or the document's newest
 * version.
 */
static bool choose_base(publication_t *p, const struct arg_int *base,
			err_t *err)
{
	const config_doc_t *doc;

	if (!config_log_read(&p->log, err))
		return false;
	if (!config_docs_is_complete(&p->log.docs))
		return err_set(err, ERR_UNAVAILABLE, "read config log", "",
			       "older records expired and no snapshot covers "
			       "them yet; try again later");
	doc = config_docs_find(&p->log.docs, str_from(p->doc));
	p->base = doc ? doc->version : 0;
	if (base->count)
		p->base = (uint64_t)MAX(base->ival[0], 0);
	return true;
}

/*
 * Appends the publication and reads the log until it has a verdict. An append
 * whose answer was lost is repeated if the log does not show its record. This
 * is safe: both records have the same base, so at most one is accepted.
 */
static bool append_until_verdict(publication_t *p, err_t *err)
{
	g_autofree char *text = config_docs_write_publication(
		p->doc, p->base, p->log.nonce, p->by, p->body);
	uint64_t offset;
	bool is_appended = false;

	if (!text)
		return err_set(err, ERR_INVALID, "publish", "",
			       "--by is not UTF-8 text");
	while (!p->log.has_verdict) {
		if (!is_appended)
			is_appended =
				remote_append_log(&p->remote, CONFIG_LOG,
						  str_from(text), &offset, err);
		if (config_log_read(&p->log, is_appended ? err : NULL) &&
		    p->log.has_verdict)
			break;
		if (!has_time(p))
			return is_appended ?
				       err_set(err, ERR_TIMEOUT, "publish", "",
					       "appended, but the log could "
					       "not be read back in time") :
				       false;
		remote_sleep(&p->remote, RETRY_MS);
	}
	return true;
}

/* Returns a document's version in a daemon's answer, or 0 if absent. */
static uint64_t version_of(const char *body, size_t len, const char *name)
{
	json_t *root = json_loadb(body, len, JSON_REJECT_DUPLICATES, NULL);
	json_t *list = json_object_get(root, "documents");
	uint64_t version = 0;
	size_t i;
	json_t *entry;

	json_array_foreach (list, i, entry) {
		const char *doc =
			json_string_value(json_object_get(entry, "doc"));

		if (!g_strcmp0(doc, name))
			version = (uint64_t)json_integer_value(
				json_object_get(entry, "version"));
	}
	json_decref(root);
	return version;
}

typedef enum vm_status {
	VM_IN_FORCE,
	VM_DOWN, /* refuses connections: no daemon runs */
	VM_PENDING,
} vm_status_t;

static vm_status_t classify_vm(const publication_t *p,
			       const remote_answer_t *answer)
{
	if (answer->err.code == ERR_REFUSED)
		return VM_DOWN;
	if (answer->status == STATUS_OK &&
	    version_of(answer->body->str, answer->body->len, p->doc) >=
		    p->log.version)
		return VM_IN_FORCE;
	return VM_PENDING;
}

static void add_pending_zone(GString *pending, const char *zone, bool is_done)
{
	if (!is_done)
		g_string_append_printf(pending, "%s%s",
				       pending->len ? ", " : "", zone);
}

/* Relies on VMS being sorted by zone. */
static bool is_last_of_zone(const GArray *vms, guint i)
{
	const member_vm_t *list = &g_array_index(vms, member_vm_t, 0);

	return i + 1 >= vms->len || strcmp(list[i].zone, list[i + 1].zone);
}

/*
 * A zone is done if at least one of its daemons reports the version, and no
 * daemon that may be running lacks it. A VM that refuses connections runs no
 * daemon, and a VM that is leaving is not waited for.
 */
static void list_pending_zones(const publication_t *p, const GArray *vms,
			       const GArray *answers, GString *pending)
{
	bool has_in_force = false;
	bool has_pending = false;

	for (guint i = 0; i < vms->len; i++) {
		const member_vm_t *vm = &g_array_index(vms, member_vm_t, i);
		vm_status_t vm_status = classify_vm(
			p, &g_array_index(answers, remote_answer_t, i));

		has_in_force |= vm_status == VM_IN_FORCE;
		has_pending |= vm_status == VM_PENDING && !vm->is_leaving;
		if (!is_last_of_zone(vms, i))
			continue;
		add_pending_zone(pending, vm->zone,
				 has_in_force && !has_pending);
		has_in_force = false;
		has_pending = false;
	}
}

/* Polls every daemon once; PENDING lists the zones that are not done. */
static void poll_zones(publication_t *p, GString *pending)
{
	g_autoptr(GArray) vms = remote_list_vms(&p->remote, NULL);
	g_autoptr(GArray) answers = NULL;

	g_string_truncate(pending, 0);
	if (!vms || !vms->len) {
		g_string_append(pending, vms ? "the VM list has no entry VM" :
					       "the VM list could not be read");
		return;
	}
	answers = remote_request_all(&p->remote, vms, EVHTTP_REQ_GET,
				     "/admin/config", p->token);
	list_pending_zones(p, vms, answers, pending);
}

static int wait_in_force(publication_t *p)
{
	g_autoptr(GString) pending = g_string_new("");

	for (;;) {
		poll_zones(p, pending);
		if (!pending->len || !has_time(p))
			break;
		remote_sleep(&p->remote, RETRY_MS);
	}
	if (pending->len) {
		fprintf(p->ctl->out, "pending %" G_GUINT64_FORMAT ": %s\n",
			p->log.version, pending->str);
		return CTL_PENDING;
	}
	fprintf(p->ctl->out, "accepted %" G_GUINT64_FORMAT "\n",
		p->log.version);
	return CTL_OK;
}

static int run(publication_t *p, const struct arg_int *base)
{
	err_t err;

	if (!profile_check(str_from(p->doc), p->body, &err) ||
	    !choose_base(p, base, &err))
		return ctl_fail(p->ctl, &err);
	make_nonce(p->log.nonce);
	if (!append_until_verdict(p, &err)) {
		ctl_fail(p->ctl, &err);
		fprintf(p->ctl->err,
			"papayactl: no confirmation that the document was "
			"published; to retry without publishing it twice, "
			"use --base %" G_GUINT64_FORMAT "\n",
			p->base);
		return CTL_ERROR;
	}
	if (p->log.verdict == CONFIG_SUPERSEDED) {
		fputs("superseded\n", p->ctl->out);
		return CTL_SUPERSEDED;
	}
	if (p->log.verdict != CONFIG_ACCEPTED) {
		err_set(&err, ERR_LIMIT, "publish", "",
			"the documents in force would exceed the limit on "
			"their number or size");
		return ctl_fail(p->ctl, &err);
	}
	return wait_in_force(p);
}

static int publish(publication_t *p, const char *path, const char *platform,
		   int timeout_ms, const struct arg_int *base)
{
	g_autofree char *text = NULL;
	size_t len;
	err_t err;
	int code;

	text = args_read_file(path, &len, &err);
	if (!text)
		return ctl_fail(p->ctl, &err);
	p->body = (str_t){ text, len };
	remote_init(&p->remote, p->ctl, platform, timeout_ms);
	config_log_init(&p->log, &p->remote);
	code = run(p, base);
	config_log_finish(&p->log);
	remote_finish(&p->remote);
	return code;
}

int ctl_publish(ctl_t *ctl, int argc, char **argv)
{
	struct arg_lit *help = arg_lit0("h", "help", "print this help");
	struct arg_str *platform = args_platform_option();
	struct arg_str *doc = arg_str1(NULL, "doc", "KIND/NAME",
				       "profile/NAME or service/NAME");
	struct arg_str *by = arg_str1(NULL, "by", "WHO",
				      "publisher's name, stored in the record");
	struct arg_int *base = arg_int0(NULL, "base", "N",
					"publish only if version N is the "
					"newest (default: whatever is newest)");
	struct arg_str *token = args_token_option();
	struct arg_int *wait = arg_int0(NULL, "wait-ms", "MS",
					"how long to wait until it is in "
					"force (default: 10000)");
	struct arg_int *timeout = args_timeout_option();
	struct arg_str *file = arg_str1(NULL, NULL, "FILE",
					"JSON, with "
					"comments");
	struct arg_end *end = arg_end(ARGS_MAX_ERRORS);
	void *table[] = { help,	 platform, doc,	    by,	  base,
			  token, wait,	   timeout, file, end };
	publication_t p = { .ctl = ctl };
	int code;

	if (args_parse(ctl, table, G_N_ELEMENTS(table),
		       "Publishes a document and waits until every zone "
		       "reports it in force.\nPrints \"accepted VERSION\" "
		       "(exit 0), \"pending VERSION: ZONES\" (3) or\n"
		       "\"superseded\" (4).",
		       argc, argv, &code)) {
		p.doc = doc->sval[0];
		p.by = by->sval[0];
		p.token = args_token(token);
		p.deadline_ms = ctl->now_ms() +
				args_int(wait, DEFAULT_WAIT_MS, 0, MAX_WAIT_MS);
		code = publish(
			&p, file->sval[0], platform->sval[0],
			args_int(timeout, ARGS_TIMEOUT_MS, 1, MAX_WAIT_MS),
			base);
	}
	arg_freetable(table, G_N_ELEMENTS(table));
	return code;
}
