/*
 * gw_via - requests that go to an engine through another host.
 *
 * Load pattern
 *	Some hosts, also most or all of a zone, lose their links to all engines
 *	for seconds, while callers, the store and the other hosts reach them.
 *	The balancer goes on sending callers to them: open connections stay, and
 *	with most of a zone gone it uses all its hosts.
 *
 * Overview
 *	A host that is cut off (gw_reach.h), or that gets no connection to
 *	any engine for a request, passes the request on to another host
 *	(peers/pe_via.h) over HTTP. That host admits, charges and places it like
 *	one of its own callers', with the time that is left, and never passes it
 *	on again. Its answer goes to the caller as it comes; the close of the
 *	caller closes the connection to it, and so reaches the engine.
 *
 *	A request that was sent to another host may have run, and is not sent
 *	again; one that the other host refuses for want of a way to the engines,
 *	or of a configuration, has not run, and may go to another one, up to
 *	GW_VIA_TRIES.
 *
 *	The field GW_VIA_FIELD holds the number of engines that the request may
 *	still be sent to, the version of the configuration that admitted it, and
 *	a proof that a host wrote it: an authentication code, with the key of
 *	the hosts' messages, over the two and what identifies the request. A
 *	host with an older configuration refuses it. Nothing else is served at
 *	this address.
 *
 * Use
 *	if (gw_reach_is_cut_off(g) && gw_via_send(r, "cut_off")) ...
 */
#ifndef GW_VIA_H
#define GW_VIA_H

#include "gateway/gw.h"

struct gw_request;

/** Field of a request that a host passes on. */
#define GW_VIA_FIELD "Balsampin-Via"
/** Room that it takes in a head. */
#define GW_VIA_FIELD_BYTES 128
/** Field of a refusal of such a request: the reason. */
#define GW_VIA_REASON_FIELD "Balsampin-Via-Reason"
/** Field of an engine's answer to such a request: the id of the engine. */
#define GW_VIA_ENGINE_FIELD "Balsampin-Via-Engine"

enum st_code gw_via_start(struct gw_gateway *g);
void gw_via_stop(struct gw_gateway *g);

/** gw_via_set_key() - @key: RP_KEY_BYTES, of the messages between hosts. */
void gw_via_set_key(struct gw_gateway *g, const uint8_t *key);

/** gw_via_has_hosts() - whether any other host takes requests over. */
bool gw_via_has_hosts(const struct gw_gateway *g);

/**
 * gw_via_send() - pass the request on to another host.
 * @reason: for the log.
 *
 * Return: false if none may be asked; nothing has happened then.
 */
bool gw_via_send(struct gw_request *r, const char *reason);

/** gw_via_on_request() - another host passes on a request. @arg: gateway. */
void gw_via_on_request(void *arg, struct h1_exchange *exchange);

#endif
