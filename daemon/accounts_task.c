/*
 * Sums up useful and wasted work and appends the sums to the platform's log in
 * batches.
 */
#define LOG_PART "accounts"

#include "common/log.h"
#include "common/unique.h"
#include "daemon/supervisor.h"

enum {
	MAX_BATCHES = 360, /* one hour of outage at ten seconds per batch */
	FINAL_APPENDS_S = 3, /* time limit of the appends after a drain */
	FINAL_RETRY_US = 200000, /* retry interval of these appends */
};

typedef struct accounting {
	supervisor_t *sup;
	accounts_t accounts;
	struct event *timer;
	int64_t append_retry_at; /* when to resend a batch; 0: none pending */
	bool is_exiting; /* exit once all batches are appended */
} accounting_t;

static void append_oldest(accounting_t *k)
{
	uint64_t seq;
	str_t text = accounts_next_record(&k->accounts, &seq);
	message_t m = { .type = MESSAGE_APPEND };

	if (!text.len && k->is_exiting)
		event_base_loopexit(k->sup->base, NULL);
	/*
	 * Resent when no result comes in time: a restarted platform task loses
	 * appends.
	 */
	if (!text.len || k->append_retry_at > now_us())
		return;
	k->append_retry_at =
		now_us() + 2000 * k->sup->settings->platform_timeout_ms;
	m.append.seq = seq;
	m.append.data = g_bytes_new(text.ptr, text.len);
	supervisor_post(k->sup, TASK_PLATFORM, &m);
}

static void close_batch(accounting_t *k)
{
	accounts_close_batch(&k->accounts, g_get_real_time() / 1000);
	append_oldest(k);
}

static void on_timer(evutil_socket_t fd, short what, void *arg)
{
	close_batch(arg);
}

/*
 * An append whose answer was lost is sent again with the same sequence number;
 * readers ignore the duplicate.
 */
static void on_append_result(accounting_t *k, const message_append_t *a)
{
	k->append_retry_at = 0;
	metrics_add(&k->sup->metrics, "papaya_account_batches_total",
		    a->is_ok ? "result=\"ok\"" : "result=\"error\"", 1);
	if (!a->is_ok)
		return;
	accounts_drop_appended(&k->accounts, a->seq);
	append_oldest(k);
}

static void exit_when_appended(accounting_t *k)
{
	static const struct timeval limit = { FINAL_APPENDS_S, 0 };
	static const struct timeval retry = { 0, FINAL_RETRY_US };

	k->is_exiting = true;
	event_base_loopexit(k->sup->base, &limit);
	event_add(k->timer, &retry);
	accounts_close_last_batch(&k->accounts, g_get_real_time() / 1000);
	append_oldest(k);
}

static void handle(void *state, const message_t *m)
{
	accounting_t *k = state;

	if (m->type == MESSAGE_ACCOUNT)
		accounts_add(&k->accounts, &m->account.key, &m->account.delta);
	else if (m->type == MESSAGE_APPENDED)
		on_append_result(k, &m->append);
	else if (m->type == MESSAGE_DRAINED)
		exit_when_appended(k);
}

static void *start(supervisor_t *sup, err_t *err)
{
	accounting_t *k = g_new0(accounting_t, 1);

	k->sup = sup;
	/* A restarted task starts at zero, so it needs a new writer ID. */
	accounts_init(&k->accounts, str_from(sup->settings->name), unique_id(),
		      ACCOUNTS_MAX_KEYS, MAX_BATCHES);
	accounts_close_first_batch(&k->accounts, g_get_real_time() / 1000);
	k->timer = supervisor_add_timer(sup, sup->settings->accounts_ms,
					on_timer, k);
	return k;
}

static void stop(void *state)
{
	accounting_t *k = state;

	event_free(k->timer);
	accounts_finish(&k->accounts);
	g_free(k);
}

const task_spec_t accounts_task = { "accounts", 1, start, handle, stop };
