#include "kernel/kn_registry.h"

#include <string.h>

static struct kn_plugin *kn_plugins;

static int kn_plugin_compare(const struct kn_plugin *a,
			     const struct kn_plugin *b)
{
	int kind = strcmp(a->kind, b->kind);

	return kind ? kind : strcmp(a->name, b->name);
}

void kn_plugin_add(struct kn_plugin *plugin)
{
	struct kn_plugin **at = &kn_plugins;

	while (*at && kn_plugin_compare(*at, plugin) < 0)
		at = &(*at)->next;
	plugin->next = *at;
	*at = plugin;
}

const void *kn_plugin_find(const char *kind, const char *name)
{
	kn_for_each_plugin (kind, p) {
		if (!strcmp(p->name, name))
			return p->table;
	}
	return NULL;
}

const struct kn_plugin *kn_plugin_next(const char *kind,
				       const struct kn_plugin *after)
{
	const struct kn_plugin *p = after ? after->next : kn_plugins;

	while (p && strcmp(p->kind, kind))
		p = p->next;
	return p;
}
