/* Streams of engines, cut at any place: the events given out have no gap. */
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>

#include "upstream/sd.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t bytes);

static void on_event(void *arg, const struct sd_event *event)
{
	uint64_t *last = arg;

	if (event->sequence != *last + 1)
		abort();
	*last = event->sequence;
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t bytes)
{
	uint64_t last = 0;
	struct sd_decoder d;
	size_t first;

	if (!bytes)
		return 0;
	first = data[0] % bytes;
	sd_init(&d, &(struct sd_desc){ .on_event = on_event, .arg = &last });
	sd_feed(&d, (const char *)data, first);
	sd_feed(&d, (const char *)data + first, bytes - first);
	sd_end(&d);
	sd_finish(&d);
	return 0;
}
