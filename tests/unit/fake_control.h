// A control process on the event loop of a test, with the platform "fake".
#ifndef FAKE_CONTROL_H
#define FAKE_CONTROL_H

#include <gtest/gtest.h>

#include "fake_store.h"

extern "C" {
#include "control/cs.h"
#include "control/od_task.h"
#include "control/op.h"
}

const uint8_t KEY[RP_KEY_BYTES] = { 7 };
const char OPERATOR_KEY[] = "correct horse";

struct Control {
	cf_settings settings = {};
	kn_kernel kernel = {};
	rp_endpoint rpc = {};
	mb_table members = {};
	cr_replica cr = {};
	cs_task cs = {};
	od_task od = {};
	op_server op = {};
	kn_handle replica = {};

	Control(struct ev_loop *loop, const char *name,
		const ls_desc *lease = nullptr)
	{
		kn_desc kernel_desc = {};
		rp_desc rpc_desc = {};
		mb_member self = {};
		mb_desc members_desc = { &self };
		cr_desc replica_desc = {};
		cs_desc store_desc = {};
		op_desc operator_desc = {};
		gsize bytes = CF_KEY_BYTES;
		GChecksum *sum = g_checksum_new(G_CHECKSUM_SHA256);

		g_checksum_update(
			sum, reinterpret_cast<const guchar *>(OPERATOR_KEY),
			-1);
		g_checksum_get_digest(sum, settings.operator_key_hash, &bytes);
		g_checksum_free(sum);
		g_strlcpy(settings.self.name, name, CF_NAME_BYTES);
		g_strlcpy(settings.self.zone, "z", CF_NAME_BYTES);
		g_strlcpy(settings.platform.kind, "fake", CF_NAME_BYTES);
		settings.platform.reads_per_s = 1000;
		settings.platform.writes_per_s = 1000;
		g_strlcpy(self.name, name, sizeof(self.name));
		g_strlcpy(self.zone, "z", sizeof(self.zone));
		self.role = MB_CONTROL;
		kernel_desc.loop = loop;
		kernel_desc.no_signals = true;
		kn_init(&kernel, &kernel_desc);
		rpc_desc.loop = loop;
		rpc_desc.address = "127.0.0.1";
		rpc_desc.key = KEY;
		rpc_desc.host = name;
		rpc_desc.role = "control";
		rpc_desc.incarnation = 1;
		EXPECT_EQ(rp_init(&rpc, &rpc_desc), ST_OK);
		mb_init(&members, &members_desc);
		replica_desc.settings = &settings;
		replica_desc.rpc = &rpc;
		replica_desc.members = &members;
		replica_desc.serve = true;
		EXPECT_EQ(cr_spawn(&cr, &kernel, &replica_desc, &replica),
			  ST_OK);
		store_desc.settings = &settings;
		store_desc.members = &members;
		store_desc.cr = &cr;
		store_desc.replica = replica;
		store_desc.change_deadline_ms = 1500;
		EXPECT_EQ(cs_spawn(&cs, &kernel, &store_desc, nullptr), ST_OK);
		if (lease)
			StartOrders(*lease);
		operator_desc.settings = &settings;
		operator_desc.kernel = &kernel;
		operator_desc.rpc = &rpc;
		operator_desc.members = &members;
		operator_desc.cr = &cr;
		operator_desc.cs = &cs;
		EXPECT_EQ(op_init(&op, &operator_desc), ST_OK);
	}

	void StartOrders(const ls_desc &lease)
	{
		od_task_desc desc = {};

		desc.settings = &settings;
		desc.incarnation = 1;
		desc.members = &members;
		desc.cr = &cr;
		desc.cs = &cs;
		desc.lease = lease;
		EXPECT_EQ(od_spawn(&od, &kernel, &desc, nullptr), ST_OK);
	}

	~Control()
	{
		kn_finish(&kernel);
		rp_finish(&rpc);
		mb_finish(&members);
	}

	uint64_t Revision()
	{
		return cr_config(&cr)->revision;
	}
};

#endif
