// Answers of upstreams, byte by byte: what each of the two HTTP clients has to
// serve, and what it has to reject.
#ifndef ANSWER_CASES_H
#define ANSWER_CASES_H

#include <cstdint>
#include <string>

// An answer that has to be served. @closes: it ends with its connection.
struct SoundAnswer {
	const char *name;
	std::string text;
	uint32_t status;
	std::string body;
	bool closes = false;
};

// An answer that is none. @has_sound_head: it is found in the body only, some
// of which may have been handed over before.
struct BrokenAnswer {
	const char *name;
	std::string text;
	bool has_sound_head = false;
};

// Literals may hold NUL.
template <size_t n> std::string bytes_of(const char (&text)[n])
{
	return std::string(text, n - 1);
}

#define OK_LINE	   "HTTP/1.1 200 OK\r\n"
#define TWO_BYTES  "Content-Length: 2\r\n"
#define IN_CHUNKS  "Transfer-Encoding: chunked\r\n"
#define END_OF_TWO "\r\nhi"

inline const SoundAnswer sound_answers[] = {
	{ "length", OK_LINE TWO_BYTES END_OF_TWO, 200, "hi" },
	{ "empty", OK_LINE "Content-Length: 0\r\n\r\n", 200, "" },
	{ "no length", OK_LINE "\r\nhi", 200, "hi", true },
	{ "no length, empty", OK_LINE "\r\n", 200, "", true },
	{ "HTTP/1.0", "HTTP/1.0 200 OK\r\n\r\nhi", 200, "hi", true },
	{ "HTTP/1.0 with a length", "HTTP/1.0 200 OK\r\n" TWO_BYTES END_OF_TWO,
	  200, "hi" },
	{ "no reason", "HTTP/1.1 200 \r\n" TWO_BYTES END_OF_TWO, 200, "hi" },
	{ "no reason, no blank", "HTTP/1.1 200\r\n" TWO_BYTES END_OF_TWO, 200,
	  "hi" },
	{ "long reason",
	  "HTTP/1.1 200 All's well: \"yes\"\r\n" TWO_BYTES END_OF_TWO, 200,
	  "hi" },
	{ "reason beyond ASCII",
	  "HTTP/1.1 200 d\xc3\xa9j\xc3\xa0\r\n" TWO_BYTES END_OF_TWO, 200,
	  "hi" },
	{ "lowest final status", "HTTP/1.1 201 Made\r\n" TWO_BYTES END_OF_TWO,
	  201, "hi" },
	{ "unassigned status", "HTTP/1.1 299 Odd\r\n" TWO_BYTES END_OF_TWO, 299,
	  "hi" },
	{ "not found", "HTTP/1.1 404 No\r\n" TWO_BYTES END_OF_TWO, 404, "hi" },
	{ "highest status", "HTTP/1.1 599 No\r\n" TWO_BYTES END_OF_TWO, 599,
	  "hi" },
	{ "interim",
	  "HTTP/1.1 100 Continue\r\n\r\n" OK_LINE TWO_BYTES END_OF_TWO, 200,
	  "hi" },
	{ "interim with fields",
	  "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" OK_LINE TWO_BYTES
		  END_OF_TWO,
	  200, "hi" },
	{ "several interim",
	  "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n"
	  "HTTP/1.1 199 Odd\r\n\r\n" OK_LINE IN_CHUNKS
	  "\r\n2\r\nhi\r\n0\r\n\r\n",
	  200, "hi" },
	{ "chunks", OK_LINE IN_CHUNKS "\r\n1\r\nh\r\n1\r\ni\r\n0\r\n\r\n", 200,
	  "hi" },
	{ "no chunk but the last", OK_LINE IN_CHUNKS "\r\n0\r\n\r\n", 200, "" },
	{ "sizes with zeros", OK_LINE IN_CHUNKS "\r\n0002\r\nhi\r\n000\r\n\r\n",
	  200, "hi" },
	{ "sizes with letters",
	  OK_LINE IN_CHUNKS
	  "\r\nA\r\n0123456789\r\nb\r\n0123456789a\r\n0\r\n\r\n",
	  200, "01234567890123456789a" },
	{ "chunk extensions",
	  OK_LINE IN_CHUNKS "\r\n2;a=b;c=\"d e\";f\r\nhi\r\n0;last\r\n\r\n",
	  200, "hi" },
	{ "trailers",
	  OK_LINE IN_CHUNKS
	  "Trailer: X-A\r\n\r\n2\r\nhi\r\n0\r\nX-A: 1\r\nX-B: 2\r\n\r\n",
	  200, "hi" },
	{ "chunks that hold what looks like framing",
	  OK_LINE IN_CHUNKS "\r\n7\r\n\r\n0\r\n\r\n\r\n0\r\n\r\n", 200,
	  "\r\n0\r\n\r\n" },
	{ "coding in capitals",
	  OK_LINE "TRANSFER-ENCODING:Chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n", 200,
	  "hi" },
	{ "names of all kinds",
	  OK_LINE "!#$%&'*+-.^_`|~09aZ: 1\r\n" TWO_BYTES END_OF_TWO, 200,
	  "hi" },
	{ "values of all kinds",
	  OK_LINE "X-A:\r\nX-B:b\r\nX-C:  c\td \t\r\nX-D: \xc3\xa9:,;\"\r\n"
		  "X-A: again\r\n" TWO_BYTES END_OF_TWO,
	  200, "hi" },
	{ "length with blanks and zeros",
	  OK_LINE "content-length:\t 0002 \r\n" END_OF_TWO, 200, "hi" },
	{ "lines that end with LF alone",
	  "HTTP/1.1 200 OK\nX-A: a\nContent-Length: 2\n\nhi", 200, "hi" },
	{ "an offer to upgrade",
	  OK_LINE
	  "Connection: Upgrade\r\nUpgrade: h2c\r\n" TWO_BYTES END_OF_TWO,
	  200, "hi" },
	{ "no content", "HTTP/1.1 204 No Content\r\n\r\n", 204, "" },
	{ "no content of no bytes",
	  "HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n", 204, "" },
	{ "no content, and bytes that are none of it",
	  "HTTP/1.1 204 No Content\r\n" TWO_BYTES END_OF_TWO, 204, "" },
	{ "not modified, with the length of what was not sent",
	  "HTTP/1.1 304 Not Modified\r\n" TWO_BYTES "\r\n", 304, "" },
	{ "not modified, with the coding of what was not sent",
	  "HTTP/1.1 304 Not Modified\r\n" IN_CHUNKS "\r\n", 304, "" },
	{ "interim with a length",
	  "HTTP/1.1 100 Continue\r\n" TWO_BYTES
	  "\r\n" OK_LINE TWO_BYTES END_OF_TWO,
	  200, "hi" },
	{ "interim with a coding",
	  "HTTP/1.1 100 Continue\r\n" IN_CHUNKS
	  "\r\n" OK_LINE TWO_BYTES END_OF_TWO,
	  200, "hi" },
};

