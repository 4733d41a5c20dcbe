// The row that carries crash records and answers over a restart of all hosts:
// what it holds, how large it gets, and who writes it when.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstring>
#include <string>
#include <vector>

extern "C" {
#include "limits/ps_row.h"
#include "limits/ps_turn.h"
}
#include "poison_fixture.h"

namespace
{

const uint64_t bad = PS_PART_BIT | 1;
const uint64_t shared = PS_PART_BIT | 2;
const uint64_t rare = PS_PART_BIT | 3;
const int64_t store_ahead_ms = 77777;

// A table, and what it writes and reads. The reader's clock differs.
struct Table {
	struct ps_table table;

	Table()
	{
		ps_init(&table);
	}
	~Table()
	{
		ps_finish(&table);
	}
	Table(const Table &) = delete;

	std::string format(int64_t at)
	{
		char *text = ps_row_format(&table, at, at + store_ahead_ms);
		std::string copy = text;

		g_free(text);
		return copy;
	}
	void read(const std::string &text, int64_t at, int64_t store_ms)
	{
		ps_row_read(&table, text.c_str(), at, store_ms);
	}
	bool is_stale(const std::string &text, int64_t at)
	{
		return ps_row_is_stale(&table, text.c_str(), at,
				       at + store_ahead_ms);
	}
	bool is_current(const std::string &text, int64_t at)
	{
		return ps_row_is_current(&table, text.c_str(), at);
	}
	bool is_proven(uint64_t part, int64_t at)
	{
		return ps_find_proven(&table, &part, 1, at) != 0;
	}
	bool crash(uint64_t fingerprint, uint64_t engine, int64_t at)
	{
		return ps_peer_report(&table, fingerprint, engine, 1, 0, at);
	}
};

size_t count_lines(const std::string &text, const std::string &prefix)
{
	size_t count = 0;

	for (size_t at = 0; at < text.size(); at = text.find('\n', at) + 1)
		count += text.compare(at, prefix.size(), prefix) == 0;
	return count;
}

// All hosts are killed after some crashes, and one more comes to a host that
// has started and read the row. Without the records, three more moments would
// have to pass; without the answers, the shared part would be refused.
TEST(PoisonRow, CarriesOnAfterAllHostsRestarted)
{
	static const struct {
		const char *what;
		std::vector<Step> steps;
		int64_t down_ms;
		std::vector<Step> after;
		bool is_bad_proven;
		bool is_shared_proven;
	} rows[] = {
		{ "two crashes before, one after",
		  { { 'p', bad, 1 }, { 'w', 0, 1 }, { 'p', bad, 2 } },
		  600,
		  { { 'p', bad, 3 } },
		  true,
		  false },
		{ "one crash before is not watched",
		  { { 'p', bad, 1 } },
		  600,
		  { { 'p', bad, 2 }, { 'w', 0, 1 }, { 'p', bad, 3 } },
		  false,
		  false },
		{ "the shared part was answered before",
		  { { '+', shared, 9 },
		    { '-', shared, 9 },
		    { 'p', bad, 1 },
		    { 'w', 0, 1 },
		    { 'p', bad, 2 } },
		  600,
		  { { 'p', shared, 3 },
		    { 'p', bad, 3 },
		    { 'w', 0, 1 },
		    { 'p', shared, 4 },
		    { 'p', bad, 4 },
		    { 'w', 0, 1 },
		    { 'p', shared, 5 },
		    { 'p', bad, 5 } },
		  true,
		  false },
		{ "the shared part was answered too long before",
		  { { '+', shared, 9 },
		    { '-', shared, 9 },
		    { 'w', 0, 61 },
		    { 'p', bad, 1 },
		    { 'w', 0, 1 },
		    { 'p', bad, 2 } },
		  600,
		  { { 'p', shared, 3 },
		    { 'w', 0, 1 },
		    { 'p', shared, 4 },
		    { 'w', 0, 1 },
		    { 'p', shared, 5 } },
		  false,
		  true },
		{ "records expire while all hosts are down",
		  { { 'p', bad, 1 }, { 'w', 0, 1 }, { 'p', bad, 2 } },
		  PS_EXPIRE_MS,
		  { { 'p', bad, 3 } },
		  false,
		  false },
		{ "a proven part stays so beside a content that may have been "
		  "at its crashes",
		  { { 'p', bad, 1 }, { 'w', 0, 1 },   { 'p', bad, 2 },
		    { 'w', 0, 1 },   { 'p', bad, 3 }, { 'f', bad, 0 },
		    { 'p', 7, 3 },   { 'w', 0, 1 },   { 'p', 7, 11 },
		    { 'w', 0, 1 },   { 'p', 7, 12 },  { 'w', 0, 1 },
		    { 'p', 7, 13 },  { 'w', 0, 1 },   { 'p', 7, 14 },
		    { 'w', 0, 1 },   { 'p', 7, 15 },  { 'w', 0, 1 },
		    { 'p', 7, 16 },  { 'w', 0, 1 },   { 'p', 7, 17 } },
		  600,
		  {},
		  true,
		  false },
	};

	for (const auto &c : rows) {
		Table writer, reader;
		int64_t at = now, restarted = 5000;
		std::string text;

		run(&writer.table, c.steps, &at);
		text = writer.format(at);
		reader.read(text, restarted, at + store_ahead_ms + c.down_ms);
		run(&reader.table, c.after, &restarted);
		EXPECT_EQ(reader.is_proven(bad, restarted), c.is_bad_proven)
			<< c.what;
		EXPECT_EQ(reader.is_proven(shared, restarted),
			  c.is_shared_proven)
			<< c.what;
	}
}

// Times are kept as ages on the clock of the store, whatever the clocks of the
// hosts are; the writer reads its own row without a change.
TEST(PoisonRow, KeepsAgesAndMergesWithWhatIsKnown)
{
	Table writer, reader;
	struct ps_suspect s;
	std::string text;

	ASSERT_TRUE(writer.crash(bad, 1, now));
	ASSERT_TRUE(writer.crash(bad, 2, now + 1000));
	ps_peer_report(&writer.table, shared, 0, 0, 0, now + 1500);
	text = writer.format(now + 2000);
	ASSERT_TRUE(reader.crash(bad, 2, 3900));
	ASSERT_TRUE(reader.crash(bad, 3, 4600));
	reader.read(text, 5000, now + 2000 + store_ahead_ms);
	ASSERT_TRUE(ps_find(&reader.table, bad, &s));
	ASSERT_EQ(s.count, 3u);
	EXPECT_EQ(s.crashes[2].at_ms, 3000);
	EXPECT_EQ(ps_completed_ms(&reader.table, shared), 4500);
	writer.read(text, now + 2000, now + 2000 + store_ahead_ms);
	EXPECT_EQ(writer.format(now + 2000), text);
}

// The delay of a read makes an answer seem later, and would clear a crash that
// followed it.
TEST(PoisonRow, DelayedReadClearsNoCrashAfterTheAnswer)
{
	Table table;
	std::string text;

	ps_peer_report(&table.table, shared, 0, 0, 0, now);
	ASSERT_TRUE(table.crash(bad, 1, now + 10));
	ASSERT_TRUE(table.crash(bad, 2, now + 20));
	text = table.format(now + 20);
	table.read(text, now + 920, now + 20 + store_ahead_ms);
	EXPECT_EQ(ps_completed_ms(&table.table, shared), now);
}

// Watched fingerprints that were not at all crashes of a proven content must
// not seem to have been there once their answers are forgotten.
TEST(PoisonRow, HoldsTheAnswersOfWatchedFingerprints)
{
	Table writer, reader;
	const uint64_t popular = 7, deadly = 8;
	int64_t at = now;

	ps_peer_report(&writer.table, popular, 0, 0, 0, at);
	writer.crash(deadly, 1, at - 100);
	writer.crash(deadly, 2, at - 50);
	for (uint64_t engine = 2; engine < 10; engine++) {
		at += 1000;
		writer.crash(popular, engine + 10, at);
	}
	writer.crash(deadly, 17, at);
	at += 2 * PS_COMPLETED_RECENT_MS;
	ASSERT_EQ(ps_check(&writer.table, deadly, at).verdict, PS_REFUSE);
	reader.read(writer.format(at), at, at + store_ahead_ms);
	EXPECT_EQ(ps_check(&reader.table, deadly, at).verdict, PS_REFUSE);
}

// Versions before read the lines of proven fingerprints as they did, with
// sscanf() and five fields, and ignore all others.
TEST(PoisonRow, IsReadByOlderVersionsAndReadsTheirs)
{
	Table writer, reader, older;
	int64_t at = now;
	std::string text;
	int read = 0;

	run(&writer.table,
	    { { '+', shared, 9 },
	      { '-', shared, 9 },
	      { 'p', bad, 1 },
	      { 'w', 0, 1 },
	      { 'p', bad, 2 },
	      { 'w', 0, 1 },
	      { 'p', bad, 3 },
	      { 'p', rare, 3 },
	      { 'p', rare, 4 } },
	    &at);
	text = writer.format(at);
	EXPECT_EQ(count_lines(text, "t "), 1u);
	EXPECT_EQ(count_lines(text, "w "), 2u);
	EXPECT_EQ(count_lines(text, "s "), 1u);
	for (size_t i = 0; i < text.size(); i = text.find('\n', i) + 1) {
		unsigned long long fingerprint, engine, incarnation;
		long long at_ms;
		unsigned probes;

		if (sscanf(text.c_str() + i, "%16llx %lld %16llx %16llx %u",
			   &fingerprint, &at_ms, &engine, &incarnation,
			   &probes) != 5)
			continue;
		read++;
		EXPECT_EQ(fingerprint, bad);
	}
	EXPECT_EQ(read, 3);

	text.clear();
	for (int i = 1; i < 4; i++)
		text += "8000000000000001 " + std::to_string(i * 1000) +
			" 000000000000000" + std::to_string(i) +
			" 0000000000000001 1\n";
	reader.read(text, now, 4000);
	EXPECT_TRUE(reader.is_proven(bad, now));
	EXPECT_TRUE(reader.is_current(text, now));
	EXPECT_FALSE(reader.is_stale(text, now));
	EXPECT_EQ(ps_row_pause_ms(text.c_str(), 4000), 0);
}

// Random text, lines of other versions and torn lines.
TEST(PoisonRow, IgnoresWhatItCannotRead)
{
	static const char *const texts[] = {
		"w",
		"w \nt\ns \n",
		"w 8000000000000001 5 7 8\n",
		"s zz 5\n",
		"t x\n",
		"x 8000000000000001 5 7 8 9\n",
		"w w 8000000000000001 5 7 8 9\n",
	};

	for (const char *text : texts) {
		Table table;

		table.read(text, now, now);
		EXPECT_EQ(g_hash_table_size(table.table._suspects), 0u) << text;
		EXPECT_EQ(ps_row_pause_ms(text, now), 0) << text;
	}
	Table table;
	table.read(std::string(100000, '8'), now, now);
	EXPECT_EQ(g_hash_table_size(table.table._suspects), 0u);
}

// Thousands of contents and parts crash engines and are answered at once.
TEST(PoisonRow, IsBoundedInNumberAndBytes)
{
	Table writer;
	int64_t at = now;
	std::string text;

	for (uint64_t i = 0; i < 2 * PS_MAX_COMPLETED; i++)
		ps_peer_report(&writer.table, PS_PART_BIT | (100000 + i), 0, 0,
			       0, at);
	for (uint64_t engine = 1; engine <= PS_MAX_CRASHES; engine++) {
		at += 1000;
		for (uint64_t i = 0; i < 100; i++) {
			/* Proven contents, and rivals of each other. */
			writer.crash(1000 + i, 1000 * engine + i, at);
			writer.crash(2000 + i, engine, at);
		}
	}
	text = writer.format(at);
	EXPECT_EQ(count_lines(text, "w "),
		  1u * PS_ROW_MAX_WATCHED * PS_MAX_CRASHES);
	EXPECT_EQ(count_lines(text, "s "), 1u * PS_ROW_MAX_ANSWERED);
	EXPECT_EQ(count_lines(text, "000000000000"),
		  1u * PS_ROW_MAX * PS_MAX_CRASHES);
	EXPECT_LE(text.size(), 1u * PS_ROW_MAX_BYTES);
}

// A part that all prompts share is kept among thousands that come once.
TEST(PoisonRow, HoldsTheMostFrequentAnswers)
{
	Table writer, reader;
	int64_t at = now;

	for (uint64_t i = 0; i < 3 * PS_MAX_COMPLETED; i++) {
		at += i % 8 == 0;
		ps_peer_report(&writer.table, shared, 0, 0, 0, at);
		ps_peer_report(&writer.table, PS_PART_BIT | (100 + i), 0, 0, 0,
			       at);
	}
	writer.crash(bad, 1, at);
	writer.crash(bad, 2, at);
	EXPECT_EQ(ps_completed_ms(&writer.table, shared), at);
	reader.read(writer.format(at), at, at + store_ahead_ms);
	EXPECT_EQ(ps_completed_ms(&reader.table, shared), at);
}

// Nothing is written without crashes: neither for answers nor long after.
TEST(PoisonRow, IsStaleOnlyWhileThereAreCrashes)
{
	Table table;
	int64_t at = now;
	std::string text;

	ps_peer_report(&table.table, shared, 0, 0, 0, at);
	EXPECT_FALSE(table.is_stale("", at));
	table.crash(bad, 1, at);
	EXPECT_FALSE(table.is_stale("", at)) << "one crash";
	table.crash(bad, 2, at + 600);
	at += 600;
	EXPECT_TRUE(table.is_stale("", at)) << "watched";
	text = table.format(at);
	EXPECT_FALSE(table.is_stale(text, at)) << "written";
	EXPECT_EQ(ps_row_pause_ms(text.c_str(), at + store_ahead_ms + 400),
		  PS_ROW_GAP_MS - 400);
	EXPECT_EQ(ps_row_pause_ms(text.c_str(),
				  at + store_ahead_ms + PS_ROW_GAP_MS),
		  0);
	EXPECT_EQ(ps_row_pause_ms(text.c_str(), 5), 0)
		<< "the store has restarted";
	EXPECT_FALSE(table.is_stale(text, at + PS_ROW_ANSWERS_MS))
		<< "no answer since";
	ps_peer_report(&table.table, shared, 0, 0, 0, at + 100);
	EXPECT_FALSE(table.is_stale(text, at + PS_ROW_ANSWERS_MS - 1));
	EXPECT_TRUE(table.is_stale(text, at + PS_ROW_ANSWERS_MS));
	EXPECT_FALSE(table.is_stale(text, at + PS_ROW_ACTIVE_MS + 1))
		<< "no crash lately";
	table.crash(rare, 5, at + PS_ROW_ACTIVE_MS + 2);
	EXPECT_FALSE(table.is_stale(text, at + PS_ROW_ACTIVE_MS + 2));
	ps_peer_report(&table.table, bad, 0, 0, 0, at + PS_ROW_ACTIVE_MS + 3);
	EXPECT_TRUE(table.is_stale(text, at + PS_ROW_ACTIVE_MS + 3))
		<< "answered since";
	text = table.format(at + PS_ROW_ACTIVE_MS + 3);
	EXPECT_FALSE(table.is_stale(text, at + PS_ROW_ACTIVE_MS + 3));
}

// Hosts with different records of the same crashes don't write in turns for
// ever: once the crashes end, the writes do.
TEST(PoisonRow, WritesOfDifferingHostsEnd)
{
	Table a, b;
	std::string text;
	int writes = 0;

	for (uint64_t engine = 1; engine <= 12; engine++) {
		int64_t at = now + (int64_t)engine * 600;

		a.crash(bad, engine, at);
		a.crash(rare, engine, at);
		b.crash(bad, engine, at + 40);
		b.crash(rare, engine + (engine > 8), at - 30);
	}
	for (int64_t at = now + 12 * 600; at < now + 60000; at += 1000)
		for (Table *t : { &a, &b }) {
			if (!t->is_stale(text, at))
				continue;
			text = t->format(at);
			writes++;
			for (Table *reader : { &a, &b })
				reader->read(text, at, at + store_ahead_ms);
		}
	EXPECT_GE(writes, 1);
	EXPECT_LE(writes, PS_ROW_ACTIVE_MS / 1000 * 2);
	for (Table *t : { &a, &b })
		EXPECT_FALSE(t->is_stale(text, now + 60000));
}

// Hosts that write one row: owners in order, some of them dead, or all of them
// sure to be the first, as after a start.
TEST(PoisonTurn, OneOwnerWritesAtMostOnceASecond)
{
	static const struct {
		const char *what;
		std::vector<uint32_t> owners;
		uint64_t least, most;
	} rows[] = {
		{ "all three", { 0, 1, 2 }, 18, 21 },
		{ "the first is dead", { 1, 2 }, 4, 8 },
		{ "the third is left", { 2 }, 2, 5 },
		{ "all hosts believe to be the first", { 0, 0, 0, 0 }, 18, 21 },
	};

	for (const auto &c : rows) {
		std::vector<struct ps_turn> turns(c.owners.size());
		std::vector<int64_t> pause_until(c.owners.size());
		std::vector<int64_t> written;
		uint64_t version = 0;

		/*
		 * Something changes all the time. A host learns from its last
		 * read when the row was written.
		 */
		for (int64_t at = now; at < now + 20000; at += 100) {
			for (size_t i = 0; i < turns.size(); i++) {
				if (at < pause_until[i])
					continue;
				enum ps_turn_step step = ps_turn_next(
					&turns[i], true, c.owners[i], at);

				if (step == PS_TURN_WAIT)
					continue;
				if (step == PS_TURN_WRITE &&
				    turns[i].version == version) {
					version++;
					written.push_back(at);
				}
				ps_turn_read(&turns[i], version, at);
				if (!written.empty())
					pause_until[i] =
						written.back() + PS_ROW_GAP_MS;
			}
		}
		EXPECT_GE(written.size(), c.least) << c.what;
		EXPECT_LE(written.size(), c.most) << c.what;
		for (size_t i = 1; i < written.size(); i++)
			EXPECT_GE(written[i] - written[i - 1], PS_ROW_GAP_MS)
				<< c.what;
	}
}

TEST(PoisonTurn, FollowingOwnersReadBeforeTheyWrite)
{
	struct ps_turn turn = {};

	ps_turn_read(&turn, 5, now);
	EXPECT_EQ(ps_turn_next(&turn, true, 1, now + 100), PS_TURN_WAIT);
	EXPECT_EQ(ps_turn_next(&turn, true, 1, now + 100 + PS_TURN_TAKEOVER_MS),
		  PS_TURN_READ);
	ps_turn_read(&turn, 6, now + 200 + PS_TURN_TAKEOVER_MS);
	EXPECT_EQ(ps_turn_next(&turn, true, 1, now + 200 + PS_TURN_TAKEOVER_MS),
		  PS_TURN_WAIT)
		<< "another host writes";
	EXPECT_EQ(ps_turn_next(&turn, true, 1,
			       now + 200 + 2 * PS_TURN_TAKEOVER_MS),
		  PS_TURN_READ);
	ps_turn_read(&turn, 6, now + 300 + 2 * PS_TURN_TAKEOVER_MS);
	EXPECT_EQ(ps_turn_next(&turn, true, 1,
			       now + 300 + 2 * PS_TURN_TAKEOVER_MS),
		  PS_TURN_WRITE);
	EXPECT_EQ(ps_turn_next(&turn, false, 0, now + 400), PS_TURN_WAIT);
	EXPECT_EQ(turn.stale_ms, 0);
}

} // namespace
