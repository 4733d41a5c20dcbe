/*
 * json - a reader of the few JSON messages that the stand-ins receive.
 */
#ifndef STANDIN_JSON_H
#define STANDIN_JSON_H

#include <cstdint>
#include <cstdlib>
#include <map>
#include <string>
#include <vector>

namespace standin
{

/** Json - a value: @text of a string or number, @items, or @members. */
struct Json {
	bool is_present = false;
	std::string text;
	std::vector<Json> items;
	std::map<std::string, Json> members;

	/** parse() - a missing value if @source is not JSON. */
	static Json parse(const std::string &source)
	{
		size_t at = 0;

		return read(source, at);
	}

	const Json &operator[](const std::string &name) const
	{
		static const Json missing;
		auto it = members.find(name);

		return it == members.end() ? missing : it->second;
	}

	int64_t number() const
	{
		return strtoll(text.c_str(), nullptr, 10);
	}

      private:
	static char next(const std::string &s, size_t &at)
	{
		at = s.find_first_not_of(" \t\r\n", at);
		if (at == std::string::npos)
			at = s.size();
		return at < s.size() ? s[at] : '\0';
	}

	static std::string read_string(const std::string &s, size_t &at)
	{
		std::string out;

		for (at++; at < s.size() && s[at] != '"'; at++) {
			if (s[at] == '\\')
				at++;
			if (at < s.size())
				out += s[at];
		}
		at++;
		return out;
	}

	static Json read(const std::string &s, size_t &at)
	{
		Json value;
		char c = next(s, at);

		value.is_present = c != '\0';
		if (c == '{' || c == '[') {
			bool is_object = c == '{';

			at++;
			while ((c = next(s, at)) && c != '}' && c != ']') {
				std::string name;

				if (c == ',') {
					at++;
					continue;
				}
				if (!is_object) {
					value.items.push_back(read(s, at));
					continue;
				}
				name = read_string(s, at);
				if (next(s, at) == ':')
					at++;
				value.members[name] = read(s, at);
			}
			at++;
		} else if (c == '"') {
			value.text = read_string(s, at);
		} else {
			size_t end = s.find_first_of(",]} \t\r\n", at);

			end = end == std::string::npos ? s.size() : end;
			value.text = s.substr(at, end - at);
			at = end == at ? at + 1 : end;
		}
		return value;
	}
};

} // namespace standin

#endif
