/* Relayed requests: decoded, and put together only if the hash is right. */
#include <glib.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include "link/lk.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t bytes);

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t bytes)
{
	static const uint8_t secret[LK_SECRET_BYTES];
	bp_link_request wire;
	XDR xdr;

	memset(&wire, 0, sizeof(wire));
	xdrmem_create(&xdr, (char *)data, (u_int)bytes, XDR_DECODE);
	if (xdr_bp_link_request(&xdr, &wire)) {
		GString *body = g_string_new(NULL);
		GArray *missing = g_array_new(FALSE, FALSE, sizeof(uint32_t));
		struct lk_cache store;

		lk_cache_init(&store, 4096);
		lk_decode(&store, secret, &wire, body, missing);
		lk_cache_finish(&store);
		g_array_free(missing, TRUE);
		g_string_free(body, TRUE);
	}
	xdr_free((xdrproc_t)xdr_bp_link_request, (char *)&wire);
	xdr_destroy(&xdr);
	return 0;
}
