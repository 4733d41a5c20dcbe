/*
 * sp - separation of short and long prompts on the engines of a pool.
 *
 * Load pattern
 *	One pool serves short prompts with long answers and a tight target, and
 *	prompts of many thousand tokens with a looser one. An engine prefills in
 *	pieces between the steps of the requests that it decodes, so each step
 *	beside a long prompt takes ten times as long: short requests hold their
 *	slots ten times as long, the slots run out, and their first tokens are
 *	late on all engines.
 *
 * Overview
 *	In each zone some of the engines are kept for short prompts, as many as
 *	their demand asks for. Long prompts go to the others, and use a kept
 *	engine only if no other can run them. Short prompts may go anywhere and
 *	prefer kept engines. Which engines are kept follows from a hash of the
 *	engine and from those that are usable at the moment, so that all hosts
 *	agree without a message, and a lost engine is replaced at once. Hosts
 *	that differ in their estimate of the demand differ only in the last
 *	engines of the order.
 *
 *	A request that will be late anyway is sent only to an engine with room,
 *	and waits at its host until then, for half of its time at most: in the
 *	queue of an engine it would hold a slot that others need to be on time.
 *
 *	A pool is separated while prompts of at most SP_SHORT_TOKENS arrive on a
 *	route whose target is tighter than that of another route to the pool.
 *
 *	Plain functions, no clock, no sockets.
 *
 * Use
 *	sp_arrived(&pool, kind, now_ms);
 *	sp_started(&pool, kind, tokens, target_ms, now_ms);
 *	sp_ended(&pool, kind, now_ms);
 *	if (sp_is_separated(&pool, now_ms))
 *		sp_choose_kept(engines, count, sp_kept_share(&pool, ...));
 *	...the request will be late:
 *	switch (sp_decide(&pool, &wait, now_ms)) ...
 */
#ifndef SP_H
#define SP_H

#include <stdbool.h>
#include <stdint.h>

/** Least number of requests that an engine is taken to run at once. */
#define SP_MIN_RUNNING 4

/** Longest short prompt: what an engine prefills in one piece. */
#define SP_SHORT_TOKENS 2048

/**
 * enum sp_kind - of a request, see sp_kind_of().
 * @SP_OTHER: short, on a route without a tight target.
 */
enum sp_kind { SP_OTHER = 0, SP_SHORT, SP_LONG };

/**
 * struct sp_pool - demand for short prompts at one pool, at this host.
 * @short_ms: when the last short request arrived; 0: never.
 * @running: short requests of this host that run.
 * @running_ms, @long_tokens: moving sums of their time and of the tokens of
 *	long prompts, over @covered_ms, as of @mean_ms.
 * @long_count, @long_target_ms: number of these prompts, and their target.
 * @share: last result of sp_kept_share().
 * @room: part of the free slots that this host may still take, as of @room_ms.
 */
struct sp_pool {
	int64_t short_ms;
	uint32_t running;
	double running_ms;
	double long_tokens;
	double long_count;
	int64_t long_target_ms;
	double covered_ms;
	int64_t mean_ms;
	double share;
	double room;
	int64_t room_ms;
};

/**
 * struct sp_engine - a usable engine.
 * @hash: of its id.
 * @zone: a number that identifies its zone.
 * @is_kept: set by sp_choose_kept().
 */
struct sp_engine {
	uint64_t hash;
	uint32_t zone;
	bool is_kept;
};

/**
 * sp_kind_of() - classify a request.
 * @target_ms: of its route; 0: none.
 * @loosest_target_ms: highest target of the routes to the pool.
 */
enum sp_kind sp_kind_of(uint32_t prompt_tokens, int64_t target_ms,
			int64_t loosest_target_ms);

/** sp_arrived() - note the arrival of a request. */
void sp_arrived(struct sp_pool *pool, enum sp_kind kind, int64_t now_ms);

/** sp_started(), sp_ended() - a request begins or ends to run. */
void sp_started(struct sp_pool *pool, enum sp_kind kind, uint32_t read_tokens,
		int64_t target_ms, int64_t now_ms);
void sp_ended(struct sp_pool *pool, enum sp_kind kind, int64_t now_ms);

/**
 * sp_is_separated() - whether engines are kept for short prompts now.
 * @crash_ms: last crash of an engine under a request, or a part of a prompt,
 *	that is known to crash engines; 0: none.
 *
 * Load: requests crash the engines that run them. Kept engines run many short
 * requests each, which would all break off with them, so requests are spread
 * over all engines while that goes on.
 */
bool sp_is_separated(const struct sp_pool *pool, int64_t crash_ms,
		     int64_t now_ms);

/**
 * sp_kept_share() - part of the engines to keep for short prompts.
 * @hosts: that send requests to the pool, this one included.
 * @engines: usable ones.
 * @slots: of all of them together.
 */
double sp_kept_share(struct sp_pool *pool, uint32_t hosts, uint32_t engines,
		     uint64_t slots, int64_t now_ms);

/** sp_slot_ms() - for how long a request of this kind holds its slot. */
double sp_slot_ms(enum sp_kind kind);

/**
 * sp_late_fill() - part of an engine that late requests of this kind may fill.
 */
double sp_late_fill(enum sp_kind kind);

/** enum sp_action - decision on a request that will be late. */
enum sp_action { SP_SEND = 0, SP_WAIT, SP_REFUSE };

/**
 * struct sp_wait - a request that will be late, for sp_decide().
 * @has_room: the engine that it would be sent to has room for it.
 * @free_slots: of all usable engines.
 * @hosts: that send requests to the pool.
 * @until_ms: until when it waits; 0: it has not waited yet.
 * @may_wait: there is room for it among the requests that wait.
 */
struct sp_wait {
	enum sp_kind kind;
	bool has_room;
	uint32_t free_slots;
	uint32_t hosts;
	int64_t until_ms;
	bool may_wait;
};

/**
 * sp_decide() - whether to send a late request, to let it wait or to refuse it.
 *
 * All hosts see the same free slots. Each takes its part of them for short
 * prompts, of which many are late at once.
 */
enum sp_action sp_decide(struct sp_pool *pool, const struct sp_wait *wait,
			 int64_t now_ms);

/**
 * sp_next_try_ms() - time to the next decision on a request that waits.
 * @waiting: requests that wait at this host.
 * @random: 0 to 1; spreads the decisions.
 *
 * A decision costs time that grows with the engines, so a host makes a bounded
 * number of them a second, however many requests wait.
 */
int64_t sp_next_try_ms(uint32_t waiting, double random, int64_t now_ms,
		       int64_t until_ms);

/** sp_wait_until_ms() - until when a late request may wait. */
int64_t sp_wait_until_ms(int64_t now_ms, int64_t deadline_ms);

/** sp_choose_kept() - set is_kept in the table of usable engines. */
void sp_choose_kept(struct sp_engine *engines, uint32_t count, double share);

#endif
