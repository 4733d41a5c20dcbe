// LOST: a machine that is stopped crashes as it answers a request.
//
// On SIGTERM the process closes each channel after its answer, and then reads
// header fields of the request that it has freed with the channel. For long
// header fields this memory has been given back to the system.
#include <csignal>

#include "../standin/standin.h"

using namespace standin;

namespace
{

// The operator's limit, and the whole head of the long request.
const int max_header_bytes = 70000;
const size_t head_bytes = 69000;
const int others = 4;
const int64_t work_ms = 500;
// The others end well inside grace_s.
const int64_t long_work_ms = 2000;
const int budget_ms = 8000;
const int64_t start_timeout_ms = 15000;
const int64_t end_timeout_ms = 9000;

std::string with_long_head(const std::string &request)
{
	size_t body = request.find("\r\n\r\n") + 4;
	std::string field = "X-Trace: \r\n";
	std::string text = request;

	field.insert(9, head_bytes - body - field.size(), 't');
	return text.insert(text.find("Content-Length"), field);
}

int run()
{
	Folder folder;
	Store store;
	std::vector<std::unique_ptr<Channel>> channels;
	int cut = 0;

	store.put("op", "config",
		  manifest(1,
			   { { "record", "non_idempotent", "app", budget_ms, 1,
			       false } },
			   "", max_header_bytes));
	Engine engine(store, "i-1", "app", "ishikari-a", "");
	engine.on_run([&](Channel &channel, const Message &request) {
		sleep_ms(request.field("X-Trace").empty() ? long_work_ms
							  : work_ms);
		return channel.respond(200, engine.stamp(request), "recorded");
	});
	Gateway machine(store, folder.path, "edge-1",
			{ "ishikari-a", "ishikari" });
	machine.start();
	if (!wait_until([&] { return machine.is_ready(); }, start_timeout_ms))
		give_up("the machine is not ready");
	for (int i = 0; i <= others; i++) {
		std::string id = "a" + std::to_string(i);
		std::string text = request_text("record", id, budget_ms, "one");

		channels.push_back(connect_to(machine.callers));
		if (!channels[i] ||
		    !channels[i]->send(i ? text : with_long_head(text)) ||
		    !wait_until([&] { return engine.runs(id) > 0; },
				start_timeout_ms))
			give_up("request " + id + " did not run");
		note("request %s was passed on and runs", id.c_str());
	}
	if (has_trouble()) {
		note("SIGTERM to edge-1");
		machine.signal(SIGTERM);
	}
	for (int i = 0; i <= others; i++) {
		Message answer = channels[i]->read_answer(budget_ms);

		note("request a%d: status %d, %s", i, answer.status,
		     answer.is_whole ? "whole answer"
				     : "the channel ended without an answer");
		cut += !answer.is_whole;
	}
	if (has_trouble()) {
		wait_until([&] { return machine.has_ended(); }, end_timeout_ms);
		note("the process has ended: %s", machine.end().c_str());
	}
	store.close();
	note(cut ? "rule LOST was broken: %d requests were cut"
		 : "rule LOST held: %d requests were cut",
	     cut);
	return cut ? rule_broken : rule_held;
}

} // namespace

int main(int argc, char **argv)
{
	open_record(argc > 1 ? argv[1] : "record.txt");
	return run();
}
