/*
 * on - a call that must run at most once: what to do next.
 *
 * Overview
 *	Before such a call is sent, its key is claimed in the table service by
 *	inserting a row, if there is none, that carries the claimant's own
 *	attempt id. The lost answer to a claim is settled by reading the row
 *	back: the call is sent only if the row is there with this attempt id.
 *	The answer is then kept in the row, and a repeat gets it.
 *
 *	on_step() is a plain function: it takes what happened and returns what
 *	to do. It never asks for ON_SEND before the claim is certain, and
 *	never again once a byte may have left. docs/AT_MOST_ONCE.md has the
 *	reasons.
 *
 * Use
 *	on_init(&machine, attempt_id, hash);
 *	action = on_step(&machine, &(struct on_input){ .event = ON_BEGIN });
 *	while action asks for something: do it, and step with its outcome
 */
#ifndef ON_H
#define ON_H

#include <stdbool.h>
#include <stdint.h>

#include "kernel/st.h"
#include "once/on_row.h"

#define ON_MAX_CLAIMS	 3
#define ON_MAX_READS	 3
#define ON_MAX_KEEPS	 8
#define ON_MAX_RELEASES	 6
#define ON_FIRST_WAIT_MS 500
#define ON_MAX_SENDS	 3

/** enum on_event - what happened. */
enum on_event {
	ON_BEGIN = 0,
	/** the claim was answered: @code */
	ON_CLAIM_ANSWERED,
	/** the row was read: @code, @row or NULL if there is none */
	ON_READ_ANSWERED,
	/** the call was answered whole, or the outcome is uncertain, or no
	 * byte left this host */
	ON_SEND_ANSWERED,
	ON_SEND_UNCERTAIN,
	ON_NOT_SENT,
	/** no upstream is left to send to */
	ON_NO_UPSTREAM_LEFT,
	/** the row with the answer was written: @code */
	ON_KEEP_ANSWERED,
	/** the row was deleted: @code */
	ON_RELEASE_ANSWERED,
	/** the time that ON_WAIT asked for has passed */
	ON_WAIT_ELAPSED
};

/**
 * enum on_action - what to do next.
 * @ON_CLAIM: insert the row if absent.
 * @ON_READ: read the row.
 * @ON_SEND: send the call.
 * @ON_KEEP: write the answer into the row at machine.revision. The caller of
 *	the call is answered first.
 * @ON_RELEASE: delete the row at machine.revision: nothing was sent. The
 *	caller of the call, if not answered yet, is answered not_run first.
 * @ON_ANSWER_KEPT: answer with the row's answer.
 * @ON_REFUSE: answer not_run, a later try can work.
 * @ON_REFUSE_AND_WAIT: the same, then as ON_WAIT: the claim may be there.
 * @ON_WAIT: step with ON_WAIT_ELAPSED after on_wait_ms().
 * @ON_UNSETTLED: answer unknown, another attempt holds the claim.
 * @ON_UNCERTAIN: answer unknown, this attempt may have run.
 * @ON_REUSED: answer that the key belongs to another call.
 * @ON_FINISHED: nothing more.
 */
enum on_action {
	ON_CLAIM = 0,
	ON_READ,
	ON_SEND,
	ON_KEEP,
	ON_RELEASE,
	ON_ANSWER_KEPT,
	ON_REFUSE,
	ON_REFUSE_AND_WAIT,
	ON_WAIT,
	ON_UNSETTLED,
	ON_UNCERTAIN,
	ON_REUSED,
	ON_FINISHED
};

/**
 * enum on_state - where a call stands.
 *
 * From ON_ABANDONED on nothing was sent and nothing will be: what is left is
 * to take the claim back, so that a repeat can run.
 */
enum on_state {
	ON_IDLE = 0,
	ON_CLAIMING,
	ON_READING,
	ON_SENDING,
	ON_KEEPING,
	ON_KEEP_WAITING,
	ON_ABANDONED,
	ON_CHECKING,
	ON_RELEASING,
	ON_ENDED
};

/**
 * struct on_input - an event with what belongs to it.
 * @revision: of the store after a claim.
 */
struct on_input {
	enum on_event event;
	enum st_code code;
	uint64_t revision;
	const struct on_row *row;
};

/**
 * struct on_machine - of one attempt. Readable fields:
 * @state: see enum on_state.
 * @revision: of the own row, once it is certain.
 */
struct on_machine {
	enum on_state state;
	uint64_t revision;

	char _attempt[ON_ATTEMPT_BYTES];
	char _hash[ON_HASH_BYTES];
	uint32_t _claims;
	uint32_t _reads;
	uint32_t _sends;
	uint32_t _keeps;
	uint32_t _releases;
};

void on_init(struct on_machine *m, const char *attempt, const char *hash);

/** on_step() - take an event; an unexpected one changes nothing. */
enum on_action on_step(struct on_machine *m, const struct on_input *input);

/** on_wait_ms() - how long ON_WAIT means; doubles each time. */
int64_t on_wait_ms(const struct on_machine *m);

const char *on_action_name(enum on_action action);

#endif