inline const BrokenAnswer broken_statuses[] = {
	{ "no HTTP", "what\r\n\r\n" },
	{ "status 000", "HTTP/1.1 000 None\r\n" TWO_BYTES END_OF_TWO },
	{ "status 000 without a length", "HTTP/1.1 000 None\r\n\r\nhi" },
	{ "status 000 in chunks",
	  "HTTP/1.1 000 None\r\n" IN_CHUNKS "\r\n2\r\nhi\r\n0\r\n\r\n" },
	{ "status 000 after an interim one",
	  "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 None\r\n" TWO_BYTES
		  END_OF_TWO },
	{ "status 001", "HTTP/1.1 001 One\r\n" TWO_BYTES END_OF_TWO },
	{ "status 099", "HTTP/1.1 099 Low\r\n" TWO_BYTES END_OF_TWO },
	{ "status 600", "HTTP/1.1 600 High\r\n" TWO_BYTES END_OF_TWO },
	{ "status 999", "HTTP/1.1 999 High\r\n" TWO_BYTES END_OF_TWO },
	{ "status of one digit", "HTTP/1.1 2 OK\r\n" TWO_BYTES END_OF_TWO },
	{ "status of two digits", "HTTP/1.1 20 OK\r\n" TWO_BYTES END_OF_TWO },
	{ "status of four digits",
	  "HTTP/1.1 0200 OK\r\n" TWO_BYTES END_OF_TWO },
	{ "status of four digits, large",
	  "HTTP/1.1 2000 OK\r\n" TWO_BYTES END_OF_TWO },
	{ "no status", "HTTP/1.1 \r\n" TWO_BYTES END_OF_TWO },
	{ "no blank before the status",
	  "HTTP/1.1200 OK\r\n" TWO_BYTES END_OF_TWO },
	{ "two blanks before the status",
	  "HTTP/1.1  200 OK\r\n" TWO_BYTES END_OF_TWO },
	{ "status with a sign", "HTTP/1.1 +20 OK\r\n" TWO_BYTES END_OF_TWO },
	{ "status that is no number",
	  "HTTP/1.1 2x0 OK\r\n" TWO_BYTES END_OF_TWO },
	{ "status and reason in one",
	  "HTTP/1.1 200OK\r\n" TWO_BYTES END_OF_TWO },
	{ "version 0.9", "HTTP/0.9 200 OK\r\n" TWO_BYTES END_OF_TWO },
	{ "version 2.0", "HTTP/2.0 200 OK\r\n" TWO_BYTES END_OF_TWO },
	{ "version in small letters",
	  "http/1.1 200 OK\r\n" TWO_BYTES END_OF_TWO },
	{ "another protocol, unasked",
	  "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\n"
	  "Upgrade: x\r\n\r\nhi" },
	{ "another protocol, not named",
	  "HTTP/1.1 101 Switching Protocols\r\n\r\n" OK_LINE TWO_BYTES
		  END_OF_TWO },
};

