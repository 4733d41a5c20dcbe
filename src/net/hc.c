#include "net/hc.h"

#include <curl/curl.h>
#include <stdlib.h>
#include <string.h>

#include "http1/h1_check.h"
#include "kernel/ck.h"

#define HC_FIRST_SLOTS	     64
#define HC_KEEPALIVE_S	     10L
#define HC_HEADER_NAME_BYTES 64
/* Each open stream holds both; libcurl's own sizes are 16 and 64 KiB. */
#define HC_BUFFER_BYTES	       2048L
#define HC_UPLOAD_BUFFER_BYTES 16384L

/*
 * One call. The two timers watch for silence: libcurl has no limit on the
 * time between two bytes that is finer than a second.
 */
struct _hc_transfer {
	struct hc_client *client;
	struct hc_call_desc desc;
	uint32_t slot;
	CURL *easy;
	struct curl_slist *headers;
	char *body;
	GString *answer;
	ev_timer silence;
	bool got_body_byte;
	uint64_t head_bytes;
	struct h1_check check;
	bool is_idle;
	bool is_too_large;
	bool is_garbled;
	int64_t last_byte_ms;
	char error[CURL_ERROR_SIZE];
	char reason[CURL_ERROR_SIZE];
};

/* A socket that libcurl asked to be watched. */
struct hc_socket {
	ev_io io;
	struct hc_client *client;
};

static const char *const hc_outcome_names[] = {
	[HC_DONE] = "done",	  [HC_NO_CONNECTION] = "no_connection",
	[HC_BROKEN] = "broken",	  [HC_IDLE] = "idle",
	[HC_TIMEOUT] = "timeout", [HC_TOO_LARGE] = "too_large",
	[HC_GARBLED] = "garbled",
};

void hc_make_url(char *out, uint32_t room, uint32_t ipv4, uint16_t port,
		 const char *path)
{
	g_snprintf(out, room, "http://%u.%u.%u.%u:%u%s", ipv4 >> 24,
		   ipv4 >> 16 & 255, ipv4 >> 8 & 255, ipv4 & 255, port, path);
}

const char *hc_outcome_name(enum hc_outcome outcome)
{
	return hc_outcome_names[outcome];
}

static void hc_transfer_free(struct _hc_transfer *t)
{
	struct hc_client *client = t->client;

	ev_timer_stop(client->_loop, &t->silence);
	curl_multi_remove_handle(client->_multi, t->easy);
	curl_easy_cleanup(t->easy);
	curl_slist_free_all(t->headers);
	g_free(t->body);
	client->_collected_bytes -= t->answer->len;
	g_string_free(t->answer, TRUE);
	h1_check_finish(&t->check);
	client->_slots[t->slot] = NULL;
	client->_generations[t->slot]++;
	client->_in_flight--;
	free(t);
}

/* Nothing reached the far end if no connection was made for this call. */
static bool hc_maybe_sent(struct _hc_transfer *t, CURLcode code)
{
	long request_bytes = 0;

	if (code == CURLE_COULDNT_CONNECT || code == CURLE_COULDNT_RESOLVE_HOST)
		return false;
	curl_easy_getinfo(t->easy, CURLINFO_REQUEST_SIZE, &request_bytes);
	return request_bytes > 0;
}

/*
 * libcurl has found itself that the answer is none. Errors in chunks have the
 * code of a failed read, for which the system gave no reason.
 */
static bool hc_has_rejected(struct _hc_transfer *t, CURLcode code)
{
	long os_errno = 0;

	switch (code) {
	case CURLE_UNSUPPORTED_PROTOCOL:
	case CURLE_WEIRD_SERVER_REPLY:
	case CURLE_BAD_FUNCTION_ARGUMENT:
		return true;
	case CURLE_RECV_ERROR:
		curl_easy_getinfo(t->easy, CURLINFO_OS_ERRNO, &os_errno);
		return !os_errno;
	default:
		return false;
	}
}

static enum hc_outcome hc_outcome_of(struct _hc_transfer *t, CURLcode code,
				     bool maybe_sent)
{
	if (t->is_garbled)
		return HC_GARBLED;
	if (t->is_too_large)
		return HC_TOO_LARGE;
	if (t->is_idle)
		return HC_IDLE;
	/* libcurl reports success for an answer whose head breaks off. */
	if (code == CURLE_OK)
		return h1_check_is_final(&t->check) ? HC_DONE : HC_BROKEN;
	if (!maybe_sent)
		return HC_NO_CONNECTION;
	if (code == CURLE_OPERATION_TIMEDOUT)
		return HC_TIMEOUT;
	return hc_has_rejected(t, code) ? HC_GARBLED : HC_BROKEN;
}

