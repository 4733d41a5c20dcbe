/*
 * pe_pace - spreads messages to many hosts over time.
 *
 * Load pattern
 *	Thirty engines finish loading within a tenth of a second. The reader of
 *	a region sends each of the datagrams about them to dozens of hosts: a
 *	burst of some hundred KB, of which a link of 20 Mbit/s drops the end,
 *	for all hosts alike.
 *
 * Overview
 *	One message is sent at once; those that follow within the same period
 *	wait, in order, and one of them is sent in each further period.
 *
 *	Plain functions, no clock, no sockets. Messages belong to the caller.
 *
 * Use
 *	if (pe_pace_offer(&pace, message)) send it
 *	once a period: message = pe_pace_next(&pace); send it unless NULL
 */
#ifndef PE_PACE_H
#define PE_PACE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** Most messages that wait. */
#define PE_PACE_MAX 512

struct pe_pace {
	GQueue _waiting;
	bool _has_sent;
};

/** pe_pace_init() - see above. */
void pe_pace_init(struct pe_pace *pace);

/** pe_pace_is_full() - no further message may be offered in this period. */
bool pe_pace_is_full(const struct pe_pace *pace);

/**
 * pe_pace_offer() - whether to send @message now; otherwise it waits.
 */
bool pe_pace_offer(struct pe_pace *pace, void *message);

/** pe_pace_next() - begin a period; returns the message to send, or NULL. */
void *pe_pace_next(struct pe_pace *pace);

/** pe_pace_take() - remove a waiting message, for clearing; NULL: none. */
void *pe_pace_take(struct pe_pace *pace);

#endif
