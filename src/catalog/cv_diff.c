#include <inttypes.h>
#include <string.h>

#include "catalog/cv.h"
#include "http1/h1_server.h"

/* Stands for "no limit" or "unknown" when two values are compared. */
#define CV_UNLIMITED INT64_MAX

/**
 * struct cv_differ - a comparison under way.
 * @before_keys: struct cv_keys by team of @before.
 * @after_keys: the same of @after.
 * @subject: of the entry that is compared, as @name.
 */
struct cv_differ {
	const struct ca_catalog *before;
	const struct ca_catalog *after;
	GHashTable *before_keys;
	GHashTable *after_keys;
	const char *const *fields;
	GPtrArray *changes;
	enum cv_subject subject;
	const char *name;
};

static void cv_change_free(void *data)
{
	struct cv_change *change = data;

	g_free(change->name);
	g_free(change->before);
	g_free(change->after);
	g_free(change);
}

/* Takes over @before and @after. */
static void cv_add(struct cv_differ *d, const char *field, char *before,
		   char *after, bool takes_away)
{
	struct cv_change *change = g_new0(struct cv_change, 1);

	change->subject = d->subject;
	change->name = g_strdup(d->name);
	change->field = field;
	change->before = before;
	change->after = after;
	change->takes_away = takes_away;
	g_ptr_array_add(d->changes, change);
}

static void cv_text(struct cv_differ *d, enum ca_field field,
		    const char *before, const char *after, bool takes_away)
{
	if (strcmp(before, after) != 0)
		cv_add(d, d->fields[field], g_strdup(before), g_strdup(after),
		       takes_away);
}

static void cv_flag(struct cv_differ *d, enum ca_field field, bool before,
		    bool after, bool is_room)
{
	cv_text(d, field, before ? "true" : "false", after ? "true" : "false",
		is_room && before && !after);
}

static void cv_number(struct cv_differ *d, enum ca_field field, int64_t before,
		      int64_t after, bool is_less)
{
	if (before != after)
		cv_add(d, d->fields[field], g_strdup_printf("%" PRId64, before),
		       g_strdup_printf("%" PRId64, after), is_less);
}

/* A number of which less is a loss; @zero is what 0 stands for. */
static void cv_room(struct cv_differ *d, enum ca_field field, int64_t before,
		    int64_t after, int64_t zero)
{
	cv_number(d, field, before, after,
		  (after ? after : zero) < (before ? before : zero));
}

/* --- routes --- */

static char *cv_splits_text(const struct ca_route *route)
{
	GString *text = g_string_new(NULL);

	for (uint32_t i = 0; i < route->split_count; i++)
		g_string_append_printf(text, "%s%s:%u", i ? " " : "",
				       route->splits[i].service->name,
				       route->splits[i].weight);
	return g_string_free(text, FALSE);
}

static bool cv_sends_to(const struct ca_route *route, const char *service)
{
	for (uint32_t i = 0; i < route->split_count; i++)
		if (!strcmp(route->splits[i].service->name, service))
			return true;
	return false;
}

static void cv_diff_splits(struct cv_differ *d, const struct ca_route *before,
			   const struct ca_route *after)
{
	char *old = cv_splits_text(before);
	char *new = cv_splits_text(after);
	bool takes_away = false;

	for (uint32_t i = 0; i < before->split_count; i++)
		takes_away |=
			!cv_sends_to(after, before->splits[i].service->name);
	cv_text(d, CA_FIELD_SPLITS, old, new, takes_away);
	g_free(old);
	g_free(new);
}

static void cv_diff_route(struct cv_differ *d, const void *old, const void *new)
{
	const struct ca_route *before = old;
	const struct ca_route *after = new;

	cv_text(d, CA_FIELD_KIND, ca_kind_name(before->kind),
		ca_kind_name(after->kind), false);
	cv_room(d, CA_FIELD_TIMEOUT, before->timeout_ms, after->timeout_ms,
		CV_UNLIMITED);
	cv_number(d, CA_FIELD_TARGET, before->target_ms, after->target_ms,
		  false);
	cv_number(d, CA_FIELD_GAP_TARGET, before->gap_target_ms,
		  after->gap_target_ms, false);
	cv_room(d, CA_FIELD_MAX_SENDS, before->max_sends, after->max_sends, 1);
	cv_number(d, CA_FIELD_PRIORITY, before->priority, after->priority,
		  after->priority > before->priority);
	cv_flag(d, CA_FIELD_PUBLIC, before->is_public, after->is_public, true);
	cv_flag(d, CA_FIELD_RESUMABLE, before->is_resumable,
		after->is_resumable, true);
	cv_diff_splits(d, before, after);
}

static char *cv_route_name(const void *entry)
{
	const struct ca_route *route = entry;

	return g_strconcat(route->host, " ", route->prefix, NULL);
}

