// A platform plug-in "fake" for tests: the embedded tables behind faults that
// a test switches on.
#ifndef FAKE_STORE_H
#define FAKE_STORE_H

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

extern "C" {
#include "kernel/kn_registry.h"
#include "platform/pf.h"
}

// What becomes of writes.
enum FakeWrite {
	WRITE_OK,
	WRITE_LOSE_ANSWER, // takes effect, the answer is lost
	WRITE_LATE, // the answer is lost, takes effect before the next write
	WRITE_LOST, // the answer is lost, never takes effect
};

struct FakeStore {
	FakeWrite write = WRITE_OK;
	bool is_down = false;
	int reads = 0;
	int writes = 0;
	std::vector<pf_host> hosts;
	std::function<void()> late;

	static FakeStore &Get()
	{
		static FakeStore store;

		return store;
	}

	static const pf_ops *Tables()
	{
		return static_cast<const pf_ops *>(
			kn_plugin_find("platform", "embedded"));
	}
};

// A call that ends with a code of its own once the tables have answered.
// Calls that a finished store never ends are freed at the end of the program.
struct FakeCall {
	st_code code;
	pf_txn_fn txn;
	pf_rows_fn rows;
	pf_hosts_fn hosts;
	void *arg;

	static void End(void *p, st_code, uint64_t)
	{
		auto *call = static_cast<FakeCall *>(p);

		if (call->txn)
			call->txn(call->arg, call->code, 0);
		else if (call->rows)
			call->rows(call->arg, call->code, nullptr);
		else
			call->hosts(call->arg, call->code,
				    FakeStore::Get().hosts.data(),
				    FakeStore::Get().hosts.size());
		InFlight().erase(call);
	}

	static std::map<FakeCall *, std::unique_ptr<FakeCall>> &InFlight()
	{
		static std::map<FakeCall *, std::unique_ptr<FakeCall>> calls;

		return calls;
	}

	FakeCall *Keep() const
	{
		auto copy = std::make_unique<FakeCall>(*this);
		FakeCall *raw = copy.get();

		InFlight()[raw] = std::move(copy);
		return raw;
	}
};

inline st_code FakeEnd(void *impl, const FakeCall &call)
{
	struct pf_txn nothing = {};

	return FakeStore::Tables()->txn(impl, &nothing, FakeCall::End,
					call.Keep());
}

// Copy of a transaction that takes effect after its caller has gone on.
struct FakeLate {
	std::vector<std::string> texts;
	std::vector<pf_check> checks;
	std::vector<pf_put> puts;

	explicit FakeLate(const struct pf_txn *txn)
	    : checks(txn->checks, txn->checks + txn->check_count),
	      puts(txn->puts, txn->puts + txn->put_count)
	{
		texts.reserve(checks.size() + 2 * puts.size());
		for (auto &c : checks)
			c.key = Keep(c.key);
		for (auto &p : puts) {
			p.key = Keep(p.key);
			p.value = p.value ? Keep(p.value) : nullptr;
		}
	}

	const char *Keep(const char *text)
	{
		texts.push_back(text);
		return texts.back().c_str();
	}
};

inline st_code FakeTxn(void *impl, const struct pf_txn *txn, pf_txn_fn fn,
		       void *arg)
{
	FakeStore &fake = FakeStore::Get();
	FakeCall lost = { ST_UNKNOWN, fn, nullptr, nullptr, arg };

	if (fake.late) {
		auto late = fake.late;
		fake.late = nullptr;
		late();
	}
	if (fake.is_down)
		return FakeEnd(impl,
			       { ST_UNAVAILABLE, fn, nullptr, nullptr, arg });
	fake.writes++;
	FakeWrite write = fake.write;
	fake.write = WRITE_OK;
	if (write == WRITE_OK)
		return FakeStore::Tables()->txn(impl, txn, fn, arg);
	if (write == WRITE_LOSE_ANSWER)
		return FakeStore::Tables()->txn(impl, txn, FakeCall::End,
						lost.Keep());
	if (write == WRITE_LATE) {
		auto copy = std::make_shared<FakeLate>(txn);
		fake.late = [impl, copy] {
			struct pf_txn t = {};
			t.checks = copy->checks.data();
			t.check_count = copy->checks.size();
			t.puts = copy->puts.data();
			t.put_count = copy->puts.size();
			FakeStore::Tables()->txn(
				impl, &t, [](void *, st_code, uint64_t) {},
				nullptr);
		};
	}
	return FakeEnd(impl, lost);
}

inline st_code FakeRange(void *impl, const struct pf_range *range,
			 pf_rows_fn fn, void *arg)
{
	FakeStore &fake = FakeStore::Get();

	fake.reads++;
	if (fake.is_down)
		return FakeEnd(impl,
			       { ST_UNAVAILABLE, nullptr, fn, nullptr, arg });
	return FakeStore::Tables()->range(impl, range, fn, arg);
}

inline st_code FakeHosts(void *impl, pf_hosts_fn fn, void *arg)
{
	return FakeEnd(impl,
		       { FakeStore::Get().is_down ? ST_UNAVAILABLE : ST_OK,
			 nullptr, nullptr, fn, arg });
}

// Call once in a test program.
inline void FakeRegister()
{
	static pf_ops ops = *FakeStore::Tables();
	static kn_plugin plugin = { "platform", "fake", &ops, nullptr };
	static bool is_registered = false;

	ops.txn = FakeTxn;
	ops.range = FakeRange;
	ops.hosts = FakeHosts;
	FakeStore::Get() = FakeStore();
	if (!is_registered)
		kn_plugin_add(&plugin);
	is_registered = true;
}

#endif
