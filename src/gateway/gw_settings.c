#include "gateway/gw_settings.h"

#include <json-c/json.h>
#include <stdlib.h>
#include <string.h>

#include "net/ad.h"

/* Defaults for bounds that the file does not give. */
#define GW_DEFAULT_GRACE_MS    8000
#define GW_DEFAULT_CONFIG_MS   3000
#define GW_DEFAULT_REVOKE_MS   5000
#define GW_DEFAULT_WEIGHTS_MS  8000
#define GW_DEFAULT_LEASE_MS    3000
#define GW_DEFAULT_UNREAD_MS   15000
#define GW_DEFAULT_RETRY_RATIO 0.2
#define GW_DEFAULT_RETRY_FLOOR 20
/* Slower than any link in use; see also rate_grace_ms. */
#define GW_DEFAULT_MIN_BYTES_PER_S 100

struct gw_settings_reader {
	struct json_object *root;
	struct fd_list *findings;
};

/* Finds a member by a path such as "bounds/lease_ms"; NULL if absent. */
static struct json_object *gw_find_member(struct json_object *at,
					  const char *path)
{
	char **names = g_strsplit(path, "/", -1);

	for (char **name = names; *name && at; name++) {
		struct json_object *next = NULL;

		if (json_object_is_type(at, json_type_object))
			json_object_object_get_ex(at, *name, &next);
		at = next;
	}
	g_strfreev(names);
	return at;
}

static char *gw_read_text(const struct gw_settings_reader *reader,
			  const char *path)
{
	struct json_object *value = gw_find_member(reader->root, path);

	if (json_object_is_type(value, json_type_string) &&
	    json_object_get_string_len(value))
		return g_strdup(json_object_get_string(value));
	fd_add(reader->findings, path, "must be a non-empty string");
	return g_strdup("");
}

static int64_t gw_read_number(const struct gw_settings_reader *reader,
			      const char *path, int64_t default_value)
{
	struct json_object *value = gw_find_member(reader->root, path);

	if (!value)
		return default_value;
	if ((json_object_is_type(value, json_type_int) ||
	     json_object_is_type(value, json_type_double)) &&
	    json_object_get_double(value) >= 0)
		return json_object_get_int64(value);
	fd_add(reader->findings, path, "must be a number of at least 0");
	return default_value;
}

static double gw_read_ratio(const struct gw_settings_reader *reader,
			    const char *path, double default_value)
{
	struct json_object *value = gw_find_member(reader->root, path);

	if (!value)
		return default_value;
	if (json_object_is_type(value, json_type_double) ||
	    json_object_is_type(value, json_type_int))
		return json_object_get_double(value);
	fd_add(reader->findings, path, "must be a number");
	return default_value;
}

static void gw_read_listen(const struct gw_settings_reader *reader,
			   const char *path, bool is_required,
			   struct gw_listen *out)
{
	struct json_object *value = gw_find_member(reader->root, path);
	const char *text = json_object_is_type(value, json_type_string)
				   ? json_object_get_string(value)
				   : "";
	struct ad_address address;

	if (!text[0] && !is_required)
		return;
	if (!ad_parse(text, &address)) {
		fd_add(reader->findings, path, "must be an address IP:PORT");
		return;
	}
	g_strlcpy(out->address, text,
		  MIN(sizeof(out->address),
		      (size_t)(strrchr(text, ':') - text) + 1));
	out->port = address.port;
}

static void gw_read_regions(const struct gw_settings_reader *reader,
			    struct gw_settings *settings)
{
	struct json_object *zones = gw_find_member(reader->root, "zones");

	settings->regions =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	if (!json_object_is_type(zones, json_type_object)) {
		fd_add(reader->findings, "zones",
		       "must be an object of ZONE: REGION");
		return;
	}
	json_object_object_foreach(zones, zone, region)
		g_hash_table_insert(settings->regions, g_strdup(zone),
				    g_strdup(json_object_get_string(region)));
}

