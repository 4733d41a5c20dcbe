// ONC RPC endpoints on loopback: round trips, deadlines, replies that are
// late, crossed or forged, restarted peers, and input that is no message.
#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstring>
#include <functional>
#include <string>
#include <vector>

extern "C" {
#include "kernel/ck.h"
#include "kernel/mt.h"
#include "kernel/tl.h"
#include "rpc/gen/balsampin.h"
#include "rpc/rp.h"
#include "rpc/rp_message.h"
#include "rpc/rp_record.h"
}

namespace
{

const uint8_t KEY[RP_KEY_BYTES] = { 1, 2, 3 };
const uint8_t OTHER_KEY[RP_KEY_BYTES] = { 9 };

int64_t Metric(const std::string &name)
{
	const struct mt_metric *m =
		mt_find(("balsampin_rpc_" + name + "_total").c_str());

	EXPECT_NE(m, nullptr) << name;
	return m ? m->value : 0;
}

struct Outcome {
	int count = 0;
	st_code code = ST_OK;
	rp_peer from = {};
	uint32_t running = 0;
	std::string json;
};

void OnFound(void *arg, enum st_code code, const struct rp_peer *from,
	     const void *result)
{
	auto *o = static_cast<Outcome *>(arg);

	o->count++;
	o->code = code;
	o->from = *from;
	if (result) {
		auto *found = static_cast<const bp_ix_found *>(result);
		o->running = found->engines.engines_len;
	}
}

// How the serving side treats a request.
enum Manner { AT_ONCE, HOLD, DROP };

class Rpc : public testing::Test
{
      protected:
	struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
	struct rp_endpoint client = {};
	struct rp_endpoint server = {};
	Manner manner = AT_ONCE;
	std::vector<rp_request *> held;
	int requests = 0;
	std::string caller;
	uint32_t keys_seen = 0;
	int64_t idle_ms = 0;

	void Open(struct rp_endpoint *ep, const char *host, uint64_t inc,
		  uint16_t port = 0, const uint8_t *key = KEY)
	{
		struct rp_desc desc = {};

		desc.loop = loop;
		desc.address = "127.0.0.1";
		desc.port = port;
		desc.key = key;
		desc.host = host;
		desc.role = "index";
		desc.incarnation = inc;
		desc.idle_ms = idle_ms;
		ASSERT_EQ(rp_init(ep, &desc), ST_OK) << st_message();
	}

	void OpenServer(uint64_t inc, uint16_t port = 0,
			const uint8_t *key = KEY)
	{
		struct rp_procedure p = {};

		Open(&server, "server", inc, port, key);
		p.number = BP_IX_LOOKUP;
		p.args = (xdrproc_t)xdr_bp_ix_lookup;
		p.args_bytes = sizeof(bp_ix_lookup);
		p.result = (xdrproc_t)xdr_bp_ix_found;
		p.handler = [](void *arg, struct rp_request *r, const void *a) {
			static_cast<Rpc *>(arg)->Serve(
				r, static_cast<const bp_ix_lookup *>(a));
		};
		p.arg = this;
		ASSERT_EQ(rp_serve(&server, &p), ST_OK);
		EXPECT_EQ(rp_serve(&server, &p), ST_CONFLICT);
	}

	void SetUp() override
	{
		Open(&client, "client", 100);
		OpenServer(200);
	}

	void TearDown() override
	{
		rp_finish(&client);
		rp_finish(&server);
		for (auto *r : held)
			rp_drop(r);
		ev_loop_destroy(loop);
	}

	void Serve(rp_request *request, const bp_ix_lookup *args)
	{
		requests++;
		caller = rp_peer_of(request)->host;
		keys_seen = args->keys.keys_len;
		if (manner == HOLD)
			held.push_back(request);
		else if (manner == DROP)
			rp_drop(request);
		else
			Answer(request);
	}

	static void Answer(rp_request *request)
	{
		bp_ix_engine engines[3] = {};
		bp_ix_found found = {};

		found.engines.engines_len = 3;
		found.engines.engines_val = engines;
		rp_reply(request, &found);
	}

	rp_call_desc Call(rp_transport transport, Outcome *o,
			  const bp_ix_lookup *args, int64_t deadline_ms = 5000)
	{
		rp_call_desc d = {};

		d.to.ipv4 = INADDR_LOOPBACK;
		d.to.port = rp_port(&server);
		d.transport = transport;
		d.number = BP_IX_LOOKUP;
		d.args = (xdrproc_t)xdr_bp_ix_lookup;
		d.args_value = args;
		d.result = (xdrproc_t)xdr_bp_ix_found;
		d.result_bytes = sizeof(bp_ix_found);
		d.deadline_ms = deadline_ms;
		d.on_done = OnFound;
		d.arg = o;
		return d;
	}

