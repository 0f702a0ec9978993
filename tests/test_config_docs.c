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

static config_verdict_t apply_record(config_docs_t *docs, uint64_t offset,
				     uint64_t oldest, const char *text)
{
	return config_docs_apply(docs, offset, oldest, str_from(text));
}

static config_verdict_t publish(config_docs_t *docs, uint64_t offset,
				const char *doc, uint64_t base,
				const char *nonce)
{
	g_autofree char *text = config_docs_write_publication(
		doc, base, nonce, "op", STR_LIT("{\"a\":1}"));

	return apply_record(docs, offset, 0, text);
}

static uint64_t version(const config_docs_t *docs, const char *doc)
{
	const config_doc_t *d = config_docs_find(docs, str_from(doc));

	return d ? d->version : 0;
}

START_TEST(first_of_concurrent_publications_wins)
{
	config_docs_t docs;
	config_docs_stats_t stats;

	config_docs_init(&docs, MAX_DOCS, MAX_BYTES, &plain_ops, NULL);
	ck_assert_int_eq(publish(&docs, 0, "profile/p", 0, "a"),
			 CONFIG_ACCEPTED);
	ck_assert_int_eq(publish(&docs, 1, "profile/p", 0, "b"),
			 CONFIG_SUPERSEDED);
	ck_assert_int_eq(publish(&docs, 2, "profile/p", 1, "c"),
			 CONFIG_ACCEPTED);
	ck_assert_int_eq(publish(&docs, 3, "profile/p", 5, "d"),
			 CONFIG_SUPERSEDED);
	ck_assert_int_eq(publish(&docs, 2, "profile/p", 2, "e"),
			 CONFIG_REPEATED);
	ck_assert_uint_eq(version(&docs, "profile/p"), 2);
	ck_assert_str_eq(config_docs_find(&docs, STR_LIT("profile/p"))->nonce,
			 "c");
	config_docs_stats(&docs, &stats);
	ck_assert_uint_eq(stats.accepted, 2);
	ck_assert_uint_eq(stats.superseded, 2);
	config_docs_finish(&docs);
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
	config_docs_t docs;
	config_docs_stats_t stats;
	size_t n = G_N_ELEMENTS(cases);
	g_autofree char *deep = g_strnfill(5000, '[');

	config_docs_init(&docs, MAX_DOCS, MAX_BYTES, &plain_ops, NULL);
	for (size_t i = 0; i < n; i++)
		ck_assert_msg(apply_record(&docs, i, 0, cases[i]) ==
				      CONFIG_DAMAGED,
			      "case %zu", i);
	ck_assert_int_eq(apply_record(&docs, n, 0, deep), CONFIG_DAMAGED);
	config_docs_stats(&docs, &stats);
	ck_assert_uint_eq(stats.damaged, n + 1);
	ck_assert_int_eq(publish(&docs, n + 1, "d", 0, "ok"), CONFIG_ACCEPTED);
	config_docs_finish(&docs);
}
END_TEST