static void hc_transfer_end(struct _hc_transfer *t, CURLcode code)
{
	struct hc_call_desc desc = t->desc;
	struct hc_result result = { 0 };
	GString *answer = t->answer;
	char message[CURL_ERROR_SIZE];
	long status = 0;

	curl_easy_getinfo(t->easy, CURLINFO_RESPONSE_CODE, &status);
	result.http_status = (uint32_t)status;
	result.maybe_sent = hc_maybe_sent(t, code);
	result.outcome = hc_outcome_of(t, code, result.maybe_sent);
	g_strlcpy(message, t->error[0] ? t->error : curl_easy_strerror(code),
		  sizeof(message));
	if (t->is_garbled)
		g_strlcpy(message, t->reason, sizeof(message));
	else if (result.outcome == HC_IDLE)
		g_strlcpy(message, "no byte in time", sizeof(message));
	else if (result.outcome == HC_BROKEN && code == CURLE_OK)
		g_strlcpy(message, "the head of the answer broke off",
			  sizeof(message));
	result.message = message;
	result.body = answer->str;
	result.body_bytes = answer->len;

	/* The call is over before on_done, which may finish the client. */
	t->client->_collected_bytes -= answer->len;
	t->answer = g_string_new(NULL);
	hc_transfer_free(t);
	desc.on_done(desc.arg, &result);
	g_string_free(answer, TRUE);
}

static void hc_collect_done(struct hc_client *client)
{
	CURLMsg *message;
	int left;

	while ((message = curl_multi_info_read(client->_multi, &left))) {
		struct _hc_transfer *t;
		CURLcode code = message->data.result;

		if (message->msg != CURLMSG_DONE)
			continue;
		curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE,
				  (char **)&t);
		hc_transfer_end(t, code);
		if (!client->_multi)
			return;
	}
}

static void hc_on_io(struct ev_loop *loop, ev_io *io, int revents)
{
	struct hc_socket *s = (struct hc_socket *)io;
	struct hc_client *client = s->client;
	int action = 0;
	int running;

	if (revents & EV_READ)
		action |= CURL_CSELECT_IN;
	if (revents & EV_WRITE)
		action |= CURL_CSELECT_OUT;
	curl_multi_socket_action(client->_multi, io->fd, action, &running);
	hc_collect_done(client);
}

static void hc_on_timer(struct ev_loop *loop, ev_timer *timer, int revents)
{
	struct hc_client *client = timer->data;
	int running;

	curl_multi_socket_action(client->_multi, CURL_SOCKET_TIMEOUT, 0,
				 &running);
	hc_collect_done(client);
}

static int hc_socket_changed(CURL *easy, curl_socket_t fd, int what,
			     void *client_arg, void *socket_arg)
{
	struct hc_client *client = client_arg;
	struct hc_socket *s = socket_arg;
	int events = 0;

	if (what == CURL_POLL_REMOVE) {
		if (s)
			ev_io_stop(client->_loop, &s->io);
		free(s);
		return 0;
	}
	if (!s) {
		s = calloc(1, sizeof(*s));
		if (!s)
			return -1;
		s->client = client;
		ev_io_init(&s->io, hc_on_io, fd, 0);
		curl_multi_assign(client->_multi, fd, s);
	}
	if (what & CURL_POLL_IN)
		events |= EV_READ;
	if (what & CURL_POLL_OUT)
		events |= EV_WRITE;
	ev_io_stop(client->_loop, &s->io);
	ev_io_set(&s->io, fd, events);
	ev_io_start(client->_loop, &s->io);
	return 0;
}

static int hc_timer_changed(CURLM *multi, long timeout_ms, void *client_arg)
{
	struct hc_client *client = client_arg;

	ev_timer_stop(client->_loop, &client->_timer);
	if (timeout_ms < 0)
		return 0;
	ev_now_update(client->_loop);
	ev_timer_set(&client->_timer, (double)timeout_ms / 1000.0, 0.0);
	ev_timer_start(client->_loop, &client->_timer);
	return 0;
}

/* The limit that applies now: until the first byte, or between two bytes. */
static int64_t hc_silence_limit_ms(const struct _hc_transfer *t)
{
	return t->got_body_byte ? t->desc.idle_timeout_ms
				: t->desc.first_byte_timeout_ms;
}

