/*
 * on_row - table row of a call that must run at most once.
 *
 * Overview
 *	The key is "once/TEAM/SERVICE/KEY", each part percent-encoded. The
 *	value is JSON:
 *
 *	{"attempt", "hash", "entry", "claimed_ms", "state": "claimed"}
 *	{..., "state": "answered", "status", "content_type", "body" (base64)}
 *	{..., "state": "answered", "is_too_large": true}
 *
 *	@hash covers method, path and body of the call; the reuse of a key for
 *	another call is refused.
 *
 * Use
 *	text = on_row_format(&row);
 *	if (on_row_parse(&row, text, revision) == ST_OK)
 *		...
 *	on_row_finish(&row);
 */
#ifndef ON_ROW_H
#define ON_ROW_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "kernel/st.h"

#define ON_ATTEMPT_BYTES 64
#define ON_HASH_BYTES	 65
#define ON_NAME_BYTES	 64
#define ON_TYPE_BYTES	 128
/** Larger answers are not stored. */
#define ON_MAX_KEPT_BYTES (256u << 10)

/**
 * struct on_row - parsed form of a row.
 * @attempt: id of the attempt that claimed the key.
 * @hash: on_row_hash() of the call, in hex.
 * @entry: host that claimed the key.
 * @claimed_ms: wall-clock time of the claim on that host.
 * @is_answered: the call ran; the fields of its answer follow.
 * @is_too_large: the answer exceeded ON_MAX_KEPT_BYTES and was not stored.
 * @status: HTTP status of the answer.
 * @content_type: of the answer, "" for none.
 * @body: of the answer, or NULL.
 * @revision: of the row as read; not part of the JSON value.
 */
struct on_row {
	char attempt[ON_ATTEMPT_BYTES];
	char hash[ON_HASH_BYTES];
	char entry[ON_NAME_BYTES];
	int64_t claimed_ms;
	bool is_answered;
	bool is_too_large;
	uint32_t status;
	char content_type[ON_TYPE_BYTES];
	GString *body;
	uint64_t revision;
};

/** on_row_finish() - free the body and clear the row. */
void on_row_finish(struct on_row *row);

/** on_row_key() - table key of a call; free with g_free(). */
char *on_row_key(const char *team, const char *service, const char *key);

/** on_row_hash() - hash of a call over method, path and body. */
void on_row_hash(char hash[ON_HASH_BYTES], const char *method, const char *path,
		 const void *body, uint64_t bytes);

/** on_row_set_answer() - add the answer; @content_type may be NULL. */
void on_row_set_answer(struct on_row *row, uint32_t status,
		       const char *content_type, const void *body,
		       uint64_t bytes);

/** on_row_format() - JSON value of a row; free with g_free(). */
char *on_row_format(const struct on_row *row);

/** on_row_parse() - parse a JSON value; ST_INVALID if it is not a row. */
enum st_code on_row_parse(struct on_row *row, const char *text,
			  uint64_t revision);

#endif
