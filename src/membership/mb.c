#include "membership/mb.h"

#include <string.h>

#include "prefix/px.h"

static const char *const mb_state_names[] = {
	[MB_UNKNOWN] = "unknown", [MB_ALIVE] = "alive",
	[MB_SUSPECT] = "suspect", [MB_LEAVING] = "leaving",
	[MB_DEAD] = "dead",
};

static const char *const mb_role_names[MB_ROLE_COUNT] = {
	[MB_ENTRY] = "entry",	  [MB_INDEX] = "index",
	[MB_CONTROL] = "control", [MB_ENGINE] = "engine",
	[MB_SERVICE] = "service",
};

const char *mb_state_name(uint32_t state)
{
	return state <= MB_DEAD ? mb_state_names[state] : "invalid";
}

const char *mb_role_name(uint32_t role)
{
	return role < MB_ROLE_COUNT ? mb_role_names[role] : "invalid";
}

static bool mb_is_upstream(uint32_t role)
{
	return role == MB_ENGINE || role == MB_SERVICE;
}

static guint mb_hash(gconstpointer key)
{
	const struct mb_member *m = key;

	return (guint)(m->id ^ m->role);
}

static gboolean mb_equal(gconstpointer a, gconstpointer b)
{
	const struct mb_member *x = a;
	const struct mb_member *y = b;

	return x->role == y->role && !strcmp(x->name, y->name);
}

static int mb_compare(const struct mb_member *a, const struct mb_member *b)
{
	if (a->role != b->role)
		return a->role < b->role ? -1 : 1;
	return strcmp(a->name, b->name);
}

static struct mb_member *mb_get(const struct mb_table *table, enum mb_role role,
				const char *name)
{
	struct mb_member key = { .role = role };

	g_strlcpy(key.name, name, sizeof(key.name));
	key.id = px_id(key.name);
	return g_hash_table_lookup(table->_members, &key);
}

static void mb_renumber(struct mb_table *table, uint32_t from)
{
	for (uint32_t i = from; i < table->_order->len; i++) {
		struct mb_member *m = g_ptr_array_index(table->_order, i);

		m->_position = i;
	}
}

static struct mb_member *mb_add(struct mb_table *table,
				const struct mb_member *record, int64_t now_ms)
{
	struct mb_member *m;
	uint32_t at = 0;

	if (table->_order->len >= MB_MAX_MEMBERS ||
	    record->role >= MB_ROLE_COUNT || !*record->name)
		return NULL;
	m = g_new0(struct mb_member, 1);
	g_strlcpy(m->name, record->name, sizeof(m->name));
	g_strlcpy(m->service, record->service, sizeof(m->service));
	g_strlcpy(m->zone, record->zone, sizeof(m->zone));
	g_strlcpy(m->region, record->region, sizeof(m->region));
	m->role = record->role;
	m->id = px_id(m->name);
	m->ipv4 = record->ipv4;
	m->http_port = record->http_port;
	m->rpc_port = record->rpc_port;
	m->heard_ms = now_ms;
	while (at < table->_order->len &&
	       mb_compare(g_ptr_array_index(table->_order, at), m) < 0)
		at++;
	g_ptr_array_insert(table->_order, (gint)at, m);
	mb_renumber(table, at);
	g_hash_table_add(table->_members, m);
	m->_heartbeat_id = px_rank(m->id, (uint64_t)m->role + 1);
	g_hash_table_insert(table->_by_heartbeat_id, &m->_heartbeat_id, m);
	return m;
}

void mb_init(struct mb_table *table, const struct mb_desc *desc)
{
	memset(table, 0, sizeof(*table));
	table->_members =
		g_hash_table_new_full(mb_hash, mb_equal, NULL, g_free);
	table->_by_heartbeat_id = g_hash_table_new(g_int64_hash, g_int64_equal);
	table->_order = g_ptr_array_new();
	if (!desc->self)
		return;
	table->_self = mb_add(table, desc->self, 0);
	table->_self->incarnation = desc->self->incarnation;
	table->_self->state = MB_ALIVE;
}

void mb_finish(struct mb_table *table)
{
	g_ptr_array_free(table->_order, TRUE);
	g_hash_table_destroy(table->_by_heartbeat_id);
	g_hash_table_destroy(table->_members);
	memset(table, 0, sizeof(*table));
}

