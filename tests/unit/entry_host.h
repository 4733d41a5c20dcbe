// Entry processes without their command line, several on one event loop, over a
// platform with faults that the test injects.
#ifndef ENTRY_HOST_H
#define ENTRY_HOST_H

#include "fakes.h"

#include <sodium.h>

extern "C" {
#include "entry/en.h"
#include "kernel/kn_registry.h"
#include "platform/pf.h"
}

// --- a platform that injects faults into the embedded one ---

struct PlatformFaults {
	bool is_down = false;
	int lose_answers = 0; // transactions to apply without an answer
	int drop_writes = 0;  // transactions to drop without an answer
	int txns = 0;
	int hold_answers = 0; // transactions whose answer waits for release()
	std::vector<std::function<void()>> held;

	void release()
	{
		std::vector<std::function<void()>> now;

		now.swap(held);
		for (auto &answer : now)
			answer();
	}
};

inline PlatformFaults platform_faults;

struct FaultyCall {
	pf_txn_fn txn_fn;
	pf_rows_fn rows_fn;
	void *arg;
	enum st_code code;
};

inline const struct pf_ops *embedded()
{
	return static_cast<const struct pf_ops *>(
		kn_plugin_find("platform", "embedded"));
}

inline void faulty_rows(void *arg, enum st_code code,
			const struct pf_rows *rows)
{
	auto *call = static_cast<FaultyCall *>(arg);

	if (call->txn_fn)
		call->txn_fn(call->arg, call->code, 0);
	else if (call->code != ST_OK)
		call->rows_fn(call->arg, call->code, nullptr);
	else
		call->rows_fn(call->arg, code, rows);
	delete call;
}

inline enum st_code faulty_range(void *impl, const struct pf_range *range,
				 pf_rows_fn fn, void *arg)
{
	auto *call = new FaultyCall{ nullptr, fn, arg, ST_OK };

	if (platform_faults.is_down)
		call->code = ST_UNAVAILABLE;
	return embedded()->range(impl, range, faulty_rows, call);
}

inline enum st_code faulty_txn(void *impl, const struct pf_txn *txn,
			       pf_txn_fn fn, void *arg)
{
	auto *call = new FaultyCall{ fn, nullptr, arg, ST_UNAVAILABLE };
	struct pf_range nothing = {};

	nothing.key = "none";
	platform_faults.txns++;
	if (platform_faults.is_down)
		return embedded()->range(impl, &nothing, faulty_rows, call);
	if (platform_faults.drop_writes > 0) {
		platform_faults.drop_writes--;
		call->code = ST_UNKNOWN;
		return embedded()->range(impl, &nothing, faulty_rows, call);
	}
	if (platform_faults.hold_answers > 0) {
		platform_faults.hold_answers--;
		return embedded()->txn(
			impl, txn,
			[](void *a, enum st_code code, uint64_t revision) {
				auto *c = static_cast<FaultyCall *>(a);

				platform_faults.held.push_back([=] {
					c->txn_fn(c->arg, code, revision);
					delete c;
				});
			},
			call);
	}
	if (platform_faults.lose_answers > 0) {
		platform_faults.lose_answers--;
		return embedded()->txn(
			impl, txn,
			[](void *a, enum st_code, uint64_t) {
				auto *c = static_cast<FaultyCall *>(a);

				c->txn_fn(c->arg, ST_UNKNOWN, 0);
				delete c;
			},
			call);
	}
	delete call;
	return embedded()->txn(impl, txn, fn, arg);
}

inline enum st_code faulty_init(void **impl, const struct pf_desc *desc)
{
	return embedded()->init(impl, desc);
}

inline void faulty_finish(void *impl)
{
	embedded()->finish(impl);
}

inline const struct pf_ops faulty_platform = {
	faulty_init, faulty_finish, faulty_txn, faulty_range,
	nullptr,     nullptr,	    nullptr,
};
KN_REGISTER("platform", "faulty", faulty_platform)

// --- a host ---

