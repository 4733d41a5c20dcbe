#include "kernel/mt_family.h"

#include <inttypes.h>
#include <string.h>

/* Upper bounds in ms, from a call within a zone to the longest timeouts. */
static const int64_t mt_bucket_bounds[] = { 1,	  2,	5,    10,  20,
					    50,	  100,	200,  500, 1000,
					    2000, 5000, 10000 };
#define MT_BOUND_COUNT G_N_ELEMENTS(mt_bucket_bounds)
/* Upper bound of the last bucket, longer than any process runs. */
#define MT_LAST_BOUND 1e15

static struct mt_family *mt_families;

void mt_family_register(struct mt_family *family)
{
	struct mt_family **at = &mt_families;

	while (*at && strcmp((*at)->name, family->name) < 0)
		at = &(*at)->_next;
	family->_next = *at;
	*at = family;
}

/* Bucket bounds are inclusive, so each range ends half a ms above its bound. */
static gsl_histogram *mt_new_buckets(void)
{
	gsl_histogram *buckets = gsl_histogram_alloc(MT_BOUND_COUNT + 1);
	double ranges[MT_BOUND_COUNT + 2] = { -0.5 };

	for (uint32_t i = 0; i < MT_BOUND_COUNT; i++)
		ranges[i + 1] = mt_bucket_bounds[i] + 0.5;
	ranges[MT_BOUND_COUNT + 1] = MT_LAST_BOUND;
	gsl_histogram_set_ranges(buckets, ranges, MT_BOUND_COUNT + 2);
	return buckets;
}

static struct mt_series *mt_get_series(struct mt_family *family,
				       const char *value)
{
	struct mt_series *series;

	for (uint32_t i = 0; i < family->_series_count; i++)
		if (!strcmp(family->_series[i].value, value))
			return &family->_series[i];
	if (family->_series_count == MT_MAX_LABEL_VALUES)
		return &family->_series[MT_MAX_LABEL_VALUES - 1];
	series = &family->_series[family->_series_count++];
	g_strlcpy(series->value,
		  family->_series_count == MT_MAX_LABEL_VALUES ? "other"
							       : value,
		  sizeof(series->value));
	if (family->is_histogram)
		series->buckets = mt_new_buckets();
	return series;
}

void mt_count(struct mt_family *family, const char *value)
{
	mt_get_series(family, value)->count++;
}

void mt_count_many(struct mt_family *family, const char *value, int64_t count)
{
	mt_get_series(family, value)->count += count;
}

void mt_observe(struct mt_family *family, const char *value, int64_t ms)
{
	struct mt_series *series = mt_get_series(family, value);

	ms = MAX(ms, 0);
	series->count++;
	series->sum += ms;
	gsl_histogram_increment(series->buckets, ms);
}

static void mt_print_histogram(const struct mt_family *family,
			       const struct mt_series *series, GString *out)
{
	int64_t cumulative = 0;

	for (uint32_t i = 0; i < MT_BOUND_COUNT; i++) {
		cumulative += (int64_t)gsl_histogram_get(series->buckets, i);
		g_string_append_printf(
			out,
			"%s_bucket{%s=\"%s\",le=\"%" PRId64 "\"} %" PRId64 "\n",
			family->name, family->label, series->value,
			mt_bucket_bounds[i], cumulative);
	}
	g_string_append_printf(out,
			       "%s_bucket{%s=\"%s\",le=\"+Inf\"} %" PRId64
			       "\n%s_sum{%s=\"%s\"} %" PRId64
			       "\n%s_count{%s=\"%s\"} %" PRId64 "\n",
			       family->name, family->label, series->value,
			       series->count, family->name, family->label,
			       series->value, series->sum, family->name,
			       family->label, series->value, series->count);
}

static void mt_print_family(const struct mt_family *family, GString *out)
{
	g_string_append_printf(out, "# HELP %s %s\n# TYPE %s %s\n",
			       family->name, family->help, family->name,
			       family->is_histogram ? "histogram" : "counter");
	for (uint32_t i = 0; i < family->_series_count; i++) {
		const struct mt_series *series = &family->_series[i];

		if (family->is_histogram)
			mt_print_histogram(family, series, out);
		else
			g_string_append_printf(out,
					       "%s{%s=\"%s\"} %" PRId64 "\n",
					       family->name, family->label,
					       series->value, series->count);
	}
}

void mt_family_print(GString *out)
{
	for (struct mt_family *f = mt_families; f; f = f->_next)
		mt_print_family(f, out);
}
