#include "gateway/gw_continue.h"

#include <string.h>

#include "gateway/gw_begun.h"
#include "gateway/gw_request.h"
#include "kernel/ck.h"
#include "kernel/mt_family.h"

MT_COUNTERS(gw_taken_up, "balsampin_gateway_taken_up_total",
	    "streams taken up, by how their build was found", "build")

/* A stream whose first event from @engine was forwarded a short while ago. */
struct gw_recent {
	char *attempt;
	char *service;
	uint64_t engine;
	int64_t sent_ms;
};

void gw_continue_bind(struct gw_stream *stream, uint64_t now_build)
{
	if (stream->is_bound)
		return;
	stream->is_bound = true;
	stream->build =
		now_build == stream->sent_build ? stream->sent_build : 0;
}

bool gw_continue_may_forward(const struct gw_stream *stream, uint64_t now_build)
{
	return !stream->is_bound ||
	       (stream->build && stream->build == now_build);
}

const char *gw_continue_no_place(const struct gw_stream *stream)
{
	if (gw_continue_is_lost(stream))
		return "build_unknown";
	return stream->is_bound ? "no_engine_of_build" : "no_engine";
}

const char *gw_continue_name(const struct fl_fleet *fleet, uint64_t build)
{
	fl_for_each (fleet, e)
		if (build && fl_build(e) == build)
			return e->entry.build;
	return "unknown";
}

void gw_continue_sent(struct gw_request *r)
{
	r->stream.sent_build = fl_build(r->engine);
}

bool gw_continue_has_to_note(const struct gw_stream *stream, uint32_t sends,
			     int64_t now_ms)
{
	return stream->noted_sends != sends ||
	       now_ms - stream->noted_ms >= GW_NOTE_AGAIN_MS;
}

/* Id under which the stream is recorded: of the attempt that began it. */
static const char *gw_stream_name(const struct gw_request *r)
{
	return r->in.resumes ? r->in.resumes : r->in.attempt;
}

static void gw_on_begun(void *arg, uint64_t build)
{
	struct gw_request *r = arg;

	r->stream.build = build;
	mt_count(&gw_taken_up, build ? "told" : "unknown");
	gw_request_place(r);
}

bool gw_continue_start(struct gw_request *r)
{
	struct gw_gateway *g = r->gateway;
	const char *service = r->service->name;

	if (!gw_request_is_resumable(r) || r->in.resume_after < 0)
		return true;
	r->stream.is_bound = true;
	if (!r->in.resumes) {
		r->stream.build = gw_begun_infer(g, service, ck_now_ms());
	} else if (!gw_begun_find(g, r->in.resumes, service,
				  &r->stream.build)) {
		r->stream.build = 0;
		gw_begun_ask(g, &r->begun, r->in.resumes, service, gw_on_begun,
			     r);
		return false;
	}
	mt_count(&gw_taken_up, r->stream.build ? "known" : "unknown");
	return true;
}

static void gw_free_recent(struct gw_recent *recent)
{
	g_free(recent->attempt);
	g_free(recent->service);
	g_free(recent);
}

/* Drops what is too old to be in doubt. */
static void gw_trim_recent(struct gw_gateway *g, int64_t now_ms)
{
	struct gw_recent *oldest;

	while ((oldest = g_queue_peek_head(&g->recent_streams)) &&
	       (now_ms - oldest->sent_ms > GW_ENTRY_LATE_MS ||
		g->recent_streams.length >= GW_MAX_RECENT))
		gw_free_recent(g_queue_pop_head(&g->recent_streams));
}

static void gw_keep_recent(struct gw_request *r, int64_t now_ms)
{
	struct gw_recent *recent = g_new0(struct gw_recent, 1);

	gw_trim_recent(r->gateway, now_ms);
	recent->attempt = g_strdup(gw_stream_name(r));
	recent->service = g_strdup(r->service->name);
	recent->engine = r->engine->hash;
	recent->sent_ms = r->sent_ms;
	g_queue_push_tail(&r->gateway->recent_streams, recent);
}

void gw_continue_finish(struct gw_gateway *g)
{
	struct gw_recent *recent;

	while ((recent = g_queue_pop_head(&g->recent_streams)))
		gw_free_recent(recent);
}

void gw_continue_engine_replaced(struct gw_gateway *g,
				 const struct fl_engine *e,
				 const struct dl_engine *entry)
{
	int64_t now_ms = ck_now_ms();

	/*
	 * A request is sent to one id: another engine at its address refuses
	 * it. From an end that was found, the build was not known any more.
	 */
	if (strcmp(e->entry.id, entry->id) != 0 ||
	    !strcmp(e->entry.build, entry->build) || !fl_build(e))
		return;
	gw_trim_recent(g, now_ms);
	for (GList *link = g->recent_streams.head; link; link = link->next) {
		const struct gw_recent *recent = link->data;

		if (recent->engine == e->hash)
			gw_begun_note(g, recent->attempt, recent->service, 0);
	}
	gw_for_each_request (g, r)
		if (r->engine == e && r->stream.is_bound &&
		    !r->is_awaiting_event &&
		    now_ms - r->sent_ms <= GW_ENTRY_LATE_MS)
			r->stream.build = 0;
}

void gw_continue_forward(struct gw_request *r)
{
	struct gw_stream *stream = &r->stream;
	int64_t now_ms = ck_now_ms();

	if (!gw_request_is_resumable(r))
		return;
	gw_continue_bind(stream, fl_build(r->engine));
	if (!gw_stream_name(r) ||
	    !gw_continue_has_to_note(stream, r->sends, now_ms))
		return;
	if (stream->noted_sends != r->sends)
		gw_keep_recent(r, now_ms);
	stream->noted_sends = r->sends;
	stream->noted_ms = now_ms;
	gw_begun_note(r->gateway, gw_stream_name(r), r->service->name,
		      stream->build);
}
