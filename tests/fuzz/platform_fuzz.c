/*
 * Whatever the platform's store and engines send must be decoded or refused.
 * The first byte picks the decoder.
 */
#include <stdlib.h>

#include "dialect/dl.h"
#include "fleet/fl_notice.h"
#include "kernel/kn_registry.h"

static void decode_config(const struct dl_dialect *d, const char *text,
			  size_t bytes)
{
	struct fd_list findings;

	fd_init(&findings);
	ca_catalog_unref(d->decode_config(text, bytes, &findings));
	fd_finish(&findings);
}

static void read_request(const struct dl_dialect *d, const char *text)
{
	struct h1_headers headers;
	struct dl_request request;

	h1_headers_init(&headers);
	h1_headers_add(&headers, "X-Prefix-Hash", text);
	h1_headers_add(&headers, "X-Token-Usage", text);
	h1_headers_add(&headers, "Authorization", text);
	d->read_request(&headers, &request);
	if (request.part_count > DL_MAX_PARTS)
		abort();
	h1_headers_finish(&headers);
}

static void read_answer(const struct dl_dialect *d, const char *text)
{
	struct h1_headers headers;
	struct dl_answer answer;

	h1_headers_init(&headers);
	h1_headers_add(&headers, "Retry-After", text);
	h1_headers_add(&headers, "Server-Leaving", text);
	d->read_answer(503, &headers, &answer);
	if (answer.pause_ms < 0 || answer.pause_ms > FL_MAX_PAUSE_MS)
		abort();
	h1_headers_finish(&headers);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	const struct dl_dialect *d = kn_plugin_find("dialect", "fleet");
	struct dl_weights weights;
	struct dl_engine engine;
	struct dl_report report;
	char *text;

	if (!size)
		return 0;
	text = g_strndup((const char *)data + 1, size - 1);
	switch (data[0] % 5) {
	case 0:
		decode_config(d, text, size - 1);
		break;
	case 1:
		d->decode_engine("i", text, size - 1, &engine);
		break;
	case 2:
		d->decode_report(text, size - 1, &report);
		break;
	case 3:
		d->decode_weights(text, size - 1, &weights);
		break;
	default:
		read_request(d, text);
		read_answer(d, text);
	}
	g_free(text);
	return 0;
}
