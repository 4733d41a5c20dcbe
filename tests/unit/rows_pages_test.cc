// Tables that the store hands out in several pages, each read at a moment of
// its own.
#include <gtest/gtest.h>

#include <string>
#include <vector>

extern "C" {
#include "http1/h1_server.h"
#include "kernel/ck.h"
#include "rows/rw.h"
}

namespace
{

struct Page {
	const char *key;
	int version; /* of the store when the page was read */
	int store_ms;
};

class Pages : public testing::Test
{
      protected:
	struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
	struct h1_server server = {};
	struct rw_store store = {};
	std::vector<Page> pages;
	size_t served = 0;
	bool is_over = false;
	uint64_t version = 0;
	int64_t store_ms = 0;
	uint32_t count = 0;

	void SetUp() override
	{
		struct h1_server_desc desc = {};
		struct rw_desc store_desc = { loop, "fleet", nullptr };

		desc.loop = loop;
		desc.address = "127.0.0.1";
		desc.arg = this;
		desc.on_request = [](void *arg, struct h1_exchange *x) {
			static_cast<Pages *>(arg)->answer(x);
		};
		ASSERT_EQ(h1_server_init(&server, &desc), ST_OK);
		std::string address =
			"127.0.0.1:" + std::to_string(h1_server_port(&server));
		store_desc.address = address.c_str();
		ASSERT_EQ(rw_init(&store, &store_desc), ST_OK);
	}

	void TearDown() override
	{
		rw_finish(&store);
		h1_server_finish(&server);
		ev_loop_destroy(loop);
	}

	void answer(struct h1_exchange *x)
	{
		const Page &page = pages.at(served++);
		std::string text =
			std::string("{\"rows\":[{\"table\":\"t\",\"part\":\"\","
				    "\"key\":\"") +
			page.key +
			"\",\"ver\":5,\"value\":\"e30=\"}],"
			"\"has_more\":" +
			(served < pages.size() ? "true" : "false") +
			",\"ver\":" + std::to_string(page.version) +
			",\"now_ms\":" + std::to_string(page.store_ms) + "}";

		h1_respond(x, 200, nullptr, text.data(), text.size());
	}

	void read()
	{
		struct rw_query query = {};
		struct rw_call call = {};

		query.table = "t";
		query.timeout_ms = 3000;
		query.reason = "whole_table";
		rw_get(
			&store, &query,
			[](void *arg, enum st_code code,
			   const struct rw_rows *rows) {
				auto *self = static_cast<Pages *>(arg);

				EXPECT_EQ(code, ST_OK);
				self->version = rows->version;
				self->store_ms = rows->store_ms;
				self->count = rows->count;
				self->is_over = true;
			},
			this, &call);
		while (!is_over)
			ev_run(loop, EVRUN_ONCE);
	}
};

// A row of the first page that changed before the last one was read counted as
// known: the feed went on after the version of the last page.
TEST_F(Pages, TableIsAsOldAsItsFirstPage)
{
	static const struct {
		std::vector<Page> pages;
		uint64_t version;
		int64_t store_ms;
	} cases[] = {
		{ { { "a", 10, 1000 } }, 10, 1000 },
		{ { { "a", 10, 1000 }, { "b", 12, 1007 } }, 10, 1000 },
		{ { { "a", 10, 1000 }, { "b", 12, 1007 }, { "c", 30, 1100 } },
		  10,
		  1000 },
	};

	for (const auto &c : cases) {
		pages = c.pages;
		served = 0;
		is_over = false;
		read();
		EXPECT_EQ(count, c.pages.size());
		EXPECT_EQ(version, c.version);
		EXPECT_EQ(store_ms, c.store_ms);
	}
}

} // namespace
