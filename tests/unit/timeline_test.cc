// The time line command's parts: merging, filtering, printing, and asking
// processes of which some do not answer.
#include <gtest/gtest.h>

#include <arpa/inet.h>

#include <string>
#include <vector>

extern "C" {
#include "ctl/timeline_gather.h"
#include "ctl/timeline_merge.h"
#include "kernel/tl.h"
#include "rpc/tl_rpc.h"
}

namespace
{

struct Event {
	uint64_t stamp;
	uint32_t kind;
	const char *subject;
};

void Add(struct tm_list *list, const char *host, const char *role,
	 const std::vector<Event> &events)
{
	std::vector<bp_event> out;
	bp_timeline_part part = {};
	char detail[] = "k=v";

	for (const auto &e : events)
		out.push_back({ e.stamp << CK_HLC_COUNTER_BITS, e.kind,
				const_cast<char *>(e.subject), detail });
	part.host = const_cast<char *>(host);
	part.role = const_cast<char *>(role);
	part.events.events_len = (u_int)out.size();
	part.events.events_val = out.data();
	tm_add(list, &part);
}

std::string Print(struct tm_list *list, bool json)
{
	char *text = nullptr;
	size_t bytes = 0;
	FILE *out = open_memstream(&text, &bytes);

	tm_print(list, json, out);
	fclose(out);
	std::string s(text, bytes);
	free(text);
	return s;
}

TEST(Timeline, MergesByStampAndFilters)
{
	const std::string a = "1970-01-01T00:00:00.001Z h1/entry "
			      "request_accepted r1 k=v\n";
	const std::string b = "1970-01-01T00:00:00.002Z h2/index "
			      "events_gap e1 k=v\n";
	const std::string c = "1970-01-01T00:00:01.003Z h1/entry "
			      "request_done r1 k=v\n";
	struct {
		struct tm_filter filter;
		std::string want;
	} cases[] = {
		{ { nullptr, nullptr, TL_KIND_COUNT }, a + b + c },
		{ { "r1", nullptr, TL_KIND_COUNT }, a + c },
		{ { nullptr, "h2", TL_KIND_COUNT }, b },
		{ { nullptr, nullptr, TL_REQUEST_DONE }, c },
		{ { "r1", "h2", TL_KIND_COUNT }, "" },
	};

	for (const auto &k : cases) {
		struct tm_list list;

		tm_init(&list, &k.filter);
		Add(&list, "h1", "entry",
		    { { 1, TL_REQUEST_ACCEPTED, "r1" },
		      { 1003, TL_REQUEST_DONE, "r1" } });
		Add(&list, "h2", "index", { { 2, TL_EVENTS_GAP, "e1" } });
		EXPECT_EQ(Print(&list, false), k.want);
		tm_finish(&list);
	}
}

TEST(Timeline, JsonLines)
{
	struct tm_filter filter = { nullptr, nullptr, TL_KIND_COUNT };
	struct tm_list list;

	tm_init(&list, &filter);
	Add(&list, "h1", "entry", { { 1, 999, "a\"b" } });
	EXPECT_EQ(Print(&list, true),
		  "{\"time\":\"1970-01-01T00:00:00.001Z\",\"stamp\":65536,"
		  "\"host\":\"h1\",\"role\":\"entry\",\"incarnation\":0,"
		  "\"kind\":\"unknown\",\"subject\":\"a\\\"b\","
		  "\"detail\":\"k=v\"}\n");
	tm_finish(&list);
}

TEST(Timeline, GathersFromThoseThatAnswer)
{
	const uint8_t key[RP_KEY_BYTES] = { 5 };
	struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
	struct rp_endpoint ep = {}, gone = {};
	struct rp_desc d = {};

	d.loop = loop;
	d.address = "127.0.0.1";
	d.key = key;
	d.incarnation = 7;
	ASSERT_EQ(rp_init(&ep, &d), ST_OK);
	ASSERT_EQ(rp_init(&gone, &d), ST_OK);
	ASSERT_EQ(tl_rpc_serve(&ep, "h1", "control", 7), ST_OK);
	for (int i = 0; i < TL_CAPACITY + 10; i++)
		tl_record(TL_CONFIG_APPLIED, "config/1", "n=%d", i);
	std::vector<tg_target> targets(4);
	uint16_t gone_port = rp_port(&gone);
	rp_finish(&gone);
	for (size_t i = 0; i < targets.size(); i++) {
		targets[i].host = "h1";
		targets[i].role = "control";
		targets[i].to.ipv4 = INADDR_LOOPBACK;
		targets[i].to.port = i == 3 ? gone_port : rp_port(&ep);
	}
	struct tm_filter filter = { nullptr, nullptr, TL_KIND_COUNT };
	struct tm_list list;
	tm_init(&list, &filter);
	struct tg_desc desc = {};
	desc.key = key;
	desc.targets = targets.data();
	desc.count = (uint32_t)targets.size();
	desc.loop = loop;
	EXPECT_EQ(tg_run(&desc, &list), ST_OK);
	for (uint32_t i = 0; i < desc.count; i++) {
		EXPECT_EQ(targets[i].code, i == 3 ? ST_UNAVAILABLE : ST_OK);
		EXPECT_EQ(targets[i].overwritten, i == 3 ? 0u : 10u);
	}
	EXPECT_EQ(list.events->len, 3u * TL_CAPACITY);
	tm_finish(&list);
	rp_finish(&ep);
	ev_loop_destroy(loop);
}

} // namespace