START_TEST(documents_are_bounded_in_number_and_bytes)
{
	config_docs_t docs;
	g_autofree char *padding = g_strnfill(MAX_BYTES, 'x');
	g_autofree char *body = g_strdup_printf("{\"a\":\"%s\"}", padding);
	g_autofree char *large = config_docs_write_publication(
		"e", 0, "n", "op", str_from(body));

	config_docs_init(&docs, 2, MAX_BYTES, &plain_ops, NULL);
	ck_assert_int_eq(apply_record(&docs, 0, 0, large), CONFIG_DAMAGED);
	ck_assert_int_eq(publish(&docs, 1, "a", 0, "n"), CONFIG_ACCEPTED);
	ck_assert_int_eq(publish(&docs, 2, "b", 0, "n"), CONFIG_ACCEPTED);
	ck_assert_int_eq(publish(&docs, 3, "c", 0, "n"), CONFIG_DAMAGED);
	ck_assert_int_eq(publish(&docs, 4, "a", 1, "n"), CONFIG_ACCEPTED);
	config_docs_finish(&docs);
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
		/* As of 20: both deferred publications are applied after it. */
		{ "{\"type\":\"snapshot\",\"as_of\":20," ONE_DOC(3, 12), 20,
		  CONFIG_SNAPSHOT_APPLIED, 4 },
		/* As of 24: the snapshot includes the deferred publications. */
		{ "{\"type\":\"snapshot\",\"as_of\":24," ONE_DOC(6, 23), 20,
		  CONFIG_SNAPSHOT_APPLIED, 6 },
		/* Written late by a paused writer: offset 19 is missing. */
		{ "{\"type\":\"snapshot\",\"as_of\":19," ONE_DOC(3, 12), 20,
		  CONFIG_SNAPSHOT_IGNORED, 0 },
		{ "{\"type\":\"snapshot\",\"as_of\":20," ONE_DOC(3, 12), 21,
		  CONFIG_SNAPSHOT_IGNORED, 0 },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		config_docs_t docs;

		config_docs_init(&docs, MAX_DOCS, MAX_BYTES, &plain_ops, NULL);
		config_docs_set_oldest(&docs, 20);
		ck_assert(!config_docs_is_complete(&docs));
		ck_assert_ptr_null(config_docs_write_snapshot(&docs));
		ck_assert_int_eq(publish(&docs, 20, "p", 3, "x"),
				 CONFIG_DEFERRED);
		ck_assert_int_eq(publish(&docs, 21, "p", 9, "y"),
				 CONFIG_DEFERRED);
		apply_record(&docs, 22, 20, "junk");
		apply_record(&docs, 23, 20, "junk");
		ck_assert_int_eq(apply_record(&docs, 24, cases[i].oldest,
					      cases[i].snapshot),
				 cases[i].verdict);
		ck_assert_uint_eq(version(&docs, "p"), cases[i].version);
		ck_assert(config_docs_is_complete(&docs) ==
			  (cases[i].verdict == CONFIG_SNAPSHOT_APPLIED));
		config_docs_finish(&docs);
	}
}
END_TEST

START_TEST(a_snapshot_never_lowers_a_version)
{
	config_docs_t docs;

	config_docs_init(&docs, MAX_DOCS, MAX_BYTES, &plain_ops, NULL);
	for (uint64_t i = 0; i < 5; i++)
		publish(&docs, i, "p", i, "n");
	config_docs_set_oldest(&docs, 20);
	ck_assert_int_eq(
		apply_record(
			&docs, 20, 20,
			"{\"type\":\"snapshot\",\"as_of\":20," ONE_DOC(3, 2)),
		CONFIG_SNAPSHOT_APPLIED);
	ck_assert_uint_eq(version(&docs, "p"), 5);
	config_docs_finish(&docs);
}
END_TEST

START_TEST(deferred_records_are_bounded)
{
	config_docs_t docs;
	config_docs_stats_t stats;
	config_doc_t doc = { .name = "p", .nonce = "n", .version = 1 };

	doc.body = g_bytes_new_static("{}", 2);
	config_docs_init(&docs, MAX_DOCS, MAX_BYTES, &plain_ops, NULL);
	config_docs_set_oldest(&docs, 10);
	for (uint64_t i = 10; i < 1010; i++)
		publish(&docs, i, "p", i, "n");
	config_docs_stats(&docs, &stats);
	ck_assert_uint_gt(stats.deferred_dropped, 900);
	/* Some of the records from offset 10 on were dropped. */
	ck_assert_int_eq(
		apply_record(
			&docs, 1010, 10,
			"{\"type\":\"snapshot\",\"as_of\":10," ONE_DOC(3, 2)),
		CONFIG_SNAPSHOT_IGNORED);
	ck_assert(config_docs_add_relayed(&docs, &doc));
	config_docs_end_relay(&docs, 10);
	ck_assert(!config_docs_is_complete(&docs));
	config_docs_end_relay(&docs, 1010);
	ck_assert(config_docs_is_complete(&docs));
	g_bytes_unref(doc.body);
	config_docs_finish(&docs);
}
END_TEST

