/*
 * cm_check - validation of references between configuration objects.
 *
 * Overview
 *	Private to the module cm. A staged change is a table from "KIND/NAME"
 *	to struct cm_entry; its entries override those of the same key in the
 *	objects in force.
 */
#ifndef CM_CHECK_H
#define CM_CHECK_H

#include "config/cm_entry.h"

/**
 * cm_check_references() - validate @objects as overridden by @staged.
 * @findings: every fault found is appended.
 */
void cm_check_references(GHashTable *objects, GHashTable *staged,
			 struct fd_list *findings);

#endif