static void hc_watch_silence(struct _hc_transfer *t)
{
	int64_t limit_ms = hc_silence_limit_ms(t);

	ev_timer_stop(t->client->_loop, &t->silence);
	if (!limit_ms)
		return;
	ev_now_update(t->client->_loop);
	ev_timer_set(&t->silence, (double)limit_ms / 1000.0, 0.0);
	ev_timer_start(t->client->_loop, &t->silence);
}

/*
 * Bytes only note the time; the timer is set anew when it fires, so that a
 * fast stream does not pay for a timer change on each byte.
 */
static void hc_on_silence(struct ev_loop *loop, ev_timer *timer, int revents)
{
	struct _hc_transfer *t = timer->data;
	int64_t quiet_ms = ck_now_ms() - t->last_byte_ms;
	int64_t limit_ms = hc_silence_limit_ms(t);

	if (!limit_ms)
		return;
	if (quiet_ms < limit_ms) {
		ev_timer_set(timer, (double)(limit_ms - quiet_ms) / 1000.0,
			     0.0);
		ev_timer_start(loop, timer);
		return;
	}
	t->is_idle = true;
	hc_transfer_end(t, CURLE_OPERATION_TIMEDOUT);
}

/*
 * An answer has begun, so the request is not sent again: libcurl repeats only
 * requests that got no byte. A long stream need not hold its prompt, unless
 * the answer came early and the rest is still being sent.
 */
static void hc_drop_sent_body(struct _hc_transfer *t)
{
	curl_off_t sent_bytes = 0;

	curl_easy_getinfo(t->easy, CURLINFO_SIZE_UPLOAD_T, &sent_bytes);
	if (!t->body || (uint64_t)sent_bytes < t->desc.body_bytes)
		return;
	curl_easy_setopt(t->easy, CURLOPT_POSTFIELDS, "");
	g_free(t->body);
	t->body = NULL;
}

/* Servers that send without end, to many calls at once, must not fill memory.
 */
static bool hc_may_collect(const struct _hc_transfer *t, uint64_t bytes)
{
	uint64_t held = t->answer->len + bytes;

	return held <= t->desc.max_answer_bytes &&
	       (held <= HC_RESERVED_BYTES ||
		t->client->_collected_bytes + bytes <=
			t->client->_max_collected_bytes);
}

static void hc_reject(struct _hc_transfer *t, const char *reason)
{
	t->is_garbled = true;
	g_strlcpy(t->reason, reason, sizeof(t->reason));
}

static size_t hc_on_body(char *data, size_t size, size_t count, void *arg)
{
	struct _hc_transfer *t = arg;
	size_t bytes = size * count;
	long status = 0;

	t->last_byte_ms = ck_now_ms();
	if (!h1_check_is_final(&t->check)) {
		hc_reject(t, "a body without a head");
		return 0;
	}
	if (!t->got_body_byte) {
		t->got_body_byte = true;
		hc_drop_sent_body(t);
		hc_watch_silence(t);
	}
	if (t->desc.on_data) {
		curl_easy_getinfo(t->easy, CURLINFO_RESPONSE_CODE, &status);
		t->desc.on_data(t->desc.arg, (uint32_t)status, data, bytes);
		return t->is_too_large ? 0 : bytes;
	}
	if (!hc_may_collect(t, bytes)) {
		t->is_too_large = true;
		return 0;
	}
	g_string_append_len(t->answer, data, (gssize)bytes);
	t->client->_collected_bytes += bytes;
	return bytes;
}

static size_t hc_on_header_line(char *line, size_t size, size_t count,
				void *arg)
{
	struct _hc_transfer *t = arg;
	size_t bytes = size * count;
	char *colon = memchr(line, ':', bytes);
	char name[HC_HEADER_NAME_BYTES];
	char *value;
	size_t name_bytes;

	t->head_bytes += bytes;
	if (t->head_bytes > HC_MAX_HEAD_BYTES) {
		t->is_too_large = true;
		return 0;
	}
	if (h1_check_line(&t->check, line, bytes) != ST_OK) {
		hc_reject(t, st_message());
		return 0;
	}
	if (!t->desc.on_header || !colon)
		return bytes;
	name_bytes = (size_t)(colon - line);
	if (name_bytes >= sizeof(name))
		return bytes;
	for (size_t i = 0; i < name_bytes; i++)
		name[i] = g_ascii_tolower(line[i]);
	name[name_bytes] = '\0';
	value = g_strndup(colon + 1, bytes - name_bytes - 1);
	t->desc.on_header(t->desc.arg, name, g_strstrip(value));
	g_free(value);
	return bytes;
}