static void gw_read_limits(const struct gw_settings_reader *reader,
			   struct gw_settings *settings)
{
	settings->memory_mb = gw_read_number(reader, "limits/memory_mb", 0);
	settings->max_fds = gw_read_number(reader, "limits/max_fds", 0);
	settings->max_fields = gw_read_number(reader, "limits/max_fields", 0);
	settings->max_target_bytes =
		gw_read_number(reader, "limits/max_target_bytes", 0);
	settings->max_pipelined_bytes =
		gw_read_number(reader, "limits/max_pipelined_bytes", 0);
	settings->min_bytes_per_s = gw_read_number(
		reader, "limits/min_bytes_per_s", GW_DEFAULT_MIN_BYTES_PER_S);
	settings->rate_grace_ms =
		gw_read_number(reader, "limits/rate_grace_ms", 0);
}

static void gw_read_bounds(const struct gw_settings_reader *reader,
			   struct gw_settings *settings)
{
	settings->grace_ms = 1000 * gw_read_number(reader, "bounds/grace_s",
						   GW_DEFAULT_GRACE_MS / 1000);
	settings->config_ms = gw_read_number(reader, "bounds/config_ms",
					     GW_DEFAULT_CONFIG_MS);
	settings->revoke_ms = gw_read_number(reader, "bounds/revoke_ms",
					     GW_DEFAULT_REVOKE_MS);
	settings->weights_ms = gw_read_number(reader, "bounds/weights_ms",
					      GW_DEFAULT_WEIGHTS_MS);
	settings->lease_ms =
		gw_read_number(reader, "bounds/lease_ms", GW_DEFAULT_LEASE_MS);
	settings->unread_ms = gw_read_number(reader, "bounds/unread_ms",
					     GW_DEFAULT_UNREAD_MS);
	gw_read_limits(reader, settings);
	settings->retry_ratio =
		gw_read_ratio(reader, "retries/ratio", GW_DEFAULT_RETRY_RATIO);
	settings->retry_floor =
		gw_read_number(reader, "retries/floor", GW_DEFAULT_RETRY_FLOOR);
}

enum st_code gw_settings_load(struct gw_settings *settings, const char *path,
			      struct fd_list *findings)
{
	struct gw_settings_reader reader = { json_object_from_file(path),
					     findings };

	memset(settings, 0, sizeof(*settings));
	fd_init(findings);
	if (!json_object_is_type(reader.root, json_type_object)) {
		fd_add(findings, "/", "cannot be read as a JSON object: %s",
		       json_util_get_last_err() ? json_util_get_last_err()
						: "wrong type");
		json_object_put(reader.root);
		return st_fail(ST_INVALID,
			       "%s: cannot be read as a JSON object", path);
	}
	settings->host = gw_read_text(&reader, "host/name");
	settings->zone = gw_read_text(&reader, "host/zone");
	settings->region = gw_read_text(&reader, "host/region");
	settings->dialect = gw_read_text(&reader, "dialect");
	settings->store_address = gw_read_text(&reader, "store/address");
	gw_read_listen(&reader, "listen/callers", true, &settings->callers);
	gw_read_listen(&reader, "listen/readiness", true, &settings->readiness);
	gw_read_listen(&reader, "listen/metrics", false, &settings->metrics);
	gw_read_listen(&reader, "listen/peers", false, &settings->peers);
	gw_read_listen(&reader, "listen/via", false, &settings->via);
	/* With one port for both, messages between hosts come first. */
	if (settings->via.port == settings->peers.port)
		settings->via = (struct gw_listen){ 0 };
	gw_read_regions(&reader, settings);
	gw_read_bounds(&reader, settings);
	json_object_put(reader.root);
	if (findings->count)
		return st_fail(ST_INVALID, "%s: %u findings", path,
			       findings->count);
	return ST_OK;
}

void gw_settings_finish(struct gw_settings *settings)
{
	g_free(settings->host);
	g_free(settings->zone);
	g_free(settings->region);
	g_free(settings->dialect);
	g_free(settings->store_address);
	if (settings->regions)
		g_hash_table_destroy(settings->regions);
	memset(settings, 0, sizeof(*settings));
}

const char *gw_region_of(const struct gw_settings *settings, const char *zone)
{
	const char *region = g_hash_table_lookup(settings->regions, zone);

	return region ? region : "";
}
