/*
 * What engines send to the index: an event stream through parser, JSON and
 * state, and a snapshot. The first byte says which.
 */
#include <glib.h>
#include <stddef.h>
#include <stdint.h>

#include "index/ix_decode.h"
#include "rpc/rp_record.h"

#define ENGINE 1

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t bytes);

struct sink {
	struct ix_index index;
	GArray *blocks;
};

static void on_event(void *arg, const struct se_event *from)
{
	struct sink *sink = arg;
	struct ix_event event;

	if (ix_decode_event(from, &event, sink->blocks))
		ix_event(&sink->index, ENGINE, &event, 0);
}

static void feed_events(struct sink *sink, const char *data, size_t bytes)
{
	struct se_parser parser;
	size_t half = bytes / 2;

	se_init(&parser, &(struct se_desc){ .max_event_bytes = 1024,
					    .on_event = on_event,
					    .arg = sink });
	if (se_feed(&parser, data, half))
		se_feed(&parser, data + half, bytes - half);
	se_finish(&parser);
}

static void feed_snapshot(struct sink *sink, const char *data, size_t bytes)
{
	uint64_t incarnation;
	uint64_t sequence;

	if (!ix_decode_snapshot(data, bytes, &incarnation, &sequence,
				sink->blocks))
		return;
	ix_snapshot_begin(&sink->index, ENGINE);
	ix_snapshot_end(&sink->index, ENGINE, incarnation, sequence,
			(const uint64_t *)(const void *)sink->blocks->data,
			sink->blocks->len, 0);
}

static void on_record(void *arg, const uint8_t *data, uint32_t bytes)
{
}

static void feed_records(const uint8_t *data, size_t bytes)
{
	struct rp_record record;

	rp_record_init(&record, 256);
	rp_record_feed(&record, data, (uint32_t)bytes, on_record, NULL);
	rp_record_finish(&record);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t bytes)
{
	struct sink sink;

	if (bytes < 1)
		return 0;
	ix_init(&sink.index, &(struct ix_desc){ .max_blocks = 8 }, 0);
	ix_own(&sink.index, ENGINE, 0);
	sink.blocks = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	switch (data[0]) {
	case 'e':
		feed_events(&sink, (const char *)data + 1, bytes - 1);
		break;
	case 's':
		feed_snapshot(&sink, (const char *)data + 1, bytes - 1);
		break;
	default:
		feed_records(data, bytes);
		break;
	}
	g_array_unref(sink.blocks);
	ix_finish(&sink.index);
	return 0;
}
