/*
 * kn_registry - registry of plug-ins, filled before main() starts.
 *
 * Overview
 *	A plug-in is a constant table of function pointers with a kind and a
 *	name. KN_REGISTER() in the defining file registers the table from a
 *	constructor that runs before main(), so there is no central list to
 *	maintain. The kinds in use:
 *
 *	kind		table			found in
 *	"command"	struct kn_command	src/kernel/kn_registry.h
 *	"platform"	struct pf_ops		src/platform/pf.h
 *	"upstream"	struct up_ops		src/upstream/up.h
 *	"policy"	struct rt_policy	src/routing/rt.h
 *	"bench"		struct bn_mode		src/bench/bn.h
 *
 * Use
 *	static const struct kn_command check = { "check", "...", run };
 *	KN_REGISTER("command", "check", check)
 *
 *	const struct kn_command *c = kn_plugin_find("command", "check");
 */
#ifndef KN_REGISTRY_H
#define KN_REGISTRY_H

#include <stddef.h>

/**
 * struct kn_plugin - one registered table.
 * @kind: kind of plug-in, which determines the type of @table.
 * @name: unique within the kind.
 * @table: constant table of function pointers.
 * @next: next entry of the registry's list, sorted by kind and name.
 */
struct kn_plugin {
	const char *kind;
	const char *name;
	const void *table;
	struct kn_plugin *next;
};

/**
 * struct kn_command - a subcommand of the binary.
 * @name: name on the command line.
 * @summary: one line for the list of commands.
 * @run: receives argc and argv with its own name as argv[0]; returns the exit
 *	code.
 */
struct kn_command {
	const char *name;
	const char *summary;
	int (*run)(int argc, char **argv);
};

/** kn_plugin_add() - register @plugin; called only by KN_REGISTER(). */
void kn_plugin_add(struct kn_plugin *plugin);

/**
 * kn_plugin_find() - find the table registered as @kind and @name.
 *
 * Return: the table, or NULL if there is none.
 */
const void *kn_plugin_find(const char *kind, const char *name);

/**
 * kn_plugin_next() - iterate over the plug-ins of one kind, sorted by name.
 * @after: the previous plug-in; NULL for the first.
 *
 * Return: the plug-in, or NULL at the end.
 */
const struct kn_plugin *kn_plugin_next(const char *kind,
				       const struct kn_plugin *after);

#define kn_for_each_plugin(kind, p)                                            \
	for (const struct kn_plugin *p = kn_plugin_next((kind), NULL); p;      \
	     p = kn_plugin_next((kind), p))

#define KN_REGISTER(kind_, name_, table_)                                      \
	static struct kn_plugin table_##_plugin = { kind_, name_, &(table_),   \
						    NULL };                    \
	__attribute__((constructor)) static void table_##_register(void)       \
	{                                                                      \
		kn_plugin_add(&table_##_plugin);                               \
	}

#endif
