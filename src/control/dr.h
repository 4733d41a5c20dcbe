/*
 * dr - DRAIN operation of processes other than control.
 *
 * Overview
 *	Entry and index processes serve BP_OPERATE for this operation only, so
 *	that the control process of their host can forward an operator's
 *	`drain HOST`. Each process checks the operators' key itself.
 */
#ifndef DR_H
#define DR_H

#include "kernel/kn.h"
#include "rpc/rp.h"
#include "settings/cf.h"

/** struct dr_server - state; fields are private. */
struct dr_server {
	struct kn_kernel *_kernel;
	const struct cf_settings *_settings;
};

/** dr_init() - serve DRAIN; @dr must outlive the endpoint. */
enum st_code dr_init(struct dr_server *dr, struct kn_kernel *kernel,
		     struct rp_endpoint *rpc,
		     const struct cf_settings *settings);

#endif
