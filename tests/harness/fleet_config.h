/*
 * fleet_config - a configuration of the users' platform, and gateways for it.
 *
 * Overview
 *	The configuration as the operator writes it, with one team. A service
 *	with a streaming route is one of model engines.
 *
 * Use
 *	fleet.put("op", "config", fleet_config(1, {
 *		{ "look", "idempotent", "app", 2, false, 1500 } }, "\"k1\""));
 *	auto gateway = start_gateway(fleet, directory.path, "h1");
 */
#ifndef HARNESS_FLEET_CONFIG_H
#define HARNESS_FLEET_CONFIG_H

#include <memory>
#include <string>
#include <vector>

#include "fleet.h"
#include "process.h"

namespace harness
{

/** RouteText - a route of the host "h", with the prefix "/NAME/". */
struct RouteText {
	const char *name;
	const char *kind;
	const char *service;
	int sends;
	bool is_resumable;
	int timeout_ms;
};

/** fleet_config() - @keys: of the team, as a list of JSON texts. */
std::string fleet_config(int version, const std::vector<RouteText> &routes,
			 const std::string &keys);

/** start_gateway() - its log is DIRECTORY/LOG. */
std::unique_ptr<Process> start_gateway(Fleet &fleet,
				       const std::string &directory,
				       const std::string &host,
				       const Place &place = {},
				       const std::string &log = "log");

} // namespace harness

#endif
