/*
 * A runner answers before it has read a long body, with an answer that has no
 * length and ends with its connection, and breaks off: the connection is reset
 * after half of the answer. Without the disruption it sends the whole answer,
 * reads the rest of the body, and closes.
 *
 * Rule MIXED: an answer that is reset on the way isn't complete, and a client
 * must not get it as one.
 */
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "sim.h"

enum {
	CLIENTS = 1,
	REQUESTS = 400,
	SPOILED_EACH = 20, /* of one runner's answers: x 0.05 */
	REQUEST_BYTES = 4000000, /* max_body_bytes is 4194304 */
	ANSWER_BYTES = 800,
	RECEIVE_BUFFER = 16384,
	CLIENT_MS = 5000,
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

static atomic_int n_answers[2]; /* of each runner */
/* The busier one spoils answers: one of two, a share of 0.5. */
static void *_Atomic spoiler;
static sim_runner_t runners[2];

static void serve(int fd, void *ctx)
{
	char buf[16384], out[512], attempt[64] = "";
	char body[ANSWER_BYTES];
	size_t n = 0;

	void *nobody = NULL;
	bool is_spoiled;

	if (!sim_read_head(fd, buf, sizeof(buf), &n)) {
		close(fd);
		return;
	}
	sim_header(buf, "X-Attempt-Id", attempt, sizeof(attempt));
	memset(body, 'b', sizeof(body));
	snprintf(out, sizeof(out),
		 "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\n"
		 "X-Server-Seal: seal.%s\r\nConnection: close\r\n\r\n",
		 attempt, attempt);
	sim_send(fd, out, strlen(out));
	is_spoiled = !(++n_answers[(sim_runner_t *)ctx - runners] %
		       SPOILED_EACH);
	if (is_spoiled)
		atomic_compare_exchange_strong(&spoiler, &nobody, ctx);
	is_spoiled &= sim_has_trouble() && ctx == spoiler;
	if (is_spoiled) {
		sim_send(fd, body, sizeof(body) / 2);
		sim_reset(fd);
		sim_record("%s runner: sent 200 and %zu of %zu bytes, reset",
			   attempt, sizeof(body) / 2, sizeof(body));
		return;
	}
	sim_send(fd, body, sizeof(body));
	shutdown(fd, SHUT_WR);
	while (recv(fd, buf, sizeof(buf), 0) > 0)
		;
	sim_record("%s runner: sent 200 and %zu of %zu bytes, closed", attempt,
		   sizeof(body), sizeof(body));
	close(fd);
}

/* Returns whether the rule was broken. */
static bool request(int i)
{
	static char body[REQUEST_BYTES];
	char head[512];
	sim_answer_t answer;
	bool is_broken;
	int fd = sim_connect(sim_ip(1, 10), SIM_FRONT_PORT);

	if (fd < 0)
		sim_fail("connect to the daemon");
	snprintf(head, sizeof(head),
		 "POST /book/x HTTP/1.1\r\nHost: a.example\r\n"
		 "X-Attempt-Id: attempt-%d\r\nX-Deadline-Ms: 1500\r\n"
		 "X-Key: key-one\r\nContent-Length: %d\r\n\r\n",
		 i, REQUEST_BYTES);
	sim_send(fd, head, strlen(head));
	sim_send(fd, body, sizeof(body));
	sim_read_answer(fd, &answer, CLIENT_MS);
	close(fd);
	is_broken = answer.status == 200 && answer.is_complete &&
		    answer.len != ANSWER_BYTES;
	sim_record("attempt-%d client: status %d, %zu bytes, %s%s", i,
		   answer.status, answer.len,
		   answer.is_complete ? "complete" : "not complete",
		   is_broken ? ": BROKEN, the runner's body has more" : "");
	if (!sim_has_trouble() &&
	    (answer.status != 200 || answer.len != ANSWER_BYTES))
		sim_record("attempt-%d was not served", i);
	free(answer.body);
	return is_broken;
}

static atomic_int n_broken, n_ended;

static void *run_client(void *arg)
{
	int first = (int)(intptr_t)arg;

	for (int i = first; i < REQUESTS; i += CLIENTS)
		n_broken += request(i);
	n_ended++;
	return NULL;
}

int main(int argc, char **argv)
{
	sim_start(argc, argv);
	sim_config(1, routes, services, tenants);
	for (int i = 0; i < 2; i++) {
		sim_runner_t *r = &runners[i];

		snprintf(r->id, sizeof(r->id), "i-%d", i);
		strcpy(r->service, "desk");
		strcpy(r->zone, "z1");
		snprintf(r->address, sizeof(r->address), "%s:%d",
			 sim_ip(1, 100 + i), SIM_RUNNER_PORT);
		sim_serve(sim_ip(1, 100 + i), SIM_RUNNER_PORT, RECEIVE_BUFFER,
			  serve, r);
		sim_runner_register(r);
	}
	sim_daemon(1, 10);
	sim_await_ready(1, 10);
	sim_sleep(2000);
	for (int i = 0; i < CLIENTS; i++)
		sim_thread(run_client, (void *)(intptr_t)i);
	while (n_ended < CLIENTS)
		sim_sleep(50);
	sim_record("%d answers of %d were cut and looked complete", n_broken,
		   REQUESTS);
	sim_end(n_broken ? SIM_BROKEN : SIM_HELD);
}
