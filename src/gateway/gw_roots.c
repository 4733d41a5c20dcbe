#include "gateway/gw_roots.h"

/* Far above the roots in use; a table that reaches it starts anew. */
#define GW_MAX_ROOTS 65536

void gw_roots_init(struct gw_roots *roots)
{
	roots->_roots = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					      g_free, NULL);
	roots->_weights = 0;
}

void gw_roots_finish(struct gw_roots *roots)
{
	if (roots->_roots)
		g_hash_table_destroy(roots->_roots);
	roots->_roots = NULL;
}

void gw_roots_add(struct gw_roots *roots, uint64_t weights, uint64_t root)
{
	int64_t *key;

	if (weights < roots->_weights || gw_roots_has(roots, weights, root))
		return;
	if (weights > roots->_weights ||
	    g_hash_table_size(roots->_roots) >= GW_MAX_ROOTS)
		g_hash_table_remove_all(roots->_roots);
	roots->_weights = weights;
	key = g_new(int64_t, 1);
	*key = root;
	g_hash_table_add(roots->_roots, key);
}

bool gw_roots_has(const struct gw_roots *roots, uint64_t weights, uint64_t root)
{
	int64_t key = root;

	return weights == roots->_weights &&
	       g_hash_table_contains(roots->_roots, &key);
}
