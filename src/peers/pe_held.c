#include "peers/pe_held.h"

/* Far above the prefixes in use; a table that reaches it starts anew. */
#define PE_MAX_PREFIXES 65536

struct pe_prefix {
	uint64_t key;
	uint64_t engines[PE_MAX_HOLDERS];
	uint32_t count;
	uint32_t next;
	int64_t added_ms;
};

void pe_held_init(struct pe_held *held)
{
	held->_prefixes = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						NULL, g_free);
}

void pe_held_finish(struct pe_held *held)
{
	if (held->_prefixes)
		g_hash_table_destroy(held->_prefixes);
	held->_prefixes = NULL;
}

uint64_t pe_held_key(uint64_t prefix, uint64_t weights)
{
	uint64_t x = prefix ^ (weights * 0x9e3779b97f4a7c15ULL);

	x ^= x >> 32;
	x *= 0xd6e8feb86659fd93ULL;
	return x ^ x >> 32;
}

bool pe_held_has(const struct pe_held *held, uint64_t key, uint64_t engine)
{
	const struct pe_prefix *p = g_hash_table_lookup(held->_prefixes, &key);

	for (uint32_t i = 0; p && i < p->count; i++)
		if (p->engines[i] == engine)
			return true;
	return false;
}

bool pe_held_add(struct pe_held *held, uint64_t key, uint64_t engine,
		 int64_t now_ms)
{
	struct pe_prefix *p = g_hash_table_lookup(held->_prefixes, &key);

	if (!p) {
		if (g_hash_table_size(held->_prefixes) >= PE_MAX_PREFIXES)
			g_hash_table_remove_all(held->_prefixes);
		p = g_new0(struct pe_prefix, 1);
		p->key = key;
		g_hash_table_insert(held->_prefixes, &p->key, p);
	}
	p->added_ms = now_ms;
	if (pe_held_has(held, key, engine))
		return false;
	p->engines[p->next] = engine;
	p->next = (p->next + 1) % PE_MAX_HOLDERS;
	if (p->count < PE_MAX_HOLDERS)
		p->count++;
	return true;
}

void pe_held_expire(struct pe_held *held, int64_t before_ms)
{
	GHashTableIter iter;
	void *value;

	g_hash_table_iter_init(&iter, held->_prefixes);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		if (((struct pe_prefix *)value)->added_ms < before_ms)
			g_hash_table_iter_remove(&iter);
}
