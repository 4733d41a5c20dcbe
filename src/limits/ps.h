/*
 * ps - detection of requests that crash the engines that run them.
 *
 * Overview
 *	A request is identified by a fingerprint of its content, so it is
 *	recognized when its caller sends it again, to any entry. A crash is
 *	recorded against a fingerprint only if the request was running on that
 *	incarnation of the engine, or its connection to it broke shortly
 *	before.
 *
 *	Several requests may run at a crash. One of them is considered the
 *	cause once it was present at crashes of two incarnations and no other
 *	request was present at all the same crashes. As long as there is such a
 *	rival, the request may be retried on an engine that runs none of its
 *	rivals, after a pause that grows with its crashes: one request can
 *	crash many engines at once, with the same harmless requests running
 *	beside it each time. A request that completes is cleared of its earlier
 *	crashes.
 *
 *	A request that was answered in full shortly before its crashes is
 *	probably harmless: it is treated like a request with rivals until its
 *	record has no room for more crashes.
 *
 *	A refused request cannot complete, so one that was wrongly blamed would
 *	stay refused: one host probes it, a bounded number of times.
 *
 *	An attempt that began at an engine after another one had broken there
 *	is not charged with its crash unless the engine answered in between:
 *	a proxy takes connections for an engine that is down.
 *
 *	An engine may crash again before its new entry is known, as the store
 *	is away. Each host then infers an incarnation of its own; crashes of
 *	such ones within PS_SAME_CAUSE_MS are the same.
 *
 *	A broken connection is no proof of a crash. After two broken
 *	connections on different engines, a request is held back until it is
 *	known whether the engines crashed.
 *
 *	A request may also crash engines by one part of its prompt, whatever
 *	else it holds, and come with different contents. Its parts have
 *	fingerprints of their own, with runs, crashes and clearings like those
 *	of contents, but other rules (ps_find_proven()):
 *
 *	- Sound requests share parts, so a suspected part is neither held back
 *	  nor isolated; it runs until it is proven.
 *	- A part that was answered in full within PS_PART_ANSWERED_MS is not
 *	  charged.
 *	- A part is proven by PS_PART_CRASHES crashes at different moments:
 *	  many engines that fail at once have one cause.
 *	- Crashes at which a part was present that was proven before count for
 *	  that one alone.
 *	- Nothing else was present at all these crashes. Parts that always come
 *	  together cannot be told apart: from PS_PART_SURE_CRASHES on, another
 *	  part counts as a rival only if it was at further crashes too.
 *	- What is proven stays so until the part is answered in full, something
 *	  else is found to have been at all crashes of the proof, or a part that
 *	  was proven before is found to explain too many of its crashes.
 *
 *	A content whose crashes a proven part explains, and that lacks this
 *	part, may run, once at a time until it completes.
 *
 *	An entry reports the crashes that it records to its peers (BP_POISON),
 *	and clearings as reports without an engine. The tables are bounded, and
 *	old records expire. Gateways keep the crash record of a fingerprint on
 *	a few hosts, which send it to the others once it has two crashes; see
 *	gw_poison.h.
 *
 * Use
 *	part = ps_part_fingerprint(model, id);
 *	if (ps_find_proven(&table, parts, count, now_ms)) ...refuse
 *	answer = ps_check_request(&table, content, parts, count, now_ms);
 *
 *	fingerprint = ps_fingerprint(salt, &chain, tail, tail_bytes, params, n);
 *	answer = ps_check(&table, fingerprint, now_ms);
 *	ps_started(&table, fingerprint, engine, incarnation, now_ms);
 *	ps_ended(&table, fingerprint, engine, incarnation, PS_BROKEN, now_ms);
 *	...when the engine is known to have restarted or died:
 *	n = ps_crashed(&table, engine, incarnation, suspects, 64, now_ms);
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
/** Longest time from a broken connection to the report of the crash. */
#define PS_BROKEN_KEPT_MS 60000
/** Longer than the registry entry of an engine outlives the engine. */
#define PS_ABANDONED_KEPT_MS 8000
/** Fingerprints for which the time of the last complete answer is kept. */
#define PS_MAX_COMPLETED 8192
/** Longer than membership takes to detect a dead engine. */
#define PS_HOLD_MS	    7000
#define PS_RUNNING_RETRY_MS 1000
/**
 * Pause after the third crash of a request with rivals; doubled with each
 * further crash.
 */
#define PS_ISOLATE_PAUSE_MS 1000
/**
 * Longest such pause for a request that completed shortly before its crashes.
 */
#define PS_COMPLETED_PAUSE_MS 2000
/**
 * A complete answer counts in favour of a request whose crashes all follow
 * within this time.
 */
#define PS_COMPLETED_RECENT_MS 60000
/**
 * A refused request is probed this long after its last crash; the pause grows
 * by PS_PROBE_GROWTH with each probe.
 */
