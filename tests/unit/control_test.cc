// Store task and operators' calls of control, over loopback RPC, with a store
// that loses answers.
#include <gtest/gtest.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "fake_control.h"

extern "C" {
#include "kernel/ck.h"
#include "kernel/mt.h"
}

namespace
{

struct Answer {
	bool is_done = false;
	st_code code = ST_OK;
	st_code status = ST_OK;
	uint64_t revision = 0;
	std::map<std::string, std::string> objects;
	std::vector<std::string> places;
	std::string text;
};

struct Change {
	std::string kind, name, json;
	bool is_deleted = false;
};

class ControlTest : public testing::Test
{
      protected:
	struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
	rp_endpoint client = {};
	pf_store store = {};
	std::unique_ptr<Control> a, b;

	void SetUp() override
	{
		rp_desc desc = {};
		pf_desc store_desc = {};

		FakeRegister();
		desc.loop = loop;
		desc.address = "127.0.0.1";
		desc.key = KEY;
		desc.host = "operator";
		desc.role = "ctl";
		desc.incarnation = 2;
		ASSERT_EQ(rp_init(&client, &desc), ST_OK);
		store_desc.loop = loop;
		store_desc.kind = "fake";
		ASSERT_EQ(pf_init(&store, &store_desc), ST_OK);
		a = std::make_unique<Control>(loop, "a");
		b = std::make_unique<Control>(loop, "b");
	}

	void TearDown() override
	{
		a.reset();
		b.reset();
		pf_finish(&store);
		rp_finish(&client);
		ev_loop_destroy(loop);
	}

	void Until(const std::function<bool()> &condition)
	{
		int64_t end = ck_now_ms() + 20000;

		while (!condition() && ck_now_ms() < end)
			ev_run(loop, EVRUN_ONCE);
		ASSERT_TRUE(condition());
	}

	static void OnDone(void *arg, st_code code, const rp_peer *,
			   const void *result)
	{
		auto *answer = static_cast<Answer *>(arg);
		auto *operated = static_cast<const bp_operated *>(result);

		answer->is_done = true;
		answer->code = code;
		if (code != ST_OK)
			return;
		answer->status = static_cast<st_code>(operated->status);
		answer->revision = operated->revision;
		answer->text = operated->text;
		for (u_int i = 0; i < operated->objects.objects_len; i++) {
			const bp_object &o = operated->objects.objects_val[i];
			answer->objects[std::string(o.kind) + "/" + o.name] =
				o.deleted ? "deleted" : o.json;
		}
		for (u_int i = 0; i < operated->findings.findings_len; i++)
			answer->places.push_back(
				operated->findings.findings_val[i].place);
	}

	void Call(Control &control, bp_operation operation, Answer *answer,
		  const std::vector<Change> &changes = {},
		  uint64_t expected = 0, const char *change_id = "",
		  const char *key = OPERATOR_KEY, const char *name = "",
		  const char *kind = "")
	{
		std::vector<bp_object> objects;
		bp_operate args = {};
		rp_call_desc desc = {};

		for (const auto &c : changes)
			objects.push_back(
				{ const_cast<char *>(c.kind.c_str()),
				  const_cast<char *>(c.name.c_str()), 0,
				  c.is_deleted,
				  const_cast<char *>(c.json.c_str()) });
		args.operation = operation;
		args.operator_key = const_cast<char *>(key);
		args.change_id = const_cast<char *>(change_id);
		args.expected_revision = expected;
		args.kind = const_cast<char *>(kind);
		args.name = const_cast<char *>(name);
		args.objects.objects_val = objects.data();
		args.objects.objects_len = objects.size();
		desc.to.ipv4 = 0x7f000001;
		desc.to.port = rp_port(&control.rpc);
		desc.transport = RP_TCP;
		desc.number = BP_OPERATE;
		desc.args = (xdrproc_t)xdr_bp_operate;
		desc.args_value = &args;
		desc.result = (xdrproc_t)xdr_bp_operated;
		desc.result_bytes = sizeof(bp_operated);
		desc.deadline_ms = 15000;
		desc.on_done = OnDone;
		desc.arg = answer;
		ASSERT_EQ(rp_call(&client, &desc, nullptr), ST_OK);
	}

	Answer Apply(Control &control, const std::string &version,
		     uint64_t expected, const char *change_id)
	{
		Answer answer;

		Call(control, BP_OP_APPLY, &answer, { Model(version) },
		     expected, change_id);
		Until([&] { return answer.is_done; });
		return answer;
	}

	static Change Model(const std::string &version)
	{
		return { "model", "m", "{\"version\": \"" + version + "\"}" };
	}

	static std::string Version(Control &control)
	{
		const struct cm_model *m =
			cm_model(cr_config(&control.cr), "m");

		return m ? m->version : "";
	}

