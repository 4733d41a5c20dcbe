/*
 * mt_family - process counters and histograms with one label.
 *
 * Overview
 *	A family has one series for each value of its label, at most
 *	MT_MAX_LABEL_VALUES in all. The last of these is "other", which counts
 *	all further values, so that callers cannot grow the metrics page
 *	without bound. The buckets of a histogram are a GSL histogram over
 *	whole milliseconds.
 *
 * Use
 *	MT_HISTOGRAMS(answer_ms, "balsampin_answer_ms",
 *		      "time until the end of the answer", "kind")
 *	...
 *	mt_observe(&answer_ms, "streaming", 120);
 */
#ifndef MT_FAMILY_H
#define MT_FAMILY_H

#include <glib.h>
#include <gsl/gsl_histogram.h>
#include <stdbool.h>
#include <stdint.h>

#define MT_MAX_LABEL_VALUES  24
#define MT_LABEL_VALUE_BYTES 40

/** struct mt_series - the series of one label value. */
struct mt_series {
	char value[MT_LABEL_VALUE_BYTES];
	int64_t count;
	int64_t sum;
	gsl_histogram *buckets;
};

/**
 * struct mt_family - a labelled metric with its series.
 * @name: full name with unit, such as "..._ms".
 * @help: one line of help text.
 * @label: name of the label.
 * @is_histogram: a histogram of milliseconds; else a counter.
 */
struct mt_family {
	const char *name;
	const char *help;
	const char *label;
	bool is_histogram;
	struct mt_series _series[MT_MAX_LABEL_VALUES];
	uint32_t _series_count;
	struct mt_family *_next;
};

/** mt_family_register() - register a family; for the macros below only. */
void mt_family_register(struct mt_family *family);

/** mt_count() - add 1 to the counter of label value @value. */
void mt_count(struct mt_family *family, const char *value);

/** mt_count_many() - add @count to the counter of label value @value. */
void mt_count_many(struct mt_family *family, const char *value, int64_t count);

/** mt_observe() - add @ms to the histogram of label value @value. */
void mt_observe(struct mt_family *family, const char *value, int64_t ms);

/** mt_family_print() - append every family in the Prometheus text format. */
void mt_family_print(GString *out);

#define _MT_DEFINE_FAMILY(var_, name_, help_, label_, histogram_)              \
	static struct mt_family var_ = {                                       \
		.name = name_,                                                 \
		.help = help_,                                                 \
		.label = label_,                                               \
		.is_histogram = histogram_,                                    \
		._series = { { "", 0, 0, NULL } },                             \
		._series_count = 0,                                            \
		._next = NULL,                                                 \
	};                                                                     \
	__attribute__((constructor)) static void var_##_register(void)         \
	{                                                                      \
		mt_family_register(&var_);                                     \
	}
#define MT_COUNTERS(var_, name_, help_, label_)                                \
	_MT_DEFINE_FAMILY(var_, name_, help_, label_, false)
#define MT_HISTOGRAMS(var_, name_, help_, label_)                              \
	_MT_DEFINE_FAMILY(var_, name_, help_, label_, true)

#endif
