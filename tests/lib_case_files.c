#include "tests/lib_case_files.h"

#define DRAFTS                                                  \
	"{\"service\":\"itinerary-model\",\"tier\":\"drafts\"," \
	"\"share\":0.25,\"engine\":true,\"stream\":true,"       \
	"\"prompt\":[20,1000],\"output\":[20,60],\"deadline_ms\":8000},"
#define TAGS                                                  \
	"{\"service\":\"itinerary-model\",\"tier\":\"tags\"," \
	"\"share\":0.2,\"engine\":true,\"prompt\":[20,200],"  \
	"\"output\":[4,8],\"deadline_ms\":4000},"
#define LOOKUPS                                                  \
	"{\"service\":\"seat-lookup\",\"tier\":\"lookups\","     \
	"\"share\":0.25,\"path\":\"/seats\",\"protected\":true," \
	"\"deadline_ms\":2000},"
#define HOLDS(guard, share)                                                 \
	"{\"service\":\"booking-desk\",\"tier\":\"holds\",\"share\":" share \
	",\"path\":\"/holds\",\"protected\":true,\"guard\":\"" guard        \
	"\",\"deadline_ms\":3000}"
#define LABELS                                                   \
	"{\"service\":\"booking-desk\",\"tier\":\"tags\","       \
	"\"share\":0.7,\"path\":\"/labels\",\"guard\":\"uuid\"," \
	"\"deadline_ms\":4000}"
#define URGENT                                                   \
	"{\"service\":\"itinerary-model\",\"tier\":\"lookups\"," \
	"\"share\":0.3,\"engine\":true,\"protected\":true,"      \
	"\"prompt\":[20,100],\"output\":[4,8],\"deadline_ms\":3000}"
#define LONG_DRAFTS                                             \
	"{\"service\":\"itinerary-model\",\"tier\":\"drafts\"," \
	"\"share\":0.7,\"engine\":true,\"stream\":true,"        \
	"\"prompt\":[200,4000],\"output\":[40,80],\"deadline_ms\":8000},"
#define MIX(kinds)                                                 \
	"{\"kinds\":[" kinds "],\"teams\":["                       \
	"{\"name\":\"agents\",\"weight\":4},{\"name\":\"clerks\"," \
	"\"weight\":2},{\"name\":\"web\"}],\"charters\":6}"

const case_document_t case_documents[CASE_DOCS] = {
	{ "profile/lakeshore", "profile.json",
	  "{\"tiers\":["
	  "{\"name\":\"holds\",\"protected\":true,\"need_ms\":3000,"
	  "\"objective\":0.999},"
	  "{\"name\":\"lookups\",\"protected\":true,\"need_ms\":2000,"
	  "\"objective\":0.99},"
	  "{\"name\":\"tags\",\"weight\":3,\"need_ms\":4000,"
	  "\"objective\":0.95},"
	  "{\"name\":\"drafts\",\"weight\":1,\"need_ms\":8000,"
	  "\"objective\":0.9}],"
	  "\"teams\":{\"agents\":{\"weight\":4}},"
	  "\"other_teams\":{\"weight\":1}}" },
	{ "service/itinerary-model", "itinerary-model.json",
	  "{\"profile\":\"lakeshore\",\"kind\":\"engine\","
	  "\"idempotent\":true,\"default_tier\":\"drafts\","
	  "\"window_tokens\":16000}" },
	{ "service/seat-lookup", "seat-lookup.json",
	  "{\"profile\":\"lakeshore\",\"kind\":\"plain\","
	  "\"idempotent\":true,\"default_tier\":\"lookups\",\"slots\":8}" },
	{ "service/booking-desk", "booking-desk.json",
	  "{\"profile\":\"lakeshore\",\"kind\":\"plain\","
	  "\"idempotent\":false,\"default_tier\":\"holds\",\"slots\":8}" },
};

static const struct {
	const char *file;
	const char *text;
} mixes[] = {
	{ "usual.json", MIX(DRAFTS TAGS LOOKUPS HOLDS("key", "0.1") "," HOLDS(
				"uuid", "0.1") "," HOLDS("ticket", "0.1")) },
	{ "tickets.json", MIX(DRAFTS TAGS LOOKUPS HOLDS("ticket", "0.3")) },
	{ "held.json", MIX(HOLDS("key", "0.3") "," HOLDS(
			       "uuid", "0.3") "," HOLDS("ticket", "0.3")) },
	/*
	 * No free-form keys: after a fault, their hold-off may outlast the
	 * check.
	 */
	{ "recovery.json",
	  MIX(DRAFTS LOOKUPS HOLDS("uuid", "0.2") "," HOLDS("ticket", "0.2")) },
	{ "order.json", MIX(HOLDS("uuid", "0.3") "," LABELS) },
	{ "order-engine.json", MIX(LONG_DRAFTS URGENT) },
};

bool case_write_files(const cluster_t *c)
{
	bool ok = true;

	for (size_t i = 0; i < CASE_DOCS; i++)
		ok = ok && cluster_write(c, case_documents[i].file,
					 case_documents[i].text);
	for (size_t i = 0; i < G_N_ELEMENTS(mixes); i++)
		ok = ok && cluster_write(c, mixes[i].file, mixes[i].text);
	return ok;
}