#define PS_PROBE_MS	 10000
#define PS_PART_PROBE_MS 30000
#define PS_PROBE_GROWTH	 6
#define PS_MAX_PROBES	 2
#define PS_PART_BIT	 (UINT64_C(1) << 63)
/** Of an incarnation that a host inferred from a crash before it. */
#define PS_INFERRED_BIT (UINT64_C(1) << 63)
/** Crashes that prove a part, and that prove parts which come together. */
#define PS_PART_CRASHES	     3
#define PS_PART_SURE_CRASHES 5
/** Crashes that are closer to each other have one cause, for parts. */
#define PS_SAME_CAUSE_MS 500
/** A part that was answered in full this recently is not charged. */
#define PS_PART_ANSWERED_MS 10000

/**
 * enum ps_verdict - decision on an attempt.
 * @PS_RUN: run it.
 * @PS_ISOLATE: run it, but on none of the engines of ps_rival_engines().
 * @PS_HOLD: refuse it for a short time.
 * @PS_REFUSE: refuse it; the request crashes engines.
 */
enum ps_verdict { PS_RUN = 0, PS_ISOLATE, PS_HOLD, PS_REFUSE };

/**
 * struct ps_answer - result of ps_check().
 * @retry_after_ms: 0 if a retry cannot help.
 * @single_host_only: the request was present at so many crashes that only one
 * of several hosts should run it.
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
 * @PS_CANCELLED: cancelled by this side; no evidence either way.
 * @PS_ABANDONED: cancelled by this side while the engine was silent, as an
 * engine without power is; counts as running at a crash if the engine is soon
 * known to have ended.
 */
enum ps_end { PS_COMPLETED = 0, PS_BROKEN, PS_CANCELLED, PS_ABANDONED };

/**
 * struct ps_crash - crash of an incarnation of an engine; @at_ms: when it broke
 * the last attempt there, or was found.
 */
struct ps_crash {
	uint64_t engine;
	uint64_t incarnation;
	int64_t at_ms;
};

/**
 * struct ps_suspect - a fingerprint that was running at crashes.
 * @probes: attempts allowed since it was refused.
 * @is_proven: it is refused.
 * @confirmed_ms: time of the last crash or ps_confirm().
 */
struct ps_suspect {
	uint64_t fingerprint;
	struct ps_crash crashes[PS_MAX_CRASHES];
	uint32_t count;
	uint32_t probes;
	bool is_proven;
	int64_t confirmed_ms;
};

/**
 * struct ps_answered - a fingerprint that was answered in full.
 * @count: number of answers known here; it counts less the older they are.
 */
struct ps_answered {
	uint64_t fingerprint;
	int64_t at_ms;
	uint32_t count;
};

struct ps_table {
	GHashTable *_suspects;
	GArray *_runs;
	GHashTable *_completed;
};

void ps_init(struct ps_table *table);
void ps_finish(struct ps_table *table);

/**
 * ps_fingerprint() - fingerprint of the content of a request.
 * @salt: px_salt() that the chain was made with.
 * @chain: chain of the prompt.
 * @tail: bytes of the prompt after the whole chunks of the chain.
 * @params: the parameters that change what the engine does, as text.
 */
uint64_t ps_fingerprint(uint64_t salt, const struct px_chain *chain,
			const void *tail, uint64_t tail_bytes,
			const void *params, uint64_t params_bytes);

/**
 * struct ps_call - a request that is forwarded unchanged.
 * @caller: name of the sender, not its key, which may be replaced.
 */
struct ps_call {
	const char *method;
	const char *target;
	const char *caller;
	const void *body;
	uint64_t body_bytes;
};

/** ps_call_fingerprint() - fingerprint of what stays the same in a retry. */
uint64_t ps_call_fingerprint(const struct ps_call *call);

/**
 * ps_part_fingerprint() - fingerprint of a part of the prompts of @model; it
 * has PS_PART_BIT set, and those of contents have not.
 */
uint64_t ps_part_fingerprint(const char *model, uint64_t part);

static inline bool ps_is_part(uint64_t fingerprint)
{
	return fingerprint & PS_PART_BIT;
}

/**
 * ps_find_proven() - find a part that crashes engines; call it before each
 * attempt, and after a crash of a part: what proves it is kept from then on.
 *
 * Return: the first proven one of @parts, 0 if there is none.
 */
uint64_t ps_find_proven(struct ps_table *table, const uint64_t *parts,
			uint32_t count, int64_t now_ms);

/**
 * ps_check_request() - decide on an attempt; call it before each one.
 * @parts: fingerprints of the parts of its prompt.
 */
struct ps_answer ps_check_request(struct ps_table *table, uint64_t content,
				  const uint64_t *parts, uint32_t count,
				  int64_t now_ms);

