#include "peers/pe_load.h"

#include <string.h>

/* struct pe_merged - a share that was received by itself. */
struct pe_merged {
	struct pe_share share;
	uint64_t sequence;
	int64_t received_ms;
};

/* A peer has either shares or, once any was merged, only merged ones. */
struct pe_peer {
	uint64_t id;
	uint64_t sequence;
	int64_t received_ms;
	uint32_t count;
	struct pe_share *shares;
	GHashTable *merged;
};

static void pe_peer_free(void *data)
{
	struct pe_peer *peer = data;

	if (peer->merged)
		g_hash_table_destroy(peer->merged);
	g_free(peer->shares);
	g_free(peer);
}

void pe_load_init(struct pe_load *load)
{
	load->_peers = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					     pe_peer_free);
	load->_sums = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					    g_free);
}

void pe_load_finish(struct pe_load *load)
{
	if (!load->_peers)
		return;
	g_hash_table_destroy(load->_peers);
	g_hash_table_destroy(load->_sums);
	load->_peers = NULL;
}

static void pe_add_share(struct pe_load *load, const struct pe_share *share)
{
	struct pe_share *sum = g_hash_table_lookup(load->_sums, &share->engine);

	if (!sum) {
		sum = g_new0(struct pe_share, 1);
		sum->engine = share->engine;
		g_hash_table_insert(load->_sums, &sum->engine, sum);
	}
	sum->running += share->running;
	sum->tokens += share->tokens;
}

static void pe_subtract_share(struct pe_load *load,
			      const struct pe_share *share)
{
	struct pe_share *sum = g_hash_table_lookup(load->_sums, &share->engine);

	if (!sum)
		return;
	sum->running -= share->running;
	sum->tokens -= share->tokens;
	if (!sum->running && !sum->tokens)
		g_hash_table_remove(load->_sums, &share->engine);
}

static void pe_remove_shares(struct pe_load *load, struct pe_peer *peer)
{
	GHashTableIter iter;
	void *value;

	for (uint32_t i = 0; i < peer->count; i++)
		pe_subtract_share(load, &peer->shares[i]);
	peer->count = 0;
	if (!peer->merged)
		return;
	g_hash_table_iter_init(&iter, peer->merged);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		pe_subtract_share(load, &((struct pe_merged *)value)->share);
	g_hash_table_remove_all(peer->merged);
}

static struct pe_peer *pe_find_peer(struct pe_load *load, uint64_t id)
{
	struct pe_peer *peer = g_hash_table_lookup(load->_peers, &id);

	if (peer)
		return peer;
	peer = g_new0(struct pe_peer, 1);
	peer->id = id;
	g_hash_table_insert(load->_peers, &peer->id, peer);
	return peer;
}

/* Replaces the share at an upstream, unless a later message carried it. */
static void pe_merge_share(struct pe_load *load, struct pe_peer *peer,
			   uint64_t sequence, const struct pe_share *share,
			   int64_t now_ms)
{
	struct pe_merged *known =
		g_hash_table_lookup(peer->merged, &share->engine);

	if (!known) {
		known = g_new0(struct pe_merged, 1);
		known->share.engine = share->engine;
		g_hash_table_insert(peer->merged, &known->share.engine, known);
	} else if (sequence <= known->sequence) {
		return;
	}
	pe_subtract_share(load, &known->share);
	known->share = *share;
	known->sequence = sequence;
	known->received_ms = now_ms;
	if (share->running || share->tokens)
		pe_add_share(load, &known->share);
}

void pe_load_merge(struct pe_load *load, uint64_t id, uint64_t sequence,
		   const struct pe_share *shares, uint32_t count,
		   int64_t now_ms)
{
	struct pe_peer *peer = pe_find_peer(load, id);

	if (!peer->merged) {
		peer->merged = g_hash_table_new_full(
			g_int64_hash, g_int64_equal, NULL, g_free);
		for (uint32_t i = 0; i < peer->count; i++) {
			pe_subtract_share(load, &peer->shares[i]);
			pe_merge_share(load, peer, peer->sequence,
				       &peer->shares[i], peer->received_ms);
		}
		peer->count = 0;
	}
	peer->sequence = MAX(peer->sequence, sequence);
	peer->received_ms = MAX(peer->received_ms, now_ms);
	for (uint32_t i = 0; i < count; i++)
		pe_merge_share(load, peer, sequence, &shares[i], now_ms);
}

