/*
 * http - a small HTTP caller for tests: whole answers and streams.
 *
 * Overview
 *	call() waits for a whole answer. A Stream runs in a thread of its own
 *	and collects the bytes as they come, so that a test can act in the
 *	middle of an answer.
 */
#ifndef HARNESS_HTTP_H
#define HARNESS_HTTP_H

#include <atomic>
#include <condition_variable>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace harness
{

using Headers = std::vector<std::string>;

constexpr int default_timeout_ms = 20000;

/**
 * Reply - an answer. complete is false if the transfer broke, or what came is
 * no valid answer.
 */
struct Reply {
	long status = 0;
	bool complete = false;
	std::string error;
	std::map<std::string, std::string> headers;
	std::string body;
};

/** Event - one event of a stream. */
struct Event {
	std::string id;
	std::string name;
	std::string data;
};

/** call() - send a request, "GET" without a body, and await the answer. */
Reply call(const std::string &url, const std::string &body = "",
	   const Headers &headers = {}, const std::string &method = "",
	   int timeout_ms = default_timeout_ms);

/** parse_events() - the whole events of an SSE text. */
std::vector<Event> parse_events(const std::string &text);

/** answer_text() - the texts of all tokens of a streamed or plain answer. */
std::string answer_text(const Reply &reply);

/** ends_whole() - a stream that ended with [DONE] and a complete transfer. */
bool ends_whole(const Reply &reply);

/** expected_text() - the answer that a stand-in engine gives. */
std::string expected_text(const std::string &prompt, const std::string &model,
			  const std::string &version, uint32_t tokens);

/** Stream - a request whose answer is read in the background. */
class Stream
{
      public:
	Stream(const std::string &url, const std::string &body,
	       const Headers &headers = {},
	       int timeout_ms = default_timeout_ms);
	~Stream();
	Stream(const Stream &) = delete;
	Stream &operator=(const Stream &) = delete;

	/** events() - whole events that have come so far. */
	std::vector<Event> events();

	/** wait_events() - until so many have come; false if it ended before.
	 */
	bool wait_events(size_t count);

	/** finish() - await the end. */
	Reply finish();

	/** hang_up() - close the connection. */
	void hang_up();

      private:
	friend size_t stream_write(char *, size_t, size_t, void *);
	friend int stream_progress(void *, long, long, long, long);

	std::mutex mutex;
	std::condition_variable changed;
	Reply reply;
	bool is_over = false;
	std::atomic<bool> is_hung_up{ false };
	std::thread thread;
};

} // namespace harness

#endif
