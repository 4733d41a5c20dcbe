/*
 * rp_record - record marking on TCP (RFC 5531, section 11), without sockets.
 *
 * Overview
 *	rp_record_feed() takes bytes as they come and calls back with each
 *	whole record. Memory grows with the bytes that have come, never with
 *	the length that a fragment claims.
 */
#ifndef RP_RECORD_H
#define RP_RECORD_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define RP_RECORD_MARK_BYTES 4
#define RP_RECORD_LAST	     0x80000000u

/** struct rp_record - state of one direction of a connection. */
struct rp_record {
	GByteArray *_record;
	uint8_t _mark[RP_RECORD_MARK_BYTES];
	uint32_t _mark_bytes;
	uint32_t _left;
	bool _is_last;
	uint32_t _max_bytes;
};

/** rp_record_init() - @max_bytes bounds one record. */
void rp_record_init(struct rp_record *record, uint32_t max_bytes);
void rp_record_finish(struct rp_record *record);

/**
 * rp_record_feed() - take in bytes.
 *
 * Return: false if they break the rules, after which the stream is useless.
 */
bool rp_record_feed(struct rp_record *record, const uint8_t *data,
		    uint32_t bytes,
		    void (*on_record)(void *arg, const uint8_t *data,
				      uint32_t bytes),
		    void *arg);

/** rp_record_bytes() - held of a record that is not whole. */
uint32_t rp_record_bytes(const struct rp_record *record);

/** rp_record_mark() - write the mark of a record in one fragment. */
void rp_record_mark(uint8_t out[RP_RECORD_MARK_BYTES], uint32_t bytes);

#endif