/** ps_check() - ps_check_request() for a content without parts. */
static inline struct ps_answer ps_check(struct ps_table *table,
					uint64_t fingerprint, int64_t now_ms)
{
	return ps_check_request(table, fingerprint, NULL, 0, now_ms);
}

/**
 * ps_may_run_after_break() - whether the request could run again at once if its
 * present attempt broke.
 */
bool ps_may_run_after_break(struct ps_table *table, uint64_t fingerprint,
			    int64_t now_ms);

/**
 * ps_start_probe() - check whether a refused request may be probed now; call it
 * on one host only.
 *
 * Return: true if it may, which counts as a probe.
 */
bool ps_start_probe(struct ps_table *table, uint64_t fingerprint,
		    int64_t now_ms);

/** ps_peer_probes() - record how many probes another host has made. */
void ps_peer_probes(struct ps_table *table, uint64_t fingerprint,
		    uint32_t probes);

/**
 * ps_rival_engines() - list the engines that run rivals of @fingerprint now.
 */
uint32_t ps_rival_engines(const struct ps_table *table, uint64_t fingerprint,
			  uint64_t *engines, uint32_t capacity);

void ps_started(struct ps_table *table, uint64_t fingerprint, uint64_t engine,
		uint64_t incarnation, int64_t now_ms);

/**
 * ps_ended() - record the end of an attempt.
 *
 * Return: whether the fingerprint had recorded crashes and is now cleared, to
 * be reported to the peers with engine and incarnation 0.
 */
bool ps_ended(struct ps_table *table, uint64_t fingerprint, uint64_t engine,
	      uint64_t incarnation, enum ps_end end, int64_t now_ms);

/**
 * ps_crashed() - record that an incarnation of an engine has ended.
 * @fingerprints: fingerprints with a new crash, to be reported to the peers.
 *
 * Return: their number, @capacity at most.
 */
uint32_t ps_crashed(struct ps_table *table, uint64_t engine,
		    uint64_t incarnation, uint64_t *fingerprints,
		    uint32_t capacity, int64_t now_ms);

/**
 * ps_engine_alive() - record that the engine accepted a connection: attempts
 * that broke there saw no crash.
 */
void ps_engine_alive(struct ps_table *table, uint64_t engine,
		     uint64_t incarnation);

/**
 * ps_engine_answered() - record that the engine answered a request: it was
 * running after the attempts that broke there until now.
 */
void ps_engine_answered(struct ps_table *table, uint64_t engine,
			uint64_t incarnation);

/**
 * ps_has_broken_attempt() - whether an attempt there broke or was abandoned
 * recently.
 */
bool ps_has_broken_attempt(const struct ps_table *table, uint64_t engine,
			   uint64_t incarnation, int64_t now_ms);

/** ps_has_attempt() - whether an attempt there runs, broke or was abandoned. */
bool ps_has_attempt(const struct ps_table *table, uint64_t engine,
		    uint64_t incarnation);

/** ps_completed_ms() - time of the last known complete answer; 0 if unknown. */
int64_t ps_completed_ms(const struct ps_table *table, uint64_t fingerprint);

/**
 * ps_list_answered() - copy the fingerprints that were answered in full at
 * @since_ms or later, most frequent first.
 */
uint32_t ps_list_answered(const struct ps_table *table, int64_t since_ms,
			  struct ps_answered *answered, uint32_t capacity);

/** ps_find() - copy the record of a fingerprint; false if it has no crashes. */
bool ps_find(const struct ps_table *table, uint64_t fingerprint,
	     struct ps_suspect *suspect);

/** ps_crash_count() - number of crashes recorded against a fingerprint. */
uint32_t ps_crash_count(const struct ps_table *table, uint64_t fingerprint);

/**
 * ps_list() - copy the suspects with at least PS_POISON_CRASHES crashes, newest
 * first.
 */
uint32_t ps_list(const struct ps_table *table, struct ps_suspect *suspects,
		 uint32_t capacity);

/**
 * ps_peer_report() - record a crash that a peer reports, or a clearing (engine
 * 0).
 *
 * Return: whether a crash was recorded that was not known.
 */
bool ps_peer_report(struct ps_table *table, uint64_t fingerprint,
		    uint64_t engine, uint64_t incarnation, int64_t age_ms,
		    int64_t now_ms);

/**
 * ps_confirm() - record that a peer that collects crash records has reported
 * the fingerprint now.
 */
void ps_confirm(struct ps_table *table, uint64_t fingerprint, int64_t now_ms);

/**
 * ps_restore_proof() - record that another host has found that the crashes
 * recorded against a part prove it. Rivals that were not at all of them do not
 * take that back.
 */
void ps_restore_proof(struct ps_table *table, uint64_t fingerprint,
		      int64_t now_ms);

/** ps_expire() - drop expired records; call it about once a minute. */
void ps_expire(struct ps_table *table, int64_t now_ms);

#endif
