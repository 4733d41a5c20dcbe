/*
 * Schema of the remote procedures between the processes of balsampin and for
 * its operators. `scripts/rpcgen.sh` makes src/rpc/gen from it.
 *
 * Transport: U one UDP datagram each way, T TCP with record marking.
 * Served by: E entry, I index, C control.
 */

const BP_NAME_BYTES = 64;
const BP_MAX_GOSSIP = 16;
const BP_MAX_BEATS = 64;
const BP_MAX_KEYS = 100;
const BP_MAX_BLOCKS = 48;
const BP_MAX_ENGINES = 12;
const BP_MAX_USAGE = 32;
const BP_MAX_OBJECTS = 20000;
const BP_MAX_JSON_BYTES = 1048576;
const BP_MAX_EVENTS = 4096;
const BP_MAX_FINDINGS = 256;

typedef string bp_name<BP_NAME_BYTES>;
typedef string bp_text<512>;
typedef string bp_json<BP_MAX_JSON_BYTES>;

/* --- membership (U, E I C) --- */

/* One member as the sender knows it; see src/membership/mb.h. */
struct bp_member {
	bp_name name;
	bp_name zone;
	bp_name region;
	unsigned int role;
	unsigned int state;
	unsigned int ipv4;
	unsigned int http_port;
	unsigned int rpc_port;
	unsigned hyper incarnation;
	unsigned hyper heartbeat;
	unsigned hyper config_revision;
};

/* A sign of life of a member whose record the receiver has; see mb.h. */
struct bp_beat {
	unsigned hyper member;
	unsigned hyper incarnation;
	unsigned hyper heartbeat;
};

struct bp_gossip {
	bp_member members<BP_MAX_GOSSIP>;
	bp_beat beats<BP_MAX_BEATS>;
};

/* --- prefix index (U, I) --- */

struct bp_ix_lookup {
	unsigned hyper engines<BP_MAX_ENGINES>;
	unsigned hyper keys<BP_MAX_KEYS>;
};

/*
 * What the index knows of one engine. @held and @pending count keys of the
 * look-up from its first on: blocks that are there, and blocks that a request
 * in flight is computing.
 */
struct bp_ix_engine {
	unsigned hyper engine;
	unsigned hyper incarnation;
	unsigned int state;
	unsigned int held;
	unsigned int pending;
	unsigned int confidence_permille;
	unsigned int running;
	unsigned int waiting_tokens;
	unsigned int load_age_ms;
	unsigned int sent_tokens;
	unsigned int prefill_tokens_per_s;
};

struct bp_ix_found {
	bp_ix_engine engines<BP_MAX_ENGINES>;
};

enum bp_ix_phase {
	BP_IX_SENT = 0,
	BP_IX_PREFILLED = 1,
	BP_IX_ENDED = 2
};

/*
 * What an entry tells the index owner of an engine about one request:
 * @blocks are the engine's names of the prompt's whole blocks, in order,
 * each of @block_tokens; the prompt's @prompt_bytes became @prompt_tokens.
 */
struct bp_ix_record {
	unsigned hyper engine;
	unsigned hyper incarnation;
	unsigned hyper request;
	bp_ix_phase phase;
	unsigned int new_tokens;
	unsigned int block_tokens;
	unsigned int prompt_bytes;
	unsigned int prompt_tokens;
	unsigned hyper keys<BP_MAX_KEYS>;
	unsigned hyper blocks<BP_MAX_BLOCKS>;
};

/* --- limits and poisoned requests over all entries (U, E) --- */

struct bp_usage_team {
	unsigned hyper team;
	unsigned int running;
	unsigned int waiting;
};

struct bp_usage {
	unsigned hyper sequence;
	bp_usage_team teams<BP_MAX_USAGE>;
};

struct bp_poison {
	unsigned hyper fingerprint;
	unsigned hyper engine;
	unsigned hyper incarnation;
	unsigned int age_ms;
};

/* --- load and held prefixes over all gateways (U, gateway) --- */

const BP_MAX_SHARES = 40;
const BP_MAX_HELD = 32;

/* Of the sender at one upstream; see src/peers/pe_load.h. */
struct bp_share {
	unsigned hyper engine;
	unsigned int running;
	unsigned int tokens;
};

/* An engine has read a prefix; see src/peers/pe_held.h. */
struct bp_held {
	unsigned hyper key;
	unsigned hyper engine;
};

/* @takes_part: the store answers the sender, and it is not stopping. */
struct bp_gateway_load {
	unsigned hyper sequence;
	bool takes_part;
	bp_share shares<BP_MAX_SHARES>;
	bp_held held<BP_MAX_HELD>;
};

const BP_MAX_SUM_SHARES = 44;