	// Runs the loop until the condition holds, ten seconds at most.
	void Until(const std::function<bool()> &condition)
	{
		int64_t limit = ck_now_ms() + 10000;
		ev_timer wake;

		ev_timer_init(
			&wake, [](struct ev_loop *, ev_timer *, int) {}, 0.01,
			0.01);
		ev_timer_start(loop, &wake);
		while (!condition() && ck_now_ms() < limit)
			ev_run(loop, EVRUN_ONCE);
		ev_timer_stop(loop, &wake);
		ASSERT_TRUE(condition()) << "condition not reached";
	}

	void SendRaw(const void *data, size_t bytes, uint16_t port,
		     int fd_or_new = -1)
	{
		int fd = fd_or_new < 0 ? socket(AF_INET, SOCK_DGRAM, 0)
				       : fd_or_new;
		struct sockaddr_in to = {};

		to.sin_family = AF_INET;
		to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		to.sin_port = htons(port);
		sendto(fd, data, bytes, 0, (struct sockaddr *)&to, sizeof(to));
		if (fd_or_new < 0)
			close(fd);
	}
};

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

TEST(RpMessage, LargestIndexMessagesFitADatagram)
{
	u_quad_t numbers[BP_MAX_KEYS] = {};
	bp_ix_lookup lookup = { { BP_MAX_ENGINES, numbers },
				{ BP_MAX_KEYS, numbers } };
	bp_ix_record record = {};
	struct {
		xdrproc_t proc;
		const void *value;
	} cases[] = { { (xdrproc_t)xdr_bp_ix_lookup, &lookup },
		      { (xdrproc_t)xdr_bp_ix_record, &record } };
	struct rp_message m = {};

	record.keys = { BP_MAX_KEYS, numbers };
	record.blocks = { BP_MAX_BLOCKS, numbers };
	memset(m.sender.host, 'h', sizeof(m.sender.host) - 1);
	memset(m.sender.role, 'r', sizeof(m.sender.role) - 1);
	for (const auto &c : cases) {
		alignas(8) uint8_t data[RP_MAX_DATAGRAM_BYTES];
		uint32_t bytes = 0;

		EXPECT_EQ(rp_message_write(&m, c.proc, c.value, KEY, data,
					   sizeof(data), &bytes),
			  ST_OK);
	}
}

TEST(RpMessage, DamagedMessagesNeverPass)
{
	bp_ix_lookup args = {};
	u_quad_t keys[4] = { 1, 2, 3, 4 };

	args.keys.keys_len = 4;
	args.keys.keys_val = keys;
	for (bool is_reply : { false, true }) {
		alignas(8) uint8_t data[RP_MAX_DATAGRAM_BYTES];
		struct rp_message m = {};
		uint32_t bytes = 0;

		m.is_reply = is_reply;
		m.program = BALSAMPIN;
		m.version = BALSAMPIN_V1;
		strcpy(m.sender.host, "h1");
		ASSERT_EQ(rp_message_write(&m, (xdrproc_t)xdr_bp_ix_lookup,
					   &args, KEY, data, sizeof(data),
					   &bytes),
			  ST_OK);
		ASSERT_TRUE(rp_message_parse(&m, data, bytes));
		ASSERT_TRUE(rp_message_is_authentic(&m, data, bytes, KEY));
		EXPECT_FALSE(
			rp_message_is_authentic(&m, data, bytes, OTHER_KEY));
		for (uint32_t i = 0; i < bytes * 8; i++) {
			data[i / 8] ^= 1 << i % 8;
			EXPECT_FALSE(
				rp_message_parse(&m, data, bytes) &&
				rp_message_is_authentic(&m, data, bytes, KEY))
				<< "bit " << i;
			rp_message_try(data, bytes, (xdrproc_t)xdr_bp_ix_lookup,
				       sizeof(args));
			data[i / 8] ^= 1 << i % 8;
		}
		for (uint32_t n = 0; n < bytes; n++) {
			EXPECT_FALSE(rp_message_parse(&m, data, n) &&
				     rp_message_is_authentic(&m, data, n, KEY));
			rp_message_try(data, n, (xdrproc_t)xdr_bp_ix_lookup,
				       sizeof(args));
		}
	}
}

TEST(RpRecord, FragmentsInAnyPieces)
{
	const std::vector<uint8_t> stream = { 0,    0, 0, 2,   'a', 'b',
					      0x80, 0, 0, 1,   'c', 0x80,
					      0,    0, 2, 'd', 'e' };

	for (size_t step = 1; step <= stream.size(); step++) {
		std::vector<std::string> records;
		struct rp_record r;

		rp_record_init(&r, 100);
		for (size_t at = 0; at < stream.size(); at += step)
			EXPECT_TRUE(rp_record_feed(
				&r, stream.data() + at,
				(uint32_t)std::min(step, stream.size() - at),
				[](void *arg, const uint8_t *data, uint32_t n) {
					static_cast<std::vector<std::string> *>(
						arg)
						->emplace_back(
							(const char *)data, n);
				},
				&records));
		EXPECT_EQ(records, (std::vector<std::string>{ "abc", "de" }));
		rp_record_finish(&r);
	}
}

} // namespace
