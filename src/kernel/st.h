/*
 * st - status codes and the last error message.
 *
 * Overview
 *	Every call that can fail returns an enum st_code. The reason is kept as
 *	text in the thread's last message, and the caller that reports the
 *	failure reads it with st_message(). A successful call leaves the last
 *	message unchanged.
 *
 * Use
 *	if (!file)
 *		return st_fail(ST_NOT_FOUND, "%s: %s", path, strerror(errno));
 *	...
 *	if (cf_load(&cf, path) != ST_OK)
 *		fprintf(stderr, "%s\n", st_message());
 */
#ifndef ST_H
#define ST_H

/**
 * enum st_code - outcome of a call.
 * @ST_OK: the call succeeded.
 * @ST_INVALID: the caller's input is wrong; the same call fails again.
 * @ST_NOT_FOUND: the named object does not exist.
 * @ST_CONFLICT: another writer was first (compare-and-set failed).
 * @ST_UNAVAILABLE: nothing took effect; a retry may succeed.
 * @ST_UNKNOWN: the effect is uncertain, for instance after a lost reply.
 * @ST_TIMEOUT: the deadline passed; the effect is uncertain.
 * @ST_FULL: a bounded queue or table has no room.
 * @ST_DENIED: authentication or permission failed.
 * @ST_STALE: the caller's lease, incarnation or version is out of date.
 * @ST_INTERNAL: a fault in this program.
 */
enum st_code {
	ST_OK = 0,
	ST_INVALID,
	ST_NOT_FOUND,
	ST_CONFLICT,
	ST_UNAVAILABLE,
	ST_UNKNOWN,
	ST_TIMEOUT,
	ST_FULL,
	ST_DENIED,
	ST_STALE,
	ST_INTERNAL,
	ST_CODE_COUNT
};

/**
 * st_fail() - record the reason of a failure as the thread's last message.
 * @code: status code to return.
 * @format: printf format of the reason.
 *
 * Return: @code, so that the call can be used in a return statement.
 */
enum st_code st_fail(enum st_code code, const char *format, ...)
	__attribute__((format(printf, 2, 3)));

/**
 * st_message() - the thread's last message.
 *
 * Return: the reason of the last failure, or "" if there was none. Valid until
 * the next st_fail() on this thread.
 */
const char *st_message(void);

/** st_name() - short name of a code, such as "conflict". */
const char *st_name(enum st_code code);

#endif
