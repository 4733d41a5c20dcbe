/*
 * ix_feed - client for the event stream and snapshots of one engine.
 *
 * Overview
 *	A feed keeps one stream of /v1/cache/events open and applies the
 *	events to the index. A stream that breaks or falls silent is reopened
 *	after an exponential delay with jitter, so that the feeds do not all
 *	reconnect to a restarted engine at once; Last-Event-ID resumes the
 *	stream. When the index needs a snapshot, the feed fetches it, limited
 *	to an average of IX_FEED_SNAPSHOT_BYTES_PER_S.
 *
 *	The feed reports restarts, gaps and reachability to a callback.
 *
 * Use
 *	ix_feed_start(&feed, &(struct ix_feed_desc){ .loop = loop,
 *		.http = &client, .index = &index, .engine = id, .name = "e1",
 *		.ipv4 = ip, .port = port, .on_notice = fn, .arg = me });
 *	ix_feed_stop(&feed);
 */
#ifndef IX_FEED_H
#define IX_FEED_H

#include <ev.h>
#include <stdbool.h>
#include <stdint.h>

#include "index/ix.h"
#include "net/hc.h"
#include "net/se.h"

#define IX_FEED_NAME_BYTES 64
/* Engines report their load several times a second, so silence is a fault. */
#define IX_FEED_IDLE_MS		    5000
#define IX_FEED_MIN_RETRY_MS	    100
#define IX_FEED_MAX_RETRY_MS	    5000
#define IX_FEED_SNAPSHOT_TIMEOUT_MS 10000
#define IX_FEED_MAX_SNAPSHOT_BYTES  (8u << 20)
/* Limits the traffic when gaps are frequent and snapshots large. */
#define IX_FEED_SNAPSHOT_BYTES_PER_S 20000
#define IX_FEED_ANSWERED_INTERVAL_MS 500

/**
 * enum ix_notice - notification about the engine of a feed.
 * @IX_NOTICE_ANSWERED: the engine sent an event; at most once in
 *	IX_FEED_ANSWERED_INTERVAL_MS, except for a new incarnation.
 * @IX_NOTICE_FAILED: no connection could be opened, or the engine fell silent.
 * @IX_NOTICE_LEAVING: a load report says that the engine is leaving; sent once
 *	per incarnation.
 * @IX_NOTICE_RESTARTED: the engine has a new incarnation.
 * @IX_NOTICE_GAP: events were lost.
 */
enum ix_notice {
	IX_NOTICE_ANSWERED = 0,
	IX_NOTICE_FAILED,
	IX_NOTICE_LEAVING,
	IX_NOTICE_RESTARTED,
	IX_NOTICE_GAP
};

struct ix_feed;

/**
 * struct ix_feed_desc - all fields but @idle_ms and @arg are required.
 * @idle_ms: silence after which the stream is reopened; 0 means
 *	IX_FEED_IDLE_MS.
 * @on_notice: must not stop the feed.
 */
struct ix_feed_desc {
	struct ev_loop *loop;
	struct hc_client *http;
	struct ix_index *index;
	uint64_t engine;
	const char *name;
	uint32_t ipv4;
	uint16_t port;
	int64_t idle_ms;
	void (*on_notice)(void *arg, const struct ix_feed *feed,
			  enum ix_notice notice);
	void *arg;
};

/**
 * struct ix_feed - state. Readable fields:
 * @name: name of the engine.
 * @ipv4: address of the engine.
 * @port: port of the engine.
 * @incarnation: of the last event or snapshot.
 * @sequence: of the last event.
 */
struct ix_feed {
	char name[IX_FEED_NAME_BYTES];
	uint32_t ipv4;
	uint16_t port;
	uint64_t incarnation;
	uint64_t sequence;

	struct ix_feed_desc _desc;
	struct se_parser _parser;
	GArray *_blocks;
	struct hc_call _stream;
	struct hc_call _snapshot;
	ev_timer _stream_timer;
	ev_timer _snapshot_timer;
	int64_t _stream_retry_ms;
	int64_t _snapshot_retry_ms;
	int64_t _snapshot_not_before_ms;
	int64_t _answered_ms;
	bool _is_streaming;
	bool _is_unusable;
	bool _is_leaving;
};

void ix_feed_start(struct ix_feed *feed, const struct ix_feed_desc *desc);

/** ix_feed_stop() - close the stream; the index keeps its entries. */
void ix_feed_stop(struct ix_feed *feed);

#endif
