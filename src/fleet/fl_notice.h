/*
 * fl_notice - what an upstream has said of itself in its answers.
 *
 * Load pattern
 *	An upstream leaves while the store is away, so that its entry does not
 *	tell; or it is overloaded, and asks each of its callers for a pause.
 *
 * Overview
 *	A notice holds for one incarnation of an upstream. Having said that it
 *	leaves, it gets nothing any more: only the next incarnation does.
 *
 *	During a pause it gets no requests, and at most FL_PAUSE_CALLS calls of
 *	control. A pause that is asked for again may extend the one that runs,
 *	and never shortens it.
 *
 *	The entry of an upstream that started anew may come late, as the store
 *	is away: until then the notice is recorded for the incarnation before.
 *	The next one inherits what was said when its start was possible; see
 *	fl_notice_inherit().
 *
 *	What it said to other hosts binds this one to nothing: it is used if
 *	there is no other, and only for FL_MAX_HEARD_MS.
 *
 *	Plain functions, no clock.
 *
 * Use
 *	if (fl_notice_pause(&notice, pause_ms, now_ms)) ...it is news
 *	if (fl_notice_use(&notice, now_ms) != FL_USABLE) ...choose another
 */
#ifndef FL_NOTICE_H
#define FL_NOTICE_H

#include <stdbool.h>
#include <stdint.h>

#define FL_PAUSE_CALLS 2
/** Longest pause that an upstream may ask for. */
#define FL_MAX_PAUSE_MS 86400000
/** Longest time for which a host believes what another one was told. */
#define FL_MAX_HEARD_MS 10000
/** What extends that time by less is no news. */
#define FL_HEARD_STEP_MS 500

/** enum fl_use - whether an upstream may get a request. */
enum fl_use { FL_USABLE = 0, FL_LEAVING, FL_PAUSED };

/**
 * struct fl_notice - zero means that nothing was said.
 * @is_leaving: it leaves.
 * @pause_until_ms: end of the pause; 0: none was asked for.
 * @pause_calls: calls of control made during the pause.
 * @said_ms: time of the last answer with a notice.
 * @heard_until_ms: other hosts were told, until then, to leave it alone.
 * @was_unreadable: a notice that could not be read has been logged.
 */
struct fl_notice {
	bool is_leaving;
	int64_t pause_until_ms;
	uint32_t pause_calls;
	int64_t said_ms;
	int64_t heard_until_ms;
	bool was_unreadable;
};

enum fl_use fl_notice_use(const struct fl_notice *notice, int64_t now_ms);

/** fl_notice_leaving() - it says that it leaves; returns whether that is news.
 */
bool fl_notice_leaving(struct fl_notice *notice, int64_t now_ms);

/**
 * fl_notice_pause() - it asks for a pause from now on; returns whether no pause
 * was running.
 */
bool fl_notice_pause(struct fl_notice *notice, int64_t pause_ms,
		     int64_t now_ms);

/** fl_notice_end_pause() - whether a pause has just ended; true once. */
bool fl_notice_end_pause(struct fl_notice *notice, int64_t now_ms);

/** fl_notice_take_call() - whether a call of control may be made, and count it.
 */
bool fl_notice_take_call(struct fl_notice *notice, int64_t now_ms);

/**
 * fl_notice_inherit() - add what an incarnation is recorded to have said before
 * this one was known.
 * @since_ms: this one may have started then; older notices are not its own.
 *
 * Return: whether anything was added.
 */
bool fl_notice_inherit(struct fl_notice *notice, const struct fl_notice *before,
		       int64_t since_ms);

/**
 * fl_notice_left_ms() - for how long another host may believe what this one was
 * told; 0: nothing was said.
 */
int64_t fl_notice_left_ms(const struct fl_notice *notice, int64_t now_ms);

/**
 * fl_notice_hear() - another host was told that it leaves, or pauses; returns
 * whether that is news.
 * @left_ms: of fl_notice_left_ms() there.
 */
bool fl_notice_hear(struct fl_notice *notice, int64_t left_ms, int64_t now_ms);

/** fl_notice_is_heard() - whether to use it only if there is no other. */
bool fl_notice_is_heard(const struct fl_notice *notice, int64_t now_ms);

#endif
