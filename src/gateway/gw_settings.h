/*
 * gw_settings - settings of a gateway process.
 *
 * Overview
 *	A JSON file with comments, checked as a whole: every finding is
 *	reported with its place. Unknown members are left alone, so that
 *	a newer file serves an older program.
 *
 * Use
 *	code = gw_settings_load(&settings, path, &findings);
 *	gw_settings_finish(&settings);
 */
#ifndef GW_SETTINGS_H
#define GW_SETTINGS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "kernel/st.h"
#include "settings/fd.h"

/** struct gw_listen - an address to listen on; no address: none. */
struct gw_listen {
	char address[16];
	uint16_t port;
};

/**
 * struct gw_settings - all times in ms.
 * @host: name of this host.
 * @callers: where callers connect.
 * @readiness: where the balancer asks whether this host takes connections.
 * @peers: where the other hosts' messages arrive; none: this host is alone.
 * @metrics: counters; on the readiness address if it has none.
 * @dialect: plug-in of the platform.
 * @store_address: "IP:PORT" of the row store.
 * @regions: region of each availability zone.
 * @grace_ms: between SIGTERM and SIGKILL.
 * @config_ms: a configuration is in force everywhere by then.
 * @revoke_ms: a key that was taken away is refused everywhere by then.
 * @weights_ms: no request begins on older weights after that.
 * @lease_ms: two hosts' orders to an engine are that far apart.
 * @retry_ratio: repeats at a service, of its requests.
 * @retry_floor: repeats of all hosts together that are always allowed.
 */
struct gw_settings {
	char *host;
	char *zone;
	char *region;
	struct gw_listen callers;
	struct gw_listen readiness;
	struct gw_listen metrics;
	struct gw_listen peers;
	char *dialect;
	char *store_address;
	GHashTable *regions;
	int64_t grace_ms;
	int64_t config_ms;
	int64_t revoke_ms;
	int64_t weights_ms;
	int64_t lease_ms;
	double retry_ratio;
	int64_t retry_floor;
};

enum st_code gw_settings_load(struct gw_settings *settings, const char *path,
			      struct fd_list *findings);
void gw_settings_finish(struct gw_settings *settings);

/** gw_region_of() - of a zone, "" if it is unknown. */
const char *gw_region_of(const struct gw_settings *settings, const char *zone);

#endif
