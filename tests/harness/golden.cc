#include "golden.h"

#include <gtest/gtest.h>
#include <stdlib.h>

#include <map>
#include <regex>

#include "process.h"

namespace harness
{

namespace
{

// The same value gets the same name each time that it occurs.
std::string number_matches(const std::string &text, const std::regex &pattern,
			   const std::string &name)
{
	std::map<std::string, std::string> names;
	std::string out;
	size_t at = 0;

	for (std::sregex_iterator i(text.begin(), text.end(), pattern), end;
	     i != end; ++i) {
		std::string &replacement = names[i->str()];

		if (replacement.empty())
			replacement = "<" + name + " " +
				      std::to_string(names.size()) + ">";
		out += text.substr(at, (size_t)i->position() - at) +
		       replacement;
		at = (size_t)(i->position() + i->length());
	}
	return out + text.substr(at);
}

} // namespace

std::string normalize(const std::string &text)
{
	static const std::regex address("127(\\.[0-9]{1,3}){3}(:[0-9]+)?");
	static const std::regex date("[A-Z][a-z]{2}, [0-9]{2} [A-Z][a-z]{2} "
				     "[0-9]{4} [0-9:]{8} GMT");
	static const std::regex time("\\b1[0-9]{12,19}\\b");
	static const std::regex id("\\b[0-9a-f]{16,64}\\b");
	static const std::regex stamp("[0-9]{4}-[0-9]{2}-[0-9]{2}T[0-9:.]+Z");
	static const std::regex amount(
		"\\b(ms|cost_us|new_tokens|tokens|index)=[0-9]+");
	// Depends on how soon the cache events come.
	static const std::regex reason("\\breason=(placement|cache)\\b");
	static const std::regex engine("\\bengine[0-9]+\\b");
	std::string out = std::regex_replace(text, date, "<date>");

	out = std::regex_replace(out, stamp, "<time>");
	out = std::regex_replace(out, amount, "$1=<n>");
	out = std::regex_replace(out, reason, "reason=<reason>");
	out = number_matches(out, engine, "engine");

	out = number_matches(out, address, "address");
	out = number_matches(out, time, "time");
	return number_matches(out, id, "id");
}

void expect_golden(const std::string &name, const std::string &session)
{
	std::string path = std::string(GOLDEN_DIR) + "/" + name + ".txt";
	std::string actual = normalize(session);

	if (getenv("BALSAMPIN_RENEW")) {
		write_file(path, actual);
		return;
	}
	EXPECT_EQ(read_file(path), actual)
		<< "renew with BALSAMPIN_RENEW=1, then look at git diff";
}

} // namespace harness
