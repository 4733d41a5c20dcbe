#include "rpc/rp_record.h"

#include <string.h>

void rp_record_init(struct rp_record *record, uint32_t max_bytes)
{
	*record = (struct rp_record){ ._max_bytes = max_bytes };
	record->_record = g_byte_array_new();
}

void rp_record_finish(struct rp_record *record)
{
	g_byte_array_unref(record->_record);
	record->_record = NULL;
}

uint32_t rp_record_bytes(const struct rp_record *record)
{
	return record->_record->len;
}

void rp_record_mark(uint8_t out[RP_RECORD_MARK_BYTES], uint32_t bytes)
{
	uint32_t mark = g_htonl(RP_RECORD_LAST | bytes);

	memcpy(out, &mark, sizeof(mark));
}

/* The mark is whole: start its fragment. */
static bool rp_record_start(struct rp_record *record)
{
	uint32_t mark;

	memcpy(&mark, record->_mark, sizeof(mark));
	mark = g_ntohl(mark);
	record->_is_last = mark & RP_RECORD_LAST;
	record->_left = mark & ~RP_RECORD_LAST;
	/* Empty fragments would keep a record open without end. */
	return record->_left > 0 &&
	       record->_left <= record->_max_bytes - record->_record->len;
}

/* The fragment is whole: hand over the record if it was the last one. */
static void rp_record_end(struct rp_record *record,
			  void (*on_record)(void *arg, const uint8_t *data,
					    uint32_t bytes),
			  void *arg)
{
	GByteArray *whole = record->_record;

	record->_mark_bytes = 0;
	if (!record->_is_last)
		return;
	record->_record = g_byte_array_new();
	on_record(arg, whole->data, whole->len);
	g_byte_array_unref(whole);
}

bool rp_record_feed(struct rp_record *record, const uint8_t *data,
		    uint32_t bytes,
		    void (*on_record)(void *arg, const uint8_t *data,
				      uint32_t bytes),
		    void *arg)
{
	uint32_t n;

	while (bytes) {
		if (record->_mark_bytes < RP_RECORD_MARK_BYTES) {
			record->_mark[record->_mark_bytes++] = *data++;
			bytes--;
			if (record->_mark_bytes == RP_RECORD_MARK_BYTES &&
			    !rp_record_start(record))
				return false;
			continue;
		}
		n = MIN(bytes, record->_left);
		g_byte_array_append(record->_record, data, n);
		data += n;
		bytes -= n;
		record->_left -= n;
		if (!record->_left)
			rp_record_end(record, on_record, arg);
	}
	return true;
}