void pe_load_restart(struct pe_load *load, uint64_t id)
{
	struct pe_peer *peer = pe_find_peer(load, id);
	GHashTableIter iter;
	void *value;

	peer->sequence = 0;
	if (!peer->merged)
		return;
	g_hash_table_iter_init(&iter, peer->merged);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((struct pe_merged *)value)->sequence = 0;
}

void pe_load_touch(struct pe_load *load, uint64_t id, int64_t now_ms)
{
	struct pe_peer *peer = g_hash_table_lookup(load->_peers, &id);

	if (peer)
		peer->received_ms = MAX(peer->received_ms, now_ms);
}

void pe_load_expire_merged(struct pe_load *load, uint64_t id, int64_t before_ms)
{
	struct pe_peer *peer = g_hash_table_lookup(load->_peers, &id);
	GHashTableIter iter;
	void *value;

	if (!peer || !peer->merged)
		return;
	g_hash_table_iter_init(&iter, peer->merged);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct pe_merged *known = value;

		if (known->received_ms >= before_ms)
			continue;
		pe_subtract_share(load, &known->share);
		g_hash_table_iter_remove(&iter);
	}
}

void pe_load_receive(struct pe_load *load, uint64_t id, uint64_t sequence,
		     const struct pe_share *shares, uint32_t count,
		     int64_t now_ms)
{
	struct pe_peer *peer = g_hash_table_lookup(load->_peers, &id);

	if (!peer)
		peer = pe_find_peer(load, id);
	else if (sequence <= peer->sequence)
		return;
	pe_remove_shares(load, peer);
	g_clear_pointer(&peer->merged, g_hash_table_destroy);
	peer->sequence = sequence;
	peer->received_ms = now_ms;
	peer->count = count;
	peer->shares = g_renew(struct pe_share, peer->shares, count);
	for (uint32_t i = 0; i < count; i++) {
		peer->shares[i] = shares[i];
		pe_add_share(load, &shares[i]);
	}
}

void pe_load_remove(struct pe_load *load, uint64_t id)
{
	struct pe_peer *peer = g_hash_table_lookup(load->_peers, &id);

	if (!peer)
		return;
	pe_remove_shares(load, peer);
	g_hash_table_remove(load->_peers, &id);
}

void pe_load_expire(struct pe_load *load, int64_t before_ms)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, load->_peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct pe_peer *peer = value;

		if (peer->received_ms >= before_ms)
			continue;
		pe_remove_shares(load, peer);
		g_hash_table_iter_remove(&iter);
	}
}

struct pe_share pe_load_sum(const struct pe_load *load, uint64_t engine)
{
	const struct pe_share *sum = g_hash_table_lookup(load->_sums, &engine);

	return sum ? *sum : (struct pe_share){ .engine = engine };
}

static struct pe_share pe_subtracted(struct pe_share sum,
				     const struct pe_peer *peer)
{
	for (uint32_t i = 0; peer && i < peer->count; i++) {
		if (peer->shares[i].engine != sum.engine)
			continue;
		sum.running -= peer->shares[i].running;
		sum.tokens -= peer->shares[i].tokens;
	}
	return sum;
}

struct pe_share pe_load_sum_without(const struct pe_load *load, uint64_t engine,
				    uint64_t peer)
{
	return pe_subtracted(pe_load_sum(load, engine),
			     g_hash_table_lookup(load->_peers, &peer));
}

void pe_load_list(const struct pe_load *load, uint64_t peer, GArray *out)
{
	const struct pe_peer *without =
		g_hash_table_lookup(load->_peers, &peer);
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, load->_sums);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct pe_share sum =
			pe_subtracted(*(struct pe_share *)value, without);

		if (sum.running || sum.tokens)
			g_array_append_val(out, sum);
	}
}

uint32_t pe_load_peer_count(const struct pe_load *load)
{
	return g_hash_table_size(load->_peers);
}