START_TEST(newer_relayed_document_is_applied_and_reading_continues)
{
	config_docs_t docs;
	config_doc_t doc = { "p", "n5", 3, 5, NULL };

	doc.body = g_bytes_new_static("{}", 2);
	config_docs_init(&docs, MAX_DOCS, MAX_BYTES, &plain_ops, NULL);
	ck_assert_int_eq(publish(&docs, 0, "p", 0, "n0"), CONFIG_ACCEPTED);
	ck_assert(config_docs_add_relayed(&docs, &doc));
	ck_assert(!config_docs_add_relayed(&docs, &doc));
	/* The log's own records for versions 2 and 3 change nothing now. */
	ck_assert_int_eq(publish(&docs, 1, "p", 1, "n1"), CONFIG_SUPERSEDED);
	ck_assert_int_eq(publish(&docs, 2, "p", 3, "n2"), CONFIG_SUPERSEDED);
	ck_assert_uint_eq(version(&docs, "p"), 3);
	config_docs_end_relay(&docs, 6);
	ck_assert_uint_eq(config_docs_next_offset(&docs), 6);
	ck_assert_int_eq(publish(&docs, 6, "p", 3, "n6"), CONFIG_ACCEPTED);
	ck_assert_uint_eq(version(&docs, "p"), 4);
	g_bytes_unref(doc.body);
	config_docs_finish(&docs);
}
END_TEST

/* A log with retention; `reference` reads all records, `readers` miss some. */
enum { STEPS = 400, READERS = 4, RECORDS = STEPS + 1 };

typedef struct config_sim {
	GRand *rand;
	char *log[RECORDS];
	uint64_t next;
	uint64_t oldest;
	config_docs_t reference;
	config_docs_t readers[READERS];
	int restarts; /* of readers, which lose their documents */
	char *unappended[READERS]; /* snapshots not yet appended */
	char nonces[RECORDS * 3][CONFIG_NONCE_SIZE]; /* by doc and version */
} config_sim_t;

static void append(config_sim_t *s, char *text)
{
	uint64_t offset = s->next++;

	s->log[offset] = text;
	config_docs_apply(&s->reference, offset, 0, str_from(text));
}

static void append_publication(config_sim_t *s)
{
	g_autofree char *doc =
		g_strdup_printf("d%d", g_rand_int_range(s->rand, 0, 3));
	g_autofree char *nonce = g_strdup_printf("n%u", g_rand_int(s->rand));
	uint64_t base = version(&s->reference, doc);

	base += (uint64_t)g_rand_int_range(s->rand, base ? -1 : 0, 2);
	append(s, config_docs_write_publication(doc, base, nonce, "op",
						STR_LIT("{\"a\":[1,2]}")));
}

static void read_some(config_sim_t *s, config_docs_t *docs)
{
	int n = g_rand_int_range(s->rand, 1, 12);

	config_docs_set_oldest(docs, s->oldest);
	for (; n > 0 && config_docs_next_offset(docs) < s->next; n--) {
		uint64_t at = config_docs_next_offset(docs);

		config_docs_apply(docs, at, s->oldest, str_from(s->log[at]));
	}
}

static void relay_doc(void *ctx, const config_doc_t *doc)
{
	config_docs_add_relayed(ctx, doc);
}

