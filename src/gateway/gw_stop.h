/*
 * gw_stop - what a gateway still does between SIGTERM and SIGKILL.
 *
 * Overview
 *	gw_stop_accept_ms()	until then requests are passed on, as the
 *				balancer still sends some. It counts when a
 *				request has been read whole, not when it began
 *	gw_stop_give_up_ms()	what an upstream has not answered by then is
 *				answered by the gateway, before it is cut off
 *	gw_stop_exit_ms()	the process ends, though a caller has not read
 *				its answer; it ends before if nothing is owed
 *
 *	All are times since SIGTERM and follow from the grace period.
 */
#ifndef GW_STOP_H
#define GW_STOP_H

#include <stdbool.h>
#include <stdint.h>

int64_t gw_stop_accept_ms(int64_t grace_ms);
int64_t gw_stop_give_up_ms(int64_t grace_ms);
int64_t gw_stop_exit_ms(int64_t grace_ms);

/**
 * gw_stop_may_exit() - @since_ms: since SIGTERM. @owed: answers that are due
 * or not yet sent.
 */
bool gw_stop_may_exit(int64_t since_ms, int64_t grace_ms, uint32_t owed);

#endif
