/* The configuration log as a command folds it. */
#ifndef CTL_CONFIG_LOG_H
#define CTL_CONFIG_LOG_H

#include "core/config_docs.h"
#include "ctl/remote.h"

#define CONFIG_LOG "config"

typedef struct config_log {
	remote_t *remote;
	config_docs_t fold;
	char nonce[CONFIG_NONCE_SIZE]; /* waited for, or "" */
	bool is_judged;
	config_verdict_t verdict; /* of the nonce waited for */
	uint64_t version; /* that the nonce's publication got */
} config_log_t;

void config_log_init(config_log_t *c, remote_t *remote);
void config_log_finish(config_log_t *c);
/* Folds all that the log holds now. */
bool config_log_read(config_log_t *c, err_t *err);

#endif
