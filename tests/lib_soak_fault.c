#include "tests/lib_soak_fault.h"

#include <signal.h>

#include "standin/lib_fetch.h"
#include "tests/lib_soak_plan.h"

static bool kill_node(soak_cluster_t *s, soak_node_t *n)
{
	process_kill(&n->process);
	soak_set_state(n, SOAK_DOWN);
	return true;
}

static bool signal_node(soak_node_t *n, int number, soak_state_t state)
{
	process_signal(&n->process, number);
	soak_set_state(n, state);
	return true;
}

static bool pause_node(soak_cluster_t *s, soak_node_t *n)
{
	return signal_node(n, SIGSTOP, SOAK_PAUSED);
}

static bool resume_node(soak_cluster_t *s, soak_node_t *n)
{
	return signal_node(n, SIGCONT, SOAK_UP);
}

static bool drain_daemon(soak_cluster_t *s, soak_node_t *n)
{
	return signal_node(n, SIGTERM, SOAK_LEAVING);
}

static bool restart_daemon(soak_cluster_t *s, soak_node_t *n)
{
	return soak_start_daemon(s, n->index);
}

static bool reload_daemon(soak_cluster_t *s, soak_node_t *n)
{
	process_signal(&n->process, SIGHUP);
	return true;
}

static bool restart_runner(soak_cluster_t *s, soak_node_t *n)
{
	return soak_start_runner(s, n->index, n->starts % 2);
}

static bool drain_runner(soak_cluster_t *s, soak_node_t *n)
{
	soak_set_state(n, SOAK_LEAVING);
	return fetch_set_faults(n->process.address, "{\"leaving\":true}");
}

/* Kills the runner, which had time to leave; starts it with a new name. */
static bool replace_runner(soak_cluster_t *s, soak_node_t *n)
{
	process_stop(&n->process, 0);
	process_kill(&n->process);
	return soak_start_runner(s, n->index, true);
}

static bool pause_store(soak_cluster_t *s, soak_node_t *n)
{
	process_signal(&s->store, SIGSTOP);
	return true;
}

static bool resume_store(soak_cluster_t *s, soak_node_t *n)
{
	process_signal(&s->store, SIGCONT);
	return true;
}

static bool publish(soak_cluster_t *s, soak_node_t *n)
{
	return soak_publish(s);
}

