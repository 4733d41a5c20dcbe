#include "http.h"

#include <curl/curl.h>
#include <json-c/json.h>

#include <algorithm>

extern "C" {
#include "http1/h1_check.h"
}

#include "bench/bench_answer.h"

namespace harness
{

namespace
{

size_t append(char *data, size_t size, size_t count, void *arg)
{
	static_cast<std::string *>(arg)->append(data, size * count);
	return size * count;
}

// What the lines of an answer are checked for, as libcurl takes any.
struct Head {
	struct h1_check check;
	std::map<std::string, std::string> *headers;
	bool is_valid = true;
};

size_t on_header(char *data, size_t size, size_t count, void *arg)
{
	auto *head = static_cast<Head *>(arg);
	auto *headers = head->headers;
	std::string line(data, size * count);
	size_t colon = line.find(": ");

	if (h1_check_line(&head->check, data, size * count) != ST_OK)
		head->is_valid = false;

	if (colon != std::string::npos) {
		std::string name = line.substr(0, colon);

		std::transform(name.begin(), name.end(), name.begin(),
			       ::tolower);
		(*headers)[name] =
			line.substr(colon + 2, line.size() - colon - 4);
	}
	return size * count;
}

// One request and what it owns.
class Request
{
      public:
	Request(const std::string &url, const std::string &body,
		const Headers &headers, const std::string &method,
		int timeout_ms, Reply *reply)
	    : easy(curl_easy_init()), reply(reply)
	{
		h1_check_init(&head.check);
		head.headers = &reply->headers;
		for (const std::string &header : headers)
			list = curl_slist_append(list, header.c_str());
		list = curl_slist_append(list, "Expect:");
		curl_easy_setopt(easy, CURLOPT_URL, url.c_str());
		curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
		curl_easy_setopt(easy, CURLOPT_HTTPHEADER, list);
		curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, (long)timeout_ms);
		curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, on_header);
		curl_easy_setopt(easy, CURLOPT_HEADERDATA, &head);
		curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, append);
		curl_easy_setopt(easy, CURLOPT_WRITEDATA, &reply->body);
		if (!body.empty()) {
			curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE,
					 (long)body.size());
			curl_easy_setopt(easy, CURLOPT_COPYPOSTFIELDS,
					 body.c_str());
		}
		if (!method.empty())
			curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST,
					 method.c_str());
	}

	~Request()
	{
		h1_check_finish(&head.check);
		curl_slist_free_all(list);
		curl_easy_cleanup(easy);
	}

	Request(const Request &) = delete;
	Request &operator=(const Request &) = delete;

	void run()
	{
		CURLcode code = curl_easy_perform(easy);

		curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &reply->status);
		reply->complete = code == CURLE_OK && head.is_valid &&
				  h1_check_is_final(&head.check);
		reply->error = code == CURLE_OK ? "" : curl_easy_strerror(code);
		if (!head.is_valid)
			reply->error = "no valid answer";
	}

	CURL *easy;

      private:
	Head head;
	Reply *reply;
	curl_slist *list = nullptr;
};

// The text of a token or of a plain answer, chat or not.
std::string text_of(const std::string &json)
{
	json_object *o = json_tokener_parse(json.c_str());
	json_object *found = nullptr;
	std::string text;

	for (const char *path : { "/choices/0/text", "/choices/0/delta/content",
				  "/choices/0/message/content" })
		if (o && !json_pointer_get(o, path, &found) && found)
			text += json_object_get_string(found);
	json_object_put(o);
	return text;
}

} // namespace

Reply call(const std::string &url, const std::string &body,
	   const Headers &headers, const std::string &method, int timeout_ms)
{
	Reply reply;

	Request(url, body, headers, method, timeout_ms, &reply).run();
	return reply;
}

std::vector<Event> parse_events(const std::string &text)
{
	std::vector<Event> events;
	Event event;
	size_t at = 0;
	size_t end;

	while ((end = text.find('\n', at)) != std::string::npos) {
		std::string line = text.substr(at, end - at);

		at = end + 1;
		if (line.empty()) {
			events.push_back(event);
			event = Event();
		} else if (!line.compare(0, 4, "id: ")) {
			event.id = line.substr(4);
		} else if (!line.compare(0, 7, "event: ")) {
			event.name = line.substr(7);
		} else if (!line.compare(0, 6, "data: ")) {
			event.data += line.substr(6);
		}
	}
	return events;
}

std::string answer_text(const Reply &reply)
{
	std::string text;

	if (!reply.body.empty() && reply.body[0] == '{')
		return text_of(reply.body);
	for (const Event &event : parse_events(reply.body))
		text += text_of(event.data);
	return text;
}

bool ends_whole(const Reply &reply)
{
	std::vector<Event> events = parse_events(reply.body);

	return reply.complete && reply.status == 200 && !events.empty() &&
	       events.back().data == "[DONE]";
}

std::string expected_text(const std::string &prompt, const std::string &model,
			  const std::string &version, uint32_t tokens)
{
	uint64_t seed = bench_answer_seed(prompt.data(), prompt.size(),
					  model.c_str(), version.c_str());
	std::string text;

	for (uint32_t i = 0; i < tokens; i++) {
		char token[BENCH_TOKEN_BYTES + 1];

		bench_answer_token(seed, i, token);
		text += token;
	}
	return text;
}

size_t stream_write(char *data, size_t size, size_t count, void *arg)
{
	auto *stream = static_cast<Stream *>(arg);
	std::lock_guard<std::mutex> lock(stream->mutex);

	stream->reply.body.append(data, size * count);
	stream->changed.notify_all();
	return size * count;
}

int stream_progress(void *arg, long, long, long, long)
{
	return static_cast<Stream *>(arg)->is_hung_up ? 1 : 0;
}

Stream::Stream(const std::string &url, const std::string &body,
	       const Headers &headers, int timeout_ms)
{
	thread = std::thread([=] {
		Reply end;
		Request request(url, body, headers, "", timeout_ms, &end);

		curl_easy_setopt(request.easy, CURLOPT_WRITEFUNCTION,
				 stream_write);
		curl_easy_setopt(request.easy, CURLOPT_WRITEDATA, this);
		curl_easy_setopt(request.easy, CURLOPT_NOPROGRESS, 0L);
		curl_easy_setopt(request.easy, CURLOPT_XFERINFOFUNCTION,
				 stream_progress);
		curl_easy_setopt(request.easy, CURLOPT_XFERINFODATA, this);
		request.run();
		std::lock_guard<std::mutex> lock(mutex);
		end.body = reply.body;
		reply = end;
		is_over = true;
		changed.notify_all();
	});
}

Stream::~Stream()
{
	is_hung_up = true;
	if (thread.joinable())
		thread.join();
}

std::vector<Event> Stream::events()
{
	std::lock_guard<std::mutex> lock(mutex);

	return parse_events(reply.body);
}

bool Stream::wait_events(size_t count)
{
	std::unique_lock<std::mutex> lock(mutex);

	changed.wait(lock, [&] {
		return is_over || parse_events(reply.body).size() >= count;
	});
	return parse_events(reply.body).size() >= count;
}

Reply Stream::finish()
{
	if (thread.joinable())
		thread.join();
	return reply;
}

void Stream::hang_up()
{
	is_hung_up = true;
	finish();
}

} // namespace harness
