// Steps of requests and crashes, played on a table of src/limits/ps.
#ifndef POISON_FIXTURE_H
#define POISON_FIXTURE_H

#include <gtest/gtest.h>

#include <vector>

extern "C" {
#include "limits/ps.h"
}

const int64_t now = 1000000;

// A step: '+' fingerprint starts on engine, '-' completes, '!' its connection
// breaks, '/' is cancelled, '<' is abandoned while the engine is silent, 'x'
// the incarnation of the engine is known to have crashed, 'p' a peer reports a
// crash of engine, 'o' a peer reports one that is 5 s old, 'c' a peer reports
// that it completed, 'l' the engine accepted a connection, 'a' the engine
// answered a request, 'w' wait; engine is the number of seconds, 'f' a request
// with this part is checked.
struct Step {
	char what;
	uint64_t fingerprint;
	uint64_t engine;
};

inline void run(struct ps_table *table, const std::vector<Step> &steps,
		int64_t *at)
{
	uint64_t fingerprints[64];

	for (const Step &s : steps) {
		switch (s.what) {
		case '+':
			ps_started(table, s.fingerprint, s.engine, 1, *at);
			break;
		case '-':
			ps_ended(table, s.fingerprint, s.engine, 1,
				 PS_COMPLETED, *at);
			break;
		case '!':
			ps_ended(table, s.fingerprint, s.engine, 1, PS_BROKEN,
				 *at);
			break;
		case '/':
			ps_ended(table, s.fingerprint, s.engine, 1,
				 PS_CANCELLED, *at);
			break;
		case 'x':
			ps_crashed(table, s.engine, 1, fingerprints, 64, *at);
			break;
		case 'p':
			ps_peer_report(table, s.fingerprint, s.engine, 1, 0,
				       *at);
			break;
		case 'o':
			ps_peer_report(table, s.fingerprint, s.engine, 1, 5000,
				       *at);
			break;
		case 'c':
			ps_peer_report(table, s.fingerprint, 0, 0, 0, *at);
			break;
		case '<':
			ps_ended(table, s.fingerprint, s.engine, 1,
				 PS_ABANDONED, *at);
			break;
		case 'l':
			ps_engine_alive(table, s.engine, 1);
			break;
		case 'a':
			ps_engine_answered(table, s.engine, 1);
			break;
		case 'w':
			*at += (int64_t)s.engine * 1000;
			break;
		case 'f':
			ps_find_proven(table, &s.fingerprint, 1, *at);
			break;
		default:
			FAIL() << s.what;
		}
		*at += 10;
	}
}

#endif
