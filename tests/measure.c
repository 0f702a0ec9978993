/*
 * Converts the results of load runs into CSV rows and tables, for measure.sh:
 *   measure header
 *   measure row POLICY LOAD FAULT SEED RESULT BEFORE AFTER
 *   measure table RESULTS.csv PLOT.dat
 */
#include <jansson.h>
#include <glib.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum {
	NAME_SIZE = 32,
	LINE_SIZE = 512,
	MAX_ROWS = 8192,
	MAX_GROUPS = 1024,
};

/* One tier of one run. */
typedef struct row {
	char policy[NAME_SIZE], load[NAME_SIZE], fault[NAME_SIZE];
	char seed[NAME_SIZE], tier[NAME_SIZE];
	double seconds, sent, completed, late, not_run, failed, unknown;
	double other; /* broken, left, wrong, missing */
	double p50_ms, p99_ms;
	double prompt_done, prompt_wasted; /* of the whole run */
	double violations; /* of the whole run */
} row_t;

/* Minimum, sum and maximum over the seeds. */
typedef struct spread {
	double min, sum, max;
	unsigned int n;
} spread_t;

/* All seeds of one policy, load, fault and tier. */
typedef struct group {
	char policy[NAME_SIZE], load[NAME_SIZE], fault[NAME_SIZE];
	char tier[NAME_SIZE];
	spread_t goodput, within, refused, late, p99, waste, violations;
} group_t;

static const char header[] =
	"policy,load,fault,seed,tier,seconds,sent,completed,late,not_run,"
	"failed,unknown,other,p50_ms,p99_ms,prompt_done,prompt_wasted,"
	"violations";

static double number(const json_t *object, const char *key)
{
	return json_number_value(json_object_get(object, key));
}

static json_t *load_file(const char *path)
{
	json_error_t error;
	json_t *root = json_load_file(path, 0, &error);

	if (!root) {
		fprintf(stderr, "measure: %s: %s\n", path, error.text);
		exit(EXIT_FAILURE);
	}
	return root;
}

/* Sums a field of "prompt_tokens" over all engines. */
static double sum_prompt(const json_t *oracles, const char *key)
{
	double sum = 0;
	size_t i;
	json_t *oracle;

	json_array_foreach (oracles, i, oracle)
		sum += number(json_object_get(oracle, "prompt_tokens"), key);
	return sum;
}

static void print_tier(char **names, const char *tier, const json_t *t,
		       double seconds, double done, double wasted,
		       size_t violations)
{
	const json_t *whole = json_object_get(t, "whole_ms");

	printf("%s,%s,%s,%s,%s,%.1f,%.0f,%.0f,%.0f,%.0f,%.0f,%.0f,%.0f,"
	       "%.1f,%.1f,%.0f,%.0f,%zu\n",
	       names[0], names[1], names[2], names[3], tier, seconds,
	       number(t, "sent"), number(t, "completed"), number(t, "late"),
	       number(t, "not-run"), number(t, "failed"), number(t, "unknown"),
	       number(t, "broken") + number(t, "left") + number(t, "wrong") +
		       number(t, "missing"),
	       number(whole, "p50"), number(whole, "p99"), done, wasted,
	       violations);
}

static void print_rows(char **args)
{
	json_t *result = load_file(args[4]);
	json_t *before = load_file(args[5]), *after = load_file(args[6]);
	double done = sum_prompt(after, "done") - sum_prompt(before, "done");
	double wasted = 0;
	const char *tier;
	json_t *t;

	wasted += sum_prompt(after, "wasted_cancelled") +
		  sum_prompt(after, "wasted_killed");
	wasted -= sum_prompt(before, "wasted_cancelled") +
		  sum_prompt(before, "wasted_killed");
	json_object_foreach (json_object_get(result, "tiers"), tier, t)
		print_tier(
			args, tier, t, number(result, "seconds"), done, wasted,
			json_array_size(json_object_get(result, "violations")));
	json_decref(result);
	json_decref(before);
	json_decref(after);
}

static void read_numbers(row_t *r, char **f)
{
	double *const fields[] = {
		&r->seconds,   &r->sent,   &r->completed,   &r->late,
		&r->not_run,   &r->failed, &r->unknown,	    &r->other,
		&r->p50_ms,    &r->p99_ms, &r->prompt_done, &r->prompt_wasted,
		&r->violations
	};

	for (size_t i = 0; i < G_N_ELEMENTS(fields); i++)
		*fields[i] = g_ascii_strtod(f[i], NULL);
}

static bool read_row(row_t *r, const char *line)
{
	g_auto(GStrv) f = g_strsplit(line, ",", -1);

	memset(r, 0, sizeof(*r));
	if (g_strv_length(f) != 18 || !strcmp(f[0], "policy"))
		return false;
	g_strlcpy(r->policy, f[0], NAME_SIZE);
	g_strlcpy(r->load, f[1], NAME_SIZE);
	g_strlcpy(r->fault, f[2], NAME_SIZE);
	g_strlcpy(r->seed, f[3], NAME_SIZE);
	g_strlcpy(r->tier, f[4], NAME_SIZE);
	read_numbers(r, f + 5);
	return true;
}

static void add_value(spread_t *s, double value)
{
	s->min = s->n ? MIN(s->min, value) : value;
	s->max = s->n ? MAX(s->max, value) : value;
	s->sum += value;
	s->n++;
}

static double mean(const spread_t *s)
{
	return s->n ? s->sum / s->n : 0;
}

