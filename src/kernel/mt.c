#include "kernel/mt.h"

#include <inttypes.h>
#include <string.h>

static struct mt_metric *mt_metrics;

void mt_register(struct mt_metric *metric)
{
	struct mt_metric **at = &mt_metrics;

	while (*at && strcmp((*at)->name, metric->name) < 0)
		at = &(*at)->_next;
	metric->_next = *at;
	*at = metric;
}

struct mt_metric *mt_find(const char *name)
{
	struct mt_metric *m = mt_metrics;

	while (m && strcmp(m->name, name))
		m = m->_next;
	return m;
}

void mt_print(GString *out)
{
	for (struct mt_metric *m = mt_metrics; m; m = m->_next)
		g_string_append_printf(
			out, "# HELP %s %s\n# TYPE %s %s\n%s %" PRId64 "\n",
			m->name, m->help, m->name,
			m->is_gauge ? "gauge" : "counter", m->name, m->value);
}
