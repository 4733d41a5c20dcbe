// Orders to engines: planning of a rollout, and the task that sends the orders,
// with engines that check fencing numbers and engines that ignore them.
#include <gtest/gtest.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "fake_control.h"

extern "C" {
#include "kernel/ck.h"
#include "net/hs.h"
#include <json-c/json.h>
}

namespace
{

od_models Models(const std::vector<std::string> &held)
{
	od_models models = {};

	for (const auto &text : held) {
		od_model &m = models.items[models.count++];
		size_t at = text.find('/');

		m.is_ready = text.back() != '~';
		g_strlcpy(m.model, text.substr(0, at).c_str(), CM_NAME_BYTES);
		g_strlcpy(
			m.version,
			text.substr(at + 1, text.size() - at - 1 - !m.is_ready)
				.c_str(),
			CM_NAME_BYTES);
	}
	return models;
}

std::string Text(const od_models &models)
{
	std::string out;

	for (uint32_t i = 0; i < models.count; i++)
		out += std::string(i ? " " : "") + models.items[i].model + "/" +
		       models.items[i].version;
	return out;
}

void SetModel(cm_config *config, const char *json)
{
	cm_object object = { "model", "m", json, config->revision + 1, false };
	cm_delta delta = { config->revision + 1, &object, 1 };
	struct fd_list findings;

	fd_init(&findings);
	EXPECT_EQ(cm_apply(config, &delta, &findings), ST_OK);
	fd_finish(&findings);
}

TEST(Plan, OrdersForASingleState)
{
	struct Engine {
		std::vector<std::string> held;
		bool is_ordered, is_leaving, is_known;
	};
	const char *two = "{\"version\": \"v2\", \"serving\": \"v1\","
			  "\"max_loading\": 2, \"min_ready\": 2}";
	struct Case {
		const char *what;
		const char *model;
		std::vector<Engine> engines;
		const char *orders;
	} cases[] = {
		{ "all as wanted",
		  "{\"version\": \"v1\"}",
		  { { { "m/v1" }, false, false, true } },
		  "" },
		{ "an empty engine",
		  "{\"version\": \"v1\"}",
		  { { {}, false, false, true } },
		  "0:m/v1" },
		{ "not read back, leaving or ordered: no order",
		  "{\"version\": \"v1\"}",
		  { { {}, false, false, false },
		    { {}, false, true, true },
		    { {}, true, false, true } },
		  "" },
		{ "a loading engine counts against max_loading",
		  two,
		  { { { "m/v2~" }, false, false, true },
		    { { "m/v1" }, false, false, true },
		    { { "m/v1" }, false, false, true },
		    { { "m/v1" }, false, false, true },
		    { { "m/v1" }, false, false, true } },
		  "1:m/v2" },
		{ "min_ready engines keep the serving version",
		  two,
		  { { { "m/v1" }, false, false, true },
		    { { "m/v1" }, false, false, true },
		    { { "m/v1" }, false, false, true } },
		  "0:m/v2" },
		{ "a model that is not configured is unloaded",
		  "{\"version\": \"v1\"}",
		  { { { "m/v1", "old/v1" }, false, false, true } },
		  "0:m/v1" },
		{ "an engine that the model does not select",
		  "{\"version\": \"v2\", \"engines\": [\"e1\"]}",
		  { { { "m/v1" }, false, false, true },
		    { { "m/v1" }, false, false, true } },
		  "1:m/v2" },
	};

	for (const auto &c : cases) {
		std::vector<od_engine> engines(c.engines.size());
		GPtrArray *list = g_ptr_array_new();
		GArray *orders = g_array_new(FALSE, FALSE, sizeof(od_order));
		cm_config config;
		std::string text;

		cm_init(&config);
		SetModel(&config, c.model);
		for (size_t i = 0; i < engines.size(); i++) {
			engines[i].models = Models(c.engines[i].held);
			engines[i].is_known = c.engines[i].is_known;
			engines[i].is_leaving = c.engines[i].is_leaving;
			engines[i].is_ordered = c.engines[i].is_ordered;
			engines[i].wanted = Models({ "m/v1" });
			g_snprintf(engines[i].name, CM_NAME_BYTES, "e%zu", i);
			g_ptr_array_add(list, &engines[i]);
		}
		od_plan(&config, list, orders);
		for (guint i = 0; i < orders->len; i++) {
			od_order &o = g_array_index(orders, od_order, i);
			text += std::string(i ? " " : "") +
				std::to_string(o.engine) + ":" + Text(o.wanted);
		}
		EXPECT_EQ(text, c.orders) << c.what;
		g_array_unref(orders);
		g_ptr_array_unref(list);
		cm_finish(&config);
	}
}

// A complete rollout, step by step; each load takes three steps.
TEST(Plan, RolloutKeepsItsLimitsAndCompletes)
{
	const uint32_t kEngines = 12, kMaxLoading = 2, kMinReady = 4;
	std::vector<od_engine> engines(kEngines);
	std::vector<int> left(kEngines, 0);
	GPtrArray *list = g_ptr_array_new();
	cm_config config;
	bool has_moved = false;
	int steps = 0;

	cm_init(&config);
	SetModel(&config, "{\"version\": \"v2\", \"serving\": \"v1\","
			  "\"max_loading\": 2, \"min_ready\": 4}");
	for (uint32_t i = 0; i < kEngines; i++) {
		engines[i].models = Models({ "m/v1" });
		engines[i].is_known = true;
		g_snprintf(engines[i].name, CM_NAME_BYTES, "e%02u", i);
		g_ptr_array_add(list, &engines[i]);
	}
	for (bool is_done = false; !is_done && steps < 200; steps++) {
		GArray *orders = g_array_new(FALSE, FALSE, sizeof(od_order));
		uint32_t loading = 0, serving = 0, ready = 0;
		const struct cm_model *model = cm_model(&config, "m");

		od_plan(&config, list, orders);
		for (guint i = 0; i < orders->len; i++) {
			od_order &o = g_array_index(orders, od_order, i);
			engines[o.engine].models = o.wanted;
			left[o.engine] = 3;
		}
		g_array_unref(orders);
		for (uint32_t i = 0; i < kEngines; i++) {
			od_model &m = engines[i].models.items[0];
			m.is_ready = left[i] == 0;
			loading += left[i] > 0;
			left[i] -= left[i] > 0;
			ready += m.is_ready && !strcmp(m.version, "v2");
			serving += m.is_ready &&
				   !strcmp(m.version, model->serving);
		}
		ASSERT_LE(loading, kMaxLoading) << steps;
		ASSERT_GE(serving, kMinReady) << steps;
		if (od_can_switch_serving(model, list)) {
			EXPECT_GE(ready, kEngines / 2) << "not too early";
			SetModel(&config, "{\"version\": \"v2\","
					  "\"max_loading\": 2,"
					  "\"min_ready\": 4}");
			has_moved = true;
		}
		is_done = ready == kEngines;
	}
	EXPECT_TRUE(has_moved);
	EXPECT_LT(steps, 200);
	g_ptr_array_unref(list);
	cm_finish(&config);
}

TEST(OrderCodec, StatusAndOrder)
{
	od_engine e = {};
	od_models wanted = Models({ "m/v2" });

	for (const char *bad : { "", "[]", "{\"role\": \"serve\"}" })
		EXPECT_FALSE(od_status_decode(bad, &e)) << bad;
	EXPECT_TRUE(od_status_decode(
		"{\"incarnation\": 7, \"role\": \"serve\", \"state\": "
		"\"leaving\", \"models\": [{\"model\": \"m\", \"version\": "
		"\"v1\", \"adapter\": \"\", \"state\": \"ready\"}], "
		"\"fencing\": 3, \"orders\": \"checked\"}",
		&e));
	EXPECT_TRUE(e.is_leaving && e.is_checked);
	EXPECT_EQ(e.fencing, 3u);
	EXPECT_EQ(Text(e.models), "m/v1");
	char *text = od_order_encode(&e, &wanted, 9, "9-1");
	EXPECT_STREQ(text, "{\"fencing\":9,\"order_id\":\"9-1\",\"wanted\":{"
			   "\"role\":\"serve\",\"models\":[{\"model\":\"m\","
			   "\"version\":\"v2\",\"adapter\":\"\"}]}}");
	g_free(text);
}

struct Engine {
	hs_server server = {};
	bool is_checked;
	uint64_t fencing = 0;
	std::string version = "v1";
	std::vector<uint64_t> orders;

