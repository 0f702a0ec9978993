#include "standin/lib_args.h"

#include <argtable2.h>
#include <glib.h>
#include <stdio.h>
#include <stdlib.h>

static void *make_entry(const arg_row_t *row)
{
	switch (row->kind) {
	case ARG_NUMBER:
		return arg_dbl0(NULL, row->name, "NUMBER", row->help);
	case ARG_TEXT:
		return arg_str0(NULL, row->name, "TEXT", row->help);
	case ARG_FLAG:
		return arg_lit0(NULL, row->name, row->help);
	}
	return NULL;
}

static void store_value(const arg_row_t *row, void *entry)
{
	struct arg_dbl *number = entry;
	struct arg_str *text = entry;
	struct arg_lit *flag = entry;

	if (row->kind == ARG_NUMBER && number->count)
		*(double *)row->value = number->dval[0];
	else if (row->kind == ARG_TEXT && text->count)
		*(const char **)row->value = text->sval[0];
	else if (row->kind == ARG_FLAG && flag->count)
		*(bool *)row->value = true;
}

static void print_usage(FILE *out, const char *name, void **table)
{
	fprintf(out, "usage: %s", name);
	arg_print_syntax(out, table, "\n");
	arg_print_glossary(out, table, "  %-28s %s\n");
}

enum { ARGS_MAX = 32 };

void args_read(int argc, char **argv, const arg_row_t *rows, size_t n)
{
	void *table[ARGS_MAX + 2] = { NULL };
	struct arg_lit *help = arg_lit0(NULL, "help", "print this and exit");
	struct arg_end *end = arg_end(8);

	g_assert(n <= ARGS_MAX);
	for (size_t i = 0; i < n; i++)
		table[i] = make_entry(&rows[i]);
	table[n] = help;
	table[n + 1] = end;
	if (arg_parse(argc, argv, table)) {
		arg_print_errors(stderr, end, argv[0]);
		print_usage(stderr, argv[0], table);
		exit(EXIT_FAILURE);
	}
	if (help->count) {
		print_usage(stdout, argv[0], table);
		exit(EXIT_SUCCESS);
	}
	for (size_t i = 0; i < n; i++)
		store_value(&rows[i], table[i]);
	arg_freetable(table, n + 2);
}
