/*
 * process - real processes under test, and waiting for conditions.
 */
#ifndef HARNESS_PROCESS_H
#define HARNESS_PROCESS_H

#include <sys/types.h>

#include <functional>
#include <string>
#include <vector>

namespace harness
{

constexpr int default_wait_ms = 20000;

/** wait_until() - look every few milliseconds; false after @timeout_ms. */
bool wait_until(const std::function<bool()> &condition,
		int timeout_ms = default_wait_ms);

/** Process - a child; its output goes to a file. Killed at the end. */
class Process
{
      public:
	Process(const std::vector<std::string> &command,
		const std::string &output_path,
		const std::vector<std::string> &environment = {});
	~Process();
	Process(const Process &) = delete;
	Process &operator=(const Process &) = delete;

	void signal(int number) const;

	/** wait() - its exit code, -1 for a signal, -2 if it still runs. */
	int wait(int timeout_ms = default_wait_ms);

	bool is_running();
	std::string output() const;
	pid_t pid() const
	{
		return child;
	}

      private:
	pid_t child;
	std::string output_path;
	bool is_reaped = false;
	int exit_code = 0;
};

/** read_file() - the text of a file, "" if there is none. */
std::string read_file(const std::string &path);
void write_file(const std::string &path, const std::string &text);

} // namespace harness

#endif
