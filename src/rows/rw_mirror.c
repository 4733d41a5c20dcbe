#include "rows/rw_mirror.h"

#include <string.h>

static void rw_row_free(void *data)
{
	rw_row_clear(data);
	g_free(data);
}

static struct rw_row *rw_row_copy(const struct rw_row *from)
{
	struct rw_row *row = g_new0(struct rw_row, 1);

	*row = *from;
	row->key = g_strdup(from->key);
	row->value =
		from->value ? g_strndup(from->value, from->value_bytes) : NULL;
	return row;
}

void rw_mirror_init(struct rw_mirror *mirror)
{
	mirror->_rows = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					      rw_row_free);
}

void rw_mirror_finish(struct rw_mirror *mirror)
{
	g_hash_table_destroy(mirror->_rows);
	mirror->_rows = NULL;
}

void rw_mirror_apply(struct rw_mirror *mirror, const struct rw_rows *rows,
		     bool is_full)
{
	if (is_full)
		g_hash_table_remove_all(mirror->_rows);
	for (uint32_t i = 0; i < rows->count; i++) {
		struct rw_row *copy;

		if (rows->rows[i].is_deleted) {
			g_hash_table_remove(mirror->_rows, rows->rows[i].key);
			continue;
		}
		copy = rw_row_copy(&rows->rows[i]);
		g_hash_table_replace(mirror->_rows, (char *)copy->key, copy);
	}
}

void rw_mirror_list(const struct rw_mirror *mirror, GArray *list)
{
	GHashTableIter iter;
	void *row;

	g_hash_table_iter_init(&iter, mirror->_rows);
	while (g_hash_table_iter_next(&iter, NULL, &row))
		g_array_append_vals(list, row, 1);
}
