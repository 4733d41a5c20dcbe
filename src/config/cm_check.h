/*
 * cm_check - references between the objects of a configuration.
 *
 * Overview
 *	Private to the module cm. A staged change is a table from "KIND/NAME"
 *	to struct cm_entry, which hides the entry of that key in the objects
 *	in force.
 */
#ifndef CM_CHECK_H
#define CM_CHECK_H

#include "config/cm_entry.h"

/**
 * cm_check_references() - check what would be in force with @staged.
 * @findings: faults are added.
 */
void cm_check_references(GHashTable *objects, GHashTable *staged,
			 struct fd_list *findings);

#endif
