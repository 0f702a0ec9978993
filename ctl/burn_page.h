/* Renders the burn report as one self-contained HTML page. */
#ifndef CTL_BURN_PAGE_H
#define CTL_BURN_PAGE_H

#include "ctl/burn_rows.h"

typedef struct burn_page {
	const accounts_reader_t *reader;
	const burn_objectives_t *objectives;
	const burn_query_t *query;
	const GArray *rows; /* of burn_row_t */
	accounts_counts_t missing;
} burn_page_t;

/* Returns the page's text. */
GString *burn_page_write(const burn_page_t *page);

#endif
