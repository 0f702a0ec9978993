#include "core/speed_digest.h"

#include "core/dispatcher_state.h"

enum {
	US_PER_MS = 1000,
	MAX_MEAN_S = 3600, /* of a prompt, or of a token or call */
	MAX_MEAN_X = 100000000, /* tokens, or requests running */
	MAX_PACE = 1000,
	IMPORTED_PACES = 4, /* weight of an imported pace, in statements */
	/* A known speed is replaced only by one learned this much later. */
	REPLACE_US = 10000 * US_PER_MS,
};

/* A few answers outweigh what another dispatcher learned. */
static const double import_weight = 0.25;
/* Above any sum that real answers reach. */
static const double max_weight = 1e9;
static const double min_pace = 0.01;
static const double rounding = 1e-3; /* relative error of sums sent as floats */

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
			.usual_pace = r->model.stated.usual_pace,
			.n_paces = r->model.stated.n_paces,
			.age_ms = (uint32_t)(MAX(now - r->speed_at, 0) /
					     US_PER_MS),
		};
		g_strlcpy(digest->name, r->info.name, sizeof(digest->name));
		written++;
	}
	return written;
}

/* Also true for a line without samples. */
static bool is_plausible(const line_fit_t *line)
{
	double mean_x, mean_xx;

	if (line->weight <= 0)
		return line->weight >= 0;
	mean_x = line->x / line->weight;
	mean_xx = line->xx / line->weight;
	return line->weight <= max_weight && mean_x >= 0 &&
	       mean_x <= MAX_MEAN_X && line->y >= 0 && line->xy >= 0 &&
	       line->y / line->weight <= MAX_MEAN_S &&
	       mean_xx >= mean_x * mean_x * (1 - rounding) &&
	       (mean_x > 0 || line->xy <= 0);
}

bool runner_digest_is_plausible(const runner_digest_t *digest)
{
	return is_plausible(&digest->speed.prefill) &&
	       is_plausible(&digest->speed.decode) &&
	       digest->usual_pace <= MAX_PACE &&
	       (digest->usual_pace >= min_pace || digest->usual_pace == 0);
}

static void import_line(line_fit_t *line, const line_fit_t *imported)
{
	if (imported->weight > 0)
		*line = line_fit_scaled(imported, import_weight);
}

/* A pace stated to this dispatcher takes precedence. */
static void import_pace(runner_statements_t *stated,
			const runner_digest_t *digest)
{
	if (stated->n_paces || digest->usual_pace <= 0)
		return;
	stated->usual_pace = digest->usual_pace;
	stated->n_paces = CLAMP(digest->n_paces, 1, IMPORTED_PACES);
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
	    digest->speed.decode.weight <= 0 ||
	    !runner_digest_is_plausible(digest))
		return false;
	import_line(&r->model.speed.prefill, &digest->speed.prefill);
	import_line(&r->model.speed.decode, &digest->speed.decode);
	import_pace(&r->model.stated, digest);
	r->speed_at = learned_at;
	dispatcher_rank_runner(d->state, r, now);
	return true;
}
