#include "core/seq_set.h"

void seq_set_init(seq_set_t *s)
{
	s->ranges = g_array_new(FALSE, FALSE, sizeof(seq_range_t));
}

void seq_set_finish(seq_set_t *s)
{
	g_clear_pointer(&s->ranges, g_array_unref);
}

static seq_range_t *range_at(const seq_set_t *s, guint i)
{
	return &g_array_index(s->ranges, seq_range_t, i);
}

/* Returns how many ranges begin at or before SEQ; usually all of them. */
static guint ranges_until(const seq_set_t *s, uint64_t seq)
{
	guint low = 0;
	guint high = s->ranges->len;

	if (high && range_at(s, high - 1)->first <= seq)
		return high;
	while (low < high) {
		guint middle = low + (high - low) / 2;

		if (range_at(s, middle)->first <= seq)
			low = middle + 1;
		else
			high = middle;
	}
	return low;
}

bool seq_set_has(const seq_set_t *s, uint64_t seq)
{
	guint n = ranges_until(s, seq);

	return n > 0 && range_at(s, n - 1)->last >= seq;
}

bool seq_set_add(seq_set_t *s, uint64_t seq)
{
	guint n = ranges_until(s, seq);
	seq_range_t *before = n > 0 ? range_at(s, n - 1) : NULL;
	seq_range_t *after = n < s->ranges->len ? range_at(s, n) : NULL;
	bool extends_before = before && before->last + 1 == seq;
	bool extends_after = after && seq + 1 == after->first;
	seq_range_t single = { seq, seq };

	if (before && before->last >= seq)
		return false;
	if (extends_before && extends_after) {
		before->last = after->last;
		g_array_remove_index(s->ranges, n);
	} else if (extends_before) {
		before->last = seq;
	} else if (extends_after) {
		after->first = seq;
	} else {
		g_array_insert_val(s->ranges, n, single);
	}
	return true;
}

bool seq_set_append(seq_set_t *s, seq_range_t range)
{
	guint n = s->ranges->len;

	if (range.first > range.last ||
	    (n > 0 && range_at(s, n - 1)->last >= range.first))
		return false;
	g_array_append_val(s->ranges, range);
	return true;
}

bool seq_set_is_empty(const seq_set_t *s)
{
	return !s->ranges->len;
}

uint64_t seq_set_least(const seq_set_t *s)
{
	return s->ranges->len ? range_at(s, 0)->first : 0;
}

uint64_t seq_set_holes(const seq_set_t *s)
{
	uint64_t holes = 0;

	for (guint i = 1; i < s->ranges->len; i++)
		holes += range_at(s, i)->first - range_at(s, i - 1)->last - 1;
	return holes;
}
