#include "once/on.h"

#include <glib.h>
#include <string.h>

static const char *const on_action_names[] = {
	[ON_CLAIM] = "claim",	      [ON_READ] = "read",
	[ON_SEND] = "send",	      [ON_KEEP] = "keep",
	[ON_RELEASE] = "release",     [ON_ANSWER_KEPT] = "answer_kept",
	[ON_REFUSE] = "refuse",	      [ON_REFUSE_AND_WAIT] = "refuse_and_wait",
	[ON_WAIT] = "wait",	      [ON_UNSETTLED] = "unsettled",
	[ON_UNCERTAIN] = "uncertain", [ON_REUSED] = "reused",
	[ON_FINISHED] = "finished",
};

const char *on_action_name(enum on_action action)
{
	return on_action_names[action];
}

void on_init(struct on_machine *machine, const char *attempt, const char *hash)
{
	memset(machine, 0, sizeof(*machine));
	g_strlcpy(machine->_attempt, attempt, sizeof(machine->_attempt));
	g_strlcpy(machine->_hash, hash, sizeof(machine->_hash));
}

static enum on_action on_end(struct on_machine *machine, enum on_action action)
{
	machine->state = ON_ENDED;
	return action;
}

int64_t on_wait_ms(const struct on_machine *machine)
{
	uint32_t retries = machine->state == ON_KEEP_WAITING
				   ? machine->_keeps
				   : machine->_releases;

	return (int64_t)ON_FIRST_WAIT_MS << retries;
}

/*
 * The claim may have taken effect or may do so later; it is released once the
 * row is found.
 */
static enum on_action on_abandon(struct on_machine *machine)
{
	machine->state = ON_ABANDONED;
	return ON_REFUSE_AND_WAIT;
}

static enum on_action on_claim(struct on_machine *machine)
{
	if (machine->_claims == ON_MAX_CLAIMS)
		return on_abandon(machine);
	machine->_claims++;
	machine->state = ON_CLAIMING;
	return ON_CLAIM;
}

static enum on_action on_read(struct on_machine *machine)
{
	if (machine->_reads == ON_MAX_READS)
		return on_abandon(machine);
	machine->_reads++;
	machine->state = ON_READING;
	return ON_READ;
}

static enum on_action on_send(struct on_machine *machine, uint64_t revision)
{
	machine->revision = revision;
	machine->_sends++;
	machine->state = ON_SENDING;
	return ON_SEND;
}

static enum on_action on_claim_answered(struct on_machine *machine,
					const struct on_input *input)
{
	if (input->code == ST_OK)
		return on_send(machine, input->revision);
	/* If the answer to an earlier claim was lost, the row may exist. */
	if (input->code == ST_UNAVAILABLE && machine->_claims == 1)
		return on_end(machine, ON_REFUSE);
	return on_read(machine);
}

static enum on_action on_row_found(struct on_machine *machine,
				   const struct on_row *row)
{
	if (!row->is_answered && !strcmp(row->attempt, machine->_attempt))
		return on_send(machine, row->revision);
	if (strcmp(row->hash, machine->_hash) != 0)
		return on_end(machine, ON_REUSED);
	if (row->is_answered)
		return on_end(machine, ON_ANSWER_KEPT);
	return on_end(machine, ON_UNSETTLED);
}

static enum on_action on_read_answered(struct on_machine *machine,
				       const struct on_input *input)
{
	if (input->code != ST_OK)
		return on_read(machine);
	if (input->row)
		return on_row_found(machine, input->row);
	/*
	 * Absent: the claim did not take effect, or not yet. It is safe to
	 * claim again with the same attempt id either way.
	 */
	return on_claim(machine);
}

static enum on_action on_release(struct on_machine *machine)
{
	machine->state = ON_RELEASING;
	return ON_RELEASE;
}

static enum on_action on_wait(struct on_machine *machine)
{
	machine->_releases++;
	if (machine->_releases == ON_MAX_RELEASES)
		return on_end(machine, ON_FINISHED);
	machine->state = ON_ABANDONED;
	return ON_WAIT;
}

static enum on_action on_check(struct on_machine *machine)
{
	machine->state = ON_CHECKING;
	return ON_READ;
}

static enum on_action on_checked(struct on_machine *machine,
				 const struct on_input *input)
{
	if (input->code != ST_OK || !input->row)
		return on_wait(machine);
	if (strcmp(input->row->attempt, machine->_attempt) != 0)
		return on_end(machine, ON_FINISHED);
	machine->revision = input->row->revision;
	return on_release(machine);
}

static enum on_action on_keep(struct on_machine *machine)
{
	machine->state = ON_KEEPING;
	return ON_KEEP;
}

/* Without the stored answer every retry would get "unknown". */
static enum on_action on_retry_keep(struct on_machine *machine)
{
	machine->_keeps++;
	if (machine->_keeps == ON_MAX_KEEPS)
		return on_end(machine, ON_FINISHED);
	machine->state = ON_KEEP_WAITING;
	return ON_WAIT;
}

static enum on_action on_send_ended(struct on_machine *machine,
				    enum on_event event)
{
	switch (event) {
	case ON_SEND_ANSWERED:
		return on_keep(machine);
	case ON_SEND_UNCERTAIN:
		return on_end(machine, ON_UNCERTAIN);
	case ON_NOT_SENT:
		if (machine->_sends == ON_MAX_SENDS)
			return on_release(machine);
		return on_send(machine, machine->revision);
	default:
		return on_release(machine);
	}
}

/* A conflict means that an earlier write, whose answer was lost, succeeded. */
static bool on_is_write_applied(enum st_code code)
{
	return code == ST_OK || code == ST_CONFLICT;
}

enum on_action on_step(struct on_machine *machine, const struct on_input *input)
{
	enum on_event event = input->event;

	if (machine->state == ON_IDLE && event == ON_BEGIN)
		return on_claim(machine);
	if (machine->state == ON_CLAIMING && event == ON_CLAIM_ANSWERED)
		return on_claim_answered(machine, input);
	if (machine->state == ON_READING && event == ON_READ_ANSWERED)
		return on_read_answered(machine, input);
	if (machine->state == ON_SENDING && event >= ON_SEND_ANSWERED &&
	    event <= ON_NO_UPSTREAM_LEFT)
		return on_send_ended(machine, event);
	if (machine->state == ON_KEEPING && event == ON_KEEP_ANSWERED)
		return on_is_write_applied(input->code)
			       ? on_end(machine, ON_FINISHED)
			       : on_retry_keep(machine);
	if (machine->state == ON_KEEP_WAITING && event == ON_WAIT_ELAPSED)
		return on_keep(machine);
	if (machine->state == ON_RELEASING && event == ON_RELEASE_ANSWERED)
		return on_is_write_applied(input->code)
			       ? on_end(machine, ON_FINISHED)
			       : on_wait(machine);
	if (machine->state == ON_ABANDONED && event == ON_WAIT_ELAPSED)
		return on_check(machine);
	if (machine->state == ON_CHECKING && event == ON_READ_ANSWERED)
		return on_checked(machine, input);
	return ON_FINISHED;
}