	Engine(struct ev_loop *loop, bool checked) : is_checked(checked)
	{
		hs_desc desc = {};

		desc.loop = loop;
		desc.address = "127.0.0.1";
		desc.on_request = [](void *arg, hs_exchange *x) {
			static_cast<Engine *>(arg)->Answer(x);
		};
		desc.arg = this;
		EXPECT_EQ(hs_init(&server, &desc), ST_OK);
	}

	~Engine()
	{
		hs_finish(&server);
	}

	uint32_t HandleOrder(const char *body)
	{
		json_object *json = json_tokener_parse(body);
		uint64_t number = json_object_get_uint64(
			json_object_object_get(json, "fencing"));
		json_object *model = json_object_array_get_idx(
			json_object_object_get(
				json_object_object_get(json, "wanted"),
				"models"),
			0);
		bool is_stale = is_checked && number < fencing;

		if (!is_stale) {
			fencing = number;
			orders.push_back(number);
			version = json_object_get_string(
				json_object_object_get(model, "version"));
		}
		json_object_put(json);
		return is_stale ? 409 : 200;
	}

	void Answer(hs_exchange *x)
	{
		uint32_t status = 200;

		if (!strcmp(x->path, "/v1/orders"))
			status = HandleOrder(x->body->str);
		std::string body =
			"{\"incarnation\": 1, \"role\": \"serve\", \"state\": "
			"\"up\", \"models\": [{\"model\": \"m\", \"version\": "
			"\"" +
			version +
			"\", \"adapter\": \"\", \"state\": "
			"\"ready\"}], \"fencing\": " +
			std::to_string(fencing) + ", \"orders\": \"" +
			(is_checked ? "checked" : "ignored") + "\"}";
		hs_respond(x, status, nullptr, body.data(), body.size());
	}
};

class Orders : public testing::Test
{
      protected:
	struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
	pf_store store = {};
	std::unique_ptr<Engine> checked, unchecked;
	std::unique_ptr<Control> a, b;
	ls_desc lease = {};

