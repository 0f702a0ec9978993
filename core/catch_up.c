#include "core/catch_up.h"

enum {
	US_PER_S = 1000000,
	/* A link that is up loses nothing; it may have been down since. */
	AGAIN_US = 5 * US_PER_S,
	/* A part of the narrowest links. */
	BYTES_PER_S = 512 * 1024,
	MAX_PEERS = 1024, /* known; beyond that all are forgotten */
};

typedef struct sent_version {
	uint64_t version;
	int64_t at;
} sent_version_t;

void catch_up_init(catch_up_t *c)
{
	*c = (catch_up_t){ .sent = g_hash_table_new_full(
				   g_str_hash, g_str_equal, g_free, g_free) };
}

void catch_up_finish(catch_up_t *c)
{
	g_hash_table_destroy(c->sent);
}

static bool was_sent(const catch_up_t *c, const char *peer, uint64_t version,
		     int64_t now)
{
	const sent_version_t *last = g_hash_table_lookup(c->sent, peer);

	return last && last->version == version && now - last->at < AGAIN_US;
}

bool catch_up_may_send(catch_up_t *c, const char *peer, uint64_t version,
		       size_t size, int64_t now)
{
	const sent_version_t sent = { version, now };

	if (now < c->next_at || was_sent(c, peer, version, now))
		return false;
	if (g_hash_table_size(c->sent) >= MAX_PEERS)
		g_hash_table_remove_all(c->sent);
	g_hash_table_insert(c->sent, g_strdup(peer),
			    g_memdup2(&sent, sizeof(sent)));
	c->next_at = now + (int64_t)((double)size / BYTES_PER_S * US_PER_S);
	return true;
}
