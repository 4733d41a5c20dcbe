#include "fleet_config.h"

#include <algorithm>
#include <cstring>

namespace harness
{

static std::string route_json(const RouteText &r)
{
	return std::string("{\"name\":\"") + r.name +
	       "\",\"host\":\"h\",\"prefix\":\"/" + r.name + "/\",\"kind\":\"" +
	       r.kind + "\",\"timeout_ms\":" + std::to_string(r.timeout_ms) +
	       ",\"service\":\"" + r.service +
	       "\",\"max_attempts\":" + std::to_string(r.sends) +
	       ",\"resumable\":" + (r.is_resumable ? "true" : "false") + "}";
}

static std::string service_json(const RouteText &r)
{
	bool has_model = !strcmp(r.kind, "streaming");

	return std::string("{\"name\":\"") + r.service + "\"" +
	       (has_model ? ",\"engine\":{\"slots\":8}" : "") + "}";
}

static std::string joined(const std::vector<std::string> &items)
{
	std::string text;

	for (const std::string &item : items)
		text += (text.empty() ? "" : ",") + item;
	return text;
}

std::string fleet_config(int version, const std::vector<RouteText> &routes,
			 const std::string &keys)
{
	std::vector<std::string> route_list, service_list;

	for (const RouteText &r : routes) {
		std::string service = service_json(r);

		route_list.push_back(route_json(r));
		if (std::find(service_list.begin(), service_list.end(),
			      service) == service_list.end())
			service_list.push_back(service);
	}
	return "{\"version\":" + std::to_string(version) + ",\"routes\":[" +
	       joined(route_list) + "],\"services\":[" + joined(service_list) +
	       "],\"tenants\":[{\"name\":\"t1\",\"api_keys\":[" + keys + "]}]}";
}

std::unique_ptr<Process> start_gateway(Fleet &fleet,
				       const std::string &directory,
				       const std::string &host,
				       const Place &place,
				       const std::string &log)
{
	return std::make_unique<Process>(
		std::vector<std::string>{
			BALSAMPIN_PROGRAM, "gateway", "--settings",
			fleet.settings(directory, host, place) },
		directory + "/" + log);
}

} // namespace harness