struct mb_member *mb_self(struct mb_table *table)
{
	return table->_self;
}

static void mb_set_alive(struct mb_member *m, int64_t now_ms)
{
	m->heard_ms = now_ms;
	m->_heartbeat_relays = 0;
	if (m->state != MB_LEAVING)
		m->state = MB_ALIVE;
}

/* A higher incarnation is a restart, which invalidates the earlier state. */
static void mb_begin_incarnation(struct mb_member *m, uint64_t incarnation)
{
	m->incarnation = incarnation;
	m->heartbeat = 0;
	m->failures = 0;
	m->config_revision = 0;
	m->state = MB_ALIVE;
	m->_relays = 0;
}

/*
 * Processes report their own location; that of listed upstreams comes from the
 * host list.
 */
static void mb_set_location(struct mb_member *m, const struct mb_member *record)
{
	if (mb_is_upstream(m->role) && m->is_listed)
		return;
	g_strlcpy(m->zone, record->zone, sizeof(m->zone));
	g_strlcpy(m->region, record->region, sizeof(m->region));
	m->ipv4 = record->ipv4;
	m->http_port = record->http_port;
	m->rpc_port = record->rpc_port;
}

static void mb_set_leaving(struct mb_member *m)
{
	if (m->state != MB_LEAVING)
		m->_relays = 0;
	m->state = MB_LEAVING;
}

/* Within an incarnation a revision never decreases. */
static void mb_raise_revision(struct mb_member *m, uint64_t revision)
{
	if (revision <= m->config_revision)
		return;
	m->config_revision = revision;
	m->_relays = 0;
}

enum st_code mb_receive_record(struct mb_table *table,
			       const struct mb_member *record, int64_t now_ms)
{
	struct mb_member *m = mb_get(table, record->role, record->name);

	if (m && m == table->_self)
		return ST_STALE;
	if (!m)
		m = mb_add(table, record, now_ms);
	if (!m)
		return st_fail(ST_FULL, "member table is full: cannot add %s",
			       record->name);
	if (record->incarnation < m->incarnation)
		return ST_STALE;
	if (record->incarnation > m->incarnation) {
		mb_begin_incarnation(m, record->incarnation);
	} else if (record->heartbeat <= m->heartbeat) {
		if (record->state == MB_LEAVING)
			mb_set_leaving(m);
		/* The heartbeat may have arrived before its record. */
		mb_raise_revision(m, record->config_revision);
		return ST_STALE;
	}
	mb_set_location(m, record);
	m->heartbeat = record->heartbeat;
	mb_raise_revision(m, record->config_revision);
	if (record->state == MB_LEAVING)
		mb_set_leaving(m);
	mb_set_alive(m, now_ms);
	return ST_OK;
}

enum st_code mb_receive_heartbeat(struct mb_table *table,
				  const struct mb_heartbeat *heartbeat,
				  int64_t now_ms)
{
	struct mb_member *m = g_hash_table_lookup(table->_by_heartbeat_id,
						  &heartbeat->member);

	if (!m || m == table->_self ||
	    heartbeat->incarnation != m->incarnation ||
	    heartbeat->heartbeat <= m->heartbeat)
		return ST_STALE;
	m->heartbeat = heartbeat->heartbeat;
	mb_set_alive(m, now_ms);
	return ST_OK;
}

void mb_apply_host_list(struct mb_table *table, const struct mb_member *members,
			uint32_t count, int64_t now_ms)
{
	for (uint32_t i = 0; i < table->_order->len; i++) {
		struct mb_member *m = g_ptr_array_index(table->_order, i);

		m->is_listed = false;
		m->is_listed_leaving = false;
	}
	for (uint32_t i = 0; i < count; i++) {
		const struct mb_member *listed = &members[i];
		struct mb_member *m = mb_get(table, listed->role, listed->name);

		if (!m)
			m = mb_add(table, listed, now_ms);
		if (!m)
			continue;
		if (mb_is_upstream(m->role)) {
			mb_set_location(m, listed);
			g_strlcpy(m->service, listed->service,
				  sizeof(m->service));
		}
		m->is_listed = true;
		m->is_listed_leaving = listed->is_listed_leaving;
	}
}