inline const BrokenAnswer broken_fields[] = {
	{ "reason with a control byte",
	  "HTTP/1.1 200 O\x01K\r\n" TWO_BYTES END_OF_TWO },
	{ "reason with NUL",
	  bytes_of("HTTP/1.1 200 O\0K\r\n" TWO_BYTES END_OF_TWO) },
	{ "status line that ends with CR alone",
	  "HTTP/1.1 200 OK\rX-A: a\r\n" TWO_BYTES END_OF_TWO },
	{ "name with a blank", OK_LINE "X A: a\r\n" TWO_BYTES END_OF_TWO },
	{ "name with a blank before the colon",
	  OK_LINE "X-A : a\r\n" TWO_BYTES END_OF_TWO },
	{ "name with a tab before the colon",
	  OK_LINE "X-A\t: a\r\n" TWO_BYTES END_OF_TWO },
	{ "name with a tab", OK_LINE "X\tA: a\r\n" TWO_BYTES END_OF_TWO },
	{ "first name after a blank",
	  OK_LINE " X-A: a\r\n" TWO_BYTES END_OF_TWO },
	{ "first name after a tab",
	  OK_LINE "\tX-A: a\r\n" TWO_BYTES END_OF_TWO },
	{ "name after a blank",
	  OK_LINE "X-A: a\r\n X-B: b\r\n" TWO_BYTES END_OF_TWO },
	{ "line that goes on in the next",
	  OK_LINE "X-A: a\r\n\tb\r\n" TWO_BYTES END_OF_TWO },
	{ "length with a blank before the colon",
	  OK_LINE "Content-Length : 2\r\n" END_OF_TWO },
	{ "length with a blank inside",
	  OK_LINE "Content- Length: 2\r\n" END_OF_TWO },
	{ "coding with a blank before the colon",
	  OK_LINE "Transfer-Encoding : chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n" },
	{ "length with a control byte",
	  OK_LINE "Content-Length\x01: 2\r\n" END_OF_TWO },
	{ "name with a control byte",
	  OK_LINE "X\x01-A: a\r\n" TWO_BYTES END_OF_TWO },
	{ "name with DEL", OK_LINE "X-A\x7f: a\r\n" TWO_BYTES END_OF_TWO },
	{ "name with NUL",
	  bytes_of(OK_LINE "X\0-A: a\r\n" TWO_BYTES END_OF_TWO) },
	{ "name with CR", OK_LINE "X\r-A: a\r\n" TWO_BYTES END_OF_TWO },
	{ "name that begins with CR",
	  OK_LINE TWO_BYTES "\rX-A: a\r\n" END_OF_TWO },
	{ "name that begins with CR, without a length",
	  OK_LINE "\rX-A: a\r\n" END_OF_TWO },
	{ "name with ESC", OK_LINE "\x1bX-A: a\r\n" TWO_BYTES END_OF_TWO },
	{ "name beyond ASCII",
	  OK_LINE "X-\xc3\xa9: a\r\n" TWO_BYTES END_OF_TWO },
	{ "name with a delimiter", OK_LINE "X(A): a\r\n" TWO_BYTES END_OF_TWO },
	{ "empty name", OK_LINE ": a\r\n" TWO_BYTES END_OF_TWO },
	{ "line without a colon", OK_LINE "X-A\r\n" TWO_BYTES END_OF_TWO },
	{ "name with a blank in an interim answer",
	  "HTTP/1.1 103 Early Hints\r\nX A: a\r\n\r\n" OK_LINE TWO_BYTES
		  END_OF_TWO },
	{ "value with a control byte",
	  OK_LINE "X-A: a\x01z\r\n" TWO_BYTES END_OF_TWO },
	{ "value that begins with a control byte",
	  OK_LINE "X-A: \x01z\r\n" TWO_BYTES END_OF_TWO },
	{ "value that begins with NUL",
	  bytes_of(OK_LINE "X-A: \0z\r\n" TWO_BYTES END_OF_TWO) },
	{ "value with NUL",
	  bytes_of(OK_LINE "X-A: a\0z\r\n" TWO_BYTES END_OF_TWO) },
	{ "value with CR", OK_LINE "X-A: a\rX-B: b\r\n" TWO_BYTES END_OF_TWO },
};

