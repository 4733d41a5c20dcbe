// Runs a feed against a stand-in engine with lost events, a silent stream and a
// crash, and checks that look-ups match the contents of the engine's cache.
#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <json-c/json.h>

#include <functional>

#include "cluster.h"

extern "C" {
#include "index/ix_feed.h"
#include "kernel/ck.h"
#include "prefix/px.h"
}

using namespace harness;

namespace
{

// The engine's cache has 6 blocks of 2,000 tokens of 4 bytes.
const char large_blocks[] =
	"{\"models\":[{\"model\":\"m\",\"version\":\"v1\"}],"
	"\"block_tokens\":2000,\"bytes_per_token\":4,\"cache_blocks\":6,"
	"\"prefill_tokens_per_s\":10000000,\"token_ms\":1,"
	"\"event_delay_ms\":20,\"load_period_ms\":30,\"load_ms\":50}";

struct Prompt {
	std::string text;
	struct px_chain chain;
	std::vector<uint64_t> blocks;
	uint32_t tokens = 0, block_tokens = 0;
	uint64_t incarnation = 0;

	explicit Prompt(const std::string &t) : text(t)
	{
		px_chain_make(&chain, 1, text.data(), text.size());
	}
};

class IndexFollow : public testing::Test
{
      protected:
	TemporaryDirectory directory;
	std::unique_ptr<StandIns> stand_ins;
	struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
	struct hc_client http;
	struct ix_index index;
	struct ix_feed feed;
	int notices[IX_NOTICE_GAP + 1] = {};
	uint64_t requests = 0;

	void SetUp() override
	{
		Options options;
		struct hc_desc http_desc = {};
		struct ix_desc desc = {};
		struct ix_feed_desc feed_desc = {};
		unsigned a, b, c, d, port;

		options.engine_defaults = large_blocks;
		stand_ins = std::make_unique<StandIns>(options, directory.path);
		ASSERT_EQ(sscanf(stand_ins->engine_url(0).c_str(),
				 "http://%u.%u.%u.%u:%u", &a, &b, &c, &d,
				 &port),
			  5);
		http_desc.loop = loop;
		ASSERT_EQ(hc_init(&http, &http_desc), ST_OK);
		ix_init(&index, &desc, ck_now_ms());
		ASSERT_EQ(ix_own(&index, 1, ck_now_ms()), ST_OK);
		feed_desc.loop = loop;
		feed_desc.http = &http;
		feed_desc.index = &index;
		feed_desc.engine = 1;
		feed_desc.name = "e1";
		feed_desc.ipv4 = a << 24 | b << 16 | c << 8 | d;
		feed_desc.port = (uint16_t)port;
		feed_desc.idle_ms = 500;
		feed_desc.on_notice = [](void *arg, const struct ix_feed *,
					 enum ix_notice n) {
			static_cast<IndexFollow *>(arg)->notices[n]++;
		};
		feed_desc.arg = this;
		ix_feed_start(&feed, &feed_desc);
	}

	void TearDown() override
	{
		ix_feed_stop(&feed);
		hc_finish(&http);
		ix_finish(&index);
		ev_loop_destroy(loop);
		EXPECT_EQ(stand_ins->stop(), 0);
	}

	bool RunUntil(const std::function<bool()> &condition)
	{
		int64_t deadline_ms = ck_now_ms() + 10000;
		ev_timer tick;

		ev_timer_init(
			&tick, [](struct ev_loop *, ev_timer *, int) {}, 0.005,
			0.005);
		ev_timer_start(loop, &tick);
		while (!condition() && ck_now_ms() < deadline_ms)
			ev_run(loop, EVRUN_ONCE);
		ev_timer_stop(loop, &tick);
		return condition();
	}

	// Sends the prompt and stores the block ids of the response.
	void Run(Prompt *prompt)
	{
		Reply r;

		// After a restart the engine loads its weights first.
		ASSERT_TRUE(RunUntil([&] {
			r = call(stand_ins->engine_url(0) + "/v1/completions",
				 completion(prompt->text, 1, false));
			return r.status == 200;
		}));
		struct json_object *o = json_tokener_parse(r.body.c_str());
		struct json_object *usage, *details, *ids, *field;

		ASSERT_TRUE(json_object_object_get_ex(o, "usage", &usage));
		json_object_object_get_ex(usage, "prompt_tokens", &field);
		prompt->tokens = (uint32_t)json_object_get_int(field);
		json_object_object_get_ex(usage, "prompt_tokens_details",
					  &details);
		json_object_object_get_ex(details, "block_tokens", &field);
		prompt->block_tokens = (uint32_t)json_object_get_int(field);
		json_object_object_get_ex(details, "block_ids", &ids);
		prompt->blocks.clear();
		for (size_t i = 0; i < json_object_array_length(ids); i++)
			prompt->blocks.push_back(strtoull(
				json_object_get_string(
					json_object_array_get_idx(ids, i)),
				nullptr, 16));
		json_object_put(o);
		prompt->incarnation = strtoull(
			r.headers["x-engine-incarnation"].c_str(), nullptr, 10);
	}

