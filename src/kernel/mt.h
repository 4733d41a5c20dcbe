/*
 * mt - process counters and gauges in the Prometheus text format.
 *
 * Overview
 *	A metric is a static struct that its module defines with MT_COUNTER()
 *	or MT_GAUGE(), which also register it, and changes with mt_add() and
 *	mt_set(). mt_print() writes all of these metrics for GET /metrics.
 *	Metrics with a label are in mt_family.h.
 *
 * Use
 *	MT_COUNTER(entry_refused, "balsampin_entry_refused_total",
 *		   "requests refused before they ran")
 *	...
 *	mt_add(&entry_refused, 1);
 *
 *	One process runs one loop on one thread, so the values need no locks.
 */
#ifndef MT_H
#define MT_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * struct mt_metric - a counter or gauge without labels.
 * @name: full name with unit, such as "..._bytes_total".
 * @help: one line of help text.
 * @is_gauge: a gauge, whose value may also fall; else a counter.
 * @value: current value.
 */
struct mt_metric {
	const char *name;
	const char *help;
	bool is_gauge;
	int64_t value;
	struct mt_metric *_next;
};

/** mt_register() - register a metric; called only by the macros below. */
void mt_register(struct mt_metric *metric);

static inline void mt_add(struct mt_metric *metric, int64_t count)
{
	metric->value += count;
}

static inline void mt_set(struct mt_metric *metric, int64_t value)
{
	metric->value = value;
}

/** mt_find() - find the metric called @name; NULL if there is none. */
struct mt_metric *mt_find(const char *name);

/** mt_print() - append every metric to @out in the text format. */
void mt_print(GString *out);

#define _MT_DEFINE(var_, name_, help_, gauge_)                                 \
	static struct mt_metric var_ = { name_, help_, gauge_, 0, NULL };      \
	__attribute__((constructor)) static void var_##_register(void)         \
	{                                                                      \
		mt_register(&var_);                                            \
	}
#define MT_COUNTER(var_, name_, help_) _MT_DEFINE(var_, name_, help_, false)
#define MT_GAUGE(var_, name_, help_)   _MT_DEFINE(var_, name_, help_, true)

#endif
