#include <arpa/inet.h>
#include <microhttpd.h>
#include <string.h>
#include <sys/socket.h>

#include "sa.h"

struct json_object *sa_member(struct json_object *o, const char *key)
{
	struct json_object *member = NULL;

	if (json_object_is_type(o, json_type_object))
		json_object_object_get_ex(o, key, &member);
	return member;
}

const char *sa_text(struct json_object *o, const char *key,
		    const char *fallback)
{
	struct json_object *member = sa_member(o, key);

	return member ? json_object_get_string(member) : fallback;
}

int64_t sa_number(struct json_object *o, const char *key, int64_t fallback)
{
	struct json_object *member = sa_member(o, key);

	return member ? json_object_get_int64(member) : fallback;
}

void sa_answer_json(struct hs_exchange *x, uint32_t status,
		    const struct hs_header *headers, struct json_object *o)
{
	const char *text =
		json_object_to_json_string_ext(o, JSON_C_TO_STRING_PLAIN);
	const struct hs_header plain[] = {
		{ "Content-Type", "application/json" },
		{ NULL, NULL },
	};

	hs_respond(x, status, headers ? headers : plain, text, strlen(text));
	json_object_put(o);
}

void sa_answer_error(struct hs_exchange *x, uint32_t status, const char *code)
{
	struct json_object *error = json_object_new_object();
	struct json_object *o = json_object_new_object();

	json_object_object_add(error, "message", json_object_new_string(code));
	json_object_object_add(error, "type",
			       json_object_new_string("invalid_request_error"));
	json_object_object_add(error, "code", json_object_new_string(code));
	json_object_object_add(o, "error", error);
	sa_answer_json(x, status, NULL, o);
}

/* The server notices the end of the connection by itself. */
void sa_drop(struct hs_exchange *x)
{
	const union MHD_ConnectionInfo *info = MHD_get_connection_info(
		x->_connection, MHD_CONNECTION_INFO_CONNECTION_FD);

	if (info)
		shutdown(info->connect_fd, SHUT_RDWR);
}

uint16_t sa_client_port(struct hs_exchange *x)
{
	const union MHD_ConnectionInfo *info = MHD_get_connection_info(
		x->_connection, MHD_CONNECTION_INFO_CLIENT_ADDRESS);
	const struct sockaddr_in *address;

	if (!info)
		return 0;
	address = (const struct sockaddr_in *)info->client_addr;
	return ntohs(address->sin_port);
}
