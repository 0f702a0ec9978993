/* Counts useful work and waste, and appends it to the log in batches. */
#define LOG_PART "accounts"

#include "common/log.h"
#include "daemon/supervisor.h"

enum {
	MAX_KEYS = 4096,
	MAX_BATCHES = 360, /* an hour of outage at ten seconds a batch */
	LAST_APPEND_S = 3, /* limit of the last appends of a drain */
};

typedef struct accounts_keeper {
	supervisor_t *sup;
	accounts_t accounts;
	struct event *timer;
	bool is_appending;
	bool is_ending; /* the daemon ends once all is appended */
} accounts_keeper_t;

static void append_oldest(accounts_keeper_t *k)
{
	uint64_t seq;
	str_t text = accounts_peek(&k->accounts, &seq);
	message_t m = { .type = MESSAGE_APPEND };

	if (!text.len && k->is_ending)
		event_base_loopexit(k->sup->base, NULL);
	if (k->is_appending || !text.len)
		return;
	k->is_appending = true;
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
	k->is_appending = false;
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

	k->is_ending = true;
	event_base_loopexit(k->sup->base, &limit);
	close_batch(k);
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
	/* A restarted task counts anew, so it is a new writer to readers. */
	uint64_t incarnation =
		(uint64_t)g_rand_int(sup->rand) << 32 | g_rand_int(sup->rand);

	k->sup = sup;
	accounts_init(&k->accounts, str_from(sup->settings->name), incarnation,
		      MAX_KEYS, MAX_BATCHES);
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
