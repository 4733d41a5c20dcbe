/*
 * raw - a caller that writes bytes of the test's choice on one connection.
 *
 * Overview
 *	For habits that an HTTP library has not: pipelined requests, HTTP/1.0, a
 *	request in pieces, a reader that pauses or reads slowly.
 *
 * Use
 *	RawCaller caller(Fleet::url("h1", ""));
 *	caller.write("GET /look/x HTTP/1.0\r\n\r\n");
 *	text = caller.read_to_end();
 */
#ifndef HARNESS_RAW_H
#define HARNESS_RAW_H

#include <string>

namespace harness
{

class RawCaller
{
      public:
	/**
	 * RawCaller() - @url: "http://IP:PORT...". @window_bytes: of the
	 * receive buffer; 0 is the system's.
	 */
	explicit RawCaller(const std::string &url, int window_bytes = 0);
	~RawCaller();
	RawCaller(const RawCaller &) = delete;
	RawCaller &operator=(const RawCaller &) = delete;

	void write(const std::string &text);

	/** stop_writing() - close the sending half only. */
	void stop_writing();

	/**
	 * read() - what comes until @until is in it, the connection ends or
	 * @timeout_ms pass; in all, from the first byte on.
	 */
	const std::string &read(const std::string &until,
				int timeout_ms = 10000);

	/** read_slowly() - at most @bytes_per_s, until the end. */
	const std::string &read_slowly(int bytes_per_s);

	const std::string &read_to_end(int timeout_ms = 20000);

	/** is_at_end() - the other side has closed or reset it. */
	bool is_at_end() const
	{
		return at_end;
	}

	/** status() - of the first answer, 0 if there is none. */
	int status() const;

	/** is_whole() - the first answer has all bytes of its Content-Length.
	 */
	bool is_whole() const;

      private:
	int fd;
	bool at_end = false;
	std::string received;

	bool read_some(size_t most, int timeout_ms);
};

} // namespace harness

#endif