enum st_code hc_init(struct hc_client *client, const struct hc_desc *desc)
{
	memset(client, 0, sizeof(*client));
	client->_loop = desc->loop;
	client->_multi = curl_multi_init();
	if (!client->_multi)
		return st_fail(ST_INTERNAL, "no curl multi handle");
	client->_slot_count = HC_FIRST_SLOTS;
	client->_slots = g_new0(struct _hc_transfer *, client->_slot_count);
	client->_generations = g_new0(uint32_t, client->_slot_count);
	ev_timer_init(&client->_timer, hc_on_timer, 0.0, 0.0);
	client->_timer.data = client;
	client->_max_collected_bytes = desc->max_collected_bytes
					       ? desc->max_collected_bytes
					       : HC_DEFAULT_MAX_COLLECTED_BYTES;
	curl_multi_setopt(client->_multi, CURLMOPT_SOCKETFUNCTION,
			  hc_socket_changed);
	curl_multi_setopt(client->_multi, CURLMOPT_SOCKETDATA, client);
	curl_multi_setopt(client->_multi, CURLMOPT_TIMERFUNCTION,
			  hc_timer_changed);
	curl_multi_setopt(client->_multi, CURLMOPT_TIMERDATA, client);
	curl_multi_setopt(client->_multi, CURLMOPT_MAX_HOST_CONNECTIONS,
			  (long)desc->max_connections_per_host);
	return ST_OK;
}

void hc_finish(struct hc_client *client)
{
	if (!client->_multi)
		return;
	for (uint32_t i = 0; i < client->_slot_count; i++)
		if (client->_slots[i])
			hc_transfer_free(client->_slots[i]);
	curl_multi_cleanup(client->_multi);
	ev_timer_stop(client->_loop, &client->_timer);
	g_free(client->_slots);
	g_free(client->_generations);
	memset(client, 0, sizeof(*client));
}

static bool hc_slots_grow(struct hc_client *client)
{
	uint32_t count = client->_slot_count * 2;

	if (count > HC_MAX_CALLS)
		return false;
	client->_slots = g_renew(struct _hc_transfer *, client->_slots, count);
	client->_generations = g_renew(uint32_t, client->_generations, count);
	memset(client->_slots + client->_slot_count, 0,
	       client->_slot_count * sizeof(*client->_slots));
	memset(client->_generations + client->_slot_count, 0,
	       client->_slot_count * sizeof(*client->_generations));
	client->_slot_count = count;
	return true;
}

static enum st_code hc_free_slot(struct hc_client *client, uint32_t *slot)
{
	uint32_t i = 0;

	while (i < client->_slot_count && client->_slots[i])
		i++;
	if (i == client->_slot_count && !hc_slots_grow(client))
		return st_fail(ST_FULL, "%u calls are in flight", HC_MAX_CALLS);
	*slot = i;
	return ST_OK;
}

static void hc_set_body(struct _hc_transfer *t)
{
	const struct hc_call_desc *desc = &t->desc;

	if (!desc->body)
		return;
	t->body = g_memdup2(desc->body, desc->body_bytes);
	curl_easy_setopt(t->easy, CURLOPT_POSTFIELDS, t->body ? t->body : "");
	curl_easy_setopt(t->easy, CURLOPT_POSTFIELDSIZE_LARGE,
			 (curl_off_t)desc->body_bytes);
	/* No "Expect: 100-continue", which would cost a round trip. */
	t->headers = curl_slist_append(t->headers, "Expect:");
}

static void hc_set_timeouts(struct _hc_transfer *t)
{
	const struct hc_call_desc *desc = &t->desc;
	int64_t connect_ms = desc->connect_timeout_ms
				     ? desc->connect_timeout_ms
				     : HC_DEFAULT_CONNECT_TIMEOUT_MS;

	curl_easy_setopt(t->easy, CURLOPT_CONNECTTIMEOUT_MS, (long)connect_ms);
	if (desc->total_timeout_ms)
		curl_easy_setopt(t->easy, CURLOPT_TIMEOUT_MS,
				 (long)desc->total_timeout_ms);
	curl_easy_setopt(t->easy, CURLOPT_TCP_KEEPALIVE, 1L);
	curl_easy_setopt(t->easy, CURLOPT_TCP_KEEPIDLE, HC_KEEPALIVE_S);
	curl_easy_setopt(t->easy, CURLOPT_TCP_KEEPINTVL, HC_KEEPALIVE_S);
}

