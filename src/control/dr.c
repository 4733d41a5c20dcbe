#include "control/dr.h"

#include "control/op.h"
#include "kernel/mt.h"
#include "rpc/gen/balsampin.h"

MT_COUNTER(dr_denied_total, "balsampin_drain_denied_total",
	   "calls refused for a wrong key or operation")

static void dr_on_call(void *arg, struct rp_request *request, const void *args)
{
	struct dr_server *dr = arg;
	const bp_operate *call = args;
	bp_operated answer = { .status = ST_OK, .message = "", .text = "" };

	if (call->operation != BP_OP_DRAIN)
		answer.status = ST_INVALID;
	else if (!op_is_valid_key(dr->_settings, call->operator_key))
		answer.status = ST_DENIED;
	rp_reply(request, &answer);
	if (answer.status == ST_OK)
		kn_drain(dr->_kernel);
	else
		mt_add(&dr_denied_total, 1);
}

enum st_code dr_init(struct dr_server *dr, struct kn_kernel *kernel,
		     struct rp_endpoint *rpc,
		     const struct cf_settings *settings)
{
	dr->_kernel = kernel;
	dr->_settings = settings;
	return rp_serve(rpc, &(struct rp_procedure){
				     .number = BP_OPERATE,
				     .args = (xdrproc_t)xdr_bp_operate,
				     .args_bytes = sizeof(bp_operate),
				     .result = (xdrproc_t)xdr_bp_operated,
				     .handler = dr_on_call,
				     .arg = dr });
}
