#include "daemon/held_bytes.h"

static void on_change(struct evbuffer *buffer,
		      const struct evbuffer_cb_info *info, void *arg)
{
	byte_budget_add(arg, info->n_added);
	byte_budget_remove(arg, info->n_deleted);
}

void held_bytes_watch(byte_budget_t *b, struct evbuffer *buffer)
{
	evbuffer_add_cb(buffer, on_change, b);
}

void held_bytes_forget(byte_budget_t *b, struct evbuffer *buffer)
{
	evbuffer_remove_cb(buffer, on_change, b);
	byte_budget_remove(b, evbuffer_get_length(buffer));
}
