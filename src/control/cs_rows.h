/*
 * cs_rows - the configuration as rows of the table service.
 *
 * Overview
 *	Private to the module cs.
 *
 *	config/head		CAS target of every change; its revision is
 *				the revision of the configuration. Value:
 *				{"changes": ["ID", ...]}, the newest last
 *	config/KIND/NAME	the object's JSON, or {"deleted": true}
 *	change/ID		inserted by the change with that id
 *
 *	All rows of a change are written in one transaction, so they have one
 *	revision. Rows change/ID are deleted when their id has left the list in
 *	config/head, which bounds them.
 */
#ifndef CS_ROWS_H
#define CS_ROWS_H

#include "config/cr.h"
#include "platform/pf.h"

#define CS_PREFIX	  "config/"
#define CS_HEAD		  "config/head"
#define CS_CHANGE	  "change/"
#define CS_MAX_CHANGE_IDS 100

/** cs_object_key() - key of an object's row; free with g_free(). */
char *cs_object_key(const char *kind, const char *name);

/** cs_change_key() - key of a change's row; free with g_free(). */
char *cs_change_key(const char *change_id);

/**
 * cs_rows_to_delta() - what rows under CS_PREFIX say.
 * @base_revision: revision in force; returned in a delta without objects if no
 *row came.
 *
 * Return: NULL if there are rows without a head.
 */
struct cr_delta *cs_rows_to_delta(const struct pf_rows *rows,
				  uint64_t base_revision);

/** cs_find_head() - value of the head among rows, or NULL. */
const char *cs_find_head(const struct pf_rows *rows);

/**
 * cs_head_append_change() - value of the head after one more change.
 * @head: present value, NULL for none.
 * @dropped: id that leaves the list, "" if none does.
 *
 * Return: free with g_free().
 */
char *cs_head_append_change(const char *head, const char *change_id,
			    char *dropped, size_t dropped_bytes);

/** cs_hosts_to_listing() - host list to members; free with g_free(). */
struct mb_listing *cs_hosts_to_listing(const struct pf_host *hosts,
				       uint32_t count);

#endif
