// ONC RPC endpoints on loopback, over UDP and TCP alike: round trips,
// deadlines, replies that are late, restarted peers, wrong keys.
#include "rpc_fixture.h"

namespace
{

class RpcBoth : public Rpc, public testing::WithParamInterface<rp_transport>
{
};

TEST_P(RpcBoth, RoundTrip)
{
	u_quad_t keys[BP_MAX_KEYS] = {};
	bp_ix_lookup args = {};
	Outcome o;
	auto d = Call(GetParam(), &o, &args);

	args.keys.keys_len = BP_MAX_KEYS;
	args.keys.keys_val = keys;
	d.to.incarnation = 200;
	ASSERT_EQ(rp_call(&client, &d, nullptr), ST_OK);
	EXPECT_EQ(o.count, 0) << "called back from within rp_call()";
	Until([&] { return o.count > 0; });
	EXPECT_EQ(o.code, ST_OK);
	EXPECT_EQ(o.running, 3u);
	EXPECT_STREQ(o.from.host, "server");
	EXPECT_EQ(o.from.incarnation, 200u);
	EXPECT_EQ(caller, "client");
	EXPECT_EQ(keys_seen, 100u);
}

// Call and reply, each at both ends, with the number of the procedure.
TEST_P(RpcBoth, TrafficIsToldOfEachMessage)
{
	bp_ix_lookup args = {};
	Outcome o;
	auto d = Call(GetParam(), &o, &args);

	ASSERT_EQ(rp_call(&client, &d, nullptr), ST_OK);
	Until([&] { return o.count > 0; });
	ASSERT_EQ(traffic.size(), 4u);
	for (const auto &m : traffic)
		EXPECT_EQ(m.number, (uint32_t)BP_IX_LOOKUP);
	EXPECT_TRUE(traffic[0].is_sent);
	EXPECT_FALSE(traffic[1].is_sent);
	EXPECT_TRUE(traffic[2].is_sent);
	EXPECT_FALSE(traffic[3].is_sent);
	EXPECT_EQ(traffic[0].bytes, traffic[1].bytes);
	EXPECT_EQ(traffic[2].bytes, traffic[3].bytes);
	EXPECT_GT(traffic[0].bytes, 100u);
}

TEST_P(RpcBoth, BytesAreCountedAtBothEnds)
{
	bool is_udp = GetParam() == RP_UDP;
	std::string used = is_udp ? "udp" : "tcp";
	std::string other = is_udp ? "tcp" : "udp";
	u_quad_t keys[BP_MAX_KEYS] = {};
	int64_t bytes[2] = {};

	// Both ends are in this process: what is sent is received.
	for (u_int count : { 0u, (u_int)BP_MAX_KEYS }) {
		bp_ix_lookup args = {};
		Outcome o;
		auto d = Call(GetParam(), &o, &args);
		int64_t sent = Metric(used + "_sent_bytes");
		int64_t received = Metric(used + "_received_bytes");
		int64_t others = Metric(other + "_sent_bytes") +
				 Metric(other + "_received_bytes");

		args.keys.keys_len = count;
		args.keys.keys_val = keys;
		ASSERT_EQ(rp_call(&client, &d, nullptr), ST_OK);
		Until([&] { return o.count > 0; });
		sent = Metric(used + "_sent_bytes") - sent;
		received = Metric(used + "_received_bytes") - received;
		EXPECT_EQ(sent, received);
		EXPECT_EQ(others, Metric(other + "_sent_bytes") +
					  Metric(other + "_received_bytes"));
		bytes[count > 0] = sent;
	}
	EXPECT_GT(bytes[0], 0);
	EXPECT_EQ(bytes[1] - bytes[0], BP_MAX_KEYS * 8);
}

TEST_P(RpcBoth, DeadlinePassesAndTheLateReplyIsDropped)
{
	bp_ix_lookup args = {};
	Outcome o;
	auto d = Call(GetParam(), &o, &args, 30);
	int64_t late = Metric("replies_late");

	manner = HOLD;
	ASSERT_EQ(rp_call(&client, &d, nullptr), ST_OK);
	Until([&] { return o.count > 0 && held.size() == 1; });
	EXPECT_EQ(o.code, ST_TIMEOUT);
	Answer(held[0]);
	held.clear();
	Until([&] { return Metric("replies_late") > late; });
	EXPECT_EQ(o.count, 1);
}

TEST_P(RpcBoth, DeferredReply)
{
	bp_ix_lookup args = {};
	Outcome o[2];

	manner = HOLD;
	for (auto &each : o) {
		auto d = Call(GetParam(), &each, &args);
		ASSERT_EQ(rp_call(&client, &d, nullptr), ST_OK);
	}
	Until([&] { return held.size() == 2; });
	Answer(held[1]);
	Until([&] { return o[1].count == 1; });
	EXPECT_EQ(o[0].count, 0);
	Answer(held[0]);
	held.clear();
	Until([&] { return o[0].count == 1; });
	EXPECT_EQ(o[0].code, ST_OK);
}

TEST_P(RpcBoth, CancelledCallIsNeverCalledBack)
{
	bp_ix_lookup args = {};
	Outcome o;
	struct rp_handle handle;
	auto d = Call(GetParam(), &o, &args);
	int64_t late = Metric("replies_late");

	manner = HOLD;
	ASSERT_EQ(rp_call(&client, &d, &handle), ST_OK);
	Until([&] { return held.size() == 1; });
	rp_cancel(&client, handle);
	rp_cancel(&client, handle);
	Answer(held[0]);
	held.clear();
	Until([&] { return Metric("replies_late") > late; });
	EXPECT_EQ(o.count, 0);
}

TEST_P(RpcBoth, RestartedPeerIsStale)
{
	bp_ix_lookup args = {};
	Outcome o;
	auto d = Call(GetParam(), &o, &args);
	uint16_t port = rp_port(&server);

	rp_finish(&server);
	OpenServer(201, port);
	d.to.incarnation = 200;
	ASSERT_EQ(rp_call(&client, &d, nullptr), ST_OK);
	Until([&] { return o.count > 0; });
	EXPECT_EQ(o.code, ST_STALE);
	EXPECT_EQ(o.from.incarnation, 201u);
	EXPECT_EQ(requests, 0) << "the new process served the old one's call";
}

TEST_P(RpcBoth, WrongKeyIsDroppedUnread)
{
	bp_ix_lookup args = {};
	Outcome o;
	auto d = Call(GetParam(), &o, &args, 100);
	uint16_t port = rp_port(&server);
	int64_t forged = Metric("messages_forged");

	rp_finish(&server);
	OpenServer(200, port, OTHER_KEY);
	ASSERT_EQ(rp_call(&client, &d, nullptr), ST_OK);
	Until([&] { return o.count > 0; });
	EXPECT_EQ(o.code, ST_TIMEOUT);
	EXPECT_EQ(requests, 0);
	EXPECT_EQ(Metric("messages_forged"), forged + 1);
}

TEST_P(RpcBoth, UnknownProcedureIsDenied)
{
	bp_ix_lookup args = {};
	Outcome o;
	auto d = Call(GetParam(), &o, &args);

	d.number = BP_PULL;
	ASSERT_EQ(rp_call(&client, &d, nullptr), ST_OK);
	Until([&] { return o.count > 0; });
	EXPECT_EQ(o.code, ST_DENIED);
}

TEST_P(RpcBoth, ArgumentsThatDoNotDecodeAreDenied)
{
	bp_pull args = {};
	Outcome o;
	auto d = Call(GetParam(), &o, nullptr);

	// Read as a look-up this claims an array of 2^32 - 1 engines.
	args.have_revision = UINT64_MAX;
	d.args = (xdrproc_t)xdr_bp_pull;
	d.args_value = &args;
	ASSERT_EQ(rp_call(&client, &d, nullptr), ST_OK);
	Until([&] { return o.count > 0; });
	EXPECT_EQ(o.code, ST_DENIED);
	EXPECT_EQ(requests, 0);
}

TEST_P(RpcBoth, FinishWithCallsAndRequestsOpen)
{
	bp_ix_lookup args = {};
	Outcome o;
	auto d = Call(GetParam(), &o, &args);

	manner = HOLD;
	ASSERT_EQ(rp_call(&client, &d, nullptr), ST_OK);
	ASSERT_EQ(rp_call(&client, &d, nullptr), ST_OK);
	Until([&] { return held.size() == 2; });
	rp_finish(&client);
	rp_finish(&server);
	Answer(held[0]);
	rp_drop(held[1]);
	held.clear();
	EXPECT_EQ(o.count, 0);
}

TEST_P(RpcBoth, UnawaitedCall)
{
	bp_ix_lookup args = {};
	auto d = Call(GetParam(), nullptr, &args);
	int64_t unawaited = Metric("replies_unawaited");

	d.on_done = nullptr;
	ASSERT_EQ(rp_call(&client, &d, nullptr), ST_OK);
	Until([&] { return Metric("replies_unawaited") > unawaited; });
	EXPECT_EQ(requests, 1);
}

INSTANTIATE_TEST_SUITE_P(Transports, RpcBoth, testing::Values(RP_UDP, RP_TCP),
			 [](const auto &info) {
				 return info.param == RP_UDP ? "Udp" : "Tcp";
			 });

} // namespace
