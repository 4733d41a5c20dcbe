#include "upstream/up_link.h"

#include <string.h>

#include "kernel/ck.h"
#include "kernel/mt.h"
#include "kernel/tl.h"
#include "link/lk_near.h"
#include "upstream/up.h"

#define UP_RELAY_VALUE_BYTES 16

MT_COUNTER(up_link_sent, "balsampin_link_sent_bytes_total",
	   "bytes of relayed requests that were sent over the link")
MT_COUNTER(up_link_whole, "balsampin_link_whole_bytes_total",
	   "bytes of their bodies, had they been sent whole")

/* Owns the strings of the encoded request and the parameters of its call. */
struct _up_link {
	struct lk_call call;
	struct hc_call_desc desc;
	char *path;
	char *body;
	char **headers;
	char relay[UP_RELAY_VALUE_BYTES];
	bool was_resent;
};

static enum st_code up_link_post(struct up_attempt *a)
{
	struct _up_link *link = a->_link;
	struct hc_call_desc call = link->desc;
	char mac[LK_MAC_HEX_BYTES + sizeof(LK_MAC_HEADER ": ")];
	const char *headers[] = { mac, NULL };

	g_snprintf(mac, sizeof(mac), LK_MAC_HEADER ": %s", link->call.mac);
	call.body = link->call.message;
	call.body_bytes = link->call.message_bytes;
	mt_add(&up_link_sent, link->call.message_bytes);
	return up_send_to(a, &call, a->_desc.via->ipv4, a->_desc.via->port,
			  LK_RELAY_PATH, headers);
}

static struct lk_call_desc up_link_desc(const struct up_attempt *a,
					const struct _up_link *link)
{
	const struct up_far_entry *via = a->_desc.via;

	return (struct lk_call_desc){
		.far = via->far,
		.far_incarnation = via->far_incarnation,
		.team = via->team,
		.engine = via->engine,
		.path = link->path,
		.headers = (const char *const *)link->headers,
		.body = link->body,
		.bytes = link->desc.body_bytes,
		.stamp = ck_hlc_tick(tl_clock(), ck_wall_ms()),
	};
}

enum st_code up_link_start(struct up_attempt *a,
			   const struct hc_call_desc *call, const char *path,
			   const char *const *headers)
{
	struct _up_link *link = g_new0(struct _up_link, 1);
	struct lk_call_desc desc;
	enum st_code code;

	a->_link = link;
	link->desc = *call;
	link->path = g_strdup(path);
	link->body = g_memdup2(call->body, call->body_bytes);
	link->headers = g_strdupv((char **)headers);
	mt_add(&up_link_whole, (int64_t)call->body_bytes);
	desc = up_link_desc(a, link);
	code = lk_call_init(&link->call, a->_desc.via->near, &desc);
	return code == ST_OK ? up_link_post(a) : code;
}

void up_link_header(struct up_attempt *a, const char *name, const char *value)
{
	if (!g_ascii_strcasecmp(name, LK_RELAY_HEADER))
		g_strlcpy(a->_link->relay, value, sizeof(a->_link->relay));
}

/* The body of a 409 is in _error_body if the request is for a stream. */
static enum st_code up_link_resend(struct up_attempt *a,
				   const struct hc_result *answer)
{
	struct _up_link *link = a->_link;
	const char *body = answer->body;
	uint64_t bytes = answer->body_bytes;
	enum st_code code;

	if (link->was_resent)
		return st_fail(ST_UNAVAILABLE,
			       "the far entry reported missing chunks again");
	link->was_resent = true;
	if (a->_desc.is_stream) {
		body = a->_error_body->str;
		bytes = a->_error_body->len;
	}
	code = lk_call_encode_missing(&link->call, body, bytes);
	if (code != ST_OK)
		return code;
	g_string_truncate(a->_error_body, 0);
	link->relay[0] = '\0';
	return up_link_post(a);
}

bool up_link_handle_answer(struct up_attempt *a, struct hc_result *answer)
{
	struct _up_link *link = a->_link;
	bool is_missing = !strcmp(link->relay, LK_RELAY_MISSING);

	if (answer->outcome != HC_DONE || !link->relay[0])
		return false;
	if (is_missing && up_link_resend(a, answer) == ST_OK)
		return true;
	answer->outcome = HC_BROKEN;
	answer->message = "the far entry did not relay an answer of the engine";
	if (is_missing || !strcmp(link->relay, LK_RELAY_NOT_RUN)) {
		answer->outcome = HC_NO_CONNECTION;
		answer->maybe_sent = false;
	}
	return false;
}

void up_link_finish(struct up_attempt *a)
{
	struct _up_link *link = a->_link;

	if (!link)
		return;
	if (link->call._near)
		lk_call_finish(&link->call);
	g_free(link->path);
	g_free(link->body);
	g_strfreev(link->headers);
	g_free(link);
	a->_link = NULL;
}
