#include "core/speed_digest.h"

#include "core/dispatcher_state.h"

enum {
	US_PER_MS = 1000,
	/* A speed that is known here is replaced by one that much later only. */
	REPLACE_US = 10000 * US_PER_MS,
};

/* A few answers outweigh what another dispatcher learned. */
static const double import_weight = 0.25;

size_t dispatcher_export_speeds(const dispatcher_t *d, runner_digest_t *out,
				size_t n, int64_t since, int64_t now)
{
	GHashTableIter iter;
	runner_t *r;
	size_t written = 0;

	g_hash_table_iter_init(&iter, d->state->runners);
	while (written < n &&
	       g_hash_table_iter_next(&iter, NULL, (void **)&r)) {
		runner_digest_t *digest = &out[written];

		if (!r->is_listed || !r->speed_at || r->speed_at <= since)
			continue;
		*digest = (runner_digest_t){
			.born_ms = r->info.born_ms,
			.speed = r->model.speed,
			.age_ms = (uint32_t)(MAX(now - r->speed_at, 0) /
					     US_PER_MS),
		};
		g_strlcpy(digest->name, r->info.name, sizeof(digest->name));
		written++;
	}
	return written;
}

bool dispatcher_import_speed(dispatcher_t *d, const runner_digest_t *digest,
			     int64_t now)
{
	str_t name = str_from(digest->name);
	runner_t *r = g_hash_table_lookup(d->state->runners, &name);
	int64_t learned_at = now - (int64_t)digest->age_ms * US_PER_MS;

	if (!r || !r->is_listed || r->info.born_ms != digest->born_ms ||
	    digest->age_ms > SPEED_DIGEST_MAX_AGE_MS ||
	    (r->speed_at && learned_at <= r->speed_at + REPLACE_US) ||
	    digest->speed.decode.weight <= 0)
		return false;
	r->model.speed.prefill =
		line_fit_scaled(&digest->speed.prefill, import_weight);
	r->model.speed.decode =
		line_fit_scaled(&digest->speed.decode, import_weight);
	r->speed_at = learned_at;
	dispatcher_rank_runner(d->state, r, now);
	return true;
}