inline std::string sha256_hex(const std::string &text)
{
	uint8_t raw[crypto_hash_sha256_BYTES];
	char hex[2 * sizeof(raw) + 1];

	crypto_hash_sha256(raw, reinterpret_cast<const uint8_t *>(text.data()),
			   text.size());
	return sodium_bin2hex(hex, sizeof(hex), raw, sizeof(raw));
}

struct UpstreamSpec {
	enum mb_role role;
	const char *name;
	uint16_t port;
	uint64_t incarnation = 0;
};

class Host
{
      public:
	struct pr_process p = {};
	struct mb_table members;
	struct cm_config config;
	std::vector<std::string> failed, answered;

	Host(struct ev_loop *loop, const char *name,
	     const std::vector<UpstreamSpec> &upstreams)
	{
		struct kn_desc kernel = { name, loop, true };
		struct cf_settings *s = &p.settings;

		EXPECT_GE(sodium_init(), 0);
		EXPECT_EQ(kn_init(&p.kernel, &kernel), ST_OK);
		g_strlcpy(s->self.name, name, sizeof(s->self.name));
		g_strlcpy(s->self.zone, "z1", sizeof(s->self.zone));
		g_strlcpy(s->self.region, "r1", sizeof(s->self.region));
		g_strlcpy(s->self.address, "127.0.0.1",
			  sizeof(s->self.address));
		g_strlcpy(s->platform.kind, "faulty", sizeof(s->platform.kind));
		g_strlcpy(s->routing.policy, "cost", sizeof(s->routing.policy));
		s->limits = {
			1 << 20, 100, 100, 1 << 20, 2000, 2000, 100, 3, 0
		};
		p.incarnation = rp_new_incarnation();
		start_rpc(loop, name);
		mb_init(&members, &no_self);
		list(upstreams);
		p.members = &members;
		configure();
		p.config = &config;
		EXPECT_EQ(
			kn_spawn(&p.kernel, &evidence_ops, this, &p.membership),
			ST_OK);
		EXPECT_EQ(en_start(&p), ST_OK);
	}
	~Host()
	{
		en_finish(&p);
		kn_finish(&p.kernel);
		rp_finish(&p.rpc);
		mb_finish(&members);
		cm_finish(&config);
	}
	uint16_t port() const
	{
		return en_front_port(
			static_cast<struct en_entry *>(p.role_state)->front);
	}
	// Same check as the kernel makes before it exits a draining process.
	bool is_idle()
	{
		for (auto &task : p.kernel._tasks)
			if (task.ops && task.ops->is_idle &&
			    !task.ops->is_idle(&task))
				return false;
		return true;
	}
	void list(const std::vector<UpstreamSpec> &upstreams)
	{
		std::vector<struct mb_member> all;

		for (const UpstreamSpec &u : upstreams) {
			struct mb_member m = {};

			m.role = u.role;
			g_strlcpy(m.name, u.name, sizeof(m.name));
			g_strlcpy(m.service, "letters", sizeof(m.service));
			g_strlcpy(m.zone, "z1", sizeof(m.zone));
			g_strlcpy(m.region, "r1", sizeof(m.region));
			m.ipv4 = INADDR_LOOPBACK;
			m.http_port = u.port;
			all.push_back(m);
		}
		mb_apply_host_list(&members, all.data(), all.size(),
				   ck_now_ms());
		for (const UpstreamSpec &u : upstreams)
			if (u.incarnation)
				mb_mark_answered(&members, u.role, u.name,
						 u.incarnation, ck_now_ms());
	}

      private:
	struct mb_desc no_self = {};

