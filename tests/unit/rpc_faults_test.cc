// What reaches an endpoint that should not: oversized, crossed, replayed,
// garbage; and connections that break, fall silent or grow too many.
#include "rpc_fixture.h"

namespace
{

TEST_F(Rpc, OversizedArgument)
{
	std::string text(BP_MAX_JSON_BYTES, 'x');
	std::string name = "n";
	std::vector<bp_object> objects(17);
	bp_operate args = {};
	Outcome o;

	for (auto &object : objects) {
		object.kind = object.name = &name[0];
		object.json = &text[0];
	}
	args.operator_key = args.change_id = args.kind = args.name = &name[0];
	args.objects.objects_val = objects.data();
	for (auto c : { std::make_pair(RP_UDP, 1u), { RP_TCP, 17u } }) {
		auto d = Call(c.first, &o, nullptr);

		args.objects.objects_len = c.second;
		d.args = (xdrproc_t)xdr_bp_operate;
		d.args_value = &args;
		EXPECT_EQ(rp_call(&client, &d, nullptr), ST_INVALID);
	}
	EXPECT_EQ(o.count, 0);
}

TEST_F(Rpc, CrossedReplies)
{
	struct {
		const char *what;
		uint32_t xid_change;
		bool from_server;
		uint64_t addressed;
		const char *metric;
	} cases[] = {
		{ "another transaction", 2 * RP_MAX_CALLS, true, 100,
		  "replies_late" },
		{ "another address", 0, false, 100, "replies_crossed" },
		{ "meant for another process", 0, true, 99, "replies_crossed" },
	};
	// A plain socket plays the peer.
	int fd = socket(AF_INET, SOCK_DGRAM, 0);
	struct sockaddr_in at = {};
	socklen_t length = sizeof(at);

	at.sin_family = AF_INET;
	at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	ASSERT_EQ(bind(fd, (struct sockaddr *)&at, sizeof(at)), 0);
	getsockname(fd, (struct sockaddr *)&at, &length);
	for (const auto &c : cases) {
		SCOPED_TRACE(c.what);
		bp_ix_lookup args = {};
		bp_ix_found found = {};
		Outcome o;
		auto d = Call(RP_UDP, &o, &args, 5000);
		alignas(8) uint8_t data[RP_MAX_DATAGRAM_BYTES];
		struct rp_message m;
		uint32_t bytes = 0;
		int64_t before = Metric(c.metric);

		d.to.port = ntohs(at.sin_port);
		ASSERT_EQ(rp_call(&client, &d, nullptr), ST_OK);
		ssize_t n = recv(fd, data, sizeof(data), 0);
		ASSERT_TRUE(rp_message_parse(&m, data, (uint32_t)n));
		m.xid += c.xid_change;
		m.is_reply = true;
		m.sender.addressed = c.addressed;
		ASSERT_EQ(rp_message_write(&m, (xdrproc_t)xdr_bp_ix_found,
					   &found, KEY, data, sizeof(data),
					   &bytes),
			  ST_OK);
		SendRaw(data, bytes, rp_port(&client), c.from_server ? fd : -1);
		Until([&] { return Metric(c.metric) > before; });
		EXPECT_EQ(o.count, 0);
		// The right reply still gets through.
		m.xid -= c.xid_change;
		m.sender.addressed = 100;
		rp_message_write(&m, (xdrproc_t)xdr_bp_ix_found, &found, KEY,
				 data, sizeof(data), &bytes);
		SendRaw(data, bytes, rp_port(&client), fd);
		Until([&] { return o.count == 1; });
		EXPECT_EQ(o.code, ST_OK);
	}
	close(fd);
}

TEST_F(Rpc, ReplayIsBoundedByTheWallClock)
{
	const uint64_t now_ms = (uint64_t)ck_wall_ms();
	struct {
		uint64_t wall_ms;
		bool is_served;
	} cases[] = { { now_ms - 70000, false },
		      { now_ms - 50000, true },
		      { now_ms + 50000, true },
		      { now_ms + 70000, false },
		      { 0, false },
		      { UINT64_MAX, false },
		      { 1ull << 63, false } };

	for (const auto &c : cases) {
		SCOPED_TRACE(c.wall_ms);
		bp_ix_lookup args = {};
		alignas(8) uint8_t data[RP_MAX_DATAGRAM_BYTES];
		struct rp_message m = {};
		uint32_t bytes = 0;
		int served = requests;
		int64_t old = Metric("requests_old");

		m.program = BALSAMPIN;
		m.version = BALSAMPIN_V1;
		m.procedure = BP_IX_LOOKUP;
		m.sender.incarnation = 7;
		m.sender.wall_ms = c.wall_ms;
		ASSERT_EQ(rp_message_write(&m, (xdrproc_t)xdr_bp_ix_lookup,
					   &args, KEY, data, sizeof(data),
					   &bytes),
			  ST_OK);
		SendRaw(data, bytes, rp_port(&server));
		Until([&] {
			return requests > served ||
			       Metric("requests_old") > old;
		});
		EXPECT_EQ(requests > served, c.is_served);
	}
}

TEST_F(Rpc, ReceiverTakesOverTheClock)
{
	bp_ix_lookup args = {};
	alignas(8) uint8_t data[RP_MAX_DATAGRAM_BYTES];
	struct rp_message m = {};
	uint32_t bytes = 0;

	m.program = BALSAMPIN;
	m.version = BALSAMPIN_V1;
	m.procedure = BP_IX_LOOKUP;
	m.sender.wall_ms = (uint64_t)ck_wall_ms();
	m.sender.stamp = (uint64_t)(ck_wall_ms() + 30000)
			 << CK_HLC_COUNTER_BITS;
	rp_message_write(&m, (xdrproc_t)xdr_bp_ix_lookup, &args, KEY, data,
			 sizeof(data), &bytes);
	SendRaw(data, bytes, rp_port(&server));
	Until([&] { return requests == 1; });
	EXPECT_GT(tl_clock()->last, m.sender.stamp);
}

TEST_F(Rpc, GarbageDatagrams)
{
	int64_t malformed = Metric("messages_malformed");
	int64_t oversized = Metric("datagrams_oversized");
	std::vector<uint8_t> data(RP_MAX_DATAGRAM_BYTES);
	int64_t sent = 0;

	srand(1);
	for (size_t bytes = 0; bytes < 200; bytes++, sent++) {
		for (auto &b : data)
			b = (uint8_t)rand();
		if (bytes >= 8) // a call or a reply
			data[4] = data[5] = data[6] = 0, data[7] = bytes & 1;
		SendRaw(data.data(), bytes, rp_port(&server));
	}
	data.resize(RP_MAX_DATAGRAM_BYTES + 1);
	SendRaw(data.data(), data.size(), rp_port(&server));
	Until([&] {
		return Metric("datagrams_oversized") > oversized &&
		       Metric("messages_malformed") == malformed + sent;
	});
	EXPECT_EQ(requests, 0);
}

TEST_F(Rpc, GarbageRecordsCloseTheConnection)
{
	struct {
		const char *what;
		std::vector<uint8_t> bytes;
	} cases[] = {
		{ "empty fragment", { 0, 0, 0, 0 } },
		{ "empty record", { 0x80, 0, 0, 0 } },
		{ "too long", { 0x81, 0, 0, 1 } },
		{ "two fragments too long together",
		  { 0, 0, 0, 1, 'x', 0x81, 0, 0, 0 } },
	};

	for (const auto &c : cases) {
		SCOPED_TRACE(c.what);
		int64_t before = Metric("records_malformed");
		int fd = socket(AF_INET, SOCK_STREAM, 0);
		struct sockaddr_in to = {};
		char end;

		to.sin_family = AF_INET;
		to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		to.sin_port = htons(rp_port(&server));
		ASSERT_EQ(connect(fd, (struct sockaddr *)&to, sizeof(to)), 0);
		ASSERT_EQ(write(fd, c.bytes.data(), c.bytes.size()),
			  (ssize_t)c.bytes.size());
		Until([&] { return Metric("records_malformed") > before; });
		EXPECT_LE(read(fd, &end, 1), 0);
		close(fd);
	}
}

TEST_F(Rpc, ConnectionIsReused)
{
	const struct mt_metric *open = mt_find("balsampin_rpc_connections");
	int64_t before = open->value;

	for (int i = 0; i < 5; i++) {
		bp_ix_lookup args = {};
		Outcome o;
		auto d = Call(RP_TCP, &o, &args);

		ASSERT_EQ(rp_call(&client, &d, nullptr), ST_OK);
		Until([&] { return o.count == 1; });
		EXPECT_EQ(o.code, ST_OK);
	}
	EXPECT_EQ(open->value, before + 2) << "one seen from both ends";
}

TEST_F(Rpc, IdleConnectionsAreClosed)
{
	const struct mt_metric *open = mt_find("balsampin_rpc_connections");
	int64_t before = open->value;
	bp_ix_lookup args = {};
	Outcome o[2];
	auto d = Call(RP_TCP, &o[0], &args);

	rp_finish(&client);
	idle_ms = 60;
	Open(&client, "client", 101);
	manner = HOLD;
	ASSERT_EQ(rp_call(&client, &d, nullptr), ST_OK);
	Until([&] { return held.size() == 1; });
	int64_t limit = ck_now_ms() + 3 * idle_ms;
	Until([&] { return ck_now_ms() > limit; });
	EXPECT_EQ(open->value, before + 2) << "a call is open";
	Answer(held[0]);
	held.clear();
	Until([&] { return o[0].count == 1; });
	Until([&] { return open->value == before; });
	manner = AT_ONCE;
	d.arg = &o[1];
	ASSERT_EQ(rp_call(&client, &d, nullptr), ST_OK);
	Until([&] { return o[1].count == 1; });
	EXPECT_EQ(o[1].code, ST_OK);
}

TEST_F(Rpc, MoreTargetsThanConnections)
{
	struct rp_endpoint servers[2] = {};
	struct rp_desc desc = {};
	const uint32_t targets = RP_MAX_CONNECTIONS / 2 + 20;

	// All of 127.0.0.0/8 reaches an endpoint on 0.0.0.0.
	desc.loop = loop;
	desc.address = "0.0.0.0";
	desc.key = KEY;
	desc.incarnation = 1;
	for (auto &ep : servers)
		ASSERT_EQ(rp_init(&ep, &desc), ST_OK);
	for (uint32_t i = 0; i < targets; i++) {
		bp_ix_lookup args = {};
		Outcome o;
		auto d = Call(RP_TCP, &o, &args);

		d.to.ipv4 = INADDR_LOOPBACK + i;
		d.to.port = rp_port(&servers[i % 2]);
		ASSERT_EQ(rp_call(&client, &d, nullptr), ST_OK);
		Until([&] { return o.count == 1; });
		ASSERT_EQ(o.code, ST_DENIED) << "target " << i;
	}
	for (auto &ep : servers)
		rp_finish(&ep);
}

TEST_F(Rpc, SilentConnectionIsNotUsedAgain)
{
	const struct mt_metric *open = mt_find("balsampin_rpc_connections");
	int64_t before = open->value;
	bp_ix_lookup args = {};
	Outcome o[2];
	auto d = Call(RP_TCP, &o[0], &args, 30);

	manner = DROP;
	ASSERT_EQ(rp_call(&client, &d, nullptr), ST_OK);
	Until([&] { return o[0].count == 1; });
	manner = AT_ONCE;
	d = Call(RP_TCP, &o[1], &args);
	ASSERT_EQ(rp_call(&client, &d, nullptr), ST_OK);
	Until([&] { return o[1].count == 1; });
	EXPECT_EQ(o[1].code, ST_OK);
	EXPECT_EQ(open->value, before + 4);
}

TEST_F(Rpc, BrokenConnections)
{
	bp_ix_lookup args = {};
	Outcome refused, cut;
	auto d = Call(RP_TCP, &cut, &args);

	manner = HOLD;
	ASSERT_EQ(rp_call(&client, &d, nullptr), ST_OK);
	Until([&] { return held.size() == 1; });
	rp_finish(&server);
	Until([&] { return cut.count == 1; });
	EXPECT_EQ(cut.code, ST_UNKNOWN) << "it may have run";
	d.arg = &refused;
	ASSERT_EQ(rp_call(&client, &d, nullptr), ST_OK);
	Until([&] { return refused.count == 1; });
	EXPECT_EQ(refused.code, ST_UNAVAILABLE) << "nothing was sent";
	OpenServer(200);
}

TEST_F(Rpc, CallTableIsBounded)
{
	bp_ix_lookup args = {};
	Outcome o;
	auto d = Call(RP_UDP, &o, &args);

	manner = DROP;
	for (int i = 0; i < RP_MAX_CALLS; i++)
		ASSERT_EQ(rp_call(&client, &d, nullptr), ST_OK);
	EXPECT_EQ(rp_call(&client, &d, nullptr), ST_FULL);
}

} // namespace
