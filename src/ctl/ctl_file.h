/*
 * ctl_file - the file of `balsampin ctl apply`.
 *
 * Overview
 *	JSON with comments: kinds, in them names, in them objects; null deletes
 *	an object. What the file does not name stays as it is.
 *
 *	{"team": {"acme": {"key_sha256": "..."}, "old": null},
 *	 "model": {"letters": {"version": "v2"}}}
 */
#ifndef CTL_FILE_H
#define CTL_FILE_H

#include <glib.h>
#include <stdbool.h>

#include "rpc/gen/balsampin.h"
#include "settings/fd.h"

/**
 * ctl_file_parse() - objects of a change.
 *
 * Return: array of bp_object that own their texts, NULL with findings.
 */
GArray *ctl_file_parse(const char *text, struct fd_list *findings);

/** ctl_objects_new() - an empty array of the same sort. */
GArray *ctl_objects_new(void);

/** ctl_objects_add() - @json NULL deletes. */
void ctl_objects_add(GArray *objects, const char *kind, const char *name,
		     const char *json);

#endif
