// RPC endpoints with recorded outcomes, shared by the tests of the endpoint.
#ifndef RPC_FIXTURE_H
#define RPC_FIXTURE_H

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
	std::vector<rp_traffic> traffic;

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
		desc.on_traffic = [](void *arg, const struct rp_traffic *m) {
			static_cast<Rpc *>(arg)->traffic.push_back(*m);
		};
		desc.traffic_arg = this;
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

} // namespace

#endif