static const soak_fault_kind_t kinds[] = {
	{ "daemon-kill", SOAK_ON_DAEMON, 4, 200, 4000, NULL, NULL, kill_node,
	  restart_daemon },
	{ "daemon-drain", SOAK_ON_DAEMON, 4, 500, 9000, NULL, NULL,
	  drain_daemon, restart_daemon },
	{ "daemon-pause", SOAK_ON_DAEMON, 4, 100, 5000, NULL, NULL, pause_node,
	  resume_node },
	{ "daemon-reload", SOAK_ON_DAEMON, 1, 0, 0, NULL, NULL, reload_daemon,
	  NULL },
	{ "store-outage", SOAK_ON_STORE, 2, 500, 8000, "{\"outage\":true}",
	  "{\"outage\":false}", NULL, NULL },
	{ "store-slow", SOAK_ON_STORE, 2, 500, 5000, "{\"delay_ms\":500}",
	  "{\"delay_ms\":0}", NULL, NULL },
	{ "store-mute", SOAK_ON_STORE, 1, 500, 5000, "{\"hang\":true}",
	  "{\"hang\":false}", NULL, NULL },
	{ "store-silent-connections", SOAK_ON_STORE, 1, 0, 0,
	  "{\"silence\":true}", NULL, NULL, NULL },
	{ "store-loses-answers", SOAK_ON_STORE, 1, 0, 0, "{\"lose_answers\":2}",
	  NULL, NULL, NULL },
	{ "store-forgets", SOAK_ON_STORE, 1, 0, 0, "{\"forget\":true}", NULL,
	  NULL, NULL },
	{ "store-restored", SOAK_ON_STORE, 2, 0, 0, "{\"restore_ms\":4000}",
	  NULL, NULL, NULL },
	{ "store-pause", SOAK_ON_STORE, 1, 200, 5000, NULL, NULL, pause_store,
	  resume_store },
	{ "config", SOAK_ON_STORE, 6, 0, 0, NULL, NULL, publish, NULL },
	{ "store-link-cut", SOAK_ON_STORE_LINK, 2, 500, 8000, "{\"cut\":true}",
	  "{\"cut\":false}", NULL, NULL },
	{ "store-link-blackhole", SOAK_ON_STORE_LINK, 2, 500, 8000,
	  "{\"blackhole\":true}", "{\"blackhole\":false}", NULL, NULL },
	{ "store-link-mute-to", SOAK_ON_STORE_LINK, 1, 500, 8000,
	  "{\"mute_to\":true}", "{\"mute_to\":false}", NULL, NULL },
	{ "store-link-mute-from", SOAK_ON_STORE_LINK, 1, 500, 8000,
	  "{\"mute_from\":true}", "{\"mute_from\":false}", NULL, NULL },
	{ "store-link-reset", SOAK_ON_STORE_LINK, 1, 0, 0, "{\"reset\":true}",
	  NULL, NULL, NULL },
	{ "store-link-silence", SOAK_ON_STORE_LINK, 1, 0, 0,
	  "{\"silence\":true}", NULL, NULL, NULL },
	{ "runner-kill", SOAK_ON_RUNNER, 3, 200, 5000, NULL, NULL, kill_node,
	  restart_runner },
	{ "runner-pause", SOAK_ON_RUNNER, 3, 100, 4000, NULL, NULL, pause_node,
	  resume_node },
	{ "runner-drain", SOAK_ON_RUNNER, 3, 5500, 7000, NULL, NULL,
	  drain_runner, replace_runner },
	{ "runner-closes", SOAK_ON_RUNNER, 2, 500, 2000,
	  "{\"close_after_run\":3}", "{\"close_after_run\":0}", NULL, NULL },
	{ "runner-fails", SOAK_ON_RUNNER, 2, 500, 2000,
	  "{\"fail_after_run\":3}", "{\"fail_after_run\":0}", NULL, NULL },
	{ "runner-mute", SOAK_ON_RUNNER, 1, 500, 3000, "{\"hang\":true}",
	  "{\"hang\":false}", NULL, NULL },
	{ "runner-cuts", SOAK_ON_RUNNER, 2, 500, 3000, "{\"cut_after\":3}",
	  "{\"cut_after\":0}", NULL, NULL },
	{ "runner-slow", SOAK_ON_RUNNER, 1, 500, 4000, "{\"delay_ms\":300}",
	  "{\"delay_ms\":0}", NULL, NULL },
	{ "runner-unhealthy", SOAK_ON_RUNNER, 1, 500, 4000,
	  "{\"unhealthy\":true}", "{\"unhealthy\":false}", NULL, NULL },
	{ "runner-unlisted", SOAK_ON_RUNNER, 1, 2000, 6000,
	  "{\"mute_store\":true}", "{\"mute_store\":false}", NULL, NULL },
	{ "runner-link-cut", SOAK_ON_RUNNER, 1, 200, 4000, "{\"cut\":true}",
	  "{\"cut\":false}", NULL, NULL },
	{ "runner-link-blackhole", SOAK_ON_RUNNER, 1, 200, 4000,
	  "{\"blackhole\":true}", "{\"blackhole\":false}", NULL, NULL },
	{ "runner-link-mute-from", SOAK_ON_RUNNER, 1, 200, 4000,
	  "{\"mute_from\":true}", "{\"mute_from\":false}", NULL, NULL },
	{ "runner-link-reset", SOAK_ON_RUNNER, 2, 0, 0, "{\"reset\":true}",
	  NULL, NULL, NULL },
	{ "runner-link-silence", SOAK_ON_RUNNER, 1, 0, 0, "{\"silence\":true}",
	  NULL, NULL, NULL },
};

/*
 * A leaving notice can't be withdrawn, so the runner is replaced at the end of
 * the fault. "pause_next" refuses the next N requests, each with a notice, so
 * it takes effect only while requests arrive.
 */
