/*
 * on - state machine for calls that must run at most once.
 *
 * Overview
 *	Before such a call is sent, its key is claimed in the table service:
 *	a row that carries the id of this attempt is inserted if absent. If
 *	the answer to the claim is lost, the row is read back, and the call is
 *	sent only if the row carries this attempt id. The answer of the call is
 *	then stored in the row and returned to retries with the same key.
 *
 *	on_step() does no I/O: it takes an event and returns the next action.
 *	It never returns ON_SEND before the claim is certain, and never again
 *	once a byte of the call may have been sent. docs/AT_MOST_ONCE.md has
 *	the reasons.
 *
 * Use
 *	on_init(&machine, attempt_id, hash);
 *	action = on_step(&machine, &(struct on_input){ .event = ON_BEGIN });
 *	until the action is final: carry it out, and step with its outcome
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

/** enum on_event - input of the state machine. */
enum on_event {
	ON_BEGIN = 0,
	/** outcome of the claim: @code */
	ON_CLAIM_ANSWERED,
	/** outcome of reading the row: @code, @row (NULL if absent) */
	ON_READ_ANSWERED,
	/** the upstream's answer is complete */
	ON_SEND_ANSWERED,
	/** bytes may have been sent, but the outcome is unknown */
	ON_SEND_UNCERTAIN,
	/** no byte left this host */
	ON_NOT_SENT,
	/** no upstream is left to try */
	ON_NO_UPSTREAM_LEFT,
	/** outcome of storing the answer in the row: @code */
	ON_KEEP_ANSWERED,
	/** outcome of deleting the row: @code */
	ON_RELEASE_ANSWERED,
	/** on_wait_ms() have passed since ON_WAIT */
	ON_WAIT_ELAPSED
};

/**
 * enum on_action - the next action of the caller of on_step().
 * @ON_CLAIM: insert the row if absent.
 * @ON_READ: read the row.
 * @ON_SEND: send the call.
 * @ON_KEEP: answer the client, then store the answer in the row at
 *	machine.revision.
 * @ON_RELEASE: nothing was sent: answer the client with not_run, if it has no
 *	answer yet, then delete the row at machine.revision.
 * @ON_ANSWER_KEPT: answer with the answer stored in the row.
 * @ON_REFUSE: answer not_run; a later retry can succeed.
 * @ON_REFUSE_AND_WAIT: as ON_REFUSE, then as ON_WAIT, since the claim may have
 *	taken effect.
 * @ON_WAIT: step with ON_WAIT_ELAPSED after on_wait_ms().
 * @ON_UNSETTLED: answer unknown; another attempt holds the claim.
 * @ON_UNCERTAIN: answer unknown; this attempt may have run.
 * @ON_REUSED: answer that the key belongs to another call.
 * @ON_FINISHED: nothing left to do.
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
 * enum on_state - state of the machine.
 *
 * From ON_ABANDONED on the call was not sent and will not be. Only the claim
 * remains to be released, so that a retry with the same key can run.
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
 * struct on_input - an event with its arguments.
 * @revision: of the claimed row, for ON_CLAIM_ANSWERED.
 */
struct on_input {
	enum on_event event;
	enum st_code code;
	uint64_t revision;
	const struct on_row *row;
};

/**
 * struct on_machine - state of one attempt; public fields:
 * @state: see enum on_state.
 * @revision: of this attempt's row, once the claim is certain.
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

void on_init(struct on_machine *machine, const char *attempt, const char *hash);

/**
 * on_step() - process an event.
 *
 * Return: the next action. An event that is unexpected in the current state
 * changes nothing and returns ON_FINISHED.
 */
enum on_action on_step(struct on_machine *machine,
		       const struct on_input *input);

/** on_wait_ms() - delay of ON_WAIT; doubles with each retry. */
int64_t on_wait_ms(const struct on_machine *machine);

const char *on_action_name(enum on_action action);

#endif