static group_t *find_group(group_t *groups, size_t *n, const row_t *r,
			   const char *tier)
{
	group_t *g;

	for (size_t i = 0; i < *n; i++)
		if (!strcmp(groups[i].policy, r->policy) &&
		    !strcmp(groups[i].load, r->load) &&
		    !strcmp(groups[i].fault, r->fault) &&
		    !strcmp(groups[i].tier, tier))
			return &groups[i];
	if (*n == MAX_GROUPS)
		exit(EXIT_FAILURE);
	g = &groups[(*n)++];
	g_strlcpy(g->policy, r->policy, NAME_SIZE);
	g_strlcpy(g->load, r->load, NAME_SIZE);
	g_strlcpy(g->fault, r->fault, NAME_SIZE);
	g_strlcpy(g->tier, tier, NAME_SIZE);
	return g;
}

static void add_row(group_t *g, const row_t *r)
{
	double sent = MAX(r->sent, 1);

	add_value(&g->goodput, r->completed / r->seconds);
	add_value(&g->within, 100 * r->completed / sent);
	add_value(&g->refused, 100 * r->not_run / sent);
	add_value(&g->late, 100 * r->late / sent);
	add_value(&g->p99, r->p99_ms);
	add_value(&g->waste, 100 * r->prompt_wasted / MAX(r->prompt_done, 1));
	add_value(&g->violations, r->violations);
}

static bool same_run(const row_t *a, const row_t *b)
{
	return !strcmp(a->policy, b->policy) && !strcmp(a->load, b->load) &&
	       !strcmp(a->fault, b->fault) && !strcmp(a->seed, b->seed);
}

/* Adds a group "all" with the totals over the tiers of each run. */
static void add_totals(group_t *groups, size_t *n, const row_t *rows,
		       size_t n_rows)
{
	for (size_t i = 0; i < n_rows;) {
		row_t all = rows[i];
		size_t next = i + 1;

		for (; next < n_rows && same_run(&rows[i], &rows[next]);
		     next++) {
			all.sent += rows[next].sent;
			all.completed += rows[next].completed;
			all.late += rows[next].late;
			all.not_run += rows[next].not_run;
			all.p99_ms = MAX(all.p99_ms, rows[next].p99_ms);
		}
		add_row(find_group(groups, n, &all, "all"), &all);
		i = next;
	}
}

static int compare_groups(const void *a, const void *b)
{
	const group_t *x = a, *y = b;
	int by_fault = strcmp(x->fault, y->fault);
	int by_load = strcmp(x->load, y->load);
	int by_tier = strcmp(x->tier, y->tier);

	if (by_fault)
		return by_fault;
	if (by_load)
		return by_load;
	return by_tier ? by_tier : strcmp(x->policy, y->policy);
}

static void print_group(const group_t *g)
{
	printf("%-6s %-4s %-7s %-12s %7.1f %7.1f %7.1f %7.1f %7.1f %7.1f "
	       "%8.0f",
	       g->fault, g->load, g->tier, g->policy, mean(&g->goodput),
	       g->goodput.min, g->goodput.max, mean(&g->within),
	       mean(&g->refused), mean(&g->late), mean(&g->p99));
	if (!strcmp(g->tier, "all"))
		printf(" %7.2f %7.2f %5.0f", mean(&g->waste), g->waste.max,
		       g->violations.sum);
	putchar('\n');
}

static void write_plot(const char *path, const group_t *groups, size_t n)
{
	FILE *f = fopen(path, "w");

	if (!f)
		exit(EXIT_FAILURE);
	for (size_t i = 0; i < n; i++) {
		const group_t *g = &groups[i];

		if (strcmp(g->fault, "none") || strcmp(g->tier, "all"))
			continue;
		fprintf(f, "%s %s %.3f %.3f %.3f %.5f %.5f %.5f\n", g->policy,
			g->load, mean(&g->goodput), g->goodput.min,
			g->goodput.max, mean(&g->waste) / 100,
			g->waste.min / 100, g->waste.max / 100);
	}
	fclose(f);
}

static int print_table(const char *csv, const char *plot)
{
	static row_t rows[MAX_ROWS];
	static group_t groups[MAX_GROUPS];
	size_t n_rows = 0, n = 0;
	char line[LINE_SIZE];
	FILE *f = fopen(csv, "r");

	if (!f)
		return EXIT_FAILURE;
	while (n_rows < MAX_ROWS && fgets(line, sizeof(line), f))
		n_rows += read_row(&rows[n_rows], line);
	fclose(f);
	for (size_t i = 0; i < n_rows; i++)
		add_row(find_group(groups, &n, &rows[i], rows[i].tier),
			&rows[i]);
	add_totals(groups, &n, rows, n_rows);
	qsort(groups, n, sizeof(*groups), compare_groups);
	printf("%-6s %-4s %-7s %-12s %7s %7s %7s %7s %7s %7s %8s %7s %7s %5s\n",
	       "fault", "load", "tier", "policy", "good/s", "least", "most",
	       "within%", "refus%", "late%", "p99ms", "waste%", "most%",
	       "viol");
	for (size_t i = 0; i < n; i++)
		print_group(&groups[i]);
	write_plot(plot, groups, n);
	return EXIT_SUCCESS;
}

int main(int argc, char **argv)
{
	if (argc == 2 && !strcmp(argv[1], "header")) {
		puts(header);
		return EXIT_SUCCESS;
	}
	if (argc == 9 && !strcmp(argv[1], "row")) {
		print_rows(argv + 2);
		return EXIT_SUCCESS;
	}
	if (argc == 4 && !strcmp(argv[1], "table"))
		return print_table(argv[2], argv[3]);
	fprintf(stderr,
		"usage: measure header\n"
		"       measure row POLICY LOAD FAULT SEED RESULT BEFORE AFTER\n"
		"       measure table RESULTS.csv PLOT.dat\n");
	return EXIT_FAILURE;
}
