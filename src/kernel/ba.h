/*
 * ba - the account of bytes that a process holds for others.
 *
 * Overview
 *	One account for all listening addresses and connections of a process,
 *	so that memory which is taken at one address is missing at the others.
 *	Whoever is about to take memory asks ba_fits(), and ba_charge() notes
 *	what the allocator took or got back. A kind may have a bound of its own
 *	within the account.
 *
 *	Load: many callers, at any address, whose requests never end. Each is
 *	within the limits of one request; only their sum is not.
 *
 * Use
 *	ba_init(&account, budget_bytes);
 *	if (ba_fits(&account, BA_CALLERS, bytes))
 *		ba_charge(&account, BA_CALLERS, bytes);
 *	ba_charge(&account, BA_CALLERS, -bytes);
 */
#ifndef BA_H
#define BA_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * enum ba_kind - what the bytes are held for.
 * @BA_CALLERS: connections of callers beyond their guaranteed minimum:
 *	requests, and answers that are not sent.
 * @BA_ANSWERS: answers that are collected from upstreams.
 * @BA_UPSTREAMS: requests on their way to upstreams.
 * @BA_PEERS: records of other hosts.
 */
enum ba_kind { BA_CALLERS = 0, BA_ANSWERS, BA_UPSTREAMS, BA_PEERS, BA_KINDS };

/**
 * struct ba_account - zero means unlimited; the limits may be changed.
 * @budget_bytes: of all kinds together.
 * @kind_bytes: bound of one kind.
 */
struct ba_account {
	uint64_t budget_bytes;
	uint64_t kind_bytes[BA_KINDS];
	uint64_t _held_bytes[BA_KINDS];
	uint64_t _total_bytes;
};

void ba_init(struct ba_account *account, uint64_t budget_bytes);

/** ba_fits() - whether @bytes more of @kind are within both bounds. */
bool ba_fits(const struct ba_account *account, enum ba_kind kind,
	     uint64_t bytes);

/** ba_fits_kind() - the same for the bound of the kind alone. */
bool ba_fits_kind(const struct ba_account *account, enum ba_kind kind,
		  uint64_t bytes);

/** ba_charge() - note that @bytes were taken, or given back if negative. */
void ba_charge(struct ba_account *account, enum ba_kind kind, int64_t bytes);

/** ba_held_bytes() - of all kinds. */
static inline uint64_t ba_held_bytes(const struct ba_account *account)
{
	return account->_total_bytes;
}

/** ba_kind_held_bytes() - of one kind. */
static inline uint64_t ba_kind_held_bytes(const struct ba_account *account,
					  enum ba_kind kind)
{
	return account->_held_bytes[kind];
}

/**
 * Blocks of this size are mapped each by itself if the process asks for it with
 * mallopt(). They go back to the system as they are freed, and cost memory only
 * as far as they are written.
 */
#define BA_MAPPED_BYTES (256u << 10)

/**
 * ba_text_bytes() - memory of @text, which is larger than its length by the
 * rounding of the allocator and of GLib, unless it is mapped.
 */
uint64_t ba_text_bytes(const GString *text);

#endif
