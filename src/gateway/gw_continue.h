/*
 * gw_continue - at which build of the engines' software a stream may go on.
 *
 * Overview
 *	Engines of several builds may serve side by side in a service. What two
 *	builds write does not fit together, and engines do not check it. A
 *	stream that may be resumed is therefore bound to the build that began
 *	it, from the first event that its caller has: no engine of another
 *	build, or of one that is not known, goes on with it. See
 *	docs/design/streams.md.
 *
 *	A caller that takes a stream up names the attempt that brought its first
 *	event. The build is found before the request is placed, at this host or
 *	by asking others (gw_begun.h); the request waits meanwhile. Without the
 *	name the build is known only if the service has had no other.
 *
 *	An engine may come back under its id as another build before its new
 *	entry has been read here. What was sent there shortly before may have
 *	begun at either build, so its build is not known any more.
 *
 * Use
 *	if (gw_continue_start(r))	false: waits for the answer
 *		gw_request_place(r);
 *	gw_continue_sent(r);		an attempt begins at r->engine
 *	gw_continue_forward(r);		before each event that the caller gets
 *	if (gw_continue_is_lost(&r->stream)) ...
 *	placement.build = gw_continue_build(&r->stream);
 */
#ifndef GW_CONTINUE_H
#define GW_CONTINUE_H

#include <stdbool.h>
#include <stdint.h>

#include "fleet/fl.h"

struct gw_gateway;
struct gw_request;

/**
 * struct gw_stream - the build of a request's stream; {0} is not bound.
 * @is_bound: the stream has begun, here or in an earlier try of the caller.
 * @build: that began it; 0: not known, nothing may go on with it.
 * @sent_build: of the engine of the current attempt, when it was sent.
 * @noted_sends: number of the attempt whose first event was recorded last.
 * @noted_ms: when it was.
 */
struct gw_stream {
	bool is_bound;
	uint64_t build;
	uint64_t sent_build;
	uint32_t noted_sends;
	int64_t noted_ms;
};

/**
 * GW_ENTRY_LATE_MS - an engine's new entry is read here at most this long after
 * its process has begun to take requests.
 */
#define GW_ENTRY_LATE_MS 1500

/**
 * GW_NOTE_AGAIN_MS - a stream that runs is recorded again after this time, as
 * records are kept for a minute and a datagram may be lost.
 */
#define GW_NOTE_AGAIN_MS 20000

/** Streams that began within GW_ENTRY_LATE_MS; the oldest are dropped. */
#define GW_MAX_RECENT 4096

/** gw_continue_is_lost() - whether no engine may go on with the stream. */
static inline bool gw_continue_is_lost(const struct gw_stream *stream)
{
	return stream->is_bound && !stream->build;
}

/** gw_continue_build() - the only build that may go on; 0: any. */
static inline uint64_t gw_continue_build(const struct gw_stream *stream)
{
	return stream->is_bound ? stream->build : 0;
}

/**
 * gw_continue_bind() - the first event has come; binds a stream that is not
 * bound yet.
 * @now_build: of the engine that brought it. If it is not that of the time when
 *	the request was sent, the engine may have started anew in between, and
 *	the build is not known.
 */
void gw_continue_bind(struct gw_stream *stream, uint64_t now_build);

/**
 * gw_continue_may_forward() - whether the first event of an attempt may be
 * forwarded: for a stream that goes on, only from an engine that is still known
 * to be of its build.
 * @now_build: of the engine of the attempt.
 */
bool gw_continue_may_forward(const struct gw_stream *stream,
			     uint64_t now_build);

/** gw_continue_no_place() - why no engine was found, for the log. */
const char *gw_continue_no_place(const struct gw_stream *stream);

/**
 * gw_continue_name() - the version that is the build of an upstream in @fleet;
 * "unknown" if there is none.
 */
const char *gw_continue_name(const struct fl_fleet *fleet, uint64_t build);

/**
 * gw_continue_has_to_note() - whether the event that is about to be forwarded
 * is to be recorded as the first one of attempt @sends, or again.
 */
bool gw_continue_has_to_note(const struct gw_stream *stream, uint32_t sends,
			     int64_t now_ms);

/**
 * gw_continue_start() - bind a stream that is taken up to its build.
 *
 * Return: false if the build has to be asked for; the request is placed, or
 * refused, when the answer is there.
 */
bool gw_continue_start(struct gw_request *r);

/**
 * gw_continue_engine_replaced() - @e has become @entry; what began there just
 * before has no known build. If its exit was found before, all that has a known
 * build was sent to the process of its old entry, and keeps it.
 */
void gw_continue_engine_replaced(struct gw_gateway *g,
				 const struct fl_engine *e,
				 const struct dl_engine *entry);

/** gw_continue_finish() - forget the streams that began recently. */
void gw_continue_finish(struct gw_gateway *g);

/** gw_continue_sent() - the request is about to be sent to r->engine. */
void gw_continue_sent(struct gw_request *r);

/** gw_continue_forward() - the caller is about to get an event. */
void gw_continue_forward(struct gw_request *r);

#endif