static void step_reader(config_sim_t *s, int i)
{
	config_docs_t *docs = &s->readers[i];
	config_docs_t *peer =
		&s->readers[g_rand_int_range(s->rand, 0, READERS)];

	switch (g_rand_int_range(s->rand, 0, 6)) {
	case 0:
		if (s->unappended[i])
			append(s, g_steal_pointer(&s->unappended[i]));
		else
			s->unappended[i] = config_docs_write_snapshot(docs);
		break;
	case 1:
		if (peer == docs)
			break;
		config_docs_each(peer, relay_doc, docs);
		if (config_docs_is_complete(peer) && g_rand_boolean(s->rand))
			config_docs_end_relay(docs,
					      config_docs_next_offset(peer));
		break;
	case 2:
		if (g_rand_int_range(s->rand, 0, 8))
			break;
		config_docs_finish(docs);
		config_docs_init(docs, MAX_DOCS, MAX_BYTES, &plain_ops, NULL);
		s->restarts++;
		break;
	default:
		read_some(s, docs);
	}
}

/* A version has the same nonce at every reader, whichever records it read. */
static void check_doc(void *ctx, const config_doc_t *doc)
{
	config_sim_t *s = ctx;
	char *known = s->nonces[doc->version * 3 + (doc->name[1] - '0')];

	if (!known[0])
		memcpy(known, doc->nonce, CONFIG_NONCE_SIZE);
	ck_assert_str_eq(known, doc->nonce);
	ck_assert_uint_le(doc->version, version(&s->reference, doc->name));
}

static void check_caught_up(void *ctx, const config_doc_t *doc)
{
	ck_assert_uint_eq(version(ctx, doc->name), doc->version);
}

static void run_seed(uint32_t seed)
{
	config_sim_t *s = g_new0(config_sim_t, 1);
	uint64_t before[READERS][3];

	s->rand = g_rand_new_with_seed(seed);
	config_docs_init(&s->reference, MAX_DOCS, MAX_BYTES, &plain_ops, NULL);
	for (int i = 0; i < READERS; i++)
		config_docs_init(&s->readers[i], MAX_DOCS, MAX_BYTES,
				 &plain_ops, NULL);
	for (int step = 0; step < STEPS; step++) {
		int i = g_rand_int_range(s->rand, 0, READERS);
		config_docs_t *docs = &s->readers[i];
		int restarts = s->restarts;
		const char *const names[] = { "d0", "d1", "d2" };

		for (int d = 0; d < 3; d++)
			before[i][d] = version(docs, names[d]);
		if (g_rand_int_range(s->rand, 0, 3) == 0)
			append_publication(s);
		else
			step_reader(s, i);
		if (g_rand_int_range(s->rand, 0, 4) == 0 && s->next > s->oldest)
			s->oldest += (uint64_t)g_rand_int_range(
				s->rand, 0, (gint32)(s->next - s->oldest));
		config_docs_each(docs, check_doc, s);
		for (int d = 0; d < 3 && s->restarts == restarts; d++)
			ck_assert_uint_ge(version(docs, names[d]),
					  before[i][d]);
		if (config_docs_is_complete(docs) &&
		    config_docs_next_offset(docs) == s->next)
			config_docs_each(&s->reference, check_caught_up, docs);
	}
	for (int i = 0; i < READERS; i++) {
		config_docs_finish(&s->readers[i]);
		g_free(s->unappended[i]);
	}
	config_docs_finish(&s->reference);
	for (uint64_t i = 0; i < s->next; i++)
		g_free(s->log[i]);
	g_rand_free(s->rand);
	g_free(s);
}

START_TEST(readers_agree_whichever_records_they_missed)
{
	for (uint32_t seed = 1; seed <= 300; seed++)
		run_seed(seed);
}
END_TEST

SUITE_MAIN("config_docs", first_of_concurrent_publications_wins,
	   damaged_and_hostile_records_are_skipped_and_counted,
	   documents_are_bounded_in_number_and_bytes,
	   snapshot_is_applied_only_if_it_covers_the_gap,
	   a_snapshot_never_lowers_a_version, deferred_records_are_bounded,
	   newer_relayed_document_is_applied_and_reading_continues,
	   readers_agree_whichever_records_they_missed)