static char *cv_route_text(const struct cv_differ *d, const void *entry)
{
	const struct ca_route *route = entry;
	g_autofree char *splits = cv_splits_text(route);

	return g_strdup_printf("%s to %s", ca_kind_name(route->kind), splits);
}

static const void *cv_route_entry(const struct ca_catalog *c, uint32_t i)
{
	return ca_route_at(c, i);
}

/* --- services --- */

static void cv_diff_service(struct cv_differ *d, const void *old,
			    const void *new)
{
	const struct ca_service *before = old;
	const struct ca_service *after = new;

	cv_room(d, CA_FIELD_MAX_CONNECTIONS, before->max_connections,
		after->max_connections, CV_UNLIMITED);
	cv_flag(d, CA_FIELD_MODEL, before->is_model, after->is_model, true);
	cv_room(d, CA_FIELD_SLOTS, before->slots, after->slots, CV_UNLIMITED);
	cv_room(d, CA_FIELD_MEMORY, before->memory_tokens, after->memory_tokens,
		CV_UNLIMITED);
	cv_text(d, CA_FIELD_STORE, before->store_address, after->store_address,
		!*after->store_address);
	cv_text(d, CA_FIELD_ZONE, before->store_zone, after->store_zone, false);
}

static char *cv_service_name(const void *entry)
{
	return g_strdup(((const struct ca_service *)entry)->name);
}

static char *cv_service_text(const struct cv_differ *d, const void *entry)
{
	const struct ca_service *service = entry;

	return g_strdup(*service->store_address ? "store"
			: service->is_model	? "model engines"
						: "upstreams");
}

static const void *cv_service_entry(const struct ca_catalog *c, uint32_t i)
{
	return ca_service_at(c, i);
}

/* --- teams --- */

/**
 * struct cv_keys - keys of one team in one catalog.
 * @elsewhere: those that don't belong to the team of that name in the other
 *	catalog.
 */
struct cv_keys {
	uint32_t count;
	uint32_t elsewhere;
};

/** struct cv_counter - counts keys by team. */
struct cv_counter {
	GHashTable *keys;
	const struct ca_catalog *other;
};

static void cv_count_key(void *arg, const char *key, const struct ca_team *team)
{
	struct cv_counter *counter = arg;
	const struct ca_team *owner = ca_find_team(counter->other, key);
	struct cv_keys *keys = g_hash_table_lookup(counter->keys, team);

	if (!keys) {
		keys = g_new0(struct cv_keys, 1);
		g_hash_table_insert(counter->keys, (void *)team, keys);
	}
	keys->count++;
	if (!owner || strcmp(owner->name, team->name) != 0)
		keys->elsewhere++;
}

static GHashTable *cv_count_keys(const struct ca_catalog *c,
				 const struct ca_catalog *other)
{
	struct cv_counter counter = {
		.keys = g_hash_table_new_full(NULL, NULL, NULL, g_free),
		.other = other,
	};

	ca_each_key(c, cv_count_key, &counter);
	return counter.keys;
}

static struct cv_keys cv_keys_of(GHashTable *keys, const struct ca_team *team)
{
	const struct cv_keys *found = g_hash_table_lookup(keys, team);

	return found ? *found : (struct cv_keys){ 0 };
}

static void cv_diff_keys(struct cv_differ *d, const struct ca_team *before,
			 const struct ca_team *after)
{
	struct cv_keys old = cv_keys_of(d->before_keys, before);
	struct cv_keys new = cv_keys_of(d->after_keys, after);

	if (old.elsewhere || new.elsewhere)
		cv_add(d, d->fields[CA_FIELD_KEYS],
		       g_strdup_printf("%u keys, %u of them removed", old.count,
				       old.elsewhere),
		       g_strdup_printf("%u keys, %u of them new", new.count,
				       new.elsewhere),
		       old.elsewhere > 0);
}

static void cv_diff_team(struct cv_differ *d, const void *old, const void *new)
{
	const struct ca_team *before = old;
	const struct ca_team *after = new;

	cv_number(d, CA_FIELD_PRIORITY, before->priority, after->priority,
		  after->priority > before->priority);
	cv_flag(d, CA_FIELD_ISOLATED, before->is_isolated, after->is_isolated,
		false);
	cv_diff_keys(d, before, after);
}

static char *cv_team_name(const void *entry)
{
	return g_strdup(((const struct ca_team *)entry)->name);
}

static char *cv_team_text(const struct cv_differ *d, const void *entry)
{
	struct cv_keys before = cv_keys_of(d->before_keys, entry);
	struct cv_keys after = cv_keys_of(d->after_keys, entry);

	/* The entry is of one of the two catalogs. */
	return g_strdup_printf("%u keys", before.count + after.count);
}

