/*
 * crowd - many connections of callers that misbehave in the same way.
 *
 * Overview
 *	Runs in the calling thread with non-blocking sockets. Connections that
 *	the other side closes, or no longer reads, are left as they are, so
 *	that a server which protects itself does not hold up the test.
 *
 * Use
 *	Crowd crowd(Fleet::url("h1", ""), 500);
 *	crowd.write(text);
 *	crowd.write_in_pieces(text, 512);
 */
#ifndef HARNESS_CROWD_H
#define HARNESS_CROWD_H

#include <cstddef>
#include <string>
#include <vector>

namespace harness
{

class Crowd
{
      public:
	/** Crowd() - @count connections to @url: "http://IP:PORT...". */
	Crowd(const std::string &url, int count);
	~Crowd();
	Crowd(const Crowd &) = delete;
	Crowd &operator=(const Crowd &) = delete;

	/**
	 * write() - all connections write @text, until it is written or nothing
	 * more is taken for @quiet_ms.
	 */
	void write(const std::string &text, int quiet_ms = 500);

	/** write_in_pieces() - the same, in turns, @bytes at a time. */
	void write_in_pieces(const std::string &text, size_t bytes,
			     int quiet_ms = 500);

	/**
	 * trickle() - at most one byte of @text on each connection every
	 * @pause_ms, for @lasts_ms.
	 */
	void trickle(const std::string &text, int pause_ms, int lasts_ms);

      private:
	struct Member {
		int fd;
		size_t at = 0;
		bool is_over = false;
	};
	std::vector<Member> members;

	size_t write_some(Member &member, const std::string &text,
			  size_t bytes);
};

/** accepts() - whether something listens at @url. */
bool accepts(const std::string &url);

} // namespace harness

#endif