void mb_mark_answered(struct mb_table *table, enum mb_role role,
		      const char *name, uint64_t incarnation, int64_t now_ms)
{
	struct mb_member *m = mb_get(table, role, name);

	if (!m || m == table->_self || incarnation < m->incarnation)
		return;
	if (incarnation > m->incarnation)
		mb_begin_incarnation(m, incarnation);
	m->failures = 0;
	if (mb_is_upstream(role))
		m->heartbeat++;
	mb_set_alive(m, now_ms);
}

void mb_mark_failed(struct mb_table *table, enum mb_role role, const char *name,
		    int64_t now_ms)
{
	struct mb_member *m = mb_get(table, role, name);

	if (!m || m == table->_self)
		return;
	m->failures++;
	m->failed_ms = now_ms;
	if (m->state == MB_ALIVE)
		m->state = MB_SUSPECT;
}

void mb_mark_leaving(struct mb_table *table, enum mb_role role,
		     const char *name, uint64_t incarnation)
{
	struct mb_member *m = mb_get(table, role, name);

	if (!m || incarnation != m->incarnation)
		return;
	mb_set_leaving(m);
	m->heartbeat++;
	m->_heartbeat_relays = 0;
}

static bool mb_is_in_other_zone(const struct mb_table *table,
				const struct mb_member *m)
{
	return table->_self && strcmp(m->zone, table->_self->zone);
}

static void mb_update_state(const struct mb_table *table, struct mb_member *m,
			    int64_t now_ms)
{
	int64_t silent_ms = now_ms - m->heard_ms;

	if (mb_is_in_other_zone(table, m))
		silent_ms /= MB_OTHER_ZONE_FACTOR;

	/* After the pause a single further failure excludes it again. */
	if (m->failures >= MB_MAX_DIRECT_FAILURES &&
	    now_ms - m->failed_ms >= MB_RETRY_FAILED_AFTER_MS)
		m->failures = MB_MAX_DIRECT_FAILURES - 1;
	if (m->state == MB_ALIVE && silent_ms >= MB_SUSPECT_AFTER_MS)
		m->state = MB_SUSPECT;
	if (mb_is_upstream(m->role))
		return;
	if (silent_ms >= MB_DEAD_AFTER_MS)
		m->state = MB_DEAD;
}

static bool mb_is_expired(const struct mb_table *table,
			  const struct mb_member *m, int64_t now_ms)
{
	return m != table->_self && !m->is_listed &&
	       now_ms - m->heard_ms >= MB_FORGET_AFTER_MS;
}

static void mb_remove_at(struct mb_table *table, uint32_t at)
{
	struct mb_member *m = g_ptr_array_index(table->_order, at);

	g_ptr_array_remove_index(table->_order, at);
	g_hash_table_remove(table->_by_heartbeat_id, &m->_heartbeat_id);
	mb_renumber(table, at);
	g_hash_table_remove(table->_members, m);
}

/* While paused this process receives nothing; that time does not count. */
static int64_t mb_own_pause_ms(struct mb_table *table, int64_t now_ms)
{
	int64_t gap_ms = now_ms - table->_last_tick_ms;
	bool is_first = table->_last_tick_ms == 0;

	table->_last_tick_ms = now_ms;
	return is_first || gap_ms < MB_SUSPECT_AFTER_MS ? 0 : gap_ms;
}

void mb_tick(struct mb_table *table, int64_t now_ms)
{
	int64_t pause_ms = mb_own_pause_ms(table, now_ms);

	for (uint32_t i = table->_order->len; i-- > 0;) {
		struct mb_member *m = g_ptr_array_index(table->_order, i);

		if (m == table->_self)
			continue;
		m->heard_ms = MIN(m->heard_ms + pause_ms, now_ms);
		if (mb_is_expired(table, m, now_ms))
			mb_remove_at(table, i);
		else
			mb_update_state(table, m, now_ms);
	}
}

const struct mb_member *mb_find(const struct mb_table *table, enum mb_role role,
				const char *name)
{
	return mb_get(table, role, name);
}

const struct mb_member *mb_next(const struct mb_table *table, enum mb_role role,
				const char *zone, const struct mb_member *after)
{
	uint32_t i = after ? after->_position + 1 : 0;

	for (; i < table->_order->len; i++) {
		const struct mb_member *m = g_ptr_array_index(table->_order, i);

		if (m->role > role)
			return NULL;
		if (m->role == role && (!zone || !strcmp(m->zone, zone)))
			return m;
	}
	return NULL;
}

