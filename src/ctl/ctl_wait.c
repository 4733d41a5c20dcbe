#include "ctl/ctl_wait.h"

#include <inttypes.h>
#include <json-c/json.h>
#include <stdbool.h>

enum ctl_standing { CTL_IN_FORCE = 0, CTL_BEHIND, CTL_NOT_REACHED };

static enum ctl_standing ctl_standing(struct json_object *process,
				      uint64_t revision)
{
	struct json_object *reached = NULL;
	struct json_object *has = NULL;

	json_object_object_get_ex(process, "reached", &reached);
	json_object_object_get_ex(process, "revision", &has);
	if (!json_object_get_boolean(reached))
		return CTL_NOT_REACHED;
	return json_object_get_uint64(has) >= revision ? CTL_IN_FORCE
						       : CTL_BEHIND;
}

static struct json_object *ctl_processes(struct json_object *json)
{
	struct json_object *processes = NULL;

	json_object_object_get_ex(json, "processes", &processes);
	return json_object_is_type(processes, json_type_array) ? processes
							       : NULL;
}

struct ctl_spread ctl_spread_read(const char *text, uint64_t revision)
{
	struct json_object *json = json_tokener_parse(text);
	struct json_object *processes = ctl_processes(json);
	struct ctl_spread spread = { 0 };
	size_t count = processes ? json_object_array_length(processes) : 0;

	for (size_t i = 0; i < count; i++) {
		enum ctl_standing standing = ctl_standing(
			json_object_array_get_idx(processes, i), revision);

		spread.in_force += standing == CTL_IN_FORCE;
		spread.behind += standing == CTL_BEHIND;
		spread.not_reached += standing == CTL_NOT_REACHED;
	}
	json_object_put(json);
	return spread;
}

static const char *ctl_text(struct json_object *o, const char *key)
{
	struct json_object *value = NULL;

	json_object_object_get_ex(o, key, &value);
	return value ? json_object_get_string(value) : "";
}

void ctl_spread_print(const char *text, uint64_t revision, FILE *out)
{
	static const char *const names[] = { "in force", "behind",
					     "not reached" };
	struct json_object *json = json_tokener_parse(text);
	struct json_object *processes = ctl_processes(json);
	size_t count = processes ? json_object_array_length(processes) : 0;

	for (size_t i = 0; i < count; i++) {
		struct json_object *p = json_object_array_get_idx(processes, i);

		fprintf(out, "%-12s %s/%s zone=%s revision=%s state=%s\n",
			names[ctl_standing(p, revision)], ctl_text(p, "host"),
			ctl_text(p, "role"), ctl_text(p, "zone"),
			ctl_text(p, "revision"), ctl_text(p, "state"));
	}
	json_object_put(json);
}
