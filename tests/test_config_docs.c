#include <glib.h>
#include <stdio.h>

#include "core/config_docs.h"
#include "tests/lib_suite.h"

enum { MAX_DOCS = 4, MAX_BYTES = 4000 };

static bool check_body(void *ctx, const char *doc, str_t body, err_t *err)
{
	return !g_strstr_len(body.ptr, (gssize)body.len, "\"bad\"");
}

static const config_docs_ops_t plain_ops = { .check = check_body };

static config_verdict_t apply_record(config_docs_t *f, uint64_t offset,
				     uint64_t oldest, const char *text)
{
	return config_docs_apply(f, offset, oldest, str_from(text));
}

static config_verdict_t publish(config_docs_t *f, uint64_t offset,
				const char *doc, uint64_t base,
				const char *nonce)
{
	g_autofree char *text = config_docs_write_publication(
		doc, base, nonce, "op", STR_LIT("{\"a\":1}"));

	return apply_record(f, offset, 0, text);
}

static uint64_t version(const config_docs_t *f, const char *doc)
{
	const config_doc_t *d = config_docs_find(f, str_from(doc));

	return d ? d->version : 0;
}

START_TEST(of_racing_publications_the_first_wins)
{
	config_docs_t f;
	config_docs_stats_t stats;

	config_docs_init(&f, MAX_DOCS, MAX_BYTES, &plain_ops, NULL);
	ck_assert_int_eq(publish(&f, 0, "profile/p", 0, "a"), CONFIG_ACCEPTED);
	ck_assert_int_eq(publish(&f, 1, "profile/p", 0, "b"),
			 CONFIG_SUPERSEDED);
	ck_assert_int_eq(publish(&f, 2, "profile/p", 1, "c"), CONFIG_ACCEPTED);
	ck_assert_int_eq(publish(&f, 3, "profile/p", 5, "d"),
			 CONFIG_SUPERSEDED);
	ck_assert_int_eq(publish(&f, 2, "profile/p", 2, "e"), CONFIG_REPEATED);
	ck_assert_uint_eq(version(&f, "profile/p"), 2);
	ck_assert_str_eq(config_docs_find(&f, STR_LIT("profile/p"))->nonce,
			 "c");
	config_docs_stats(&f, &stats);
	ck_assert_uint_eq(stats.accepted, 2);
	ck_assert_uint_eq(stats.superseded, 2);
	config_docs_finish(&f);
}
END_TEST

START_TEST(damaged_and_hostile_records_are_skipped_and_counted)
{
	static const char *const cases[] = {
		"",
		"x",
		"[]",
		"{}",
		"{\"type\":\"publish\"}",
		"{\"type\":\"other\",\"doc\":\"d\"}",
		"{\"type\":\"publish\",\"doc\":\"d\",\"base\":0,\"nonce\":\"n\"}",
		"{\"type\":\"publish\",\"doc\":\"d\",\"base\":-1,\"nonce\":\"n\","
		"\"body\":{}}",
		"{\"type\":\"publish\",\"doc\":\"d\",\"base\":9223372036854775807,"
		"\"nonce\":\"n\",\"body\":{}}",
		"{\"type\":\"publish\",\"doc\":\"d\",\"base\":0,\"nonce\":\"\","
		"\"body\":{}}",
		"{\"type\":\"publish\",\"doc\":\"d e\",\"base\":0,\"nonce\":\"n\","
		"\"body\":{}}",
		"{\"type\":\"publish\",\"doc\":\"d\",\"doc\":\"d\",\"base\":0,"
		"\"nonce\":\"n\",\"body\":{}}",
		"{\"type\":\"publish\",\"doc\":\"d\",\"base\":0,\"nonce\":\"n\","
		"\"body\":{\"bad\":1}}",
		"{\"type\":\"publish\",\"doc\":\"d\\u0000\",\"base\":0,"
		"\"nonce\":\"n\",\"body\":{}}",
		"{\"type\":\"publish\",\"doc\":\"\xff\",\"base\":0,"
		"\"nonce\":\"n\",\"body\":{}}",
		"{\"type\":\"publish\",\"doc\":\"d\",\"base\":0,\"nonce\":\"n\","
		"\"body\":{\"a\":1e999}}",
		"{\"type\":\"snapshot\",\"as_of\":0}",
		"{\"type\":\"snapshot\",\"as_of\":99,\"docs\":[]}",
		"{\"type\":\"snapshot\",\"as_of\":0,\"docs\":[1]}",
		"{\"type\":\"snapshot\",\"as_of\":0,\"docs\":[{\"doc\":\"d\","
		"\"version\":0,\"offset\":0,\"nonce\":\"n\",\"body\":{}}]}",
		"{\"type\":\"snapshot\",\"as_of\":0,\"docs\":[{\"doc\":\"d\","
		"\"version\":1,\"offset\":90,\"nonce\":\"n\",\"body\":{}}]}",
		"{\"type\":\"snapshot\",\"as_of\":0,\"docs\":[{\"doc\":\"d\","
		"\"version\":1,\"offset\":0,\"nonce\":\"n\",\"body\":"
		"{\"bad\":1}}]}",
	};
	config_docs_t f;
	config_docs_stats_t stats;
	size_t n = G_N_ELEMENTS(cases);
	g_autofree char *deep = g_strnfill(5000, '[');

	config_docs_init(&f, MAX_DOCS, MAX_BYTES, &plain_ops, NULL);
	for (size_t i = 0; i < n; i++)
		ck_assert_msg(apply_record(&f, i, 0, cases[i]) ==
				      CONFIG_DAMAGED,
			      "case %zu", i);
	ck_assert_int_eq(apply_record(&f, n, 0, deep), CONFIG_DAMAGED);
	config_docs_stats(&f, &stats);
	ck_assert_uint_eq(stats.damaged, n + 1);
	ck_assert_int_eq(publish(&f, n + 1, "d", 0, "ok"), CONFIG_ACCEPTED);
	config_docs_finish(&f);
}
END_TEST

