/*
 * gw_start - first tables of a host that starts in a large fleet.
 *
 * Overview
 *	src/peers/pe_start.h says from where a host gets its tables. The first
 *	read of the own rows gives it the other hosts, the key of their messages
 *	and a reading of the store's clock, against which the age of a copied
 *	table counts. Then it asks a few hosts at a time, by datagram, whether
 *	they have the tables, and copies them from one (gw_catchup.h). Up to 17
 *	hosts, or if the own rows cannot be read, it reads the tables itself at
 *	once.
 *
 * Use
 *	gw_start_begin(g);			before the tables are watched
 *	gw_start_know_hosts(g, sent_ms, store_ms);	the own rows were read
 *	gw_start_fail(g);			they could not be read
 */
#ifndef GW_START_H
#define GW_START_H

#include "gateway/gw.h"
#include "gateway/gw_relay.h"

/** gw_start_begin() - Return: whether the first reads of the tables wait. */
bool gw_start_begin(struct gw_gateway *g);
void gw_start_end(struct gw_gateway *g);

/**
 * gw_start_know_hosts() - the own rows have been read.
 * @sent_ms: when the call was sent; @store_ms: the store's clock in the answer.
 */
void gw_start_know_hosts(struct gw_gateway *g, int64_t sent_ms,
			 int64_t store_ms);

/** gw_start_fail() - the store did not answer for the own rows. */
void gw_start_fail(struct gw_gateway *g);

/** gw_start_serve() - tell others which tables this host has. */
enum st_code gw_start_serve(struct gw_gateway *g, struct rp_endpoint *rpc);

/** gw_knowledge_read() - read a table that waits; in gw_knowledge.c. */
void gw_knowledge_read(struct gw_gateway *g, enum gw_table table);

/** gw_knowledge_has_table() - whether a whole table is known. */
bool gw_knowledge_has_table(const struct gw_gateway *g, enum gw_table table);

/** gw_knowledge_is_waiting() - whether a table waits to be read or copied. */
bool gw_knowledge_is_waiting(const struct gw_gateway *g, enum gw_table table);

/** gw_knowledge_set_clock() - set the bound on the store's clock. */
void gw_knowledge_set_clock(struct gw_gateway *g, int64_t sent_ms,
			    int64_t store_ms);

#endif
