#include "gateway/gw_stop.h"

#include <glib.h>

/*
 * The balancer asks each second whether a host is ready and goes by two
 * answers in a row, so that it sends new connections for two seconds or more.
 */
#define GW_ACCEPT_MS 2500
/* Most of the grace period is left to the requests that are accepted. */
#define GW_ACCEPT_SHARE 0.3125
/* Connections that the balancer has just sent are still read. */
#define GW_ACCEPT_TAIL_MS 100
/* For own answers to be sent and read, and for the process to end. */
#define GW_GIVE_UP_MARGIN_MS 500
#define GW_EXIT_MARGIN_MS    200
#define GW_GIVE_UP_SHARE     0.75
#define GW_EXIT_SHARE	     0.9

int64_t gw_stop_accept_ms(int64_t grace_ms)
{
	return MIN(GW_ACCEPT_MS, (int64_t)(grace_ms * GW_ACCEPT_SHARE));
}

int64_t gw_stop_give_up_ms(int64_t grace_ms)
{
	return MAX(grace_ms - GW_GIVE_UP_MARGIN_MS,
		   (int64_t)(grace_ms * GW_GIVE_UP_SHARE));
}

int64_t gw_stop_exit_ms(int64_t grace_ms)
{
	return MAX(grace_ms - GW_EXIT_MARGIN_MS,
		   (int64_t)(grace_ms * GW_EXIT_SHARE));
}

bool gw_stop_may_exit(int64_t since_ms, int64_t grace_ms, uint32_t owed)
{
	if (since_ms >= gw_stop_exit_ms(grace_ms))
		return true;
	return !owed &&
	       since_ms >= gw_stop_accept_ms(grace_ms) + GW_ACCEPT_TAIL_MS;
}
