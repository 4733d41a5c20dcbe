/*
 * ctl_call - operators' calls from the command line.
 *
 * Overview
 *	A session knows the control processes that may be asked, the one named
 *	by the operator first. ctl_operate() runs the loop until an answer has
 *	come. A call whose outcome is uncertain is repeated with the same
 *	change id, at the next control process, so that it takes effect once;
 *	other calls go on to the next process when one cannot be reached or
 *	has not caught up.
 */
#ifndef CTL_CALL_H
#define CTL_CALL_H

#include <glib.h>

#include "rpc/gen/balsampin.h"
#include "rpc/rp.h"
#include "settings/cf.h"

#define CTL_CALL_DEADLINE_MS 12000
#define CTL_TRIES	     5
#define CTL_PAUSE_MS	     500

/**
 * struct ctl_session - who is asked and with which keys.
 * @targets: of struct rp_peer.
 * @operator_key: as presented.
 * @revision: of the last answer.
 */
struct ctl_session {
	struct ev_loop *loop;
	struct rp_endpoint rpc;
	GArray *targets;
	const char *operator_key;
};

/**
 * ctl_session_init() - from the settings of any host.
 * @control: "IP:PORT" of the process to ask first; NULL for the host's own.
 */
enum st_code ctl_session_init(struct ctl_session *session,
			      const struct cf_settings *settings,
			      const char *control, const char *operator_key);
void ctl_session_finish(struct ctl_session *session);

/** ctl_answer_fn - gets an answer, valid until it returns. */
typedef void (*ctl_answer_fn)(void *arg, const bp_operated *answer);

/**
 * ctl_operate() - one call; the session adds the operators' key.
 *
 * Return: ST_OK if an answer came and @fn got it, whatever its status;
 * ST_UNKNOWN if it may have taken effect; ST_UNAVAILABLE if it did not.
 */
enum st_code ctl_operate(struct ctl_session *session, const bp_operate *call,
			 ctl_answer_fn fn, void *arg);

/** ctl_pause() - wait. */
void ctl_pause(struct ctl_session *session, int64_t ms);

#endif
