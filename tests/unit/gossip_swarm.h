// Simulation of membership tables that gossip at the rate of the membership
// task, without sockets and with a fixed seed.
#ifndef GOSSIP_SWARM_H
#define GOSSIP_SWARM_H

#include <cstdio>
#include <random>
#include <vector>

extern "C" {
#include "membership/mb.h"
#include "membership/mb_task.h"
}

// Payload bytes of a datagram, and the bytes that a record (names of 16 bytes,
// zones and regions of 8) and a heartbeat use of it.
inline const uint32_t PAYLOAD_BYTES = 1112;
inline const uint32_t RECORD_BYTES = 88;
inline const uint32_t HEARTBEAT_BYTES = 24;
inline const uint32_t MAX_RECORDS = PAYLOAD_BYTES / RECORD_BYTES;
inline const uint32_t MAX_HEARTBEATS = PAYLOAD_BYTES / HEARTBEAT_BYTES;
inline const int64_t WARMUP_MS = 20000;
inline const int64_t END_MS = 40000;

class Swarm
{
      public:
	Swarm(uint32_t count, uint32_t zones) : zones_(zones), tables_(count)
	{
		for (uint32_t i = 0; i < count; i++)
			members_.push_back(MemberOf(i));
		for (uint32_t i = 0; i < count; i++) {
			struct mb_desc desc = { &members_[i] };

			mb_init(&tables_[i], &desc);
			for (auto &m : members_)
				mb_receive_record(&tables_[i], &m, 0);
		}
	}

	~Swarm()
	{
		for (auto &t : tables_)
			mb_finish(&t);
	}

	void Run()
	{
		for (now_ms_ = 0; now_ms_ < END_MS;
		     now_ms_ += MB_GOSSIP_PERIOD_MS) {
			for (uint32_t i = 0; i < tables_.size(); i++)
				GossipRound(i);
			if (now_ms_ >= WARMUP_MS)
				Sample();
		}
	}

	double ShareNotAlive() const
	{
		return (double)not_alive_ / (double)samples_;
	}

	double ShareDead() const
	{
		return (double)dead_ / (double)samples_;
	}

	double MeanAgeMs() const
	{
		return (double)age_ms_ / (double)samples_;
	}

      private:
	uint32_t zones_;
	std::vector<struct mb_table> tables_;
	std::vector<struct mb_member> members_;
	std::mt19937 random_{ 1 };
	int64_t now_ms_ = 0;
	uint32_t picks_ = 0;
	uint64_t samples_ = 0, not_alive_ = 0, dead_ = 0, age_ms_ = 0;

	struct mb_member MemberOf(uint32_t i) const
	{
		struct mb_member m = {};

		snprintf(m.name, sizeof(m.name), "host%06u", i / 3);
		snprintf(m.zone, sizeof(m.zone), "zone%u", i / 3 % zones_);
		m.role = i % 3;
		m.incarnation = 1;
		m.state = MB_ALIVE;
		return m;
	}

	// Picks a random other process; one in MB_GOSSIP_OTHER_ZONE_EVERY is in
	// another zone.
	uint32_t PickTarget(uint32_t from)
	{
		bool in_other_zone = zones_ > 1 &&
				     picks_++ % MB_GOSSIP_OTHER_ZONE_EVERY == 0;
		uint32_t to;

		do
			to = random_() % tables_.size();
		while (to == from ||
		       (to / 3 % zones_ != from / 3 % zones_) != in_other_zone);
		return to;
	}

	void GossipRound(uint32_t from)
	{
		struct mb_member out[MAX_RECORDS];

		mb_tick(&tables_[from], now_ms_);
		for (int i = 0; i < MB_GOSSIP_FANOUT; i++) {
			struct mb_table *to = &tables_[PickTarget(from)];
			uint32_t n = mb_select_records(&tables_[from], out,
						       MAX_RECORDS);

			for (uint32_t j = 0; j < n; j++)
				mb_receive_record(to, &out[j], now_ms_);
			mb_mark_records_sent(&tables_[from], out, n);
			SendHeartbeats(from, to,
				       PAYLOAD_BYTES - n * RECORD_BYTES);
		}
	}

	void SendHeartbeats(uint32_t from, struct mb_table *to, uint32_t room)
	{
		struct mb_heartbeat heartbeats[MAX_HEARTBEATS];
		uint32_t n = mb_select_heartbeats(&tables_[from], heartbeats,
						  room / HEARTBEAT_BYTES);

		for (uint32_t i = 0; i < n; i++)
			mb_receive_heartbeat(to, &heartbeats[i], now_ms_);
		mb_mark_heartbeats_sent(&tables_[from], heartbeats, n);
	}

	void Sample()
	{
		for (auto &t : tables_)
			for (auto &known : members_) {
				auto *m = mb_find(&t, (enum mb_role)known.role,
						  known.name);

				if (m == mb_self(&t))
					continue;
				samples_++;
				not_alive_ += !m || m->state != MB_ALIVE;
				dead_ += !m || m->state == MB_DEAD;
				age_ms_ += m ? now_ms_ - m->heard_ms : 0;
			}
	}
};

inline void Print(Swarm *swarm, uint32_t zones, uint32_t count)
{
	swarm->Run();
	printf("%5u %9u %11.0f %12.2f %7.2f\n", zones, count,
	       swarm->MeanAgeMs(), 100 * swarm->ShareNotAlive(),
	       100 * swarm->ShareDead());
}

#endif
