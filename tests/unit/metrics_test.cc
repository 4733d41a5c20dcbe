// Labelled metrics: series by label value, buckets, and the limit on series.
#include <gtest/gtest.h>

#include <string>

extern "C" {
#include "kernel/mt_family.h"
}

namespace
{

MT_COUNTERS(test_ends, "test_ends_total", "ends", "outcome")
MT_HISTOGRAMS(test_times, "test_times_ms", "times", "kind")
MT_COUNTERS(test_many, "test_many_total", "many", "name")

std::string page()
{
	GString *out = g_string_new(nullptr);
	std::string text;

	mt_family_print(out);
	text = out->str;
	g_string_free(out, TRUE);
	return text;
}

bool has_line(const std::string &text, const std::string &line)
{
	return text.find("\n" + line + "\n") != std::string::npos;
}

TEST(Families, OneSeriesForEachLabelValue)
{
	mt_count(&test_ends, "complete");
	mt_count(&test_ends, "complete");
	mt_count(&test_ends, "refused");
	EXPECT_TRUE(has_line(page(), "# TYPE test_ends_total counter"));
	EXPECT_TRUE(
		has_line(page(), "test_ends_total{outcome=\"complete\"} 2"));
	EXPECT_TRUE(has_line(page(), "test_ends_total{outcome=\"refused\"} 1"));
}

TEST(Families, BucketsAreCumulativeWithInclusiveBounds)
{
	for (int64_t ms : { -3, 0, 1, 2, 100, 101, 20000 })
		mt_observe(&test_times, "stream", ms);

	const struct {
		const char *bound;
		int count;
	} cases[] = { { "1", 3 },   { "2", 4 },	    { "50", 4 },  { "100", 5 },
		      { "200", 6 }, { "10000", 6 }, { "+Inf", 7 } };

	EXPECT_TRUE(has_line(page(), "# TYPE test_times_ms histogram"));
	for (const auto &c : cases)
		EXPECT_TRUE(has_line(
			page(),
			std::string("test_times_ms_bucket{kind=\"stream\","
				    "le=\"") +
				c.bound + "\"} " + std::to_string(c.count)))
			<< c.bound;
	EXPECT_TRUE(has_line(page(), "test_times_ms_count{kind=\"stream\"} 7"));
	EXPECT_TRUE(
		has_line(page(), "test_times_ms_sum{kind=\"stream\"} 20204"));
}

TEST(Families, ExcessLabelValuesAreCountedAsOther)
{
	for (int i = 0; i < 3 * MT_MAX_LABEL_VALUES; i++)
		mt_count(&test_many, ("n" + std::to_string(i)).c_str());
	EXPECT_TRUE(has_line(page(), "test_many_total{name=\"n0\"} 1"));
	EXPECT_TRUE(has_line(
		page(), "test_many_total{name=\"other\"} " +
				std::to_string(2 * MT_MAX_LABEL_VALUES + 1)));
}

} // namespace