START_TEST(documents_are_bounded_in_number_and_bytes)
{
	config_docs_t f;
	g_autofree char *fill = g_strnfill(MAX_BYTES, 'x');
	g_autofree char *body = g_strdup_printf("{\"a\":\"%s\"}", fill);
	g_autofree char *large = config_docs_write_publication(
		"e", 0, "n", "op", str_from(body));

	config_docs_init(&f, 2, MAX_BYTES, &plain_ops, NULL);
	ck_assert_int_eq(apply_record(&f, 0, 0, large), CONFIG_DAMAGED);
	ck_assert_int_eq(publish(&f, 1, "a", 0, "n"), CONFIG_ACCEPTED);
	ck_assert_int_eq(publish(&f, 2, "b", 0, "n"), CONFIG_ACCEPTED);
	ck_assert_int_eq(publish(&f, 3, "c", 0, "n"), CONFIG_DAMAGED);
	ck_assert_int_eq(publish(&f, 4, "a", 1, "n"), CONFIG_ACCEPTED);
	config_docs_finish(&f);
}
END_TEST

#define ONE_DOC(v, o)                                                \
	"\"docs\":[{\"doc\":\"p\",\"version\":" #v ",\"offset\":" #o \
	",\"nonce\":\"s\",\"body\":{}}]}"

