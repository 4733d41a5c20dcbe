/*
 * ad - an IPv4 address and port, written "IP:PORT".
 */
#ifndef AD_H
#define AD_H

#include <stdbool.h>
#include <stdint.h>

/**
 * struct ad_address
 * @ipv4, @port: in the byte order of the host.
 */
struct ad_address {
	uint32_t ipv4;
	uint16_t port;
};

/**
 * ad_parse() - false if @text is no address; @out is left alone then.
 * Port 0 is taken: whoever needs a port to connect to has to check.
 */
bool ad_parse(const char *text, struct ad_address *out);

#endif
