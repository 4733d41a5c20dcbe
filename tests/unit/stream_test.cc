// Decoder of streamed answers: each fault is detected at any piece size.
#include <gtest/gtest.h>

#include <string>
#include <vector>

extern "C" {
#include "upstream/sd.h"
}

namespace
{

std::string event(int number, const std::string &data)
{
	return "id: " + std::to_string(number) + "\ndata: " + data + "\n\n";
}

struct Decoded {
	std::vector<std::string> data;
	enum sd_fault fault = SD_FINE;
	uint64_t duplicates = 0;
};

void on_event(void *arg, const struct sd_event *e)
{
	static_cast<Decoded *>(arg)->data.push_back(e->data);
}

struct Headers {
	const char *weights;
	const char *incarnation;
};

const Headers right = { "v1", "7" };

void open_stream(struct sd_decoder *d, const Headers &h)
{
	if (h.weights)
		sd_header(d, "x-weights-version", h.weights);
	if (h.incarnation)
		sd_header(d, "x-engine-incarnation", h.incarnation);
}

Decoded decode(const std::string &text, size_t piece, const Headers &h = right)
{
	Decoded out;
	struct sd_decoder d;
	struct sd_desc desc = { "v1", 7, on_event, &out };

	sd_init(&d, &desc);
	open_stream(&d, h);
	for (size_t i = 0; i < text.size(); i += piece)
		sd_feed(&d, text.data() + i, std::min(piece, text.size() - i));
	out.fault = sd_end(&d);
	out.duplicates = d.duplicates;
	sd_finish(&d);
	return out;
}

TEST(Stream, FaultsAreDetectedAtEveryPieceSize)
{
	const std::string done = "[DONE]";
	const struct {
		const char *name;
		std::string text;
		enum sd_fault fault;
		size_t events;
		uint64_t duplicates;
	} cases[] = {
		{ "complete", event(1, "a") + event(2, "b") + event(3, done),
		  SD_FINE, 3, 0 },
		{ "CRLF and comments",
		  ": hi\r\nid: 1\r\ndata: a\r\n\r\n: hi\r\n\r\nid: 2\r\n"
		  "data: [DONE]\r\n\r\n",
		  SD_FINE, 2, 0 },
		{ "gap", event(1, "a") + event(3, done), SD_GAP, 1, 0 },
		{ "first event is missing", event(2, done), SD_GAP, 0, 0 },
		{ "duplicate", event(1, "a") + event(1, "a") + event(2, done),
		  SD_FINE, 2, 1 },
		{ "no [DONE]", event(1, "a"), SD_NOT_DONE, 1, 0 },
		{ "truncated event", event(1, "a") + "id: 2\ndata: [DONE]\n",
		  SD_NOT_DONE, 1, 0 },
		{ "no sequence number", "data: a\n\n", SD_NO_NUMBER, 0, 0 },
		{ "malformed sequence number", "id: 1x\ndata: a\n\n",
		  SD_NO_NUMBER, 0, 0 },
		{ "event after [DONE]", event(1, done) + event(2, "a"),
		  SD_AFTER_DONE, 1, 0 },
		{ "empty", "", SD_NOT_DONE, 0, 0 },
	};

	for (const auto &c : cases)
		for (size_t piece : { 1, 2, 3, 7, 1000 }) {
			Decoded out = decode(c.text, piece);

			EXPECT_EQ(out.fault, c.fault) << c.name;
			EXPECT_EQ(out.data.size(), c.events) << c.name;
			EXPECT_EQ(out.duplicates, c.duplicates) << c.name;
		}
}

TEST(Stream, HeadersMustMatchTheRoutedEngine)
{
	const struct {
		Headers headers;
		enum sd_fault fault;
	} cases[] = {
		{ { "v1", "7" }, SD_FINE },
		{ { "v2", "7" }, SD_WRONG_WEIGHTS },
		{ { nullptr, "7" }, SD_WRONG_WEIGHTS },
		{ { "v1", "8" }, SD_WRONG_INCARNATION },
		{ { "v1", nullptr }, SD_WRONG_INCARNATION },
		{ { "v1", "x" }, SD_WRONG_INCARNATION },
	};

	for (const auto &c : cases) {
		Decoded out = decode(event(1, "[DONE]"), 100, c.headers);

		EXPECT_EQ(out.fault, c.fault);
		EXPECT_EQ(out.data.size(), c.fault == SD_FINE ? 1u : 0u);
	}
}

TEST(Stream, OversizedEventIsRejected)
{
	EXPECT_EQ(decode("data: " + std::string(SD_MAX_EVENT_BYTES + 1, 'x'),
			 65536)
			  .fault,
		  SD_TOO_LARGE);
}

TEST(Stream, ResumedStreamContinuesAfterItsLastEvent)
{
	Decoded out;
	struct sd_decoder d;
	struct sd_desc desc = { "v1", 0, on_event, &out };
	std::string first = event(1, "a") + event(2, "b") + "id: 3\nda";
	std::string second = event(2, "b") + event(3, "c") + event(4, "[DONE]");

	sd_init(&d, &desc);
	open_stream(&d, right);
	EXPECT_EQ(sd_feed(&d, first.data(), first.size()), SD_FINE);
	sd_reopen(&d);
	open_stream(&d, right);
	EXPECT_EQ(sd_feed(&d, second.data(), second.size()), SD_FINE);
	EXPECT_EQ(sd_end(&d), SD_FINE);
	EXPECT_EQ(out.data,
		  (std::vector<std::string>{ "a", "b", "c", "[DONE]" }));
	sd_finish(&d);
}

TEST(Stream, ResumeAtARestartedEngineIsRejected)
{
	Decoded out;
	struct sd_decoder d;
	struct sd_desc desc = { "v1", 0, on_event, &out };
	std::string text = event(1, "a");

	sd_init(&d, &desc);
	open_stream(&d, right);
	sd_feed(&d, text.data(), text.size());
	sd_reopen(&d);
	open_stream(&d, Headers{ "v1", "8" });
	text = event(2, "b");
	EXPECT_EQ(sd_feed(&d, text.data(), text.size()), SD_WRONG_INCARNATION);
	EXPECT_EQ(out.data.size(), 1u);
	sd_finish(&d);
}

} // namespace
