/*
 * cs_rows - mapping of the configuration to rows of the table service.
 *
 * Overview
 *	Private to the module cs.
 *
 *	config/head		CAS target of every change; its revision is
 *				the revision of the configuration. Value:
 *				{"changes": ["ID", ...]}, newest last
 *	config/KIND/NAME	the object's JSON, or {"deleted": true}
 *	change/ID		inserted by the change with that id
 *
 *	All rows of a change are written in one transaction and share its
 *	revision. A row change/ID is deleted when its id leaves the list in
 *	config/head, which bounds the number of these rows.
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
 * cs_rows_to_delta() - convert rows under CS_PREFIX to a delta.
 * @base_revision: revision of the delta, which is empty, if there are no rows.
 *
 * Return: NULL if there are rows but no head.
 */
struct cr_delta *cs_rows_to_delta(const struct pf_rows *rows,
				  uint64_t base_revision);

/** cs_find_head() - value of the head row, or NULL if it is not among @rows. */
const char *cs_find_head(const struct pf_rows *rows);

/**
 * cs_head_append_change() - add a change id to the value of the head.
 * @head: current value, or NULL.
 * @dropped: receives the id that leaves the list, "" if none does.
 *
 * Return: the new value; free with g_free().
 */
char *cs_head_append_change(const char *head, const char *change_id,
			    char *dropped, size_t dropped_bytes);

/** cs_hosts_to_listing() - convert the host list; free with g_free(). */
struct mb_listing *cs_hosts_to_listing(const struct pf_host *hosts,
				       uint32_t count);

#endif
