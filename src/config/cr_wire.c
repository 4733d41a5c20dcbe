#include "config/cr_wire.h"

#include <string.h>

GArray *cr_objects_to_wire(const GArray *objects)
{
	GArray *out = g_array_new(false, true, sizeof(bp_object));

	for (uint32_t i = 0; i < objects->len; i++) {
		const struct cm_object *o =
			&g_array_index(objects, struct cm_object, i);
		bp_object wire = {
			.kind = (char *)o->kind,
			.name = (char *)o->name,
			.revision = o->revision,
			.deleted = o->is_deleted,
			.json = o->json ? (char *)o->json : "",
		};

		g_array_append_val(out, wire);
	}
	return out;
}

GArray *cr_objects_from_wire(const bp_object *objects, uint32_t count)
{
	GArray *out = g_array_new(false, true, sizeof(struct cm_object));

	for (uint32_t i = 0; i < count; i++) {
		struct cm_object o = {
			.kind = objects[i].kind,
			.name = objects[i].name,
			.json = objects[i].json,
			.revision = objects[i].revision,
			.is_deleted = objects[i].deleted,
		};

		g_array_append_val(out, o);
	}
	return out;
}

static bool cr_is_upstream(uint32_t role)
{
	return role == MB_ENGINE || role == MB_SERVICE;
}

/* The wire carries one port of each member: HTTP for upstreams, else RPC. */
static uint16_t cr_wire_port(const struct mb_member *m)
{
	return cr_is_upstream(m->role) ? m->http_port : m->rpc_port;
}

GArray *cr_listing_to_wire(struct mb_listing *listing)
{
	GArray *out = g_array_new(false, true, sizeof(bp_upstream));

	for (uint32_t i = 0; listing && i < listing->count; i++) {
		struct mb_member *m = &listing->members[i];
		bp_upstream wire = {
			.name = m->name,
			.kind = (char *)mb_role_name(m->role),
			.service = m->service,
			.zone = m->zone,
			.region = m->region,
			.ipv4 = m->ipv4,
			.port = cr_wire_port(m),
			.leaving = m->is_listed_leaving,
		};

		g_array_append_val(out, wire);
	}
	return out;
}

static uint32_t cr_role_find(const char *name)
{
	uint32_t role = 0;

	while (role < MB_ROLE_COUNT && strcmp(mb_role_name(role), name))
		role++;
	return role;
}

static struct mb_member cr_member_from_wire(const bp_upstream *wire)
{
	struct mb_member m = { .role = cr_role_find(wire->kind),
			       .ipv4 = wire->ipv4,
			       .is_listed = true,
			       .is_listed_leaving = wire->leaving };

	g_strlcpy(m.name, wire->name, sizeof(m.name));
	g_strlcpy(m.service, wire->service, sizeof(m.service));
	g_strlcpy(m.zone, wire->zone, sizeof(m.zone));
	g_strlcpy(m.region, wire->region, sizeof(m.region));
	if (cr_is_upstream(m.role))
		m.http_port = (uint16_t)wire->port;
	else
		m.rpc_port = (uint16_t)wire->port;
	return m;
}

static struct mb_listing *cr_listing_new(uint32_t capacity)
{
	return g_malloc0(sizeof(struct mb_listing) +
			 capacity * sizeof(struct mb_member));
}

struct mb_listing *cr_listing_from_wire(const bp_upstream *upstreams,
					uint32_t count)
{
	struct mb_listing *listing = cr_listing_new(count);

	for (uint32_t i = 0; i < count; i++) {
		struct mb_member m = cr_member_from_wire(&upstreams[i]);

		if (m.role < MB_ROLE_COUNT)
			listing->members[listing->count++] = m;
	}
	return listing;
}

struct mb_listing *cr_listing_copy(const struct mb_listing *listing)
{
	struct mb_listing *copy = cr_listing_new(listing->count);

	copy->count = listing->count;
	memcpy(copy->members, listing->members,
	       listing->count * sizeof(struct mb_member));
	return copy;
}

static bool cr_member_equal(const struct mb_member *a,
			    const struct mb_member *b)
{
	return a->role == b->role && a->ipv4 == b->ipv4 &&
	       cr_wire_port(a) == cr_wire_port(b) &&
	       a->is_listed_leaving == b->is_listed_leaving &&
	       !strcmp(a->name, b->name) && !strcmp(a->zone, b->zone) &&
	       !strcmp(a->region, b->region) && !strcmp(a->service, b->service);
}

bool cr_listing_equal(const struct mb_listing *a, const struct mb_listing *b)
{
	if (!a || !b || a->count != b->count)
		return a == b;
	for (uint32_t i = 0; i < a->count; i++)
		if (!cr_member_equal(&a->members[i], &b->members[i]))
			return false;
	return true;
}