/*
 * Load of many hosts, in @parts messages with the same @sequence; see
 * src/peers/pe_zone.h. @zone: hash of the zone whose hosts are summed; 0: the
 * sum is over all hosts but the receiver. @period_ms: between two sums.
 */
struct bp_gateway_sums {
	unsigned hyper sequence;
	unsigned hyper zone;
	unsigned int part;
	unsigned int parts;
	unsigned int period_ms;
	bp_share shares<BP_MAX_SUM_SHARES>;
	bp_held held<BP_MAX_HELD>;
};

const BP_MAX_CHARGES = 8;

/* A crash that a request was running at; see src/limits/ps.h. */
struct bp_charge {
	unsigned hyper engine;
	unsigned hyper incarnation;
	unsigned int age_ms;
};

/*
 * What the sender knows against a request. With @cleared it was answered in
 * full @cleared_age_ms ago, which clears it of all crashes before. @probes:
 * tries since it was refused.
 */
struct bp_gateway_suspect {
	unsigned hyper fingerprint;
	bool cleared;
	unsigned int cleared_age_ms;
	unsigned int probes;
	bp_charge charges<BP_MAX_CHARGES>;
};

/* --- rows of the platform's store, from the reader of a region (U, gateway) --- */

const BP_MAX_ROWS = 24;
const BP_MAX_ROW_BYTES = 1200;

struct bp_row {
	bp_text key;
	opaque value<BP_MAX_ROW_BYTES>;
	unsigned hyper revision;
	bool deleted;
};

/*
 * What changed in @table after @from, up to @to, as of @store_ms of the store's
 * clock. @newest: version of the store then; the sender does not trust an answer
 * without rows to reach so far, but a receiver that knows more than @to may be
 * current. @partial: there is more than is told, read it from the store.
 * @reload: the whole table has to be read again.
 * @lapse_left_ms: entries that go missing may have lapsed for so long yet.
 */
struct bp_gateway_rows {
	unsigned int table;
	unsigned hyper from;
	unsigned hyper to;
	unsigned hyper store_ms;
	unsigned int lapse_left_ms;
	bool partial;
	bool reload;
	bp_row rows<BP_MAX_ROWS>;
	unsigned hyper newest;
};

/*
 * A whole table, for a host that the store does not answer and that missed
 * a change; see src/gateway/gw_catchup.h.
 */
const BP_MAX_TABLE_ROWS = 4096;

struct bp_table_row {
	bp_text key;
	opaque value<BP_MAX_JSON_BYTES>;
	unsigned hyper revision;
};

struct bp_gateway_table {
	unsigned hyper newest;
	unsigned hyper store_ms;
	unsigned int lapse_left_ms;
	bp_table_row rows<BP_MAX_TABLE_ROWS>;
};

/*
 * An engine has said that it leaves, or asked for a pause; see
 * src/gateway/gw_notice.h. @left_ms: for how long the receiver may believe it.
 */
struct bp_gateway_notice {
	unsigned hyper engine;
	unsigned hyper incarnation;
	unsigned int left_ms;
	bool is_leaving;
};

const BP_MAX_USE = 64;

/* Cumulative cost that a team was charged, net of refunds. */
struct bp_use {
	unsigned hyper team;
	hyper used;
};

/*
 * Usage of teams with a cap; see src/limits/lm_cap.h. @kind: of enum
 * lm_cap_kind: of the sender, of its zone, or of all hosts but the receiver.
 * @zone: hash of the sender's zone. @age_ms: since the counters were 0.
 */
struct bp_gateway_use {
	unsigned hyper sequence;
	unsigned hyper stream;
	unsigned hyper zone;
	unsigned int kind;
	unsigned int age_ms;
	bool whole;
	bp_use uses<BP_MAX_USE>;
};

/* --- builds that began streams, at the owners of the attempt (U, gateway) --- */

/*
 * @build began the stream of @attempt, hashes all; see src/peers/pe_begun.h.
 * @build: 0: not known.
 */
struct bp_gateway_begun {
	unsigned hyper attempt;
	unsigned hyper service;
	unsigned hyper build;
};

struct bp_gateway_begun_query {
	unsigned hyper attempt;
	unsigned hyper service;
};

/*
 * @known: the sender has a record of the attempt, with @build. Else @inferred is
 * the only build of the service; 0: not inferred. @several: the sender has seen
 * several builds in the service.
 */
struct bp_gateway_begun_answer {
	bool known;
	unsigned hyper build;
	unsigned hyper inferred;
	bool several;
};

/* --- configuration (T, C) --- */

struct bp_object {
	bp_name kind;
	bp_name name;
	unsigned hyper revision;
	bool deleted;
	bp_json json;
};

struct bp_upstream {
	bp_name name;
	bp_name kind;
	bp_name service;
	bp_name zone;
	bp_name region;
	unsigned int ipv4;
	unsigned int port;
	bool leaving;
};

