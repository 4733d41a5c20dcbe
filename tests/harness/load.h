/*
 * load - streams without pause from several threads, each answer checked.
 */
#ifndef HARNESS_LOAD_H
#define HARNESS_LOAD_H

#include <gtest/gtest.h>

#include <atomic>
#include <string>
#include <thread>
#include <vector>

#include "cluster.h"

namespace harness
{

/** Load - counts whole and failed answers until stop(). */
class Load
{
      public:
	Load(const std::vector<std::string> &urls, uint32_t threads,
	     uint32_t tokens)
	{
		for (uint32_t i = 0; i < threads; i++)
			workers.emplace_back([=] { run(urls, i, tokens); });
	}

	~Load()
	{
		stop();
	}

	void stop()
	{
		is_over = true;
		for (std::thread &worker : workers)
			if (worker.joinable())
				worker.join();
	}

	// Until so many more answers have come.
	bool more(long count)
	{
		long wanted = whole + count;

		return wait_until([&] { return whole >= wanted; });
	}

	std::atomic<long> whole{ 0 };
	std::atomic<long> failed{ 0 };

      private:
	void run(const std::vector<std::string> &urls, uint32_t id,
		 uint32_t tokens)
	{
		for (uint32_t n = 0; !is_over; n++) {
			std::string prompt = std::string(2000, 'a' + id % 3) +
					     std::to_string(id) + "-" +
					     std::to_string(n);
			Reply reply =
				call(urls[n % urls.size()] + "/v1/completions",
				     completion(prompt, tokens, true),
				     Cluster::team());
			bool is_right = ends_whole(reply) &&
					answer_text(reply) ==
						expected_text(prompt, "m", "v1",
							      tokens);

			whole += is_right;
			failed += !is_right;
			if (!is_right)
				ADD_FAILURE() << reply.status << " "
					      << reply.error << "\n"
					      << reply.body;
		}
	}

	std::atomic<bool> is_over{ false };
	std::vector<std::thread> workers;
};

// The stream is whole, and its text the engine's, byte for byte.
inline void expect_whole(Stream &stream, const std::string &prompt,
			 uint32_t tokens)
{
	Reply reply = stream.finish();

	EXPECT_TRUE(ends_whole(reply)) << reply.error << "\n" << reply.body;
	EXPECT_EQ(answer_text(reply), expected_text(prompt, "m", "v1", tokens));
}

} // namespace harness

#endif
