/*
 * gw_cap - usage caps of teams: charges, and messages about them.
 *
 * Overview
 *	src/limits/lm_cap.h decides. An attempt is charged before it is sent and
 *	given back when it was not sent, or when the upstream says that it has
 *	not run it. A request that is refused has not been sent anywhere.
 *
 *	Up to 17 hosts, each host tells every other what it has charged; above,
 *	it tells the collector of its zone and the standby (gw_collect.h). The
 *	collector tells each member the sum over all other hosts, and the
 *	collectors of the other zones that of its own zone. Without a cap in the
 *	configuration, nothing is sent.
 *
 *	A host that is not in the list of hosts yet is told what it missed once
 *	it has sent a message itself.
 *
 * Use
 *	gw_cap_configure(g);		after each new configuration
 *	if (!gw_cap_charge(r)) ...	429, before each gw_send()
 *	gw_cap_give_back(r);		it was not sent or has not run
 */
#ifndef GW_CAP_H
#define GW_CAP_H

#include "gateway/gw.h"
#include "gateway/gw_request.h"

/** gw_cap_start() - before the configuration is read. */
enum st_code gw_cap_start(struct gw_gateway *g);
void gw_cap_stop(struct gw_gateway *g);

/** gw_cap_configure() - apply the caps of the configuration in force. */
void gw_cap_configure(struct gw_gateway *g);

/**
 * gw_cap_knows_hosts() - whether the list of hosts has been read, if a team has
 * a cap. Before, this host would use the small share of one host of many.
 */
bool gw_cap_knows_hosts(const struct gw_gateway *g);

/** gw_cap_serve() - take what other hosts have charged. */
enum st_code gw_cap_serve(struct gw_gateway *g, struct rp_endpoint *rpc);

/**
 * gw_cap_charge() - charge an attempt of @r that is about to be sent.
 *
 * An attempt after one that may have run is charged, too, and always admitted.
 * A request that is held before it is sent is charged once, before it is held,
 * so that it is not refused after a wait.
 *
 * Return: false if the request is to be refused; r->retry_after_ms is set then.
 */
bool gw_cap_charge(struct gw_request *r);

/** gw_cap_give_back() - the attempt that was charged last has not run. */
void gw_cap_give_back(struct gw_request *r);

/** gw_cap_keep() - the attempt that was charged last may have run. */
void gw_cap_keep(struct gw_request *r);

#endif