	void SetUp() override
	{
		pf_desc desc = {};

		FakeRegister();
		desc.loop = loop;
		desc.kind = "fake";
		ASSERT_EQ(pf_init(&store, &desc), ST_OK);
		lease.duration_ms = 900;
		lease.margin_ms = 100;
		lease.order_timeout_ms = 200;
		checked = std::make_unique<Engine>(loop, true);
		unchecked = std::make_unique<Engine>(loop, false);
	}

	void TearDown() override
	{
		a.reset();
		b.reset();
		checked.reset();
		unchecked.reset();
		pf_finish(&store);
		ev_loop_destroy(loop);
	}

	void Until(const std::function<bool()> &condition)
	{
		int64_t end = ck_now_ms() + 20000;

		while (!condition() && ck_now_ms() < end)
			ev_run(loop, EVRUN_ONCE);
		ASSERT_TRUE(condition());
	}

	std::unique_ptr<Control> Start(const char *name)
	{
		auto control = std::make_unique<Control>(loop, name, &lease);
		const char *names[] = { "e1", "e2" };
		Engine *engines[] = { checked.get(), unchecked.get() };

		for (int i = 0; i < 2; i++) {
			mb_member m = {};

			g_strlcpy(m.name, names[i], sizeof(m.name));
			m.role = MB_ENGINE;
			m.state = MB_ALIVE;
			m.ipv4 = 0x7f000001;
			m.http_port = hs_port(&engines[i]->server);
			m.incarnation = 1;
			mb_receive_record(&control->members, &m, ck_now_ms());
		}
		return control;
	}

