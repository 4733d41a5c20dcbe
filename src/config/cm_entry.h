/*
 * cm_entry - one object of the configuration, as text and parsed.
 *
 * Overview
 *	Private to the module cm. An entry owns copies of the object's texts
 *	and the parsed object. cm_entry_new() parses; its findings have places
 *	such as "/team/acme/key_sha256". References between objects are not
 *	its business: cm_check.c checks those over the whole set.
 */
#ifndef CM_ENTRY_H
#define CM_ENTRY_H

#include "config/cm.h"

/** enum cm_kind - kinds of objects. */
enum cm_kind { CM_TEAM = 0, CM_MODEL, CM_ROUTE, CM_SERVICE, CM_KIND_COUNT };

/**
 * struct cm_entry - an object.
 * @object: its texts, owned.
 * @kind: of the union below; unused in a deleted object.
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

/** cm_kind_name() - such as "team". */
const char *cm_kind_name(enum cm_kind kind);

/**
 * cm_entry_new() - copy and parse an object.
 * @findings: faults are added.
 *
 * Return: the entry, or NULL if there was a finding.
 */
struct cm_entry *cm_entry_new(const struct cm_object *object,
			      struct fd_list *findings);
void cm_entry_free(void *entry);

/** cm_parse_body() - fill in the parsed part of @entry from its JSON text. */
void cm_parse_body(struct cm_entry *entry, struct fd_list *findings);

#endif
