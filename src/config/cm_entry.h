/*
 * cm_entry - a configuration object, as text and parsed.
 *
 * Overview
 *	Private to the module cm. An entry owns copies of the object's texts
 *	and the parsed object. cm_entry_new() parses and reports findings with
 *	places such as "/team/acme/key_sha256". References between objects are
 *	validated by cm_check.c over the whole set.
 */
#ifndef CM_ENTRY_H
#define CM_ENTRY_H

#include "config/cm.h"

/** enum cm_kind - kinds of configuration objects. */
enum cm_kind { CM_TEAM = 0, CM_MODEL, CM_ROUTE, CM_SERVICE, CM_KIND_COUNT };

/**
 * struct cm_entry - a configuration object.
 * @object: its texts, owned by the entry.
 * @kind: selects the union member; the union is unused in a deleted object.
 */
struct cm_entry {
	struct cm_object object;
	enum cm_kind kind;
	union {
		struct cm_team team;
		struct cm_model model;
		struct cm_route route;
		struct cm_service service;
	};
};

/** cm_kind_name() - name of a kind, such as "team". */
const char *cm_kind_name(enum cm_kind kind);

/**
 * cm_entry_new() - copy and parse an object.
 * @findings: every fault found is appended.
 *
 * Return: the entry, or NULL if a finding was added.
 */
struct cm_entry *cm_entry_new(const struct cm_object *object,
			      struct fd_list *findings);
void cm_entry_free(void *entry);

/** cm_parse_body() - parse the JSON text of @entry into its union member. */
void cm_parse_body(struct cm_entry *entry, struct fd_list *findings);

#endif
