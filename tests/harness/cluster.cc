#include "cluster.h"

#include <gtest/gtest.h>
#include <glib.h>
#include <signal.h>
#include <stdlib.h>
#include <unistd.h>

#include <filesystem>
#include <sstream>

namespace harness
{

namespace
{

constexpr uint32_t stand_in_index = 15;
constexpr int control_port = 7000;
constexpr int platform_port = 2379;
constexpr int first_engine_port = 9000;
constexpr int first_service_port = 9100;
constexpr int entry_http_port = 8080;
constexpr int index_http_port = 8081;
constexpr int control_http_port = 8082;
constexpr int entry_rpc_port = 7001;
constexpr int index_rpc_port = 7002;
constexpr int control_rpc_port = 7003;
const char *const roles[] = { "control", "index", "entry" };
const char team_key[] = "key-of-team-a";

std::string quote(const std::string &text)
{
	return "\"" + text + "\"";
}

std::string field(const std::string &name, const std::string &value)
{
	return quote(name) + ":" + quote(value);
}

std::string field(const std::string &name, int value)
{
	return quote(name) + ":" + std::to_string(value);
}

std::string base64(const std::string &text)
{
	gchar *encoded =
		g_base64_encode((const guchar *)text.data(), text.size());
	std::string out = encoded;

	g_free(encoded);
	return out;
}

std::string sha256(const std::string &text)
{
	gchar *hex = g_compute_checksum_for_string(G_CHECKSUM_SHA256,
						   text.c_str(), -1);
	std::string out = hex;

	g_free(hex);
	return out;
}

std::string url(uint32_t index, int port)
{
	return "http://" + host_address(index) + ":" + std::to_string(port);
}

std::string zone_of(const Options &options, uint32_t index)
{
	std::string zone = options.zones[index % options.zones.size()];

	return zone.substr(0, zone.find(':'));
}

std::string region_of(const Options &options, uint32_t index)
{
	std::string zone = options.zones[index % options.zones.size()];
	size_t colon = zone.find(':');

	return colon == std::string::npos ? "r1" : zone.substr(colon + 1);
}

std::string place(const Options &options, uint32_t index)
{
	return field("zone", zone_of(options, index)) + "," +
	       field("region", region_of(options, index));
}

std::string host_name(uint32_t host)
{
	return "host" + std::to_string(host);
}

// The JSON file of the stand-ins.
std::string stand_in_file(const Options &options, const std::string &hosts)
{
	std::string address = field("address", host_address(stand_in_index));
	std::string out = "{\"control\":{" + address + "," +
			  field("port", control_port) +
			  "},\"engine_defaults\":" + options.engine_defaults +
			  ",\"engines\":[";

	for (uint32_t i = 0; i < options.engines; i++)
		out += std::string(i ? "," : "") + "{" +
		       field("name", "engine" + std::to_string(i)) + "," +
		       address + "," +
		       field("port", first_engine_port + (int)i) + "," +
		       place(options, i) + "}";
	out += "],\"services\":[";
	for (uint32_t i = 0; i < options.services.size(); i++)
		out += std::string(i ? "," : "") + "{" +
		       field("name", options.services[i]) + "," + address +
		       "," + field("port", first_service_port + (int)i) + "," +
		       place(options, i) + "}";
	return out + "],\"platform\":{" + address + "," +
	       field("port", platform_port) + ",\"hosts\":" + hosts + "}}";
}

// Entry hosts as the platform's host list shows them.
std::string host_entries(const Options &options)
{
	std::string out = "[";

	for (uint32_t i = 0; i < options.hosts; i++) {
		std::string target =
			host_address(i) + ":" + std::to_string(entry_http_port);

		out += std::string(i ? "," : "") + "{\"targets\":[" +
		       quote(target) + "],\"labels\":{" +
		       field("name", host_name(i)) + "," +
		       field("kind", "entry") + "," + place(options, i) + "," +
		       field("state", "live") + "," +
		       field("entry_http", std::to_string(entry_http_port)) +
		       "," +
		       field("entry_rpc", std::to_string(entry_rpc_port)) +
		       "," +
		       field("index_rpc", std::to_string(index_rpc_port)) +
		       "," +
		       field("control_rpc", std::to_string(control_rpc_port)) +
		       "}}";
	}
	return out + "]";
}

} // namespace

std::string host_address(uint32_t index)
{
	uint32_t pid = (uint32_t)getpid();

	return "127." + std::to_string(64 + (pid >> 12) % 64) + "." +
	       std::to_string((pid >> 4) & 0xff) + "." +
	       std::to_string((pid & 15) << 4 | index);
}

std::string completion(const std::string &prompt, uint32_t tokens,
		       bool is_stream, const std::string &more)
{
	return "{" + field("model", "m") + "," + field("prompt", prompt) + "," +
	       field("max_tokens", (int)tokens) +
	       ",\"stream\":" + (is_stream ? "true" : "false") + more + "}";
}

TemporaryDirectory::TemporaryDirectory()
    : path(testing::TempDir() + "balsampin-XXXXXX")
{
	EXPECT_TRUE(mkdtemp(path.data()));
}

TemporaryDirectory::~TemporaryDirectory()
{
	if (testing::Test::HasFailure())
		printf("logs and settings are in %s\n", path.c_str());
	else
		std::filesystem::remove_all(path);
}

StandIns::StandIns(const Options &options, const std::string &directory,
		   const std::string &hosts)
    : engine_count(options.engines)
{
	std::string file = directory + "/standin.json";

	write_file(file, stand_in_file(options, hosts));
	process = std::make_unique<Process>(
		std::vector<std::string>{ STANDIN_PROGRAM, file },
		directory + "/standin.log");
	EXPECT_TRUE(wait_until([this] {
		return process->output().find("\"ready\"") != std::string::npos;
	})) << process->output();
}

void StandIns::fault(const std::string &name, const std::string &json)
{
	EXPECT_EQ(call(control_url() + "/faults/" + name, json).status, 200)
		<< name << " " << json;
}

std::string StandIns::record(const std::string &pointer)
{
	json_object *all = json_tokener_parse(
		call(control_url() + "/records").body.c_str());
	json_object *found = nullptr;
	std::string text;

	if (all && !json_pointer_get(all, pointer.c_str(), &found) && found)
		text = json_object_get_string(found);
	json_object_put(all);
	return text;
}

long StandIns::number(const std::string &pointer)
{
	return strtol(record(pointer).c_str(), nullptr, 10);
}

long StandIns::sum(const std::string &name)
{
	long total = 0;

	for (uint32_t i = 0; i < engine_count; i++)
		total += number("/engines/engine" + std::to_string(i) + "/" +
				name);
	return total;
}

std::string StandIns::run_list()
{
	std::string out;

	for (uint32_t i = 0; i < engine_count; i++) {
		std::string engine = "engine" + std::to_string(i);
		std::string runs = "/engines/" + engine + "/runs/";

		for (int n = 0;; n++) {
			std::string run = runs + std::to_string(n) + "/";
			std::string state = record(run + "state");

			if (state.empty())
				break;
			out += engine + " " + state + " cached_blocks=" +
			       record(run + "cached_blocks") +
			       " computed_blocks=" +
			       record(run + "computed_blocks") +
			       (number(run + "answered_tokens") ? " continued"
								: "") +
			       "\n";
		}
	}
	return out;
}

int StandIns::engine_with(const std::string &name)
{
	for (uint32_t i = 0; i < engine_count; i++)
		if (number("/engines/engine" + std::to_string(i) + "/" + name))
			return (int)i;
	return -1;
}

std::string StandIns::engine_url(uint32_t index) const
{
	return url(stand_in_index, first_engine_port + (int)index);
}

std::string StandIns::service_url(uint32_t index) const
{
	return url(stand_in_index, first_service_port + (int)index);
}

std::string StandIns::platform_url() const
{
	return url(stand_in_index, platform_port);
}

std::string StandIns::control_url() const
{
	return url(stand_in_index, control_port);
}

int StandIns::stop()
{
	process->signal(SIGTERM);
	return process->wait();
}

Cluster::Cluster(const Options &options) : options(options)
{
}

Cluster::~Cluster()
{
	print_failure();
}

void Cluster::print_failure()
{
	if (testing::Test::HasFailure() && !processes.empty())
		printf("time line:\n%s\n", timeline().c_str());
}

std::string Cluster::settings(uint32_t host) const
{
	std::string base = url(stand_in_index, platform_port);
	std::string out = "{\"host\":{" + field("name", host_name(host)) + "," +
			  place(options, host) + "," +
			  field("address", host_address(host)) + "}";
	struct {
		const char *role;
		int http;
		int rpc;
	} ports[] = { { "entry", entry_http_port, entry_rpc_port },
		      { "index", index_http_port, index_rpc_port },
		      { "control", control_http_port, control_rpc_port } };

	for (const auto &p : ports)
		out += ",\"" + std::string(p.role) + "\":{" +
		       field("http_port", p.http) + "," +
		       field("rpc_port", p.rpc) + "}";
	out += ",\"peers\":[";
	for (uint32_t i = 0, count = 0; i < options.hosts; i++) {
		if (i == host)
			continue;
		out += std::string(count++ ? "," : "") + "{" +
		       field("name", host_name(i)) + "," + place(options, i) +
		       "," + field("address", host_address(i));
		for (const auto &p : ports)
			out += "," +
			       field(p.role + std::string("_http_port"),
				     p.http) +
			       "," +
			       field(p.role + std::string("_rpc_port"), p.rpc);
		out += "}";
	}
	return out + "],\"platform\":{" + field("kind", "http") + "," +
	       field("tables_url", base) + "," +
	       field("objects_url", base + "/objects") + "," +
	       field("hosts_url", base + "/hosts") +
	       "},\"limits\":" + options.limits + "," +
	       field("rpc_key", sha256("key of the test's processes")) + "," +
	       field("operator_key_sha256", sha256("operator")) + "}\n";
}

std::string Cluster::settings_path(uint32_t host) const
{
	return directory.path + "/" + host_name(host) + ".json";
}

std::string Cluster::entry_url(uint32_t host) const
{
	return url(host, entry_http_port);
}

void Cluster::start_process(uint32_t host, const std::string &role)
{
	std::string name = host_name(host) + "-" + role;

	processes[name].reset();
	processes[name] = std::make_unique<Process>(
		std::vector<std::string>{ BALSAMPIN_PROGRAM, role, "--settings",
					  settings_path(host) },
		directory.path + "/" + name + ".log");
}

Process &Cluster::process(uint32_t host, const std::string &role)
{
	return *processes.at(host_name(host) + "-" + role);
}

void Cluster::start()
{
	stand_ins = std::make_unique<StandIns>(options, directory.path,
					       host_entries(options));
	configure("team", "a",
		  "{" + field("key_sha256", sha256(team_key)) + "}");
	configure("model", "m", "{" + field("version", "v1") + "}");
	configure("route", "r", "{" + field("model", "m") + "}");
	for (const std::string &service : options.services)
		configure("service", service, "{}");
	for (uint32_t host = 0; host < options.hosts; host++) {
		write_file(settings_path(host), settings(host));
		for (const char *role : roles)
			start_process(host, role);
	}
	for (uint32_t host = 0; host < options.hosts; host++)
		ASSERT_TRUE(wait_until([&] { return serves(host); }))
			<< process(host, "entry").output();
}

bool Cluster::serves(uint32_t host)
{
	std::string metrics = call(entry_url(host) + "/metrics").body;
	size_t at = metrics.find("\nbalsampin_members ");
	size_t all = options.hosts * std::size(roles) + options.engines +
		     options.services.size();

	return call(entry_url(host) + "/healthz").status == 200 &&
	       at != std::string::npos &&
	       strtoul(metrics.c_str() + metrics.find(' ', at), nullptr, 10) >=
		       all;
}

Headers Cluster::team()
{
	return { std::string("Authorization: Bearer ") + team_key,
		 "Content-Type: application/json" };
}

void Cluster::configure(const std::string &kind, const std::string &name,
			const std::string &json)
{
	auto put = [](const std::string &key, const std::string &value) {
		return "{\"request_put\":{" + field("key", base64(key)) + "," +
		       field("value", base64(value)) + "}}";
	};
	std::string changes =
		"{\"changes\":[" + quote(std::to_string(++change_count)) + "]}";
	std::string txn = "{\"success\":[" +
			  put("config/" + kind + "/" + name, json) + "," +
			  put("config/head", changes) + "]}";

	ASSERT_EQ(call(stand_ins->platform_url() + "/v3/kv/txn", txn).status,
		  200);
}

// A process that gets SIGTERM before its main() has set up signals ends by it,
// which no program can avoid; on a loaded machine that takes a second.
void Cluster::await_signal_handlers()
{
	static const std::map<std::string, int> ports = {
		{ "entry", entry_http_port },
		{ "index", index_http_port },
		{ "control", control_http_port },
	};

	for (uint32_t host = 0; host < options.hosts; host++)
		for (const auto &port : ports) {
			auto it = processes.find(host_name(host) + "-" +
						 port.first);
			std::string health =
				url(host, port.second) + "/healthz";

			if (it == processes.end() || !it->second)
				continue;
			EXPECT_TRUE(wait_until([&] {
				return !it->second->is_running() ||
				       call(health).status > 0;
			})) << it->first
			    << ": " << it->second->output();
		}
}

bool Cluster::stop()
{
	bool all = true;

	print_failure();
	await_signal_handlers();
	for (auto &entry : processes)
		entry.second->signal(SIGTERM);
	for (auto &entry : processes) {
		int code = entry.second->wait();

		EXPECT_EQ(code, 0)
			<< entry.first << ": " << entry.second->output();
		all = all && code == 0;
	}
	processes.clear();
	return stand_ins->stop() == 0 && all;
}

std::string Cluster::timeline()
{
	std::string path = directory.path + "/timeline.txt";

	// A process appends to its output; each time line stands alone.
	std::remove(path.c_str());

	Process command({ BALSAMPIN_PROGRAM, "timeline", "--settings",
			  settings_path(0) },
			path);

	command.wait();
	return read_file(path);
}

std::string Cluster::timeline_of(const std::vector<std::string> &subjects)
{
	std::istringstream lines(timeline());
	std::string line;
	std::string out;

	while (std::getline(lines, line))
		for (const std::string &subject : subjects)
			if (line.find(" " + subject) != std::string::npos) {
				out += line + "\n";
				break;
			}
	return out;
}

} // namespace harness
