/*
 * gw_settings - settings of a gateway process.
 *
 * Overview
 *	A JSON file with comments, validated as a whole: every finding is
 *	reported with its path. Unknown members are ignored, so that an older
 *	program can use a newer file.
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

/** struct gw_listen - an address to listen on; disabled if @address is "". */
struct gw_listen {
	char address[16];
	uint16_t port;
};

/**
 * struct gw_settings - all times in ms.
 * @host: name of this host.
 * @callers: address for callers.
 * @readiness: address for the balancer's readiness checks.
 * @peers: address for messages of other hosts; if disabled, the host runs
 *	alone.
 * @via: address for requests that other hosts pass on; if disabled, this host
 *	takes none. See gw_via.h.
 * @metrics: address for metrics.
 * @dialect: plug-in of the platform.
 * @store_address: "IP:PORT" of the row store.
 * @regions: region of each availability zone.
 * @grace_ms: between SIGTERM and SIGKILL.
 * @config_ms: bound within which a configuration is in force on all hosts.
 * @revoke_ms: bound within which a revoked key is refused on all hosts.
 * @weights_ms: bound after which no request begins on older weights.
 * @lease_ms: least time between orders of two hosts to the same engine.
 * @unread_ms: in which a caller may read nothing of its answer.
 * @memory_mb: that the process may use; 0: unlimited.
 * @max_fds: descriptors that the process may have open; 0: what the system
 *	allows.
 * @max_fields: header fields of a request; 0: H1_DEFAULT_MAX_FIELDS.
 * @max_target_bytes: path and query of a request; 0: no bound but that of the
 *	configuration for all header bytes.
 * @max_pipelined_bytes: see struct h1_limits; 0: its default.
 * @min_bytes_per_s: of a request, after @rate_grace_ms; 0: any.
 * @rate_grace_ms: 0: H1_DEFAULT_RATE_GRACE_MS.
 * @retry_ratio: retries at a service as a share of its requests.
 * @retry_floor: retries of all hosts together that are always allowed.
 */
struct gw_settings {
	char *host;
	char *zone;
	char *region;
	struct gw_listen callers;
	struct gw_listen readiness;
	struct gw_listen metrics;
	struct gw_listen peers;
	struct gw_listen via;
	char *dialect;
	char *store_address;
	GHashTable *regions;
	int64_t grace_ms;
	int64_t config_ms;
	int64_t revoke_ms;
	int64_t weights_ms;
	int64_t lease_ms;
	int64_t unread_ms;
	int64_t memory_mb;
	int64_t max_fds;
	int64_t max_fields;
	int64_t max_target_bytes;
	int64_t max_pipelined_bytes;
	int64_t min_bytes_per_s;
	int64_t rate_grace_ms;
	double retry_ratio;
	int64_t retry_floor;
};

enum st_code gw_settings_load(struct gw_settings *settings, const char *path,
			      struct fd_list *findings);
void gw_settings_finish(struct gw_settings *settings);

/** gw_region_of() - region of a zone, "" if the zone is unknown. */
const char *gw_region_of(const struct gw_settings *settings, const char *zone);

#endif
