// Tests of the configuration: validation and its findings, deltas, look-ups.
#include <gtest/gtest.h>

#include <string>
#include <vector>

extern "C" {
#include "config/cm.h"
}

namespace
{

struct Object {
	std::string kind, name, json;
	uint64_t revision = 0;
	bool is_deleted = false;
};

class Config : public testing::Test
{
      protected:
	struct cm_config config;
	struct fd_list findings;

	void SetUp() override
	{
		cm_init(&config);
		fd_init(&findings);
	}

	void TearDown() override
	{
		cm_finish(&config);
		fd_finish(&findings);
	}

	enum st_code Run(uint64_t revision, const std::vector<Object> &objects,
			 bool check_only = false)
	{
		std::vector<cm_object> raw;

		for (const auto &o : objects)
			raw.push_back({ o.kind.c_str(), o.name.c_str(),
					o.json.c_str(),
					o.revision ? o.revision : revision,
					o.is_deleted });
		cm_delta delta = { revision, raw.data(),
				   static_cast<uint32_t>(raw.size()) };
		return check_only ? cm_check(&config, &delta, &findings)
				  : cm_apply(&config, &delta, &findings);
	}

	std::string Places()
	{
		std::string out;

		for (uint32_t i = 0; i < findings.count; i++)
			out += std::string(i ? " " : "") +
			       findings.items[i].place;
		return out;
	}
};

std::string TeamJson(const std::string &key, const std::string &more = "")
{
	g_autofree char *hash = g_compute_checksum_for_string(G_CHECKSUM_SHA256,
							      key.c_str(), -1);

	return std::string("{\"key_sha256\": \"") + hash + "\"" + more + "}";
}

TEST_F(Config, FindingsHaveTheirPlace)
{
	struct Case {
		Object object;
		const char *places;
	} cases[] = {
		{ { "team", "a", TeamJson("a") }, "" },
		{ { "team", "a", "{}" }, "/team/a/key_sha256" },
		{ { "team", "a", "{\"key_sha256\": \"zz\"}" },
		  "/team/a/key_sha256" },
		{ { "team", "a", TeamJson("a", ", \"weight\": 0, \"x\": 1") },
		  "/team/a/weight /team/a/x" },
		{ { "team", "a", TeamJson("a", ", \"models\": [\"m\", 3]") },
		  "/team/a/models/1" },
		{ { "team", "a", TeamJson("a", ", \"models\": [\"m\"]") },
		  "/team/a/models" },
		{ { "team", "a", "[]" }, "/team/a" },
		{ { "team", "a", "{" }, "/team/a" },
		{ { "team", "a/b", TeamJson("a") }, "/team/a/b" },
		{ { "tribe", "a", "{}" }, "/tribe/a" },
		{ { "model", "m", "{\"version\": \"v1\"}" }, "" },
		{ { "model", "m", "{\"version\": \"\"}" }, "/model/m/version" },
		{ { "model", "m", "{\"version\": \"v1\", \"max_loading\": 0}" },
		  "/model/m/max_loading" },
		{ { "route", "r", "{\"model\": \"none\", \"team\": \"no\"}" },
		  "/route/r/model /route/r/team" },
		{ { "route", "r", "{\"objective\": \"cheap\"}" },
		  "/route/r/objective /route/r/model" },
		{ { "service", "s", "{\"timeout_ms\": 0}" },
		  "/service/s/timeout_ms" },
		{ { "service", "s", "{\"idempotent_methods\": \"GET\"}" },
		  "/service/s/idempotent_methods" },
	};

	for (const auto &c : cases) {
		EXPECT_EQ(Run(1, { c.object }, true),
			  *c.places ? ST_INVALID : ST_OK)
			<< c.object.json;
		EXPECT_EQ(Places(), c.places) << c.object.json;
		fd_finish(&findings);
	}
	EXPECT_EQ(config.revision, 0u);
}

TEST_F(Config, InvalidChangeIsNotApplied)
{
	ASSERT_EQ(Run(1, { { "model", "m", "{\"version\": \"v1\"}" } }), ST_OK);
	EXPECT_EQ(Run(2, { { "model", "m", "{\"version\": \"v2\"}" },
			   { "team", "t", "{}" } }),
		  ST_INVALID);
	EXPECT_STREQ(cm_model(&config, "m")->version, "v1");
	EXPECT_EQ(config.revision, 1u);
}

TEST_F(Config, RevisionNotAboveTheCurrentIsStale)
{
	ASSERT_EQ(Run(5, { { "model", "m", "{\"version\": \"v1\"}" } }), ST_OK);
	for (uint64_t revision : { 5, 4, 0 })
		EXPECT_EQ(Run(revision,
			      { { "model", "m", "{\"version\": \"v0\"}" } }),
			  ST_STALE);
	EXPECT_STREQ(cm_model(&config, "m")->version, "v1");
}

// A delta from a peer may contain an object older than the one in force.
TEST_F(Config, OlderObjectInNewerDeltaIsIgnored)
{
	ASSERT_EQ(Run(5, { { "model", "m", "{\"version\": \"v5\"}" } }), ST_OK);
	ASSERT_EQ(Run(6, { { "model", "m", "{\"version\": \"v4\"}", 4 } }),
		  ST_OK);
	EXPECT_STREQ(cm_model(&config, "m")->version, "v5");
	EXPECT_EQ(config.revision, 6u);
}

TEST_F(Config, DeletionsAreInDeltasAndReferencesAreChecked)
{
	ASSERT_EQ(Run(1, { { "model", "m", "{\"version\": \"v1\"}" },
			   { "route", "r", "{\"model\": \"m\"}" } }),
		  ST_OK);
	EXPECT_EQ(Run(2, { { "model", "m", "", 0, true } }), ST_INVALID);
	EXPECT_EQ(Places(), "/route/r/model");
	fd_finish(&findings);
	ASSERT_EQ(Run(2, { { "model", "m", "", 0, true },
			   { "route", "r", "", 0, true } }),
		  ST_OK);
	EXPECT_EQ(cm_model(&config, "m"), nullptr);
	EXPECT_EQ(cm_route(&config, "t", "m"), nullptr);

	GArray *since = g_array_new(FALSE, FALSE, sizeof(cm_object));
	cm_changed_since(&config, 1, since);
	ASSERT_EQ(since->len, 2u);
	EXPECT_TRUE(g_array_index(since, cm_object, 0).is_deleted);
	g_array_set_size(since, 0);
	cm_changed_since(&config, 2, since);
	EXPECT_EQ(since->len, 0u);
	g_array_unref(since);
}

TEST_F(Config, KeyBelongsToOneTeamAndCanMove)
{
	ASSERT_EQ(Run(1, { { "team", "a", TeamJson("key-a") },
			   { "team", "b", TeamJson("key-b") } }),
		  ST_OK);
	EXPECT_STREQ(cm_team_by_key(&config, "key-a")->name, "a");
	EXPECT_EQ(cm_team_by_key(&config, "key-c"), nullptr);
	EXPECT_EQ(cm_team_by_key(&config, ""), nullptr);
	EXPECT_EQ(Run(2, { { "team", "c", TeamJson("key-a") } }), ST_INVALID);
	// Two teams swap their keys in one change.
	ASSERT_EQ(Run(2, { { "team", "a", TeamJson("key-b") },
			   { "team", "b", TeamJson("key-a") } }),
		  ST_OK);
	EXPECT_STREQ(cm_team_by_key(&config, "key-a")->name, "b");
	EXPECT_STREQ(cm_team_by_key(&config, "key-b")->name, "a");
}

TEST_F(Config, RoutesAndDefaults)
{
	ASSERT_EQ(Run(1, { { "model", "m",
			     "{\"version\": \"v2\","
			     "\"serving\": \"v1\"}" },
			   { "model", "n", "{\"version\": \"v2\"}" },
			   { "team", "t", TeamJson("t") },
			   { "route", "general", "{\"model\": \"m\"}" },
			   { "route", "own",
			     "{\"model\": \"m\", \"team\": \"t\","
			     "\"objective\": \"reuse\"}" } }),
		  ST_OK);
	EXPECT_STREQ(cm_route(&config, "t", "m")->name, "own");
	EXPECT_STREQ(cm_route(&config, "u", "m")->name, "general");
	EXPECT_EQ(cm_route(&config, "t", "n"), nullptr);
	EXPECT_STREQ(cm_model(&config, "m")->serving, "v1");
	EXPECT_STREQ(cm_model(&config, "n")->serving, "v2");
	EXPECT_EQ(cm_model(&config, "n")->max_loading, 2u);
	EXPECT_EQ(cm_team(&config, "t")->max_running,
		  uint32_t{ CM_DEFAULT_MAX_RUNNING });
	EXPECT_TRUE(cm_names_has(&cm_team(&config, "t")->models, "any"));
	EXPECT_EQ(Run(2, { { "route", "twin", "{\"model\": \"m\"}" } }),
		  ST_INVALID);
}

} // namespace
