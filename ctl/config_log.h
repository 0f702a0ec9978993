/* Replays the configuration log into the documents in force. */
#ifndef CTL_CONFIG_LOG_H
#define CTL_CONFIG_LOG_H

#include "core/config_docs.h"
#include "ctl/remote.h"

#define CONFIG_LOG "config"

typedef struct config_log {
	remote_t *remote;
	config_docs_t docs;
	/* Nonce of the publication whose verdict is awaited; "" for none. */
	char nonce[CONFIG_NONCE_SIZE];
	bool has_verdict;
	config_verdict_t verdict; /* on that publication */
	uint64_t version; /* assigned to that publication */
} config_log_t;

void config_log_init(config_log_t *c, remote_t *remote);
void config_log_finish(config_log_t *c);
/* Reads the log to its current end and applies its records. */
bool config_log_read(config_log_t *c, err_t *err);

#endif