static const soak_fault_kind_t notices[] = {
	{ "runner-says-leaving", SOAK_BY_RUNNER, 2, 3500, 6000,
	  "{\"says_leaving\":true}", NULL, NULL, replace_runner },
	{ "runner-pauses", SOAK_BY_RUNNER, 3, 2000, 4000,
	  "{\"pause_next\":4,\"pause_ms\":1800}", "{\"pause_next\":0}", NULL,
	  NULL },
	{ "runner-pauses-briefly", SOAK_BY_RUNNER, 1, 1000, 2000,
	  "{\"pause_next\":8,\"pause_ms\":700}", "{\"pause_next\":0}", NULL,
	  NULL },
};

static const struct {
	const soak_fault_kind_t *kinds;
	size_t n;
} tables[SOAK_TABLES] = {
	[SOAK_FAULTS] = { kinds, G_N_ELEMENTS(kinds) },
	[SOAK_NOTICES] = { notices, G_N_ELEMENTS(notices) },
};

static int fault_weight(size_t i)
{
	return kinds[i].weight;
}

static int notice_weight(size_t i)
{
	return notices[i].weight;
}

bool soak_is_runner_fault(const soak_fault_t *f)
{
	return f->kind->place == SOAK_ON_RUNNER ||
	       f->kind->place == SOAK_BY_RUNNER;
}

static soak_node_t *node_of(soak_cluster_t *s, const soak_fault_t *f)
{
	if (f->kind->place == SOAK_ON_STORE)
		return NULL;
	return soak_is_runner_fault(f) ? &s->runners[f->target] :
					 &s->daemons[f->target];
}

static bool *busy_flag(soak_cluster_t *s, const soak_fault_t *f)
{
	soak_node_t *n = node_of(s, f);

	return n ? &n->is_busy : &s->is_store_busy;
}

bool soak_fault_draw(soak_cluster_t *s, soak_table_t table, GRand *rand,
		     soak_fault_t *out)
{
	int64_t now = soak_now_ms();
	int span_ms;
	const soak_node_t *n;
	size_t i = soak_draw(
		rand, table == SOAK_NOTICES ? notice_weight : fault_weight,
		tables[table].n);

	*out = (soak_fault_t){ .kind = &tables[table].kinds[i],
			       .begin_ms = now };
	/*
	 * Draw the target and the duration also for a fault that can't begin,
	 * so that a seed gives the same sequence.
	 */
	out->target = g_rand_int_range(rand, 0, SOAK_DAEMONS);
	span_ms = out->kind->max_ms - out->kind->min_ms;
	out->end_ms = now + out->kind->min_ms +
		      (span_ms ? g_rand_int_range(rand, 0, span_ms) : 0);
	n = node_of(s, out);
	return !*busy_flag(s, out) && (!n || n->state == SOAK_UP);
}

/* Returns the address that accepts the switches of the fault. */
static const char *switches_of(soak_cluster_t *s, const soak_fault_t *f)
{
	soak_node_t *n = node_of(s, f);

	if (!n)
		return s->store.address;
	if (f->kind->place == SOAK_ON_STORE_LINK ||
	    g_str_has_prefix(f->kind->name, "runner-link"))
		return n->relay.address;
	return n->process.address;
}

bool soak_fault_begin(soak_cluster_t *s, soak_fault_t *f)
{
	*busy_flag(s, f) = true;
	if (f->kind->on)
		return fetch_set_faults(switches_of(s, f), f->kind->on);
	return f->kind->begin(s, node_of(s, f));
}

bool soak_fault_may_end(soak_cluster_t *s, const soak_fault_t *f)
{
	const soak_node_t *n = node_of(s, f);

	return f->kind->place != SOAK_ON_DAEMON || n->state != SOAK_LEAVING;
}

bool soak_fault_end(soak_cluster_t *s, soak_fault_t *f)
{
	bool ok = true;

	if (f->kind->off)
		ok = fetch_set_faults(switches_of(s, f), f->kind->off);
	else if (f->kind->end)
		ok = f->kind->end(s, node_of(s, f));
	f->end_ms = soak_now_ms();
	f->is_over = true;
	*busy_flag(s, f) = false;
	return ok;
}
