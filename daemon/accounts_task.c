/* Counts useful work and waste, and appends it to the log in batches. */
#define LOG_PART "accounts"

#include "common/log.h"
#include "common/unique.h"
#include "daemon/supervisor.h"

enum {
	MAX_BATCHES = 360, /* an hour of outage at ten seconds a batch */
	LAST_APPEND_S = 3, /* limit of the last appends of a drain */
	LAST_RETRY_US = 200000, /* between tries of the last appends */
};

typedef struct accounts_keeper {
	supervisor_t *sup;
	accounts_t accounts;
	struct event *timer;
	int64_t append_due; /* monotonic: when to repeat; 0 when idle */
	bool is_ending; /* the daemon ends once all is appended */
} accounts_keeper_t;

static void append_oldest(accounts_keeper_t *k)
{
	uint64_t seq;
	str_t text = accounts_peek(&k->accounts, &seq);
	message_t m = { .type = MESSAGE_APPEND };

	if (!text.len && k->is_ending)
		event_base_loopexit(k->sup->base, NULL);
	/* The platform's task may have lost it when it was restarted. */
	if (!text.len || k->append_due > now_us())
		return;
	k->append_due = now_us() + 2000 * k->sup->settings->platform_timeout_ms;
	m.append.seq = seq;
	m.append.data = g_bytes_new(text.ptr, text.len);
	supervisor_post(k->sup, TASK_PLATFORM, &m);
}

static void close_batch(accounts_keeper_t *k)
{
	accounts_close(&k->accounts, g_get_real_time() / 1000);
	append_oldest(k);
}

static void on_timer(evutil_socket_t fd, short what, void *arg)
{
	close_batch(arg);
}

/*
 * An append whose answer was lost is repeated under the same number, and
 * readers drop the repeat.
 */
static void on_appended(accounts_keeper_t *k, const message_append_t *a)
{
	k->append_due = 0;
	metrics_add(&k->sup->metrics, "papaya_account_batches_total",
		    a->is_ok ? "result=\"ok\"" : "result=\"error\"", 1);
	if (!a->is_ok)
		return;
	accounts_appended(&k->accounts, a->seq);
	append_oldest(k);
}

static void end_daemon(accounts_keeper_t *k)
{
	static const struct timeval limit = { LAST_APPEND_S, 0 };
	static const struct timeval retry = { 0, LAST_RETRY_US };

	k->is_ending = true;
	event_base_loopexit(k->sup->base, &limit);
	event_add(k->timer, &retry);
	accounts_end(&k->accounts, g_get_real_time() / 1000);
	append_oldest(k);
}

static void handle(void *state, const message_t *m)
{
	accounts_keeper_t *k = state;

	if (m->type == MESSAGE_ACCOUNT)
		accounts_add(&k->accounts, &m->account.key, &m->account.delta);
	else if (m->type == MESSAGE_APPENDED)
		on_appended(k, &m->append);
	else if (m->type == MESSAGE_DRAINED)
		end_daemon(k);
}

static void *start(supervisor_t *sup, err_t *err)
{
	accounts_keeper_t *k = g_new0(accounts_keeper_t, 1);

	k->sup = sup;
	/* A restarted task counts anew, so it is a new writer to readers. */
	accounts_init(&k->accounts, str_from(sup->settings->name), unique_id(),
		      ACCOUNTS_MAX_KEYS, MAX_BATCHES);
	accounts_begin(&k->accounts, g_get_real_time() / 1000);
	k->timer =
		supervisor_every(sup, sup->settings->accounts_ms, on_timer, k);
	return k;
}

static void stop(void *state)
{
	accounts_keeper_t *k = state;

	event_free(k->timer);
	accounts_finish(&k->accounts);
	g_free(k);
}

const task_spec_t accounts_task = { "accounts", 1, start, handle, stop };
