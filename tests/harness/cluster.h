/*
 * cluster - hosts of balsampin and their stand-ins, as real processes.
 *
 * Overview
 *	Each host has a loopback address of its own, derived from the test's
 *	process id, and the same ports, so that tests that run side by side do
 *	not meet. Settings and logs are in a temporary directory.
 *
 * Use
 *	Cluster c({ .engines = 3 });
 *	c.start();
 *	Reply r = call(c.entry_url(0) + "/v1/completions", body, c.team());
 */
#ifndef HARNESS_CLUSTER_H
#define HARNESS_CLUSTER_H

#include <json-c/json.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "http.h"
#include "process.h"

namespace harness
{

/** small_engine - fields of a quick engine with blocks of 400 bytes. */
constexpr char small_engine[] =
	"{\"models\":[{\"model\":\"m\",\"version\":\"v1\"}],"
	"\"block_tokens\":100,\"cache_blocks\":1000,\"token_ms\":5,"
	"\"prefill_tokens_per_s\":100000,\"event_delay_ms\":20,"
	"\"load_period_ms\":50,\"load_ms\":50}";

/**
 * Options - of a cluster. Hosts and engines are spread over the zones in turn.
 * @zones: ZONE or ZONE:REGION; the region is r1 if left out.
 * @engine_defaults: JSON object, fields of sa.h.
 * @limits: JSON object, fields of cf_limits.
 * @services: names of plain services.
 */
struct Options {
	uint32_t hosts = 1;
	uint32_t engines = 2;
	std::vector<std::string> zones = { "z1" };
	std::string engine_defaults = small_engine;
	std::string limits = "{}";
	std::vector<std::string> services = { "dispatch" };
};

/** TemporaryDirectory - removed at the end unless the test failed. */
struct TemporaryDirectory {
	TemporaryDirectory();
	~TemporaryDirectory();
	TemporaryDirectory(const TemporaryDirectory &) = delete;
	TemporaryDirectory &operator=(const TemporaryDirectory &) = delete;

	std::string path;
};

/** StandIns - the process that plays engines, services and platform. */
class StandIns
{
      public:
	StandIns(const Options &options, const std::string &directory,
		 const std::string &hosts = "[]");

	/** fault() - switch a fault on; NAME of POST /faults/NAME. */
	void fault(const std::string &name, const std::string &json);

	/** records() - the value at a JSON pointer of /records, as text. */
	std::string record(const std::string &pointer);
	long number(const std::string &pointer);

	/** runs() - sum over the engines of one number of their records. */
	long sum(const std::string &name);

	/** run_list() - a line for each run at an engine, without its times. */
	std::string run_list();

	/** engine_with() - the first whose record has more than 0; or -1. */
	int engine_with(const std::string &name);

	std::string engine_url(uint32_t index) const;
	std::string service_url(uint32_t index) const;
	std::string platform_url() const;
	std::string control_url() const;

	/** stop() - SIGTERM and the exit code. */
	int stop();

      private:
	uint32_t engine_count;
	std::unique_ptr<Process> process;
};

/** Cluster - hosts with three processes each, and the stand-ins. */
class Cluster
{
      public:
	explicit Cluster(const Options &options);
	~Cluster();
	Cluster(const Cluster &) = delete;
	Cluster &operator=(const Cluster &) = delete;

	/** start() - everything, then the configuration. */
	void start();

	/** serves() - its entry has a configuration and knows every member. */
	bool serves(uint32_t host);

	/** start_process() - ROLE of one host, again after it ended. */
	void start_process(uint32_t host, const std::string &role);

	Process &process(uint32_t host, const std::string &role);
	std::string entry_url(uint32_t host) const;
	std::string settings_path(uint32_t host) const;

	/** team() - header that names the team of the configuration. */
	static Headers team();

	/** configure() - put an object into the platform's tables. */
	void configure(const std::string &kind, const std::string &name,
		       const std::string &json);

	/** stop() - SIGTERM to all; true if each ended with exit code 0. */
	bool stop();

	/** timeline() - gathered from all processes that still answer. */
	std::string timeline();

	/** timeline_of() - its lines that name one of the subjects. */
	std::string timeline_of(const std::vector<std::string> &subjects);

	std::unique_ptr<StandIns> stand_ins;

      private:
	std::string settings(uint32_t host) const;
	void print_failure();
	void await_signal_handlers();

	Options options;
	TemporaryDirectory directory;
	std::map<std::string, std::unique_ptr<Process>> processes;
	uint64_t change_count = 0;
};

/** completion() - body of a request for a completion by the model "m". */
std::string completion(const std::string &prompt, uint32_t tokens,
		       bool is_stream, const std::string &more = "");

/** host_address() - loopback address @index of this test process, 0 to 15. */
std::string host_address(uint32_t index);

} // namespace harness

#endif