/* A reader starts at offset 20 and has read none of the earlier records. */
START_TEST(snapshot_is_applied_only_if_it_covers_the_gap)
{
	static const struct {
		const char *snapshot;
		uint64_t oldest; /* when the snapshot at 24 was read */
		config_verdict_t verdict;
		uint64_t version;
	} cases[] = {
		/* As of 20: both held publications are applied after it. */
		{ "{\"type\":\"snapshot\",\"as_of\":20," ONE_DOC(3, 12), 20,
		  CONFIG_SNAPSHOT_APPLIED, 4 },
		/* As of 24: the snapshot includes the held publications. */
		{ "{\"type\":\"snapshot\",\"as_of\":24," ONE_DOC(6, 23), 20,
		  CONFIG_SNAPSHOT_APPLIED, 6 },
		/* Written late by a paused writer: an offset is missing. */
		{ "{\"type\":\"snapshot\",\"as_of\":19," ONE_DOC(3, 12), 20,
		  CONFIG_SNAPSHOT_IGNORED, 0 },
		{ "{\"type\":\"snapshot\",\"as_of\":20," ONE_DOC(3, 12), 21,
		  CONFIG_SNAPSHOT_IGNORED, 0 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		config_docs_t f;

		config_docs_init(&f, MAX_DOCS, MAX_BYTES, &plain_ops, NULL);
		config_docs_set_oldest(&f, 20);
		ck_assert(!config_docs_is_complete(&f));
		ck_assert_ptr_null(config_docs_write_snapshot(&f));
		ck_assert_int_eq(publish(&f, 20, "p", 3, "x"), CONFIG_DEFERRED);
		ck_assert_int_eq(publish(&f, 21, "p", 9, "y"), CONFIG_DEFERRED);
		apply_record(&f, 22, 20, "junk");
		apply_record(&f, 23, 20, "junk");
		ck_assert_int_eq(apply_record(&f, 24, cases[i].oldest,
					      cases[i].snapshot),
				 cases[i].verdict);
		ck_assert_uint_eq(version(&f, "p"), cases[i].version);
		ck_assert(config_docs_is_complete(&f) ==
			  (cases[i].verdict == CONFIG_SNAPSHOT_APPLIED));
		config_docs_finish(&f);
	}
}
END_TEST

START_TEST(a_snapshot_never_lowers_a_version)
{
	config_docs_t f;

	config_docs_init(&f, MAX_DOCS, MAX_BYTES, &plain_ops, NULL);
	for (uint64_t i = 0; i < 5; i++)
		publish(&f, i, "p", i, "n");
	config_docs_set_oldest(&f, 20);
	ck_assert_int_eq(
		apply_record(
			&f, 20, 20,
			"{\"type\":\"snapshot\",\"as_of\":20," ONE_DOC(3, 2)),
		CONFIG_SNAPSHOT_APPLIED);
	ck_assert_uint_eq(version(&f, "p"), 5);
	config_docs_finish(&f);
}
END_TEST

START_TEST(held_records_are_bounded)
{
	config_docs_t f;
	config_docs_stats_t stats;
	config_doc_t doc = { .name = "p", .nonce = "n", .version = 1 };

	doc.body = g_bytes_new_static("{}", 2);
	config_docs_init(&f, MAX_DOCS, MAX_BYTES, &plain_ops, NULL);
	config_docs_set_oldest(&f, 10);
	for (uint64_t i = 10; i < 1010; i++)
		publish(&f, i, "p", i, "n");
	config_docs_stats(&f, &stats);
	ck_assert_uint_gt(stats.deferred_dropped, 900);
	/* Some records after offset 10 are no longer held. */
	ck_assert_int_eq(
		apply_record(
			&f, 1010, 10,
			"{\"type\":\"snapshot\",\"as_of\":10," ONE_DOC(3, 2)),
		CONFIG_SNAPSHOT_IGNORED);
	ck_assert(config_docs_add_relayed(&f, &doc));
	config_docs_end_relay(&f, 10);
	ck_assert(!config_docs_is_complete(&f));
	config_docs_end_relay(&f, 1010);
	ck_assert(config_docs_is_complete(&f));
	g_bytes_unref(doc.body);
	config_docs_finish(&f);
}
END_TEST

START_TEST(newer_relayed_document_is_applied_and_reading_continues)
{
	config_docs_t f;
	config_doc_t doc = { "p", "n5", 3, 5, NULL };

	doc.body = g_bytes_new_static("{}", 2);
	config_docs_init(&f, MAX_DOCS, MAX_BYTES, &plain_ops, NULL);
	ck_assert_int_eq(publish(&f, 0, "p", 0, "n0"), CONFIG_ACCEPTED);
	ck_assert(config_docs_add_relayed(&f, &doc));
	ck_assert(!config_docs_add_relayed(&f, &doc));
	/* The log's own records for versions 2 and 3 change nothing now. */
	ck_assert_int_eq(publish(&f, 1, "p", 1, "n1"), CONFIG_SUPERSEDED);
	ck_assert_int_eq(publish(&f, 2, "p", 3, "n2"), CONFIG_SUPERSEDED);
	ck_assert_uint_eq(version(&f, "p"), 3);
	config_docs_end_relay(&f, 6);
	ck_assert_uint_eq(config_docs_next_offset(&f), 6);
	ck_assert_int_eq(publish(&f, 6, "p", 3, "n6"), CONFIG_ACCEPTED);
	ck_assert_uint_eq(version(&f, "p"), 4);
	g_bytes_unref(doc.body);
	config_docs_finish(&f);
}
END_TEST

/* A log with retention; "reference" reads all records, READERS miss some. */
enum { STEPS = 400, READERS = 4, RECORDS = STEPS + 1 };

typedef struct world {
	GRand *rand;
	char *log[RECORDS];
	uint64_t next;
	uint64_t oldest;
	config_docs_t reference;
	config_docs_t readers[READERS];
	int restarts; /* of readers, which lose their documents */
	char *late[READERS]; /* a snapshot that is not appended yet */
	char nonces[RECORDS * 3][CONFIG_NONCE_SIZE]; /* by doc and version */
} world_t;

static void append(world_t *w, char *text)
{
	uint64_t offset = w->next++;

	w->log[offset] = text;
	config_docs_apply(&w->reference, offset, 0, str_from(text));
}

static void append_publication(world_t *w)
{
	g_autofree char *doc =
		g_strdup_printf("d%d", g_rand_int_range(w->rand, 0, 3));
	g_autofree char *nonce = g_strdup_printf("n%u", g_rand_int(w->rand));
	uint64_t base = version(&w->reference, doc);

	base += (uint64_t)g_rand_int_range(w->rand, base ? -1 : 0, 2);
	append(w, config_docs_write_publication(doc, base, nonce, "op",
						STR_LIT("{\"a\":[1,2]}")));
}

static void read_some(world_t *w, config_docs_t *f)
{
	int n = g_rand_int_range(w->rand, 1, 12);

	config_docs_set_oldest(f, w->oldest);
	for (; n > 0 && config_docs_next_offset(f) < w->next; n--) {
		uint64_t at = config_docs_next_offset(f);

		config_docs_apply(f, at, w->oldest, str_from(w->log[at]));
	}
}

static void relay_doc(void *ctx, const config_doc_t *doc)
{
	config_docs_add_relayed(ctx, doc);
}

static void step_reader(world_t *w, int i)
{
	config_docs_t *f = &w->readers[i];
	config_docs_t *peer =
		&w->readers[g_rand_int_range(w->rand, 0, READERS)];

	switch (g_rand_int_range(w->rand, 0, 6)) {
	case 0:
		if (w->late[i])
			append(w, g_steal_pointer(&w->late[i]));
		else
			w->late[i] = config_docs_write_snapshot(f);
		break;
	case 1:
		if (peer == f)
			break;
		config_docs_each(peer, relay_doc, f);
		if (config_docs_is_complete(peer) && g_rand_boolean(w->rand))
			config_docs_end_relay(f, config_docs_next_offset(peer));
		break;
	case 2:
		if (g_rand_int_range(w->rand, 0, 8))
			break;
		config_docs_finish(f);
		config_docs_init(f, MAX_DOCS, MAX_BYTES, &plain_ops, NULL);
		w->restarts++;
		break;
	default:
		read_some(w, f);
	}
}

/* A version has the same nonce at every reader, whichever records it read. */
static void check_doc(void *ctx, const config_doc_t *doc)
{
	world_t *w = ctx;
	char *known = w->nonces[doc->version * 3 + (doc->name[1] - '0')];

	if (!known[0])
		memcpy(known, doc->nonce, CONFIG_NONCE_SIZE);
	ck_assert_str_eq(known, doc->nonce);
	ck_assert_uint_le(doc->version, version(&w->reference, doc->name));
}

static void check_caught_up(void *ctx, const config_doc_t *doc)
{
	ck_assert_uint_eq(version(ctx, doc->name), doc->version);
}

static void run_world(uint32_t seed)
{
	world_t *w = g_new0(world_t, 1);
	uint64_t before[READERS][3];

	w->rand = g_rand_new_with_seed(seed);
	config_docs_init(&w->reference, MAX_DOCS, MAX_BYTES, &plain_ops, NULL);
	for (int i = 0; i < READERS; i++)
		config_docs_init(&w->readers[i], MAX_DOCS, MAX_BYTES,
				 &plain_ops, NULL);
	for (int step = 0; step < STEPS; step++) {
		int i = g_rand_int_range(w->rand, 0, READERS);
		config_docs_t *f = &w->readers[i];
		int restarts = w->restarts;
		const char *const docs[] = { "d0", "d1", "d2" };

		for (int d = 0; d < 3; d++)
			before[i][d] = version(f, docs[d]);
		if (g_rand_int_range(w->rand, 0, 3) == 0)
			append_publication(w);
		else
			step_reader(w, i);
		if (g_rand_int_range(w->rand, 0, 4) == 0 && w->next > w->oldest)
			w->oldest += (uint64_t)g_rand_int_range(
				w->rand, 0, (gint32)(w->next - w->oldest));
		config_docs_each(f, check_doc, w);
		for (int d = 0; d < 3 && w->restarts == restarts; d++)
			ck_assert_uint_ge(version(f, docs[d]), before[i][d]);
		if (config_docs_is_complete(f) &&
		    config_docs_next_offset(f) == w->next)
			config_docs_each(&w->reference, check_caught_up, f);
	}
	for (int i = 0; i < READERS; i++) {
		config_docs_finish(&w->readers[i]);
		g_free(w->late[i]);
	}
	config_docs_finish(&w->reference);
	for (uint64_t i = 0; i < w->next; i++)
		g_free(w->log[i]);
	g_rand_free(w->rand);
	g_free(w);
}

START_TEST(readers_agree_whatever_they_missed)
{
	for (uint32_t seed = 1; seed <= 300; seed++)
		run_world(seed);
}
END_TEST

SUITE_MAIN("config_docs", of_racing_publications_the_first_wins,
	   damaged_and_hostile_records_are_skipped_and_counted,
	   documents_are_bounded_in_number_and_bytes,
	   snapshot_is_applied_only_if_it_covers_the_gap,
	   a_snapshot_never_lowers_a_version, held_records_are_bounded,
	   newer_relayed_document_is_applied_and_reading_continues,
	   readers_agree_whatever_they_missed)
