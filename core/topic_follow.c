#include "core/topic_follow.h"

bool topic_follow_read(topic_follow_t *f, uint64_t next, int64_t now)
{
	bool is_news = !f->is_listed || next > f->next;

	f->known_at = now;
	if (!is_news)
		return false;
	f->next = next;
	f->is_listed = true;
	return true;
}

void topic_follow_lost(topic_follow_t *f)
{
	f->is_listed = false;
}

topic_news_t topic_follow_hear(topic_follow_t *f, uint64_t from, uint64_t next,
			       int64_t now)
{
	if (!f->is_listed || next < f->next)
		return TOPIC_NEWS_OLD;
	if (from > f->next)
		return TOPIC_NEWS_MISSED;
	f->known_at = now;
	if (next == f->next)
		return TOPIC_NEWS_OLD;
	f->next = next;
	return TOPIC_NEWS_APPLY;
}

bool topic_follow_is_due(const topic_follow_t *f, int64_t now)
{
	return f->is_reader || !f->is_listed ||
	       now - f->known_at >= f->patience;
}
