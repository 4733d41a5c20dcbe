/*
 * Configuration revision in force in each process, as known from gossip.
 */
#include <inttypes.h>

#include "control/op.h"

/*
 * A suspect counts as reached: live processes miss gossip, too, and a process
 * that has exited is soon declared dead.
 */
static void op_print_member(const struct mb_member *m, bool is_self,
			    GString *out)
{
	bool is_reached = is_self || m->state == MB_ALIVE ||
			  m->state == MB_SUSPECT || m->state == MB_LEAVING;

	g_string_append_printf(
		out,
		"%s{\"host\": \"%s\", \"zone\": \"%s\", \"role\": \"%s\", "
		"\"revision\": %" PRIu64 ", \"state\": \"%s\", "
		"\"reached\": %s}",
		out->str[out->len - 1] == '[' ? "" : ", ", m->name, m->zone,
		mb_role_name(m->role), m->config_revision,
		mb_state_name(m->state), is_reached ? "true" : "false");
}

void op_print_versions(const struct mb_table *members, uint64_t revision,
		       bool is_trusted, GString *out)
{
	const struct mb_member *self = mb_self((struct mb_table *)members);

	g_string_append_printf(out,
			       "{\"revision\": %" PRIu64
			       ", \"trusted\": %s, \"processes\": [",
			       revision, is_trusted ? "true" : "false");
	for (uint32_t role = MB_ENTRY; role <= MB_CONTROL; role++) {
		const struct mb_member *m = NULL;

		while ((m = mb_next(members, role, NULL, m)))
			op_print_member(m, m == self, out);
	}
	g_string_append(out, "]}");
}
