#define LOG_PART "store"

#include "daemon/record_writer.h"

#include "common/log.h"
#include "daemon/supervisor.h"

enum { RETRY_US = 1000 * 1000 /* after a failed write */ };

void record_writer_init(record_writer_t *w, store_t *store, const char *what,
			void (*on_failure)(void *ctx), void *ctx)
{
	*w = (record_writer_t){ .store = store,
				.what = what,
				.on_failure = on_failure,
				.ctx = ctx };
}

bool record_writer_is_ready(const record_writer_t *w, int64_t now)
{
	return !w->is_writing && now >= w->retry_at;
}

static void on_written(void *ctx, const err_t *err)
{
	record_writer_t *w = ctx;
	char reason[ERR_DETAIL_SIZE * 2];

	w->is_writing = false;
	if (!err)
		return;
	log_warn("cannot write %s: %s", w->what,
		 err_text(err, reason, sizeof(reason)));
	w->retry_at = now_us() + RETRY_US;
	w->on_failure(w->ctx);
}

void record_writer_begin(record_writer_t *w, str_t key, str_t value)
{
	err_t err = { 0 };

	w->is_writing = store_append(w->store, STORE_DAEMONS, key, value,
				     on_written, w, &err);
	if (!w->is_writing)
		on_written(w, &err);
}