	st_code Record(const Prompt &prompt)
	{
		struct ix_record record = {};

		record.engine = 1;
		record.incarnation = prompt.incarnation;
		record.request = ++requests;
		record.phase = IX_ENDED;
		record.block_tokens = prompt.block_tokens;
		record.prompt_tokens = prompt.tokens;
		record.prompt_bytes = (uint32_t)prompt.text.size();
		record.keys = prompt.chain.keys;
		record.key_count = prompt.chain.count;
		record.blocks = prompt.blocks.data();
		record.block_count = (uint32_t)prompt.blocks.size();
		return ix_record(&index, &record, ck_now_ms());
	}

	struct ix_answer Lookup(const Prompt &prompt)
	{
		struct ix_answer answer;

		ix_lookup(&index, 1, prompt.chain.keys, prompt.chain.count,
			  ck_now_ms(), &answer);
		return answer;
	}

	bool IsDoubtful()
	{
		struct ix_stats stats;

		ix_stats(&index, 1, &stats);
		return stats.is_incomplete;
	}

	void InjectFault(const std::string &name,
			 const std::string &fields = "")
	{
		stand_ins->fault(name,
				 "{\"engine\":\"engine0\"" + fields + "}");
	}
};

TEST_F(IndexFollow, HeldKeysMatchTheEngineCache)
{
	// A block has 8,000 bytes: 16,000 bytes complete 3 keys, 32,000
	// complete 7.
	Prompt shared(std::string(16000, 'a'));
	Prompt longer(std::string(16000, 'a') + std::string(16000, 'b'));

	Run(&longer);
	EXPECT_EQ(Record(longer), ST_OK);
	ASSERT_TRUE(RunUntil([&] {
		return Lookup(longer).held == 7 &&
		       Lookup(longer).confidence_permille == 1000;
	}));
	EXPECT_EQ(Lookup(shared).held, 3u);
	EXPECT_EQ(longer.chain.count, 7u);
	// Another prompt evicts it, which only the events report.
	Prompt other(std::string(48000, 'c'));
	Run(&other);
	ASSERT_TRUE(RunUntil([&] { return Lookup(longer).held == 0; }));
}

TEST_F(IndexFollow, LostEventsAreDetectedAndRepaired)
{
	Prompt first(std::string(16000, 'a')), second(std::string(48000, 'c'));

	Run(&first);
	Record(first);
	ASSERT_TRUE(RunUntil([&] { return Lookup(first).held == 3; }));
	InjectFault("lose_events", ",\"count\":8");
	Run(&second);
	Record(second);
	ASSERT_TRUE(RunUntil([&] { return notices[IX_NOTICE_GAP] > 0; }));
	ASSERT_TRUE(RunUntil([&] { return !IsDoubtful(); }));
	EXPECT_EQ(Lookup(first).held, 0u);
	EXPECT_EQ(Lookup(second).held, 11u);
}

TEST_F(IndexFollow, CrashDropsAllEntries)
{
	Prompt prompt(std::string(16000, 'a'));

	Run(&prompt);
	Record(prompt);
	ASSERT_TRUE(RunUntil([&] { return Lookup(prompt).held == 3; }));
	InjectFault("crash", ",\"down_ms\":300");
	ASSERT_TRUE(
		RunUntil([&] { return notices[IX_NOTICE_RESTARTED] == 1; }));
	EXPECT_EQ(Lookup(prompt).pending, 0u);
	EXPECT_EQ(Record(prompt), ST_STALE);
	ASSERT_TRUE(RunUntil([&] { return !IsDoubtful(); }));
	Run(&prompt);
	EXPECT_EQ(Record(prompt), ST_OK);
	ASSERT_TRUE(RunUntil([&] { return Lookup(prompt).held == 3; }));
}

TEST_F(IndexFollow, SilentStreamIsReplaced)
{
	Prompt prompt(std::string(16000, 'a'));

	ASSERT_TRUE(RunUntil([&] { return notices[IX_NOTICE_ANSWERED] > 0; }));
	InjectFault("silent");
	Run(&prompt);
	Record(prompt);
	ASSERT_TRUE(RunUntil([&] { return notices[IX_NOTICE_FAILED] > 0; }));
	ASSERT_TRUE(RunUntil([&] { return Lookup(prompt).held == 3; }));
	ASSERT_TRUE(RunUntil(
		[&] { return Lookup(prompt).confidence_permille == 1000; }));
}

} // namespace
