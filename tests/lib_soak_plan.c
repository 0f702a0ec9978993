#include "tests/lib_soak_plan.h"

#include <string.h>

static const soak_kind_t kinds[] = {
	{ "plain", "GET", "/plain/x", "/plain/", "desk", "safe", 1500, 2, false,
	  false, 40 },
	{ "book", "POST", "/book/x", "/book/", "desk", "unsafe", 1500, 1, false,
	  false, 30 },
	{ "stream", "POST", "/stream/x", "/stream/", "writer", "streaming",
	  6000, 1, true, false, 15 },
	{ "resume", "POST", "/resume/x", "/resume/", "writer", "streaming",
	  6000, 3, true, true, 10 },
	{ "nowhere", "GET", "/nowhere/x", NULL, NULL, NULL, 1500, 0, false,
	  false, 5 },
};

static const soak_key_t keys[] = {
	{ "one", "key-one", "t1", 60 },
	{ "two", "key-two", "t2", 30 },
	{ "stranger", "key-none", NULL, 10 },
};

size_t soak_draw(GRand *rand, int (*weight_of)(size_t i), size_t n)
{
	int sum = 0, at;
	size_t i = 0;

	for (size_t k = 0; k < n; k++)
		sum += weight_of(k);
	at = g_rand_int_range(rand, 0, sum);
	while (at >= weight_of(i))
		at -= weight_of(i++);
	return i;
}

static int weight_of_kind(size_t i)
{
	return kinds[i].weight;
}

static int weight_of_key(size_t i)
{
	return keys[i].weight;
}

const soak_kind_t *soak_pick_kind(GRand *rand)
{
	return &kinds[soak_draw(rand, weight_of_kind, G_N_ELEMENTS(kinds))];
}

const soak_key_t *soak_pick_key(GRand *rand)
{
	return &keys[soak_draw(rand, weight_of_key, G_N_ELEMENTS(keys))];
}

const soak_kind_t *soak_find_kind(const char *name)
{
	for (size_t i = 0; i < G_N_ELEMENTS(kinds); i++)
		if (!strcmp(kinds[i].name, name))
			return &kinds[i];
	return NULL;
}

const soak_key_t *soak_find_key(const char *name)
{
	for (size_t i = 0; i < G_N_ELEMENTS(keys); i++)
		if (!strcmp(keys[i].name, name))
			return &keys[i];
	return NULL;
}

static void add_route(GString *text, const char *name, const char *prefix,
		      const soak_kind_t *k)
{
	g_string_append_printf(
		text,
		"%s{\"name\":\"%s\",\"host\":\"" SOAK_HOST "\","
		"\"path_prefix\":\"%s\",\"route_type\":\"%s\","
		"\"timeout_ms\":%d,\"latency_target_ms\":800,\"priority\":1,"
		"\"service\":\"%s\",\"max_attempts\":%d,\"anonymous\":false",
		text->str[text->len - 1] == '[' ? "" : ",", name, prefix,
		k->type, k->timeout_ms, k->service, k->max_runs);
	if (k->is_stream)
		g_string_append_printf(text,
				       ",\"itl_target_ms\":400,"
				       "\"resumable\":%s",
				       k->may_resume ? "true" : "false");
	g_string_append_c(text, '}');
}

char *soak_config(int version)
{
	GString *text = g_string_new(NULL);

	g_string_printf(text, "{\"version\":%d,\"routes\":[", version);
	for (size_t i = 0; i < G_N_ELEMENTS(kinds); i++)
		if (kinds[i].prefix)
			add_route(text, kinds[i].name, kinds[i].prefix,
				  &kinds[i]);
	for (int v = MAX(1, version - SOAK_VERSION_ROUTES + 1); v <= version;
	     v++) {
		g_autofree char *name = g_strdup_printf("v%d", v);
		g_autofree char *prefix = g_strdup_printf("/v%d/", v);

		add_route(text, name, prefix, &kinds[0]);
	}
	g_string_append(
		text,
		"],\"services\":[{\"name\":\"writer\","
		"\"health_path\":\"/health\",\"max_conns\":100,"
		"\"inference_engine\":{\"slots\":6,\"kv_capacity\":100000}},"
		"{\"name\":\"desk\",\"health_path\":\"/health\","
		"\"max_conns\":100}],"
		"\"limits\":{\"max_header_bytes\":16384,"
		"\"max_body_bytes\":65536,\"header_timeout_ms\":3000,"
		"\"idle_timeout_ms\":60000},\"tenants\":[");
	for (size_t i = 0; i < G_N_ELEMENTS(keys); i++)
		if (keys[i].team)
			g_string_append_printf(
				text,
				"%s{\"name\":\"%s\",\"api_keys\":[\"%s\"],"
				"\"priority\":1}",
				i ? "," : "", keys[i].team, keys[i].key);
	g_string_append(text, "]}");
	return g_string_free(text, FALSE);
}