struct bp_pull {
	unsigned hyper have_revision;
	unsigned hyper have_hosts;
};

/*
 * @trusted: the sender has caught up since it started; see DESIGN.md on
 * configuration. @hosts_revision 0 means that no host list is known.
 */
struct bp_pulled {
	bool trusted;
	unsigned hyper revision;
	bp_object objects<BP_MAX_OBJECTS>;
	unsigned hyper hosts_revision;
	unsigned int hosts_age_ms;
	bp_upstream upstreams<BP_MAX_OBJECTS>;
};

/* --- operators (T, C unless noted) --- */

enum bp_operation {
	BP_OP_SHOW = 0,
	BP_OP_LIST = 1,
	BP_OP_APPLY = 2,
	BP_OP_VERSIONS = 3,
	BP_OP_DRAIN = 4,
	BP_OP_ORDERS = 5,
	BP_OP_COUNTERS = 6
};

/*
 * BP_OP_APPLY changes all @objects together, if the configuration is still
 * at @expected_revision. The same @change_id never takes effect twice.
 */
struct bp_operate {
	bp_operation operation;
	bp_name operator_key;
	bp_name change_id;
	unsigned hyper expected_revision;
	bp_name kind;
	bp_name name;
	bp_object objects<BP_MAX_OBJECTS>;
};

struct bp_finding {
	bp_text place;
	bp_text message;
};

struct bp_operated {
	unsigned int status;
	bp_text message;
	unsigned hyper revision;
	bp_object objects<BP_MAX_OBJECTS>;
	bp_finding findings<BP_MAX_FINDINGS>;
	bp_json text;
};

/* --- time line (T, E I C) --- */

struct bp_timeline_from {
	unsigned hyper after;
};

struct bp_event {
	unsigned hyper stamp;
	unsigned int kind;
	string subject<64>;
	string detail<256>;
};

struct bp_timeline_part {
	bp_name host;
	bp_name role;
	unsigned hyper incarnation;
	unsigned hyper overwritten;
	bp_event events<BP_MAX_EVENTS>;
};

/* --- a request over the link between regions (HTTP POST, E to E) --- */

const BP_LINK_KEY_BYTES = 16;
const BP_MAX_LINK_CHUNKS = 8192;
const BP_MAX_LINK_CHUNK_BYTES = 16384;

/* A piece of the body; without @text it stands for a piece sent before. */
struct bp_link_chunk {
	opaque key[BP_LINK_KEY_BYTES];
	opaque text<BP_MAX_LINK_CHUNK_BYTES>;
};

/*
 * @whole is the key of the whole body, checked before anything is forwarded.
 * @headers are "Name: value" lines for the engine.
 */
struct bp_link_request {
	unsigned hyper stamp;
	bp_name team;
	bp_name engine;
	bp_name path;
	bp_text headers<16>;
	opaque whole[BP_LINK_KEY_BYTES];
	bp_link_chunk chunks<BP_MAX_LINK_CHUNKS>;
};

/* Answer 409: the pieces, by their place, that the far side does not hold. */
struct bp_link_missing {
	unsigned int places<BP_MAX_LINK_CHUNKS>;
};

program BALSAMPIN {
	version BALSAMPIN_V1 {
		void BP_GOSSIP(bp_gossip) = 1;
		bp_ix_found BP_IX_LOOKUP(bp_ix_lookup) = 2;
		void BP_IX_RECORD(bp_ix_record) = 3;
		void BP_USAGE(bp_usage) = 4;
		void BP_POISON(bp_poison) = 5;
		bp_pulled BP_PULL(bp_pull) = 6;
		bp_operated BP_OPERATE(bp_operate) = 7;
		bp_timeline_part BP_TIMELINE(bp_timeline_from) = 8;
		void BP_GATEWAY_LOAD(bp_gateway_load) = 9;
		void BP_GATEWAY_ROWS(bp_gateway_rows) = 10;
		bp_gateway_table BP_GATEWAY_TABLE(unsigned int) = 11;
		void BP_GATEWAY_SUSPECT(bp_gateway_suspect) = 12;
		void BP_GATEWAY_SUMS(bp_gateway_sums) = 13;
		void BP_GATEWAY_FORWARD_ROWS(bp_gateway_rows) = 14;
		void BP_GATEWAY_NOTICE(bp_gateway_notice) = 15;
		void BP_GATEWAY_USE(bp_gateway_use) = 16;
		void BP_GATEWAY_BEGUN(bp_gateway_begun) = 17;
		bp_gateway_begun_answer
			BP_GATEWAY_BEGUN_QUERY(bp_gateway_begun_query) = 18;
	} = 1;
} = 0x20426d70;
