/*
 * ps - requests that crash the engines which run them.
 *
 * Overview
 *	A request is known by a fingerprint of its content, so it is recognized
 *	when its caller sends it again, to any entry. A fingerprint is charged
 *	with a crash only if it was running on that incarnation of the engine,
 *	or its connection to it broke shortly before.
 *
 *	Several requests may run at a crash. One of them is held to be the
 *	cause once it was present at crashes of two incarnations and no other
 *	one was present at all the same crashes. As long as there is such a
 *	rival, it may be tried again, apart from its rivals, after a pause that
 *	grows with its crashes: one request can end many engines at once, with
 *	the same harmless ones beside it each time. A request that completes is
 *	cleared of what came before.
 *
 *	One that was answered in full shortly before is harmless as far as
 *	anybody knows: it is treated as one with rivals until there is no room
 *	for more crashes.
 *
 *	What is refused can't complete, so one that was wrongly charged would
 *	stay refused: it is tried again, by one host, a bounded number of times.
 *
 *	A broken connection is no proof of a crash. After two of them on
 *	different engines a request is held back until it is known whether the
 *	engines crashed.
 *
 *	What an entry charges it tells its peers (BP_POISON), and also what it
 *	cleared, as a report without engine. The tables are bounded, and old
 *	charges expire. Gateways keep the charges of a fingerprint on a few
 *	hosts and tell the others once there are two; see gw_poison.h.
 *
 * Use
 *	fingerprint = ps_fingerprint(salt, &chain, tail, tail_bytes, params, n);
 *	answer = ps_check(&table, fingerprint, now_ms);
 *	ps_started(&table, fingerprint, engine, incarnation, now_ms);
 *	ps_ended(&table, fingerprint, engine, incarnation, PS_BROKEN, now_ms);
 *	...when the engine is known to have restarted or died:
 *	n = ps_crashed(&table, engine, incarnation, charged, 64, now_ms);
 */
#ifndef PS_H
#define PS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "prefix/px.h"

#define PS_MAX_SUSPECTS	  4096
#define PS_MAX_RUNS	  16384
#define PS_MAX_CRASHES	  8
#define PS_POISON_CRASHES 2
#define PS_EXPIRE_MS	  1800000
/** How long a broken connection may precede the news of the crash. */
#define PS_BROKEN_KEPT_MS 60000
/** Longer than the entry of an engine outlives it. */
#define PS_ABANDONED_KEPT_MS 8000
/** Fingerprints whose last complete answer is remembered. */
#define PS_MAX_COMPLETED 8192
/** Longer than membership takes to tell that an engine is dead. */
#define PS_HOLD_MS	    7000
#define PS_RUNNING_RETRY_MS 1000
/** After the third crash of one with rivals; doubled with each further one. */
#define PS_ISOLATE_PAUSE_MS 1000
/** The longest such pause of one that was answered in full shortly before. */
#define PS_COMPLETED_PAUSE_MS 2000
/** An answer in full counts for it so long before its first crash. */
#define PS_COMPLETED_RECENT_MS 60000
/** One that is refused is tried so long after its last crash; the pause grows.
 */
#define PS_PROBE_MS	10000
#define PS_PROBE_GROWTH 6
#define PS_MAX_PROBES	2

/**
 * enum ps_verdict - what may be done with a request.
 * @PS_RUN: run it.
 * @PS_ISOLATE: run it, but on none of the engines of ps_rival_engines().
 * @PS_HOLD: refuse it for a short time.
 * @PS_REFUSE: refuse it; it crashes engines.
 */
enum ps_verdict { PS_RUN = 0, PS_ISOLATE, PS_HOLD, PS_REFUSE };

/**
 * struct ps_answer
 * @retry_after_ms: 0 if trying again is of no use.
 * @single_host_only: it ended engines often enough: of several hosts only one
 *	should run it.
 */
struct ps_answer {
	enum ps_verdict verdict;
	uint32_t retry_after_ms;
	bool single_host_only;
};

/**
 * enum ps_end - how an attempt ended.
 * @PS_COMPLETED: the engine answered in full.
 * @PS_BROKEN: the connection to the engine failed.
 * @PS_CANCELLED: given up by this side; says nothing.
 * @PS_ABANDONED: given up by this side while the engine was silent, as one
 *without power is; charged if the engine is soon known to have ended.
 */
enum ps_end { PS_COMPLETED = 0, PS_BROKEN, PS_CANCELLED, PS_ABANDONED };

/** struct ps_crash - of an incarnation of an engine; @at_ms: of the news. */
struct ps_crash {
	uint64_t engine;
	uint64_t incarnation;
	int64_t at_ms;
};

