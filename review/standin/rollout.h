/*
 * rollout - machines that roll new weights out to two engines.
 *
 * Overview
 *	One machine at a time, the holder, gives orders. Who holds is told from
 *	the orders that the engines saw, and, to choose the machine that a
 *	disturbance hits first (how = leader), from the last conditional write
 *	to the store.
 */
#ifndef STANDIN_ROLLOUT_H
#define STANDIN_ROLLOUT_H

#include <atomic>

#include "standin.h"

namespace standin
{

/** SYSTEM.md, bounds of Kitami Post. */
constexpr int64_t lease_ms = 3000;
constexpr int64_t version_ms = 8000;

class Rollout
{
      public:
	/** @machines: how many. */
	explicit Rollout(int machines);
	~Rollout();

	/** start() - the machines; returns when one has been holder for long.
	 */
	void start();
	void name_version(int version);

	/** is_in_place() - at both engines, within @timeout_ms. */
	bool is_in_place(int version, int64_t timeout_ms);

	/** orderer() - the machine that gave the last order. */
	std::string orderer();

	/** leader() - the machine that last wrote the lease, or released it.
	 */
	std::string leader();

	Gateway &machine(const std::string &name);

	/** restart_ended() - start the machine again as soon as it has ended,
	 * after the platform's short delay. */
	void restart_ended(const std::string &name);

	/**
	 * judge() - whether ONE was broken: at an engine, holders took turns,
	 * each within lease_ms of the order before, so that the first one came
	 * back; or a generation number came twice or fell.
	 */
	bool judge();

	Folder folder;
	Store store;

      private:
	std::unique_ptr<Engine> near, far;
	std::vector<std::unique_ptr<Gateway>> machines;
	std::vector<std::thread> restarts;
	std::atomic<bool> is_over{ false };

	bool judge_engine(Engine &engine);
};

} // namespace standin

#endif
