// Row mirror: applies changes, deletions and full tables, and lists the result.
#include <gtest/gtest.h>

#include <map>
#include <string>
#include <vector>

extern "C" {
#include "rows/rw_mirror.h"
}

namespace
{

struct Change {
	const char *key;
	const char *value;
	uint64_t version;
	bool is_deleted;
};

class Mirror : public testing::Test
{
      protected:
	struct rw_mirror mirror;

	void SetUp() override
	{
		rw_mirror_init(&mirror);
	}

	void TearDown() override
	{
		rw_mirror_finish(&mirror);
	}

	void apply(const std::vector<Change> &changes, bool is_full)
	{
		std::vector<rw_row> rows;

		for (const Change &c : changes)
			rows.push_back({ c.key, c.value,
					 c.value ? strlen(c.value) : 0,
					 c.version, c.is_deleted });
		struct rw_rows all = { rows.data(),
				       static_cast<uint32_t>(rows.size()), 9,
				       0 };
		rw_mirror_apply(&mirror, &all, is_full);
	}

	std::map<std::string, std::string> list()
	{
		GArray *rows = g_array_new(FALSE, FALSE, sizeof(rw_row));
		std::map<std::string, std::string> result;

		rw_mirror_list(&mirror, rows);
		for (guint i = 0; i < rows->len; i++) {
			const rw_row &row = g_array_index(rows, rw_row, i);

			result[row.key] =
				(row.value ? row.value : "unreadable") +
				std::string("@") + std::to_string(row.version);
		}
		g_array_free(rows, TRUE);
		return result;
	}
};

TEST_F(Mirror, AppliesChangesAndFullTables)
{
	using Rows = std::map<std::string, std::string>;

	apply({ { "a", "1", 1, false }, { "b", "2", 2, false } }, true);
	apply({ { "a", "3", 3, false }, { "c", nullptr, 4, false } }, false);
	EXPECT_EQ(list(), (Rows{ { "a", "3@3" },
				 { "b", "2@2" },
				 { "c", "unreadable@4" } }));
	apply({ { "b", nullptr, 5, true }, { "x", nullptr, 5, true } }, false);
	EXPECT_EQ(list(), (Rows{ { "a", "3@3" }, { "c", "unreadable@4" } }));
	apply({ { "d", "6", 6, false } }, true);
	EXPECT_EQ(list(), (Rows{ { "d", "6@6" } }));
	apply({}, false);
	EXPECT_EQ(list(), (Rows{ { "d", "6@6" } }));
}

} // namespace
