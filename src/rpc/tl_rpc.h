/*
 * tl_rpc - the process's time line, served to `balsampin timeline`.
 *
 * Use
 *	tl_rpc_serve(&rpc, settings.self.name, "entry", incarnation);
 */
#ifndef TL_RPC_H
#define TL_RPC_H

#include "rpc/rp.h"

/**
 * tl_rpc_serve() - register BP_TIMELINE at an endpoint.
 * @host: name of this host, copied.
 * @role: of this process, copied.
 * @incarnation: of this process.
 *
 * The time line is one for the process, and so is the name it is served
 * under: that of the last call.
 */
enum st_code tl_rpc_serve(struct rp_endpoint *ep, const char *host,
			  const char *role, uint64_t incarnation);

#endif
