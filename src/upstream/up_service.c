/*
 * The "service" plug-in: plain requests with unparsed answers.
 */
#include <string.h>

#include "kernel/kn_registry.h"
#include "upstream/up.h"

static const char *const up_hop_headers[] = {
	"connection",	  "keep-alive", "transfer-encoding",
	"content-length", "te",		"trailer",
	"upgrade",	  "date",	"proxy-authenticate",
};

static void up_service_add_headers(struct up_attempt *a, GPtrArray *headers)
{
	g_ptr_array_add(headers, g_strdup_printf("X-Request-Id: %s", a->_id));
}

static void up_service_header(struct up_attempt *a, const char *name,
			      const char *value)
{
	if (a->_headers->len >= 2 * UP_MAX_HEADERS)
		return;
	for (size_t i = 0; i < G_N_ELEMENTS(up_hop_headers); i++)
		if (!strcmp(name, up_hop_headers[i]))
			return;
	g_ptr_array_add(a->_headers, g_strdup(name));
	g_ptr_array_add(a->_headers, g_strdup(value));
}

static void up_service_data(struct up_attempt *a, uint32_t http_status,
			    const char *data, uint64_t bytes)
{
}

static void up_service_classify(struct up_attempt *a,
				const struct hc_result *answer,
				struct up_result *result)
{
	if (result->end != UP_COMPLETE)
		return;
	g_ptr_array_add(a->_headers, NULL);
	result->headers = (const char *const *)a->_headers->pdata;
	result->body = answer->body;
	result->body_bytes = answer->body_bytes;
}

static const struct up_ops up_service = {
	.name = "service",
	.add_headers = up_service_add_headers,
	.on_header = up_service_header,
	.on_data = up_service_data,
	.classify = up_service_classify,
};
KN_REGISTER("upstream", "service", up_service)
