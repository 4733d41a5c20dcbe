/*
 * h1_private - a connection of the server, and what its two halves share:
 * h1_read.c reads requests, h1_server.c does the rest.
 */
#ifndef H1_PRIVATE_H
#define H1_PRIVATE_H

#include "http1/h1_message.h"
#include "http1/h1_server.h"

enum h1_phase {
	H1_READING = 0, /* a request, or nothing yet */
	H1_ANSWERING,	/* the owner has the exchange */
	H1_SENDING,	/* the rest of an answer; then the next request */
	H1_CLOSING,	/* the rest of an answer; then the end */
	H1_LINGERING	/* all is sent; what the caller still writes is read */
};

struct _h1_connection {
	struct h1_server *server;
	struct _h1_connection *next;
	struct _h1_connection **link;
	struct h1_member member;
	struct h1_exchange exchange;
	struct h1_collector collector;
	http_parser parser;
	GString *target;
	GString *body;
	GString *in;
	GString *out;
	uint64_t out_offset;
	uint64_t body_bytes;
	uint64_t unchecked_bytes;
	uint64_t dropped_bytes;
	ev_io read;
	ev_io write;
	int64_t since_ms;
	int64_t left_bytes;
	int fd;
	enum h1_phase phase;
	char label[H1_LABEL_BYTES];
	bool is_owed;
	bool has_answered;
	bool is_begun;
	bool has_fields;
	bool is_complete;
	bool is_keep;
	bool is_chunked;
	bool has_head;
	bool must_continue;
	bool must_reset;
	uint32_t refused_status;
};

/** h1_read_init() - the parser of a new connection. */
void h1_read_init(struct _h1_connection *c);

/** h1_parse() - read on in what has come; may hand over a request. */
void h1_parse(struct _h1_connection *c);

/** h1_take() - bytes have come; may hand over a request. */
void h1_take(struct _h1_connection *c, const char *data, uint64_t bytes);

/** h1_account() - note what the connection holds now. */
void h1_account(struct _h1_connection *c);

/** h1_held_bytes() - what the allocator took for it. */
uint64_t h1_held_bytes(const struct _h1_connection *c);

/** h1_has_room() - whether it may hold @bytes more; others may be closed. */
bool h1_has_room(struct _h1_connection *c, uint64_t bytes);

void h1_release_body(struct _h1_connection *c);
void h1_hand_over(struct _h1_connection *c);
void h1_refuse(struct _h1_connection *c, uint32_t status);
void h1_flush_later(struct _h1_connection *c);

#endif
