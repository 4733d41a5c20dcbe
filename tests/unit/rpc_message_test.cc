// RPC messages and records as bytes, without sockets.
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