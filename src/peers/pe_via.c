#include "peers/pe_via.h"

/* What counts most when hosts are compared comes last. */
#define PE_VIA_AVOIDED_ZONE  4
#define PE_VIA_TAKES_NO_PART 8

struct pe_via_key {
	uint64_t host; /* 0: all hosts */
	uint64_t service;
};

struct pe_via_pause {
	struct pe_via_key key;
	uint32_t refusals;
	int64_t until_ms;
};

static guint pe_via_key_hash(gconstpointer key)
{
	const struct pe_via_key *k = key;
	uint64_t mixed = k->host ^ (k->service * G_GUINT64_CONSTANT(31));

	return (guint)(mixed ^ mixed >> 32);
}

static gboolean pe_via_key_equal(gconstpointer a, gconstpointer b)
{
	const struct pe_via_key *x = a, *y = b;

	return x->host == y->host && x->service == y->service;
}

void pe_via_init(struct pe_via *via)
{
	via->_pauses = g_hash_table_new_full(pe_via_key_hash, pe_via_key_equal,
					     NULL, g_free);
}

void pe_via_finish(struct pe_via *via)
{
	g_hash_table_destroy(via->_pauses);
	via->_pauses = NULL;
}

static bool pe_via_is_paused(const struct pe_via *via, uint64_t host,
			     uint64_t service, int64_t now_ms)
{
	const struct pe_via_pause *pause = g_hash_table_lookup(
		via->_pauses, &(struct pe_via_key){ host, service });

	return pause && now_ms < pause->until_ms;
}

static uint32_t pe_via_rank(const struct pe_via_host *host,
			    const struct pe_via_choice *choice)
{
	uint32_t rank = host->distance;

	if (choice->avoided_zone && host->zone == choice->avoided_zone)
		rank += PE_VIA_AVOIDED_ZONE;
	if (!host->takes_part)
		rank += PE_VIA_TAKES_NO_PART;
	return rank;
}

/* The finalizer of SplitMix64: each bit of the input changes half of all. */
static uint64_t pe_via_mix(uint64_t x)
{
	x = (x ^ x >> 30) * G_GUINT64_CONSTANT(0xbf58476d1ce4e5b9);
	x = (x ^ x >> 27) * G_GUINT64_CONSTANT(0x94d049bb133111eb);
	return x ^ x >> 31;
}

int32_t pe_via_choose(const struct pe_via *via,
		      const struct pe_via_choice *choice, int64_t now_ms)
{
	uint32_t best = UINT32_MAX;
	uint64_t lowest = 0;
	int32_t chosen = -1;

	if (pe_via_is_paused(via, 0, choice->service, now_ms))
		return -1;
	for (uint32_t i = 0; i < choice->count; i++) {
		const struct pe_via_host *host = &choice->hosts[i];
		uint32_t rank = pe_via_rank(host, choice);
		uint64_t order = pe_via_mix(host->hash ^ choice->seed);

		if (rank > best || (rank == best && order >= lowest) ||
		    pe_via_is_paused(via, host->hash, choice->service, now_ms))
			continue;
		best = rank;
		lowest = order;
		chosen = (int32_t)i;
	}
	return chosen;
}

static void pe_via_pause(struct pe_via *via, uint64_t host, uint64_t service,
			 uint32_t tolerated, int64_t now_ms)
{
	struct pe_via_key key = { host, service };
	struct pe_via_pause *pause = g_hash_table_lookup(via->_pauses, &key);
	uint32_t doublings;

	if (!pause) {
		if (g_hash_table_size(via->_pauses) >= PE_VIA_MAX_PAUSES)
			g_hash_table_remove_all(via->_pauses);
		pause = g_new0(struct pe_via_pause, 1);
		pause->key = key;
		g_hash_table_insert(via->_pauses, &pause->key, pause);
	}
	if (++pause->refusals <= tolerated)
		return;
	doublings = MIN(pause->refusals - tolerated - 1, 8);
	pause->until_ms = now_ms + MIN((int64_t)PE_VIA_PAUSE_MS << doublings,
				       PE_VIA_MAX_PAUSE_MS);
}

void pe_via_refused(struct pe_via *via, uint64_t host, uint64_t service,
		    int64_t now_ms)
{
	pe_via_pause(via, host, service, 0, now_ms);
	pe_via_pause(via, 0, service, PE_VIA_STREAK - 1, now_ms);
}

void pe_via_accepted(struct pe_via *via, uint64_t host, uint64_t service)
{
	g_hash_table_remove(via->_pauses,
			    &(struct pe_via_key){ host, service });
	g_hash_table_remove(via->_pauses, &(struct pe_via_key){ 0, service });
}