inline const BrokenAnswer broken_lengths[] = {
	{ "length that is empty", OK_LINE "Content-Length:\r\n" END_OF_TWO },
	{ "length that is no number",
	  OK_LINE "Content-Length: two\r\n" END_OF_TWO },
	{ "length that is no number at its end",
	  OK_LINE "Content-Length: 2x\r\n" END_OF_TWO },
	{ "negative length", OK_LINE "Content-Length: -2\r\n" END_OF_TWO },
	{ "length with a sign", OK_LINE "Content-Length: +2\r\n" END_OF_TWO },
	{ "length beyond 64 bits",
	  OK_LINE "Content-Length: 18446744073709551618\r\n" END_OF_TWO },
	{ "two lengths",
	  OK_LINE "Content-Length: 2\r\nContent-Length: 1\r\n" END_OF_TWO },
	{ "list of lengths", OK_LINE "Content-Length: 2, 1\r\n" END_OF_TWO },
	{ "length and chunks",
	  OK_LINE TWO_BYTES IN_CHUNKS "\r\n2\r\nhi\r\n0\r\n\r\n" },
	{ "chunks and length",
	  OK_LINE IN_CHUNKS TWO_BYTES "\r\n2\r\nhi\r\n0\r\n\r\n" },
	{ "unknown coding", OK_LINE "Transfer-Encoding: x\r\n\r\nhi" },
	{ "coding that was not offered",
	  OK_LINE "Transfer-Encoding: gzip\r\n\r\nhi" },
	{ "coding before the chunks",
	  OK_LINE "Transfer-Encoding: x, chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n" },
	{ "chunks before a coding",
	  OK_LINE "Transfer-Encoding: chunked, x\r\n\r\n2\r\nhi\r\n0\r\n\r\n" },
	{ "chunks in chunks",
	  OK_LINE IN_CHUNKS IN_CHUNKS "\r\n2\r\nhi\r\n0\r\n\r\n" },
};

inline const BrokenAnswer broken_chunks[] = {
	{ "size that is no number",
	  OK_LINE IN_CHUNKS "\r\nx\r\nhi\r\n0\r\n\r\n", true },
	{ "negative size", OK_LINE IN_CHUNKS "\r\n-2\r\nhi\r\n0\r\n\r\n",
	  true },
	{ "empty size", OK_LINE IN_CHUNKS "\r\n\r\nhi\r\n0\r\n\r\n", true },
	{ "size beyond 64 bits",
	  OK_LINE IN_CHUNKS "\r\n10000000000000002\r\nhi\r\n0\r\n\r\n", true },
	{ "chunk that is longer than its size",
	  OK_LINE IN_CHUNKS "\r\n2\r\nhiho\r\n0\r\n\r\n", true },
	{ "chunk that is two bytes longer than its size",
	  OK_LINE IN_CHUNKS "\r\n2\r\nhixx0\r\n\r\n", true },
	{ "chunk that ends with CR alone",
	  OK_LINE IN_CHUNKS "\r\n2\r\nhi\rx0\r\n\r\n", true },
	{ "chunk that is shorter than its size",
	  OK_LINE IN_CHUNKS "\r\n4\r\nhi\r\n0\r\n\r\n", true },
	{ "size that ends with CR alone",
	  OK_LINE IN_CHUNKS "\r\n2\rxhi\r\n0\r\n\r\n", true },
	{ "extension with LF",
	  OK_LINE IN_CHUNKS "\r\n2;a\nb\r\nhi\r\n0\r\n\r\n", true },
	{ "trailer with a blank in its name",
	  OK_LINE IN_CHUNKS "\r\n2\r\nhi\r\n0\r\nX A: a\r\n\r\n", true },
	{ "trailer with a control byte in its name",
	  OK_LINE IN_CHUNKS "\r\n2\r\nhi\r\n0\r\nX\x01: a\r\n\r\n", true },
	{ "trailer without a colon",
	  OK_LINE IN_CHUNKS "\r\n2\r\nhi\r\n0\r\nX-A\r\n\r\n", true },
	{ "trailers that end with CR alone",
	  OK_LINE IN_CHUNKS "\r\n2\r\nhi\r\n0\r\nX-A: a\r\n\rx", true },
};

#endif