bool mb_can_get_work(const struct mb_member *member)
{
	if (member->state == MB_LEAVING || member->state == MB_DEAD)
		return false;
	if (mb_is_upstream(member->role) &&
	    (!member->is_listed || member->is_listed_leaving))
		return false;
	return member->failures < MB_MAX_DIRECT_FAILURES;
}

static bool mb_is_due(const struct mb_table *table, const struct mb_member *m,
		      uint32_t relays)
{
	return m != table->_self && m->incarnation && m->state != MB_DEAD &&
	       m->_relays == relays;
}

uint32_t mb_select_records(struct mb_table *table, struct mb_member *out,
			   uint32_t capacity)
{
	uint32_t count = 0;

	if (table->_self && capacity) {
		table->_self->heartbeat++;
		out[count++] = *table->_self;
	}
	for (uint32_t relays = 0; relays < MB_MAX_RELAYS; relays++) {
		for (uint32_t i = 0; i < table->_order->len; i++) {
			struct mb_member *m =
				g_ptr_array_index(table->_order, i);

			if (count == capacity)
				return count;
			if (!mb_is_due(table, m, relays))
				continue;
			out[count++] = *m;
		}
	}
	return count;
}

static void mb_add_heartbeats(const struct mb_table *table, bool in_other_zone,
			      uint32_t relays, struct mb_heartbeat *out,
			      uint32_t capacity, uint32_t *count)
{
	uint32_t len = table->_order->len;
	/* Processes with equal tables start at different members. */
	uint32_t start =
		table->_self ? (uint32_t)(table->_self->_heartbeat_id +
					  table->_self->heartbeat * capacity) %
				       len
			     : 0;

	for (uint32_t i = 0; i < len; i++) {
		const struct mb_member *m =
			g_ptr_array_index(table->_order, (start + i) % len);

		if (*count == capacity)
			return;
		if (m == table->_self || !m->incarnation ||
		    m->state == MB_DEAD || m->_heartbeat_relays != relays ||
		    mb_is_in_other_zone(table, m) != in_other_zone)
			continue;
		out[(*count)++] =
			(struct mb_heartbeat){ m->_heartbeat_id, m->incarnation,
					       m->heartbeat };
	}
}

/* The fewer relays a heartbeat has, the more recently it arrived. */
uint32_t mb_select_heartbeats(const struct mb_table *table,
			      struct mb_heartbeat *out, uint32_t capacity)
{
	uint32_t count = 0;

	for (uint32_t relays = 0; relays < MB_MAX_RELAYS; relays++)
		mb_add_heartbeats(table, false, relays, out, capacity, &count);
	for (uint32_t relays = 0; relays < MB_MAX_RELAYS; relays++)
		mb_add_heartbeats(table, true, relays, out, capacity, &count);
	return count;
}

void mb_mark_heartbeats_sent(struct mb_table *table,
			     const struct mb_heartbeat *heartbeats,
			     uint32_t count)
{
	for (uint32_t i = 0; i < count; i++) {
		struct mb_member *m = g_hash_table_lookup(
			table->_by_heartbeat_id, &heartbeats[i].member);

		if (m)
			m->_heartbeat_relays++;
	}
}

void mb_mark_records_sent(struct mb_table *table,
			  const struct mb_member *records, uint32_t count)
{
	for (uint32_t i = 0; i < count; i++) {
		struct mb_member *m =
			mb_get(table, records[i].role, records[i].name);

		if (m)
			m->_relays++;
	}
}

const struct mb_member *mb_owner(const struct mb_table *table, const char *zone,
				 uint64_t upstream_id, uint32_t rank)
{
	uint64_t previous = UINT64_MAX;
	const struct mb_member *owner = NULL;

	for (uint32_t r = 0; r <= rank; r++) {
		uint64_t best = 0;

		owner = NULL;
		for (const struct mb_member *m =
			     mb_next(table, MB_INDEX, zone, NULL);
		     m; m = mb_next(table, MB_INDEX, zone, m)) {
			uint64_t weight = px_rank(upstream_id, m->id);

			if (!mb_can_get_work(m) || weight >= previous)
				continue;
			if (owner && weight <= best)
				continue;
			best = weight;
			owner = m;
		}
		if (!owner)
			return NULL;
		previous = best;
	}
	return owner;
}
