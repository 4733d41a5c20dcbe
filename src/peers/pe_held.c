#include "peers/pe_held.h"

/* Far above the number of prefixes in use; a full table is cleared. */
#define PE_MAX_PREFIXES 65536

struct pe_holder {
	uint64_t engine;
	int64_t used_ms;
	int64_t announced_ms;
};

struct pe_prefix {
	uint64_t key;
	struct pe_holder holders[PE_MAX_HOLDERS];
	uint32_t count;
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

static struct pe_holder *pe_find_holder(struct pe_prefix *p, uint64_t engine)
{
	for (uint32_t i = 0; i < p->count; i++)
		if (p->holders[i].engine == engine)
			return &p->holders[i];
	return NULL;
}

/* Returns a free slot, or that of the least recently used holder. */
static struct pe_holder *pe_holder_slot(struct pe_prefix *p)
{
	struct pe_holder *oldest = &p->holders[0];

	if (p->count < PE_MAX_HOLDERS)
		return &p->holders[p->count++];
	for (uint32_t i = 1; i < p->count; i++)
		if (p->holders[i].used_ms < oldest->used_ms)
			oldest = &p->holders[i];
	return oldest;
}

int64_t pe_held_used_ms(const struct pe_held *held, uint64_t key,
			uint64_t engine)
{
	struct pe_prefix *p = g_hash_table_lookup(held->_prefixes, &key);
	const struct pe_holder *holder = p ? pe_find_holder(p, engine) : NULL;

	return holder ? holder->used_ms : 0;
}

bool pe_held_add(struct pe_held *held, uint64_t key, uint64_t engine,
		 int64_t now_ms)
{
	struct pe_prefix *p = g_hash_table_lookup(held->_prefixes, &key);
	struct pe_holder *holder;

	if (!p) {
		if (g_hash_table_size(held->_prefixes) >= PE_MAX_PREFIXES)
			g_hash_table_remove_all(held->_prefixes);
		p = g_new0(struct pe_prefix, 1);
		p->key = key;
		g_hash_table_insert(held->_prefixes, &p->key, p);
	}
	p->added_ms = now_ms;
	holder = pe_find_holder(p, engine);
	if (!holder) {
		holder = pe_holder_slot(p);
		*holder = (struct pe_holder){ engine, 0, 0 };
	}
	holder->used_ms = now_ms;
	if (holder->announced_ms &&
	    now_ms - holder->announced_ms < PE_ANNOUNCE_AGAIN_MS)
		return false;
	holder->announced_ms = now_ms;
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