	void start_rpc(struct ev_loop *loop, const char *name)
	{
		static const uint8_t key[RP_KEY_BYTES] = { 1 };
		struct rp_desc desc = {};

		desc.loop = loop;
		desc.address = "127.0.0.1";
		desc.key = key;
		desc.host = name;
		desc.role = "entry";
		desc.incarnation = p.incarnation;
		EXPECT_EQ(rp_init(&p.rpc, &desc), ST_OK);
	}
	void configure()
	{
		std::string team = "{\"key_sha256\":\"" + sha256_hex("k1") +
				   "\",\"max_running\":1000,"
				   "\"models\":[\"m\"]}";
		std::string other = "{\"key_sha256\":\"" + sha256_hex("k2") +
				    "\",\"models\":[\"n\"],\"services\":"
				    "[\"none\"]}";
		const struct cm_object objects[] = {
			{ "team", "t1", team.c_str(), 1, false },
			{ "team", "t2", other.c_str(), 1, false },
			{ "model", "m", "{\"version\":\"v1\"}", 1, false },
			{ "model", "n", "{\"version\":\"v1\"}", 1, false },
			{ "service", "letters", "{\"timeout_ms\":1000}", 1,
			  false },
			{ "service", "none", "{}", 1, false },
		};
		struct cm_delta delta = { 1, objects, 6 };
		struct fd_list findings;

		fd_init(&findings);
		cm_init(&config);
		EXPECT_EQ(cm_apply(&config, &delta, &findings), ST_OK)
			<< st_message();
		fd_print(&findings, "configuration", stderr);
		fd_finish(&findings);
	}
	static void on_evidence(struct kn_task *task,
				struct kn_message *message)
	{
		auto *self = static_cast<Host *>(task->state);
		auto *e = static_cast<struct mb_evidence *>(message->body);

		(e->has_answered ? self->answered : self->failed)
			.push_back(e->name);
	}
	static const struct kn_task_ops evidence_ops;
};

inline const struct kn_task_ops Host::evidence_ops = {
	"evidence", nullptr, Host::on_evidence, nullptr, nullptr, nullptr,
};

// --- a caller ---

struct Answer {
	bool is_done = false;
	enum hc_outcome outcome = HC_DONE;
	uint32_t status = 0;
	std::string body, retry_after, request_id, connection;
	struct hc_call call = {};
};

class Caller
{
      public:
	struct hc_client client;

	explicit Caller(struct ev_loop *loop)
	{
		struct hc_desc desc = {};

		desc.loop = loop;
		EXPECT_EQ(hc_init(&client, &desc), ST_OK);
	}
	~Caller()
	{
		hc_finish(&client);
	}
	void send(Answer *a, uint16_t port, const char *method,
		  const std::string &path, const std::string &body,
		  std::vector<std::string> headers = {}, const char *key = "k1")
	{
		struct hc_call_desc desc = {};
		std::string url =
			"http://127.0.0.1:" + std::to_string(port) + path;
		std::vector<const char *> lines;

		if (key)
			headers.push_back(
				std::string("Authorization: Bearer ") + key);
		for (const std::string &h : headers)
			lines.push_back(h.c_str());
		lines.push_back(nullptr);
		desc.method = method;
		desc.url = url.c_str();
		desc.headers = lines.data();
		desc.body = body.empty() ? nullptr : body.data();
		desc.body_bytes = body.size();
		desc.fresh_connection = true;
		desc.on_header = on_header;
		desc.on_data = on_data;
		desc.on_done = on_done;
		desc.arg = a;
		EXPECT_EQ(hc_send(&client, &desc, &a->call), ST_OK);
	}

      private:
	static void on_header(void *arg, const char *name, const char *value)
	{
		auto *a = static_cast<Answer *>(arg);

		if (!strcmp(name, "retry-after"))
			a->retry_after = value;
		if (!strcmp(name, "x-request-id"))
			a->request_id = value;
		if (!strcmp(name, "connection"))
			a->connection = value;
	}
	static void on_data(void *arg, uint32_t, const char *data,
			    uint64_t bytes)
	{
		static_cast<Answer *>(arg)->body.append(data, bytes);
	}
	static void on_done(void *arg, const struct hc_result *r)
	{
		auto *a = static_cast<Answer *>(arg);

		a->is_done = true;
		a->outcome = r->outcome;
		a->status = r->http_status;
	}
};

// Returns the concatenated texts of a stream's events.
inline std::string text_of(const std::string &stream)
{
	std::string out;
	size_t at = 0;

	while ((at = stream.find("\"text\":\"", at)) != std::string::npos) {
		at += 8;
		out += stream.substr(at, stream.find('"', at) - at);
	}
	return out;
}

inline bool has(const std::string &text, const char *part)
{
	return text.find(part) != std::string::npos;
}

#endif
