#include "rpc/tl_rpc.h"

#include <glib.h>

#include "kernel/tl.h"
#include "rpc/gen/balsampin.h"

static struct {
	char host[64];
	char role[16];
	uint64_t incarnation;
} tl_rpc_self;

_Static_assert(TL_CAPACITY <= BP_MAX_EVENTS, "the ring fits one reply");

static void tl_rpc_on_request(void *arg, struct rp_request *request,
			      const void *args)
{
	const bp_timeline_from *from = args;
	struct tl_event *events = g_new(struct tl_event, TL_CAPACITY);
	bp_event *out = g_new(bp_event, TL_CAPACITY);
	uint32_t count = tl_read(from->after, events, TL_CAPACITY);
	bp_timeline_part part = { .host = tl_rpc_self.host,
				  .role = tl_rpc_self.role,
				  .incarnation = tl_rpc_self.incarnation,
				  .overwritten = tl_overwritten() };

	for (uint32_t i = 0; i < count; i++) {
		out[i].stamp = events[i].stamp;
		out[i].kind = events[i].kind;
		out[i].subject = events[i].subject;
		out[i].detail = events[i].detail;
	}
	part.events.events_len = count;
	part.events.events_val = out;
	rp_reply(request, &part);
	g_free(out);
	g_free(events);
}

enum st_code tl_rpc_serve(struct rp_endpoint *ep, const char *host,
			  const char *role, uint64_t incarnation)
{
	g_strlcpy(tl_rpc_self.host, host, sizeof(tl_rpc_self.host));
	g_strlcpy(tl_rpc_self.role, role, sizeof(tl_rpc_self.role));
	tl_rpc_self.incarnation = incarnation;
	return rp_serve(ep, &(struct rp_procedure){
				    .number = BP_TIMELINE,
				    .args = (xdrproc_t)xdr_bp_timeline_from,
				    .args_bytes = sizeof(bp_timeline_from),
				    .result = (xdrproc_t)xdr_bp_timeline_part,
				    .handler = tl_rpc_on_request });
}
