#include "net/ad.h"

#include <arpa/inet.h>
#include <glib.h>
#include <string.h>

bool ad_parse(const char *text, struct ad_address *out)
{
	const char *colon = strrchr(text, ':');
	char ip[INET_ADDRSTRLEN];
	struct in_addr address;
	guint64 port;

	if (!colon || (size_t)(colon - text) >= sizeof(ip))
		return false;
	g_strlcpy(ip, text, colon - text + 1);
	if (inet_pton(AF_INET, ip, &address) != 1 ||
	    !g_ascii_string_to_unsigned(colon + 1, 10, 0, UINT16_MAX, &port,
					NULL))
		return false;
	out->ipv4 = ntohl(address.s_addr);
	out->port = port;
	return true;
}
