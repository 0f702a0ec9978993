#include <event2/event.h>
#include <glib.h>
#include <signal.h>

#include "common/log.h"
#include "ctl/ctl.h"

static int64_t wall_clock_ms(void)
{
	return g_get_real_time() / 1000;
}

int main(int argc, char **argv)
{
	ctl_t ctl = { event_base_new(), stdout, stderr, wall_clock_ms };
	int code;

	signal(SIGPIPE, SIG_IGN);
	log_init("warning");
	code = ctl_run(&ctl, argc, argv);
	event_base_free(ctl.base);
	return code;
}