static void hc_set_options(struct _hc_transfer *t)
{
	const struct hc_call_desc *desc = &t->desc;

	curl_easy_setopt(t->easy, CURLOPT_PRIVATE, t);
	curl_easy_setopt(t->easy, CURLOPT_ERRORBUFFER, t->error);
	curl_easy_setopt(t->easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(t->easy, CURLOPT_BUFFERSIZE, HC_BUFFER_BYTES);
	curl_easy_setopt(t->easy, CURLOPT_UPLOAD_BUFFERSIZE,
			 HC_UPLOAD_BUFFER_BYTES);
	curl_easy_setopt(t->easy, CURLOPT_URL, desc->url);
	curl_easy_setopt(t->easy, CURLOPT_PROTOCOLS_STR, "http,https");
	curl_easy_setopt(t->easy, CURLOPT_PROXY, "");
	curl_easy_setopt(t->easy, CURLOPT_HTTP_VERSION,
			 (long)CURL_HTTP_VERSION_1_1);
	hc_set_body(t);
	curl_easy_setopt(t->easy, CURLOPT_CUSTOMREQUEST,
			 desc->method ? desc->method : "GET");
	if (desc->method && !strcmp(desc->method, "HEAD"))
		curl_easy_setopt(t->easy, CURLOPT_NOBODY, 1L);
	for (const char *const *h = desc->headers; h && *h; h++)
		t->headers = curl_slist_append(t->headers, *h);
	curl_easy_setopt(t->easy, CURLOPT_HTTPHEADER, t->headers);
	curl_easy_setopt(t->easy, CURLOPT_WRITEFUNCTION, hc_on_body);
	curl_easy_setopt(t->easy, CURLOPT_WRITEDATA, t);
	curl_easy_setopt(t->easy, CURLOPT_HEADERFUNCTION, hc_on_header_line);
	curl_easy_setopt(t->easy, CURLOPT_HEADERDATA, t);
	curl_easy_setopt(t->easy, CURLOPT_FRESH_CONNECT,
			 desc->fresh_connection ? 1L : 0L);
	curl_easy_setopt(t->easy, CURLOPT_FORBID_REUSE,
			 desc->fresh_connection ? 1L : 0L);
	hc_set_timeouts(t);
}

enum st_code hc_send(struct hc_client *client, const struct hc_call_desc *desc,
		     struct hc_call *call)
{
	struct _hc_transfer *t;
	enum st_code code;
	uint32_t slot = 0;

	code = hc_free_slot(client, &slot);
	if (code != ST_OK)
		return code;
	t = calloc(1, sizeof(*t));
	if (!t)
		return st_fail(ST_FULL, "no memory for a call");
	t->client = client;
	t->desc = *desc;
	if (!t->desc.max_answer_bytes)
		t->desc.max_answer_bytes = HC_DEFAULT_MAX_ANSWER_BYTES;
	t->slot = slot;
	t->easy = curl_easy_init();
	t->answer = g_string_new(NULL);
	h1_check_init(&t->check);
	t->last_byte_ms = ck_now_ms();
	ev_timer_init(&t->silence, hc_on_silence, 0.0, 0.0);
	t->silence.data = t;
	client->_slots[slot] = t;
	client->_in_flight++;
	hc_set_options(t);
	if (curl_multi_add_handle(client->_multi, t->easy) != CURLM_OK) {
		hc_transfer_free(t);
		return st_fail(ST_INVALID, "cannot call %s", desc->url);
	}
	hc_watch_silence(t);
	if (call) {
		call->slot = slot + 1;
		call->generation = client->_generations[slot];
	}
	return ST_OK;
}

static struct _hc_transfer *hc_find(const struct hc_client *client,
				    struct hc_call call)
{
	uint32_t i = call.slot - 1;

	if (!call.slot || call.slot > client->_slot_count ||
	    client->_generations[i] != call.generation)
		return NULL;
	return client->_slots[i];
}

void hc_cancel(struct hc_client *client, struct hc_call call)
{
	struct _hc_transfer *t = hc_find(client, call);

	if (t)
		hc_transfer_free(t);
}

void hc_stop(struct hc_client *client, struct hc_call call)
{
	struct _hc_transfer *t = hc_find(client, call);

	if (t)
		t->is_too_large = true;
}
