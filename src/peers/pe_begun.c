#include "peers/pe_begun.h"

struct pe_begun_record {
	uint64_t attempt;
	uint64_t service;
	uint64_t build;
	int64_t renewed_ms;
	GList link;
};

void pe_begun_init(struct pe_begun *begun, uint32_t max)
{
	begun->_records = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						NULL, g_free);
	g_queue_init(&begun->_by_age);
	begun->_max = max;
}

void pe_begun_finish(struct pe_begun *begun)
{
	if (begun->_records)
		g_hash_table_destroy(begun->_records);
	begun->_records = NULL;
	g_queue_init(&begun->_by_age);
}

static bool pe_is_kept(const struct pe_begun_record *record, int64_t now_ms)
{
	return now_ms - record->renewed_ms < PE_BEGUN_KEEP_MS;
}

static void pe_drop_oldest(struct pe_begun *begun)
{
	GList *link = g_queue_pop_head_link(&begun->_by_age);

	g_hash_table_remove(begun->_records,
			    &((struct pe_begun_record *)link->data)->attempt);
}

static struct pe_begun_record *pe_new_record(struct pe_begun *begun,
					     uint64_t attempt)
{
	struct pe_begun_record *record = g_new0(struct pe_begun_record, 1);

	if (begun->_by_age.length >= begun->_max)
		pe_drop_oldest(begun);
	record->attempt = attempt;
	record->link.data = record;
	g_hash_table_insert(begun->_records, &record->attempt, record);
	g_queue_push_tail_link(&begun->_by_age, &record->link);
	return record;
}

static void pe_renew(struct pe_begun *begun, struct pe_begun_record *record,
		     int64_t now_ms)
{
	record->renewed_ms = now_ms;
	g_queue_unlink(&begun->_by_age, &record->link);
	g_queue_push_tail_link(&begun->_by_age, &record->link);
}

bool pe_begun_add(struct pe_begun *begun, uint64_t attempt, uint64_t service,
		  uint64_t build, int64_t now_ms)
{
	struct pe_begun_record *record =
		g_hash_table_lookup(begun->_records, &attempt);
	bool is_new = !record || !pe_is_kept(record, now_ms);

	if (!record)
		record = pe_new_record(begun, attempt);
	pe_renew(begun, record, now_ms);
	if (is_new) {
		record->service = service;
		record->build = build;
		return true;
	}
	if (record->service == service && record->build == build)
		return true;
	record->build = 0;
	return false;
}

bool pe_begun_find(const struct pe_begun *begun, uint64_t attempt,
		   uint64_t service, int64_t now_ms, uint64_t *build)
{
	const struct pe_begun_record *record =
		g_hash_table_lookup(begun->_records, &attempt);

	if (!record || !pe_is_kept(record, now_ms))
		return false;
	*build = record->service == service ? record->build : 0;
	return true;
}

void pe_begun_expire(struct pe_begun *begun, int64_t now_ms)
{
	const GList *oldest;

	while ((oldest = begun->_by_age.head) &&
	       !pe_is_kept(oldest->data, now_ms))
		pe_drop_oldest(begun);
}

uint32_t pe_begun_count(const struct pe_begun *begun)
{
	return begun->_by_age.length;
}

static const struct pe_begun_answer *
pe_find_known(const struct pe_begun_answer *answers, uint32_t count)
{
	const struct pe_begun_answer *spare = NULL;

	for (uint32_t i = 0; i < count; i++) {
		if (!answers[i].is_known)
			continue;
		if (!answers[i].is_spare)
			return &answers[i];
		if (!spare)
			spare = &answers[i];
	}
	return spare;
}

/* Returns the build that those which infer one agree on, or 0. */
static uint64_t pe_agreed(const struct pe_begun_answer *answers, uint32_t count)
{
	uint64_t agreed = 0;

	for (uint32_t i = 0; i < count; i++) {
		const struct pe_begun_answer *a = &answers[i];

		if (a->has_several ||
		    (a->inferred && agreed && a->inferred != agreed))
			return 0;
		if (a->inferred)
			agreed = a->inferred;
	}
	return agreed;
}

enum pe_begun_outcome pe_begun_decide(const struct pe_begun_answer *answers,
				      uint32_t count, uint64_t *build)
{
	const struct pe_begun_answer *known = pe_find_known(answers, count);

	*build = known ? known->build : pe_agreed(answers, count);
	if (!*build)
		return PE_BEGUN_UNKNOWN;
	return known ? PE_BEGUN_KNOWN : PE_BEGUN_INFERRED;
}
