#include "ctl/config_log.h"

#include "core/profile.h"

static bool check_body(void *ctx, const char *doc, str_t body, err_t *err)
{
	return profile_check(str_from(doc), body, err);
}

/* Only the first verdict on a nonce counts; repeated records are ignored. */
static void on_verdict(void *ctx, const char *nonce, config_verdict_t verdict,
		       const config_doc_t *doc)
{
	config_log_t *c = ctx;

	if (c->has_verdict || strcmp(nonce, c->nonce))
		return;
	c->has_verdict = true;
	c->verdict = verdict;
	c->version = doc ? doc->version : 0;
}

void config_log_init(config_log_t *c, remote_t *remote)
{
	static const config_docs_ops_t ops = { .on_verdict = on_verdict,
					       .check = check_body };

	memset(c, 0, sizeof(*c));
	c->remote = remote;
	config_docs_init(&c->docs, CONFIG_MAX_DOCS, CONFIG_MAX_BYTES, &ops, c);
}

void config_log_finish(config_log_t *c)
{
	config_docs_finish(&c->docs);
}

static void on_page(void *ctx, const platform_record_t *records, size_t n,
		    uint64_t oldest)
{
	config_log_t *c = ctx;

	config_docs_set_oldest(&c->docs, oldest);
	for (size_t i = 0; i < n; i++)
		config_docs_apply(&c->docs, records[i].offset, oldest,
				  records[i].data);
}

bool config_log_read(config_log_t *c, err_t *err)
{
	uint64_t next = config_docs_next_offset(&c->docs);

	return remote_read_log(c->remote, CONFIG_LOG, &next, on_page, c, err);
}
