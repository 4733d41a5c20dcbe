/*
 * tl - time line: a bounded ring of typed events in each process.
 *
 * Overview
 *	Modules record their decisions with tl_record(): kind, subject and
 *	detail, stamped by the process's hybrid logical clock. The ring keeps
 *	the newest TL_CAPACITY events; older ones are overwritten and counted.
 *	`balsampin timeline` gathers the rings of all processes over RPC,
 *	orders them by stamp and filters them.
 *
 * Use
 *	tl_record(TL_UPSTREAM_FAILED, request_id, "engine=%s run=%s", e, r);
 *
 *	Readers filter by the subject: a request id, a host, an engine, a
 *	lease, or "config/7". The detail is text of key=value pairs.
 */
#ifndef TL_H
#define TL_H

#include <glib.h>
#include <stdint.h>

#include "kernel/ck.h"

#define TL_CAPACITY	 4096
#define TL_SUBJECT_BYTES 48
#define TL_DETAIL_BYTES	 144

/** enum tl_kind - kind of an event; tl_kind_name() gives the printed name. */
enum tl_kind {
	TL_PROCESS_STARTED = 0,
	TL_PROCESS_DRAINING,
	TL_REQUEST_ACCEPTED,
	TL_REQUEST_PLACED,
	TL_REQUEST_REFUSED,
	TL_REQUEST_DONE,
	TL_REQUEST_BROKEN,
	TL_UPSTREAM_FAILED,
	TL_STREAM_RESUMED,
	TL_STREAM_CONTINUED,
	TL_CALL_CLAIMED,
	TL_CALL_SETTLED,
	TL_CONFIG_APPLIED,
	TL_CONFIG_REFUSED,
	TL_MEMBER_UP,
	TL_MEMBER_DOWN,
	TL_MEMBER_LEAVING,
	TL_ENGINE_RESTARTED,
	TL_EVENTS_GAP,
	TL_LEASE_TAKEN,
	TL_LEASE_LOST,
	TL_ORDER_SENT,
	TL_ORDER_DONE,
	TL_ORDER_REFUSED,
	TL_REQUEST_POISONED,
	TL_PLATFORM_DOWN,
	TL_PLATFORM_UP,
	TL_KIND_COUNT
};

/** struct tl_event - an event with the stamp of its hybrid logical clock. */
struct tl_event {
	uint64_t stamp;
	uint32_t kind;
	char subject[TL_SUBJECT_BYTES];
	char detail[TL_DETAIL_BYTES];
};

/** tl_record() - append an event, stamped with the current time. */
void tl_record(enum tl_kind kind, const char *subject, const char *format, ...)
	__attribute__((format(printf, 3, 4)));

/**
 * tl_clock() - the process's hybrid logical clock, whose stamps go out with
 * every RPC and every call of an upstream.
 */
struct ck_hlc *tl_clock(void);

/**
 * tl_read() - copy the events with a stamp above @stamp, oldest first.
 * @out: room for @capacity events.
 *
 * Return: number of events copied; fewer than @capacity if there are no more.
 */
uint32_t tl_read(uint64_t stamp, struct tl_event *out, uint32_t capacity);

/** tl_overwritten() - number of events overwritten by newer ones. */
uint64_t tl_overwritten(void);

/**
 * tl_kind_name() - printed name of a kind, such as "request_placed"; "unknown"
 * for a kind that this version does not know.
 */
const char *tl_kind_name(uint32_t kind);

/** tl_kind_find() - the kind called @name; TL_KIND_COUNT if there is none. */
uint32_t tl_kind_find(const char *name);

#endif