static const void *cv_team_entry(const struct ca_catalog *c, uint32_t i)
{
	return ca_team_at(c, i);
}

/* --- all --- */

/** struct cv_list - one sort of entries. */
struct cv_list {
	enum cv_subject subject;
	uint32_t (*count)(const struct ca_catalog *c);
	const void *(*entry)(const struct ca_catalog *c, uint32_t i);
	char *(*name)(const void *entry);
	char *(*text)(const struct cv_differ *d, const void *entry);
	void (*diff)(struct cv_differ *d, const void *before,
		     const void *after);
};

static const struct cv_list cv_lists[] = {
	{ CV_ROUTE, ca_route_count, cv_route_entry, cv_route_name,
	  cv_route_text, cv_diff_route },
	{ CV_SERVICE, ca_service_count, cv_service_entry, cv_service_name,
	  cv_service_text, cv_diff_service },
	{ CV_TEAM, ca_team_count, cv_team_entry, cv_team_name, cv_team_text,
	  cv_diff_team },
};

/* Of entries with the same name, the first one counts. */
static GHashTable *cv_by_name(const struct cv_list *list,
			      const struct ca_catalog *c)
{
	GHashTable *entries =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);

	for (uint32_t i = 0; i < list->count(c); i++) {
		const void *entry = list->entry(c, i);
		char *name = list->name(entry);

		if (g_hash_table_contains(entries, name))
			g_free(name);
		else
			g_hash_table_insert(entries, name, (void *)entry);
	}
	return entries;
}

static void cv_diff_list(struct cv_differ *d, const struct cv_list *list)
{
	GHashTable *before = cv_by_name(list, d->before);
	GHashTable *after = cv_by_name(list, d->after);

	d->subject = list->subject;
	for (uint32_t i = 0; i < list->count(d->before); i++) {
		const void *entry = list->entry(d->before, i);
		g_autofree char *name = list->name(entry);
		const void *other = g_hash_table_lookup(after, name);

		d->name = name;
		if (g_hash_table_lookup(before, name) != entry)
			continue;
		if (other)
			list->diff(d, entry, other);
		else
			cv_add(d, NULL, list->text(d, entry), NULL, true);
	}
	for (uint32_t i = 0; i < list->count(d->after); i++) {
		const void *entry = list->entry(d->after, i);
		g_autofree char *name = list->name(entry);

		d->name = name;
		if (g_hash_table_lookup(after, name) == entry &&
		    !g_hash_table_contains(before, name))
			cv_add(d, NULL, NULL, list->text(d, entry), false);
	}
	g_hash_table_destroy(before);
	g_hash_table_destroy(after);
}

static void cv_diff_limits(struct cv_differ *d)
{
	const struct ca_limits *before = &d->before->limits;
	const struct ca_limits *after = &d->after->limits;

	d->subject = CV_LIMIT;
	d->name = "";
	cv_room(d, CA_FIELD_HEADER_BYTES, before->max_header_bytes,
		after->max_header_bytes, H1_DEFAULT_MAX_HEADER_BYTES);
	cv_room(d, CA_FIELD_BODY_BYTES, before->max_body_bytes,
		after->max_body_bytes, H1_DEFAULT_MAX_BODY_BYTES);
	cv_room(d, CA_FIELD_HEADER_TIMEOUT, before->header_timeout_ms,
		after->header_timeout_ms, H1_DEFAULT_HEADER_TIMEOUT_MS);
	cv_room(d, CA_FIELD_IDLE_TIMEOUT, before->idle_timeout_ms,
		after->idle_timeout_ms, H1_DEFAULT_IDLE_TIMEOUT_MS);
}

GPtrArray *cv_diff(const struct ca_catalog *before,
		   const struct ca_catalog *after, const char *const *fields)
{
	struct cv_differ d = {
		.before = before,
		.after = after,
		.before_keys = cv_count_keys(before, after),
		.after_keys = cv_count_keys(after, before),
		.fields = fields,
		.changes = g_ptr_array_new_with_free_func(cv_change_free),
		.subject = CV_VERSION,
		.name = "",
	};

	if (before->version != after->version)
		cv_add(&d, NULL, g_strdup_printf("%" PRIu64, before->version),
		       g_strdup_printf("%" PRIu64, after->version), false);
	for (uint32_t i = 0; i < G_N_ELEMENTS(cv_lists); i++)
		cv_diff_list(&d, &cv_lists[i]);
	cv_diff_limits(&d);
	g_hash_table_destroy(d.before_keys);
	g_hash_table_destroy(d.after_keys);
	return d.changes;
}

const char *cv_subject_name(enum cv_subject subject)
{
	static const char *const names[] = { "version", "route", "service",
					     "team", "limit" };

	return names[subject];
}
