#include "process.h"

#include <fcntl.h>
#include <signal.h>
#include <stdlib.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <fstream>
#include <sstream>
#include <thread>

namespace harness
{

constexpr auto look_period = std::chrono::milliseconds(5);

bool wait_until(const std::function<bool()> &condition, int timeout_ms)
{
	auto deadline = std::chrono::steady_clock::now() +
			std::chrono::milliseconds(timeout_ms);

	while (!condition()) {
		if (std::chrono::steady_clock::now() > deadline)
			return false;
		std::this_thread::sleep_for(look_period);
	}
	return true;
}

Process::Process(const std::vector<std::string> &command,
		 const std::string &output_path,
		 const std::vector<std::string> &environment)
    : output_path(output_path)
{
	std::vector<char *> argv;

	for (const std::string &word : command)
		argv.push_back(const_cast<char *>(word.c_str()));
	argv.push_back(nullptr);
	child = fork();
	if (child)
		return;
	int fd = open(output_path.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);

	dup2(fd, STDOUT_FILENO);
	dup2(fd, STDERR_FILENO);
	for (const std::string &setting : environment)
		putenv(const_cast<char *>(setting.c_str()));
	execv(argv[0], argv.data());
	_exit(127);
}

Process::~Process()
{
	if (!is_running())
		return;
	kill(child, SIGKILL);
	waitpid(child, nullptr, 0);
}

void Process::signal(int number) const
{
	if (!is_reaped)
		kill(child, number);
}

bool Process::is_running()
{
	int status;

	if (is_reaped)
		return false;
	if (waitpid(child, &status, WNOHANG) != child)
		return true;
	is_reaped = true;
	exit_code = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
	return false;
}

int Process::wait(int timeout_ms)
{
	return wait_until([this] { return !is_running(); }, timeout_ms)
		       ? exit_code
		       : -2;
}

std::string Process::output() const
{
	return read_file(output_path);
}

std::string read_file(const std::string &path)
{
	std::ifstream file(path);
	std::ostringstream text;

	text << file.rdbuf();
	return text.str();
}

void write_file(const std::string &path, const std::string &text)
{
	std::ofstream(path) << text;
}

} // namespace harness