/**
 * struct ps_suspect - a fingerprint that was running at crashes.
 * @probes: tries since it was refused.
 * @is_proven: it is refused.
 */
struct ps_suspect {
	uint64_t fingerprint;
	struct ps_crash crashes[PS_MAX_CRASHES];
	uint32_t count;
	uint32_t probes;
	bool is_proven;
};

struct ps_table {
	GHashTable *_suspects;
	GArray *_runs;
	GHashTable *_completed;
};

void ps_init(struct ps_table *table);
void ps_finish(struct ps_table *table);

/**
 * ps_fingerprint() - of a request's content.
 * @salt: px_salt() that the chain was made with.
 * @chain: of the prompt.
 * @tail: what follows the chain's whole pieces.
 * @params: those parameters that change what the engine does, as text.
 */
uint64_t ps_fingerprint(uint64_t salt, const struct px_chain *chain,
			const void *tail, uint64_t tail_bytes,
			const void *params, uint64_t params_bytes);

/**
 * struct ps_call - a request that is passed on unchanged.
 * @caller: who sends it; its name, not a key, which may be replaced.
 */
struct ps_call {
	const char *method;
	const char *target;
	const char *caller;
	const void *body;
	uint64_t body_bytes;
};

/** ps_call_fingerprint() - of what is the same when it is sent again. */
uint64_t ps_call_fingerprint(const struct ps_call *call);

/** ps_check() - before every attempt. */
struct ps_answer ps_check(struct ps_table *table, uint64_t fingerprint,
			  int64_t now_ms);

/**
 * ps_start_probe() - may one that is refused be tried now? To be asked on one
 * host.
 *
 * Return: true if it may, which counts as a try.
 */
bool ps_start_probe(struct ps_table *table, uint64_t fingerprint,
		    int64_t now_ms);

/** ps_peer_probes() - another host has tried it so often. */
void ps_peer_probes(struct ps_table *table, uint64_t fingerprint,
		    uint32_t probes);

/** ps_rival_engines() - engines on which rivals of @fingerprint run now. */
uint32_t ps_rival_engines(const struct ps_table *table, uint64_t fingerprint,
			  uint64_t *engines, uint32_t capacity);

void ps_started(struct ps_table *table, uint64_t fingerprint, uint64_t engine,
		uint64_t incarnation, int64_t now_ms);

/**
 * ps_ended() - an attempt ended.
 *
 * Return: whether it was under suspicion and is cleared now: to be told to
 * the peers as a report with engine and incarnation 0.
 */
bool ps_ended(struct ps_table *table, uint64_t fingerprint, uint64_t engine,
	      uint64_t incarnation, enum ps_end end, int64_t now_ms);

/**
 * ps_crashed() - an incarnation of an engine is known to have ended.
 * @fingerprints: fingerprints to be told to the peers.
 *
 * Return: their number, @capacity at most.
 */
uint32_t ps_crashed(struct ps_table *table, uint64_t engine,
		    uint64_t incarnation, uint64_t *fingerprints,
		    uint32_t capacity, int64_t now_ms);

/** ps_engine_alive() - the engine took a connection: what broke there was no
 * crash. */
void ps_engine_alive(struct ps_table *table, uint64_t engine,
		     uint64_t incarnation);

/** ps_has_broken_attempt() - whether an attempt broke or was left there of
 * late. */
bool ps_has_broken_attempt(const struct ps_table *table, uint64_t engine,
			   uint64_t incarnation, int64_t now_ms);

/** ps_completed_ms() - its last complete answer here; 0 if unknown. */
int64_t ps_completed_ms(const struct ps_table *table, uint64_t fingerprint);

/** ps_find() - what is known against a fingerprint; false if nothing is. */
bool ps_find(const struct ps_table *table, uint64_t fingerprint,
	     struct ps_suspect *suspect);

/** ps_crash_count() - crashes that it is charged with. */
uint32_t ps_crash_count(const struct ps_table *table, uint64_t fingerprint);

/** ps_list() - those with PS_POISON_CRASHES and more, the newest first. */
uint32_t ps_list(const struct ps_table *table, struct ps_suspect *suspects,
		 uint32_t capacity);

/** ps_peer_report() - a peer charged a fingerprint, or cleared it (engine 0).
 */
void ps_peer_report(struct ps_table *table, uint64_t fingerprint,
		    uint64_t engine, uint64_t incarnation, int64_t age_ms,
		    int64_t now_ms);

/** ps_expire() - drop what is old; call about once a minute. */
void ps_expire(struct ps_table *table, int64_t now_ms);

#endif
