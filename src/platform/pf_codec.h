/*
 * pf_codec - texts of the platform's protocols.
 *
 * Overview
 *	Private to the module pf: the parts of etcd's v3 JSON gateway and of
 *	Prometheus HTTP service discovery that docs/PROTOCOLS.md names. Keys
 *	and values are in base64, 64-bit numbers are strings, and a field with
 *	its default value may be left out of an answer.
 */
#ifndef PF_CODEC_H
#define PF_CODEC_H

#include <glib.h>

#include "platform/pf.h"

/** pf_encode_txn() - body of /v3/kv/txn; free with g_free(). */
char *pf_encode_txn(const struct pf_txn *txn);

/** pf_encode_range() - body of /v3/kv/range; free with g_free(). */
char *pf_encode_range(const struct pf_range *range);

/**
 * pf_decode_txn() - an answer of /v3/kv/txn.
 *
 * Return: false if it is none.
 */
bool pf_decode_txn(const char *text, bool *succeeded, uint64_t *revision);

/** struct pf_decoded_rows - rows that own their texts. */
struct pf_decoded_rows {
	struct pf_rows rows;
	GArray *_items;
};

/** pf_decode_range() - an answer of /v3/kv/range; false if it is none. */
bool pf_decode_range(const char *text, struct pf_decoded_rows *out);
void pf_decoded_rows_finish(struct pf_decoded_rows *rows);

/**
 * pf_decode_hosts() - an answer of the host list.
 *
 * Entries that cannot be understood are left out and counted.
 *
 * Return: array of struct pf_host, NULL if the answer is no host list.
 */
GArray *pf_decode_hosts(const char *text);

#endif