	void SetVersion(const char *version)
	{
		std::string json =
			std::string("{\"version\": \"") + version + "\"}";
		pf_put puts[] = { { "config/model/m", json.c_str() },
				  { "config/head", "{}" } };
		struct pf_txn txn = { nullptr, 0, puts, 2, 0 };
		bool is_done = false;

		pf_txn(
			&store, &txn,
			[](void *arg, st_code, uint64_t) {
				*static_cast<bool *>(arg) = true;
			},
			&is_done);
		Until([&] { return is_done; });
	}

	bool Holds(const std::unique_ptr<Control> &control)
	{
		return control->od._lease.state == LS_HELD;
	}

	bool BothHave(const char *version)
	{
		return checked->version == version &&
		       unchecked->version == version;
	}
};

TEST_F(Orders, EnginesReachAndReturnToTheWantedState)
{
	a = Start("a");
	SetVersion("v2");
	Until([&] { return BothHave("v2"); });
	EXPECT_EQ(checked->orders.size(), 1u);
	// The engine restarts with its previous version.
	checked->version = "v1";
	Until([&] { return BothHave("v2"); });
	EXPECT_EQ(checked->orders.size(), 2u);
}

TEST_F(Orders, PausedHolderSendsNoOrderOnWaking)
{
	a = Start("a");
	SetVersion("v1");
	Until([&] { return Holds(a); });
	ev_timer_stop(loop, &a->od._timer);
	b = Start("b");
	SetVersion("v2");
	Until([&] { return BothHave("v2"); });
	EXPECT_GE(b->od._lease.fencing, 2u);
	// The paused holder wakes with its old lease state. Its replica has v2
	// as well, so the engines are reset to v0 to require new orders.
	checked->version = unchecked->version = "v0";
	ev_timer_start(loop, &a->od._timer);
	Until([&] { return BothHave("v2") && !Holds(a); });
	for (uint64_t number : checked->orders)
		EXPECT_GE(number, 2u);
	for (uint64_t number : unchecked->orders)
		EXPECT_GE(number, 2u);
}

// The holder is paused between checking the lease and sending the order.
TEST_F(Orders, StaleOrderIsRefusedOrRepaired)
{
	a = Start("a");
	SetVersion("v2");
	Until([&] { return BothHave("v2"); });
	a.reset();
	b = Start("b");
	Until([&] { return Holds(b); });
	SetVersion("v3");
	Until([&] { return BothHave("v3"); });
	const char *old_order =
		"{\"fencing\": 1, \"order_id\": \"1-9\", \"wanted\": {\"role\":"
		" \"serve\", \"models\": [{\"model\": \"m\", \"version\": "
		"\"v2\"}]}}";
	EXPECT_EQ(checked->HandleOrder(old_order), 409u);
	EXPECT_EQ(unchecked->HandleOrder(old_order), 200u);
	EXPECT_EQ(checked->version, "v3");
	EXPECT_EQ(unchecked->version, "v2");
	Until([&] { return BothHave("v3"); });
}

TEST_F(Orders, NewHolderWaitsBeforeOrderingUncheckedEngines)
{
	lease.duration_ms = 2000;
	a = Start("a");
	SetVersion("v1");
	Until([&] { return Holds(a); });
	a.reset();
	SetVersion("v2");
	b = Start("b");
	Until([&] { return Holds(b); });
	Until([&] { return checked->version == "v2"; });
	EXPECT_TRUE(unchecked->orders.empty());
	Until([&] { return unchecked->version == "v2"; });
	EXPECT_GE(ck_now_ms(), b->od._lease._quiet_until_ms);
}

TEST_F(Orders, LeaseEndsWhileTheStoreIsDown)
{
	a = Start("a");
	SetVersion("v1");
	Until([&] { return Holds(a); });
	FakeStore::Get().is_down = true;
	Until([&] { return !Holds(a); });
	checked->version = "v0";
	FakeStore::Get().is_down = false;
	Until([&] { return BothHave("v1"); });
}

} // namespace
