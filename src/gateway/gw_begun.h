/*
 * gw_begun - which build began which stream, known to several hosts.
 *
 * Load pattern
 *	A stream breaks off, and its caller takes it up at any host, also when
 *	the host that began it is gone. It may go on only at an engine of the
 *	build that began it; see docs/design/streams.md.
 *
 * Overview
 *	The host that forwards the first event of a stream records its build,
 *	and tells the owners of the attempt (src/peers/pe_home.h) in a datagram
 *	each. A host that does not know the attempt asks the owners, all at the
 *	same time. Where none knows it, the build counts that the service has
 *	had alone for as long as records are kept (src/peers/pe_builds.h).
 *
 *	A record is kept for PE_BEGUN_KEEP_MS. A stream that is longer has to be
 *	renewed meanwhile by gw_begun_note().
 *
 *	A host that has just started waits for the list of hosts for a moment,
 *	and has not heard from all of them yet. Until it has, it tells and asks
 *more hosts: those that are owners if the silent ones are up, and those that
 *are if they are not. A question goes to one host more than there are owners,
 *as these change when hosts join or leave.
 *
 * Use
 *	gw_begun_note(g, attempt, service, fl_build(engine));
 *	if (!gw_begun_find(g, attempt, service, &build))
 *		gw_begun_ask(g, &r->begun, attempt, service, on_build, r);
 */
#ifndef GW_BEGUN_H
#define GW_BEGUN_H

#include "gateway/gw.h"
#include "rpc/rp.h"

struct gw_question;

/**
 * struct gw_begun_query - a question; memory of the caller, {0} is idle. It may
 * not move while the question runs. The rest is allocated for that time only,
 * as most requests never ask.
 */
struct gw_begun_query {
	struct gw_question *_question;
};

enum st_code gw_begun_start(struct gw_gateway *g);

/** gw_begun_stop() - end all questions without an answer. */
void gw_begun_stop(struct gw_gateway *g);

/** gw_begun_serve() - take and give records of other hosts. */
enum st_code gw_begun_serve(struct gw_gateway *g, struct rp_endpoint *rpc);

/** gw_begun_see_engine() - an entry of @e was read. */
void gw_begun_see_engine(struct gw_gateway *g, const struct fl_engine *e);

/**
 * gw_begun_sweep() - periodic work; call several times a second.
 * @fresh_ms: last time at which all engines were known; 0: never yet.
 */
void gw_begun_sweep(struct gw_gateway *g, int64_t fresh_ms, int64_t now_ms);

/**
 * gw_begun_note() - record that @build brings the first event of the stream of
 * @attempt, and tell the owners; also renews the record.
 * @build: 0: not known. A record with a build becomes one without, as it does
 *	with any other build.
 */
void gw_begun_note(struct gw_gateway *g, const char *attempt,
		   const char *service, uint64_t build);

/**
 * gw_begun_infer() - the only build that @service has had for as long as
 * records are kept, or 0.
 */
uint64_t gw_begun_infer(const struct gw_gateway *g, const char *service,
			int64_t now_ms);

/**
 * gw_begun_find() - find the build from what this host knows.
 * @build: 0 if there is a record that says that the build is not known.
 *
 * Return: false if the other hosts have to be asked.
 */
bool gw_begun_find(struct gw_gateway *g, const char *attempt,
		   const char *service, uint64_t *build);

/**
 * gw_begun_ask() - ask the owners of @attempt.
 * @fn: called once, from the loop and never from within this function, with the
 *	build or 0 if it is not known. @query is idle then.
 */
void gw_begun_ask(struct gw_gateway *g, struct gw_begun_query *query,
		  const char *attempt, const char *service,
		  void (*fn)(void *arg, uint64_t build), void *arg);

/** gw_begun_cancel() - forget a question; its fn is not called. May be idle. */
void gw_begun_cancel(struct gw_begun_query *query);

#endif