	int Rows(const char *prefix)
	{
		int count = -1;
		struct pf_range range = {};

		range.prefix = prefix;
		pf_range(
			&store, &range,
			[](void *arg, st_code, const pf_rows *rows) {
				*static_cast<int *>(arg) =
					static_cast<int>(rows->count);
			},
			&count);
		Until([&] { return count >= 0; });
		return count;
	}
};

TEST_F(ControlTest, ChangeAppliesLocallyAtOnceAndElsewhereByPolling)
{
	Answer answer = Apply(*a, "v1", 0, "id1");

	EXPECT_EQ(answer.status, ST_OK);
	Until([&] { return Version(*a) == "v1"; });
	EXPECT_EQ(a->Revision(), answer.revision);
	Until([&] { return Version(*b) == "v1"; });
	EXPECT_TRUE(cr_is_trusted(&b->cr));
}

TEST_F(ControlTest, WrongOperatorKeyIsRefusedAndCounted)
{
	mt_metric *denied = mt_find("balsampin_operator_calls_denied_total");
	int64_t before = denied->value;

	for (const char *key : { "", "correct", "correct horse " }) {
		Answer answer;

		Call(*a, BP_OP_APPLY, &answer, { Model("v1") }, 0, "id", key);
		Until([&] { return answer.is_done; });
		EXPECT_EQ(answer.status, ST_DENIED) << key;
	}
	EXPECT_EQ(denied->value, before + 3);
	EXPECT_EQ(Rows(""), 0);
}

TEST_F(ControlTest, InvalidChangeIsRefusedWithAllFindings)
{
	Answer answer;

	Call(*a, BP_OP_APPLY, &answer,
	     { Model("v1"), { "team", "t", "{\"weight\": 0}" } }, 0, "id");
	Until([&] { return answer.is_done; });
	EXPECT_EQ(answer.status, ST_INVALID);
	EXPECT_EQ(answer.places,
		  (std::vector<std::string>{ "/team/t/weight",
					     "/team/t/key_sha256" }));
	EXPECT_EQ(Rows(""), 0);
}

TEST_F(ControlTest, ConflictReportsTheChangedObjects)
{
	Answer first, second;

	Call(*a, BP_OP_APPLY, &first, { Model("v1") }, 0, "one");
	Call(*b, BP_OP_APPLY, &second, { Model("v2") }, 0, "two");
	Until([&] { return first.is_done && second.is_done; });
	Answer &applied = first.status == ST_OK ? first : second;
	Answer &conflicting = first.status == ST_OK ? second : first;
	EXPECT_EQ(applied.status, ST_OK);
	EXPECT_EQ(conflicting.status, ST_CONFLICT);
	EXPECT_EQ(conflicting.revision, applied.revision);
	EXPECT_EQ(conflicting.objects.count("model/m"), 1u);
	EXPECT_EQ(Rows("change/"), 1);
}

// Whether the first write is applied, applied late or lost, the change takes
// effect once and reports success; a retry with the same id changes nothing.
TEST_F(ControlTest, LostWriteAnswerIsResolved)
{
	for (FakeWrite write : { WRITE_LOSE_ANSWER, WRITE_LATE, WRITE_LOST }) {
		uint64_t expected = a->Revision();
		std::string id = "id" + std::to_string(write);
		std::string version = "v" + std::to_string(write);

		FakeStore::Get().write = write;
		Answer answer = Apply(*a, version, expected, id.c_str());
		EXPECT_EQ(answer.status, ST_OK) << write;
		Until([&] { return Version(*a) == version; });
		EXPECT_EQ(a->Revision(), answer.revision) << write;
		Answer retry = Apply(*b, version, expected, id.c_str());
		EXPECT_EQ(retry.status, ST_OK) << write;
		EXPECT_EQ(retry.revision, answer.revision) << write;
		EXPECT_EQ(a->Revision(), answer.revision) << write;
	}
	EXPECT_EQ(Rows("change/"), 3);
}

TEST_F(ControlTest, ChangeIsUnavailableWhileTheStoreIsDown)
{
	FakeStore::Get().is_down = true;
	EXPECT_EQ(Apply(*a, "v1", 0, "id").status, ST_UNAVAILABLE);
	FakeStore::Get().is_down = false;
	EXPECT_EQ(Apply(*a, "v1", 0, "id").status, ST_OK);
}

TEST_F(ControlTest, OutcomeIsUnknownIfTheStoreStaysDown)
{
	Answer answer;

	FakeStore::Get().write = WRITE_LOSE_ANSWER;
	Call(*a, BP_OP_APPLY, &answer, { Model("v1") }, 0, "id");
	Until([&] { return FakeStore::Get().writes == 1; });
	FakeStore::Get().is_down = true;
	Until([&] { return answer.is_done; });
	EXPECT_EQ(answer.status, ST_UNKNOWN);
	FakeStore::Get().is_down = false;
	EXPECT_EQ(Apply(*b, "v1", 0, "id").status, ST_OK);
	EXPECT_EQ(Rows("change/"), 1);
}

// A change based on the revision that a process has right after its start would
// be refused as a conflict.
TEST_F(ControlTest, RevisionIsWithheldUntilCaughtUp)
{
	Answer early, late;

	FakeStore::Get().is_down = true;
	Call(*a, BP_OP_LIST, &early, {}, 0, "", OPERATOR_KEY, "",
	     OP_KIND_REVISION);
	Until([&] { return early.is_done; });
	EXPECT_EQ(early.status, ST_STALE);
	FakeStore::Get().is_down = false;
	Until([&] { return cr_is_trusted(&a->cr); });
	Call(*a, BP_OP_LIST, &late, {}, 0, "", OPERATOR_KEY, "",
	     OP_KIND_REVISION);
	Until([&] { return late.is_done; });
	EXPECT_EQ(late.status, ST_OK);
}

TEST_F(ControlTest, OldestChangeIdIsDroppedFromTheHead)
{
	char dropped[64];
	char *head = nullptr;

	for (int i = 0; i < CS_MAX_CHANGE_IDS + 2; i++) {
		std::string id = "id" + std::to_string(i);
		char *next = cs_head_append_change(head, id.c_str(), dropped,
						   sizeof(dropped));
		std::string expected =
			i < CS_MAX_CHANGE_IDS
				? ""
				: "id" + std::to_string(i - CS_MAX_CHANGE_IDS);

		g_free(head);
		head = next;
		EXPECT_EQ(dropped, expected);
	}
	g_free(head);
}

TEST_F(ControlTest, ListVersionsAndCounters)
{
	Answer list, versions, counters;

	Apply(*a, "v1", 0, "id");
	Call(*a, BP_OP_LIST, &list);
	Call(*a, BP_OP_VERSIONS, &versions);
	Call(*a, BP_OP_COUNTERS, &counters, {}, 0, "", OPERATOR_KEY, "a");
	Until([&] {
		return list.is_done && versions.is_done && counters.is_done;
	});
	EXPECT_EQ(list.objects.count("model/m"), 1u);
	EXPECT_NE(versions.text.find("\"host\": \"a\""), std::string::npos);
	EXPECT_NE(counters.text.find("balsampin_config_revision"),
		  std::string::npos);
}

// A suspect counts as reached, since it may only have missed gossip.
TEST(Versions, ReachedFollowsTheMemberState)
{
	struct Case {
		mb_state state;
		const char *reached;
	} cases[] = {
		{ MB_UNKNOWN, "false" }, { MB_ALIVE, "true" },
		{ MB_SUSPECT, "true" },	 { MB_LEAVING, "true" },
		{ MB_DEAD, "false" },
	};

	for (const auto &c : cases) {
		GString *out = g_string_new(nullptr);
		mb_table table;
		mb_desc desc = {};
		mb_member m = {};

		g_strlcpy(m.name, "h", sizeof(m.name));
		m.role = MB_ENTRY;
		mb_init(&table, &desc);
		mb_receive_record(&table, &m, 1000);
		const_cast<mb_member *>(mb_find(&table, MB_ENTRY, "h"))->state =
			c.state;
		op_print_versions(&table, 1, true, out);
		EXPECT_NE(strstr(out->str,
				 (std::string("\"reached\": ") + c.reached)
					 .c_str()),
			  nullptr)
			<< out->str;
		g_string_free(out, TRUE);
		mb_finish(&table);
	}
}

TEST_F(ControlTest, RestartedProcessesStayWithinThePollBudget)
{
	const int kHosts = 50;
	std::vector<std::unique_ptr<Control>> restarted;

	Apply(*a, "v1", 0, "id");
	FakeStore::Get().reads = 0;
	for (int i = 0; i < kHosts; i++)
		restarted.push_back(std::make_unique<Control>(
			loop, ("h" + std::to_string(i)).c_str()));
	int64_t start = ck_now_ms();
	Until([&] {
		for (auto &c : restarted)
			if (Version(*c) != "v1")
				return false;
		return true;
	});
	// One read each to catch up, plus the periodic polls since the start.
	int64_t periods =
		(ck_now_ms() - start) * 4 / (3 * CS_MIN_POLL_PERIOD_MS);
	EXPECT_LE(FakeStore::Get().reads,
		  (kHosts + 2) * (1 + static_cast<int>(periods)));
	restarted.clear();
}

} // namespace
