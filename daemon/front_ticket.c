/* Tickets: names for single requests, issued and kept by one daemon. */
#include <inttypes.h>
#include <sys/random.h>

#include "daemon/job.h"

enum { TICKET_BYTES = 16 /* random part of a ticket */ };

/*
 * True when the credential is valid for the team in any profile, or no profile
 * has the team. A ticket request names no service, so any profile may apply.
 */
static bool check_ticket_team(front_t *f, const call_t *call)
{
	GHashTableIter iter;
	profile_t *profile;
	bool is_known = false;

	g_hash_table_iter_init(&iter, f->config->profiles);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&profile)) {
		const profile_team_t *team =
			profile_find_team(profile, str_from(call->team));

		if (!team)
			continue;
		if (front_is_authorized(team, call))
			return true;
		is_known = true;
	}
	return !is_known;
}

void front_issue_ticket(front_t *f, http_conn_t *conn, const call_t *call)
{
	static const caller_ops_t ops;
	response_head_t head = { .status = HTTP_OK,
				 .content_type = "application/json" };
	unsigned char bytes[TICKET_BYTES];
	g_autoptr(GString) ticket = g_string_new(NULL);
	g_autoptr(GBytes) scoped_key = NULL;
	g_autofree char *json = NULL;
	caller_t c;

	if (!check_ticket_team(f, call)) {
		front_refuse(f, conn, 401, "Authorization",
			     "the team's credential is expected", 0);
		return;
	}
	if (getrandom(bytes, sizeof(bytes), 0) != (ssize_t)sizeof(bytes)) {
		front_refuse(f, conn, HTTP_SERVUNAVAIL, NULL,
			     "no random numbers for a ticket", JOB_RETRY_MS);
		return;
	}
	g_string_printf(ticket, "%s:%016" PRIx64 ":", f->sup->settings->name,
			f->sup->boot_id);
	for (size_t i = 0; i < sizeof(bytes); i++)
		g_string_append_printf(ticket, "%02x", bytes[i]);
	scoped_key = dedup_scope(str_from(call->team), str_from(ticket->str));
	if (!dedup_issue_ticket(&f->tickets, scoped_key, now_us())) {
		front_refuse(f, conn, HTTP_SERVUNAVAIL, NULL,
			     "the table of keys is full", JOB_RETRY_MS);
		return;
	}
	json = g_strdup_printf("{\"ticket\":\"%s\"}", ticket->str);
	caller_init(&c, conn, &ops, NULL);
	caller_reply(&c, &head, str_from(json));
}

bool front_reply_to_repeat(front_t *f, http_conn_t *conn, const call_t *call,
			   GBytes *scoped_key)
{
	dedup_entry_t *entry = dedup_find(&f->tickets, scoped_key);

	if (!entry || entry->state == DEDUP_ISSUED)
		return false;
	metrics_add(&f->sup->metrics, "papaya_repeats_total", NULL, 1);
	if (entry->fingerprint != call->fingerprint)
		front_refuse(f, conn, 422, "Papaya-Ticket",
			     "it names another request", 0);
	else if (entry->state == DEDUP_ENDED)
		job_reply_stored_to(conn, &entry->answer);
	else
		job_join(entry->user_data, conn);
	return true;
}

void front_refuse_ticket(front_t *f, http_conn_t *conn)
{
	static const caller_ops_t ops;
	response_head_t head = { .status = 410, .outcome = OUTCOME_UNKNOWN };
	caller_t c;

	caller_init(&c, conn, &ops, NULL);
	caller_reply_error(&c, &head, "Papaya-Ticket",
			   "no such ticket, or it was used long ago");
}

bool front_is_own_ticket(const front_t *f, const char *ticket)
{
	char daemon[MEMBER_NAME_SIZE];
	uint64_t boot_id;

	return call_ticket_daemon(ticket, daemon, sizeof(daemon), &boot_id) &&
	       boot_id == f->sup->boot_id &&
	       !strcmp(daemon, f->sup->settings->name);
}

bool front_is_unusable_ticket(const front_t *f, const call_t *call,
			      GBytes *scoped_key)
{
	char daemon[MEMBER_NAME_SIZE];
	uint64_t boot_id;

	if (!call_ticket_daemon(call->ticket, daemon, sizeof(daemon), &boot_id))
		return true;
	if (strcmp(daemon, f->sup->settings->name))
		return call->is_forwarded;
	return boot_id != f->sup->boot_id ||
	       !dedup_find(&f->tickets, scoped_key);
}
