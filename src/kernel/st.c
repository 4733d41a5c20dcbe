#include "kernel/st.h"

#include <stdarg.h>
#include <stdint.h>
#include <stdio.h>

#define ST_MESSAGE_BYTES 512

static _Thread_local char st_last_message[ST_MESSAGE_BYTES];

static const char *const st_names[ST_CODE_COUNT] = {
	[ST_OK] = "ok",
	[ST_INVALID] = "invalid",
	[ST_NOT_FOUND] = "not_found",
	[ST_CONFLICT] = "conflict",
	[ST_UNAVAILABLE] = "unavailable",
	[ST_UNKNOWN] = "unknown",
	[ST_TIMEOUT] = "timeout",
	[ST_FULL] = "full",
	[ST_DENIED] = "denied",
	[ST_STALE] = "stale",
	[ST_INTERNAL] = "internal",
};

enum st_code st_fail(enum st_code code, const char *format, ...)
{
	va_list args;

	va_start(args, format);
	vsnprintf(st_last_message, sizeof(st_last_message), format, args);
	va_end(args);
	return code;
}

const char *st_message(void)
{
	return st_last_message;
}

const char *st_name(enum st_code code)
{
	if ((uint32_t)code >= ST_CODE_COUNT)
		return "unknown_code";
	return st_names[code];
}
