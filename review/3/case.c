/*
 * The store loses the answer to a runner's write ("ready"), and carries the
 * write out six seconds later. Meanwhile, once the store was without disruption
 * for stability_ms, the runner reported that it is draining, and the store
 * acknowledged that. The late write has the lower sequence number. The runner
 * goes on serving for a while, renews its entry at every heartbeat, and exits.
 *
 * Rule DRAIN: no request reaches the runner later than drain_ms after the
 * acknowledgement.
 */
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "sim.h"

enum {
	ROUNDS = 3, /* one runner leaves in each */
	RUNNERS = 8, /* so that a share of 1/6 leaves at most */
	LATE_MS = 6000, /* how much later the lost write is carried out */
	STABILITY_MS = 3000,
	DRAIN_MS = 2000,
	SERVES_MS = 3580, /* after the acknowledgement, then it exits */
	GAP_MS = 10, /* between requests */
	WORK_MS = 100,
	CLIENT_MS = 2000,
};

static const char routes[] =
	"[{\"name\":\"book\",\"host\":\"a.example\",\"path_prefix\":\"/book/\","
	"\"route_type\":\"unsafe\",\"timeout_ms\":1500,"
	"\"latency_target_ms\":150,\"priority\":2,\"service\":\"desk\","
	"\"max_attempts\":1,\"anonymous\":false,\"sticky\":false,"
	"\"resumable\":false}]";
static const char services[] =
	"[{\"name\":\"desk\",\"health_path\":\"/health\",\"max_conns\":208,"
	"\"protocol\":\"h1\",\"tls\":false}]";
static const char tenants[] =
	"[{\"name\":\"t1\",\"api_keys\":[\"key-one\"],\"priority\":1}]";

typedef struct desk {
	sim_runner_t entry;
	int host;
	atomic_llong acknowledged_at; /* 0: does not drain */
	atomic_bool has_exited;
} desk_t;

static desk_t desks[RUNNERS];
static atomic_int n_broken, n_lost, n_calls;
static atomic_bool is_over;

static void serve(int fd, void *ctx)
{
	desk_t *self = ctx;
	sim_request_t q;
	char expected[64], headers[256];

	while (!self->has_exited && sim_read_request(fd, &q)) {
		int64_t late = sim_ms() - self->acknowledged_at - DRAIN_MS;

		if (sim_header(q.head, "X-Expect-Instance", expected,
			       sizeof(expected)) &&
		    strcmp(expected, self->entry.id)) {
			sim_reply(fd, 421, "", "");
			continue;
		}
		if (self->acknowledged_at && late > 0) {
			n_broken++;
			sim_record("%s reaches %s %lld ms later than allowed: "
				   "BROKEN",
				   q.attempt, self->entry.id, (long long)late);
		}
		sim_sleep(WORK_MS);
		if (self->has_exited)
			break;
		snprintf(headers, sizeof(headers),
			 "X-Attempt-Id: %s\r\nX-Server-Seal: %s.%s\r\n",
			 q.attempt, self->entry.id, q.attempt);
		sim_reply(fd, 200, headers, self->entry.id);
	}
	sim_reset(fd);
}

static void start_runner(desk_t *d, int i)
{
	d->host = 100 + i;
	snprintf(d->entry.id, sizeof(d->entry.id), "i-%d", i);
	strcpy(d->entry.service, "desk");
	strcpy(d->entry.zone, "z1");
	snprintf(d->entry.address, sizeof(d->entry.address), "%s:%d",
		 sim_ip(1, d->host), SIM_RUNNER_PORT);
	sim_serve(sim_ip(1, d->host), SIM_RUNNER_PORT, 0, serve, d);
	sim_runner_register(&d->entry);
}

/* What the store does with a write whose answer was lost. */
static void *write_late(void *arg)
{
	sim_runner_t *lost = arg;

	sim_sleep(LATE_MS);
	sim_runner_write(lost);
	sim_record("store: carries out the write of %s with state %s, "
		   "sequence %d",
		   lost->id, lost->state, lost->sequence - 1);
	return NULL;
}

/* The runner's heartbeats of the next MS, the first after a whole interval. */
static void beat(desk_t *d, int ms)
{
	int64_t until = sim_ms() + ms;

	while (sim_ms() + SIM_HEARTBEAT_MS < until) {
		sim_sleep(SIM_HEARTBEAT_MS);
		sim_runner_write(&d->entry);
	}
	sim_sleep((int)(until - sim_ms()));
}

static void leave(desk_t *d)
{
	static sim_runner_t lost[RUNNERS];
	sim_runner_t *copy = &lost[d - desks];

	d->entry.renews = false;
	if (sim_has_trouble()) {
		*copy = d->entry;
		d->entry.sequence++;
		sim_record("store: the answer to the write of %s with state "
			   "%s, sequence %d, is lost",
			   copy->id, copy->state, copy->sequence);
		sim_thread(write_late, copy);
	} else {
		sim_runner_write(&d->entry);
	}
	beat(d, STABILITY_MS + 50);
	d->entry.state = "draining";
	sim_runner_write(&d->entry);
	d->acknowledged_at = sim_ms();
	sim_record("store: acknowledges that %s is draining, sequence %d",
		   d->entry.id, d->entry.sequence - 1);
	beat(d, SERVES_MS);
	d->has_exited = true;
	sim_put("keyed.servers", d->entry.id, "");
	sim_record("%s exits, its entry is removed", d->entry.id);
}

static void *book(void *arg)
{
	int i = (int)(intptr_t)arg;
	char head[512];
	sim_answer_t answer;

	snprintf(head, sizeof(head),
		 "POST /book/x HTTP/1.1\r\nHost: a.example\r\n"
		 "X-Attempt-Id: book-%d\r\nX-Deadline-Ms: 1500\r\n"
		 "X-Key: key-one\r\nContent-Length: 2\r\n\r\n{}",
		 i);
	sim_call(1, 10, head, CLIENT_MS, &answer);
	n_calls++;
	if (answer.status != 200) {
		n_lost++;
		sim_record("book-%d client: status %d", i, answer.status);
	}
	free(answer.body);
	return NULL;
}

static void *book_all(void *arg)
{
	for (int i = 1; !is_over; i++) {
		sim_thread(book, (void *)(intptr_t)i);
		sim_sleep(GAP_MS);
	}
	return arg;
}

int main(int argc, char **argv)
{
	sim_start(argc, argv);
	sim_config(1, routes, services, tenants);
	for (int i = 0; i < RUNNERS; i++)
		start_runner(&desks[i], i);
	sim_daemon(1, 10);
	sim_await_ready(1, 10);
	sim_sleep(4000);
	sim_thread(book_all, NULL);
	for (int i = 1; i <= ROUNDS; i++) {
		leave(&desks[i]);
		sim_sleep(1000);
	}
	is_over = true;
	sim_sleep(CLIENT_MS);
	sim_record("%d requests reached a draining runner too late; %d of %d "
		   "bookings were not served",
		   n_broken, n_lost, n_calls);
	sim_end(n_broken ? SIM_BROKEN : SIM_HELD);
}
