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

void on_init(struct on_machine *m, const char *attempt, const char *hash)
{
	memset(m, 0, sizeof(*m));
	g_strlcpy(m->_attempt, attempt, sizeof(m->_attempt));
	g_strlcpy(m->_hash, hash, sizeof(m->_hash));
}

static enum on_action on_end(struct on_machine *m, enum on_action action)
{
	m->state = ON_ENDED;
	return action;
}

int64_t on_wait_ms(const struct on_machine *m)
{
	uint32_t tries = m->state == ON_KEEP_WAITING ? m->_keeps : m->_releases;

	return (int64_t)ON_FIRST_WAIT_MS << tries;
}

/* The claim may be there or come later; it is taken back when it is seen. */
static enum on_action on_abandon(struct on_machine *m)
{
	m->state = ON_ABANDONED;
	return ON_REFUSE_AND_WAIT;
}

static enum on_action on_claim(struct on_machine *m)
{
	if (m->_claims == ON_MAX_CLAIMS)
		return on_abandon(m);
	m->_claims++;
	m->state = ON_CLAIMING;
	return ON_CLAIM;
}

static enum on_action on_read(struct on_machine *m)
{
	if (m->_reads == ON_MAX_READS)
		return on_abandon(m);
	m->_reads++;
	m->state = ON_READING;
	return ON_READ;
}

static enum on_action on_send(struct on_machine *m, uint64_t revision)
{
	m->revision = revision;
	m->_sends++;
	m->state = ON_SENDING;
	return ON_SEND;
}

static enum on_action on_claim_answered(struct on_machine *m,
					const struct on_input *input)
{
	if (input->code == ST_OK)
		return on_send(m, input->revision);
	/* After a claim with a lost answer the row may be this attempt's. */
	if (input->code == ST_UNAVAILABLE && m->_claims == 1)
		return on_end(m, ON_REFUSE);
	return on_read(m);
}

static enum on_action on_row_found(struct on_machine *m,
				   const struct on_row *row)
{
	if (!row->is_answered && !strcmp(row->attempt, m->_attempt))
		return on_send(m, row->revision);
	if (strcmp(row->hash, m->_hash) != 0)
		return on_end(m, ON_REUSED);
	if (row->is_answered)
		return on_end(m, ON_ANSWER_KEPT);
	return on_end(m, ON_UNSETTLED);
}

static enum on_action on_read_answered(struct on_machine *m,
				       const struct on_input *input)
{
	if (input->code != ST_OK)
		return on_read(m);
	if (input->row)
		return on_row_found(m, input->row);
	/*
	 * Absent: the claim did not take effect, or will later. Claiming
	 * again under the same attempt id is harmless either way.
	 */
	return on_claim(m);
}

static enum on_action on_release(struct on_machine *m)
{
	m->state = ON_RELEASING;
	return ON_RELEASE;
}

static enum on_action on_wait(struct on_machine *m)
{
	m->_releases++;
	if (m->_releases == ON_MAX_RELEASES)
		return on_end(m, ON_FINISHED);
	m->state = ON_ABANDONED;
	return ON_WAIT;
}

static enum on_action on_check(struct on_machine *m)
{
	m->state = ON_CHECKING;
	return ON_READ;
}

static enum on_action on_checked(struct on_machine *m,
				 const struct on_input *input)
{
	if (input->code != ST_OK || !input->row)
		return on_wait(m);
	if (strcmp(input->row->attempt, m->_attempt) != 0)
		return on_end(m, ON_FINISHED);
	m->revision = input->row->revision;
	return on_release(m);
}

static enum on_action on_keep(struct on_machine *m)
{
	m->state = ON_KEEPING;
	return ON_KEEP;
}

/* Without the kept answer a repeat would get "unknown" for good. */
static enum on_action on_retry_keep(struct on_machine *m)
{
	m->_keeps++;
	if (m->_keeps == ON_MAX_KEEPS)
		return on_end(m, ON_FINISHED);
	m->state = ON_KEEP_WAITING;
	return ON_WAIT;
}

static enum on_action on_send_ended(struct on_machine *m, enum on_event event)
{
	switch (event) {
	case ON_SEND_ANSWERED:
		return on_keep(m);
	case ON_SEND_UNCERTAIN:
		return on_end(m, ON_UNCERTAIN);
	case ON_NOT_SENT:
		if (m->_sends == ON_MAX_SENDS)
			return on_release(m);
		return on_send(m, m->revision);
	default:
		return on_release(m);
	}
}

/* A conflict means that an earlier write, whose answer was lost, is there. */
static bool on_is_write_applied(enum st_code code)
{
	return code == ST_OK || code == ST_CONFLICT;
}

enum on_action on_step(struct on_machine *m, const struct on_input *input)
{
	enum on_event event = input->event;

	if (m->state == ON_IDLE && event == ON_BEGIN)
		return on_claim(m);
	if (m->state == ON_CLAIMING && event == ON_CLAIM_ANSWERED)
		return on_claim_answered(m, input);
	if (m->state == ON_READING && event == ON_READ_ANSWERED)
		return on_read_answered(m, input);
	if (m->state == ON_SENDING && event >= ON_SEND_ANSWERED &&
	    event <= ON_NO_UPSTREAM_LEFT)
		return on_send_ended(m, event);
	if (m->state == ON_KEEPING && event == ON_KEEP_ANSWERED)
		return on_is_write_applied(input->code) ? on_end(m, ON_FINISHED)
							: on_retry_keep(m);
	if (m->state == ON_KEEP_WAITING && event == ON_WAIT_ELAPSED)
		return on_keep(m);
	if (m->state == ON_RELEASING && event == ON_RELEASE_ANSWERED)
		return on_is_write_applied(input->code) ? on_end(m, ON_FINISHED)
							: on_wait(m);
	if (m->state == ON_ABANDONED && event == ON_WAIT_ELAPSED)
		return on_check(m);
	if (m->state == ON_CHECKING && event == ON_READ_ANSWERED)
		return on_checked(m, input);
	return ON_FINISHED;
}
