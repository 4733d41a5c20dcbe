// Files of `balsampin ctl apply`, and the summary of who has a revision.
#include <gtest/gtest.h>

#include <string>

extern "C" {
#include "ctl/ctl_file.h"
#include "ctl/ctl_wait.h"
}

TEST(CtlFile, ObjectsAndFindings)
{
	const std::string long_name(65, 'n');
	struct Case {
		std::string text;
		const char *objects;
		const char *places;
	} cases[] = {
		{ "{\"team\": {\"a\": {\"weight\": 2}, \"b\": null}} // end",
		  "team/a={ \"weight\": 2 } team/b=deleted ", "" },
		{ "/* none */ {}", "", "" },
		{ "{\"team\": [], \"model\": 3}", "", "/team /model " },
		{ "{\"team\": {\"" + long_name + "\": {}}}", "", "(long)" },
		{ "[]", "", "/ " },
		{ "{", "", "/ " },
		{ "", "", "/ " },
	};

	for (const auto &c : cases) {
		struct fd_list findings;
		std::string objects, places;

		fd_init(&findings);
		GArray *list = ctl_file_parse(c.text.c_str(), &findings);
		for (guint i = 0; list && i < list->len; i++) {
			bp_object &o = g_array_index(list, bp_object, i);
			objects += std::string(o.kind) + "/" + o.name + "=" +
				   (o.deleted ? "deleted" : o.json) + " ";
		}
		for (uint32_t i = 0; i < findings.count; i++)
			places += std::string(findings.items[i].place) + " ";
		EXPECT_EQ(objects, c.objects) << c.text;
		if (c.text.find(long_name) == std::string::npos)
			EXPECT_EQ(places, c.places) << c.text;
		else
			EXPECT_EQ(places, "/team/" + long_name + " ");
		if (list)
			g_array_unref(list);
		fd_finish(&findings);
	}
}

TEST(CtlWait, SpreadCountsWhoHasTheRevision)
{
	const char *text =
		"{\"processes\": ["
		"{\"host\": \"a\", \"revision\": 7, \"reached\": true},"
		"{\"host\": \"b\", \"revision\": 9, \"reached\": true},"
		"{\"host\": \"c\", \"revision\": 6, \"reached\": true},"
		"{\"host\": \"d\", \"revision\": 7, \"reached\": false}]}";
	struct Case {
		const char *text;
		uint64_t revision;
		uint32_t in_force, behind, not_reached;
	} cases[] = {
		{ text, 7, 2, 1, 1 }, { text, 9, 1, 2, 1 },
		{ text, 0, 3, 0, 1 }, { "oops", 7, 0, 0, 0 },
		{ "{}", 7, 0, 0, 0 },
	};

	for (const auto &c : cases) {
		struct ctl_spread s = ctl_spread_read(c.text, c.revision);

		EXPECT_EQ(s.in_force, c.in_force) << c.revision;
		EXPECT_EQ(s.behind, c.behind) << c.revision;
		EXPECT_EQ(s.not_reached, c.not_reached) << c.revision;
	}
}
