// The store of a Fleet: tables of rows, their feed, and transactions.
#include "fleet_state.h"

#include <gtest/gtest.h>
#include <json-c/json.h>

#include <algorithm>

namespace harness
{

namespace
{

/* How far the store can go back. */
constexpr int64_t history_ms = 30000;
constexpr int rewrite_within_ms = 2000;

std::string query(const std::string &target, const std::string &name)
{
	size_t at = target.find(name + "=");

	if (at == std::string::npos)
		return "";
	at += name.size() + 1;
	return target.substr(at, target.find('&', at) - at);
}

std::string base64(const std::string &text)
{
	char *encoded = g_base64_encode(
		reinterpret_cast<const guchar *>(text.data()), text.size());
	std::string result = encoded;

	g_free(encoded);
	return result;
}

std::string unbase64(const char *text)
{
	gsize bytes = 0;
	guchar *decoded = g_base64_decode(text, &bytes);
	std::string result(reinterpret_cast<char *>(decoded), bytes);

	g_free(decoded);
	return result;
}

/* The entry as it is seen where the engine has another address. */
std::string moved(std::string entry, const std::string &address)
{
	const std::string field = "\"address\":\"";
	size_t at = entry.find(field);

	if (at == std::string::npos)
		return entry;
	at += field.size();
	return entry.replace(at, entry.find('"', at) - at, address);
}

} // namespace

void respond(struct h1_exchange *x, uint32_t status, const std::string &body,
	     const std::map<std::string, std::string> &fields)
{
	struct h1_headers headers;

	h1_headers_init(&headers);
	for (const auto &field : fields)
		h1_headers_add(&headers, field.first.c_str(),
			       field.second.c_str());
	h1_respond(x, status, &headers, body.data(), body.size());
	h1_headers_finish(&headers);
}

void Fleet::State::answer(struct h1_exchange *x, uint32_t status,
			  const std::string &body)
{
	std::map<std::string, std::string> fields;

	if (is_era_stated)
		fields["Store-Era"] = std::to_string(era);
	respond(x, status, body, fields);
}

std::string Fleet::State::rows_json(const std::string &table, uint64_t after,
				    bool is_feed, const View *view, int *count)
{
	std::string rows;

	*count = 0;
	for (const auto &entry : tables[table]) {
		const Row &row = entry.second;
		std::string value = row.value;

		if (view && table == "servers" &&
		    view->addresses.count(entry.first))
			value = moved(value, view->addresses.at(entry.first));
		if (row.version <= after || (row.is_deleted && !is_feed))
			continue;
		rows += (*count)++ ? "," : "";
		rows += "{\"table\":\"" + table +
			"\",\"part\":\"\",\"key\":\"" + entry.first +
			"\",\"ver\":" + std::to_string(row.version);
		rows += row.is_deleted
				? ",\"deleted\":true}"
				: ",\"value\":\"" + base64(value) + "\"}";
	}
	return "{\"rows\":[" + rows +
	       "],\"has_more\":false,\"ver\":" + std::to_string(version) +
	       ",\"now_ms\":" + std::to_string(ck_now_ms()) + "}";
}

void Fleet::State::answer_rows(struct h1_exchange *x, const std::string &table,
			       uint64_t after, bool is_feed, const View *view)
{
	int count;
	std::string text = rows_json(table, after, is_feed, view, &count);

	answer(x, 200, text);
}

/* Keeps what the row was, for a return to an older copy. */
void Fleet::State::set_row(const std::string &table, const std::string &key,
			   const Row &row)
{
	int64_t now_ms = ck_now_ms();
	auto it = tables[table].find(key);
	bool had_row = it != tables[table].end();

	while (!changes.empty() && changes.front().at_ms < now_ms - history_ms)
		changes.pop_front();
	changes.push_back({ now_ms, table, key, had_row,
			    had_row ? it->second : Row{}, version });
	tables[table][key] = row;
	version = row.version;
}

void Fleet::State::put(const std::string &table, const std::string &key,
		       const std::string &value)
{
	/* A newer value stands in for one that was to be written again. */
	rewrites.erase({ table, key });
	if (away_until_ms) {
		rewrites[{ table, key }] = { value, INT64_MAX };
		return;
	}
	set_row(table, key, { value, version + 1, value.empty() });
	answer_waiters(table);
}

void Fleet::State::answer_waiters(const std::string &table)
{
	for (auto it = waiters.begin(); it != waiters.end();) {
		if (it->table != table) {
			++it;
			continue;
		}
		answer_rows(it->x, table, it->after, true, it->view);
		it = waiters.erase(it);
	}
}

void Fleet::State::on_transaction(struct h1_exchange *x)
{
	struct json_object *root = json_tokener_parse(x->body->str);
	struct json_object *checks, *puts;
	bool holds = true;

	auto text = [](struct json_object *o, const char *name) {
		struct json_object *v;

		return json_object_object_get_ex(o, name, &v)
			       ? std::string(json_object_get_string(v))
			       : std::string();
	};
	json_object_object_get_ex(root, "precondition", &checks);
	json_object_object_get_ex(root, "upserts", &puts);
	for (size_t i = 0; i < json_object_array_length(checks); i++) {
		struct json_object *c = json_object_array_get_idx(checks, i);
		auto &rows = tables[text(c, "table")];
		auto it = rows.find(text(c, "key"));
		uint64_t have = it == rows.end() || it->second.is_deleted
					? 0
					: it->second.version;

		holds &= have == std::stoull(text(c, "ver"));
	}
	for (size_t i = 0; holds && i < json_object_array_length(puts); i++) {
		struct json_object *p = json_object_array_get_idx(puts, i);

		put(text(p, "table"), text(p, "key"),
		    unbase64(text(p, "value").c_str()));
	}
	json_object_put(root);
	answer(x, holds ? 200 : 412,
	       "{\"ver\":" + std::to_string(version) +
		       ",\"now_ms\":" + std::to_string(ck_now_ms()) + "}");
}

void Fleet::State::go_away(int away_ms, int back_ms)
{
	int64_t now_ms = ck_now_ms();

	EXPECT_LE(away_ms + back_ms, history_ms);
	if (away_until_ms)
		come_back(now_ms);
	away_until_ms = now_ms + away_ms;
	copy_ms = now_ms - back_ms;
	for (const Waiter &w : waiters)
		h1_abort(w.x);
	waiters.clear();
	h1_server_close_idle(&store);
	for (View &view : views)
		h1_server_close_idle(&view.server);
}

/*
 * Undoes the changes, newest first. What it undoes is a change too: a later
 * return to a copy of the time before this one finds the rows of that time.
 */
void Fleet::State::undo_since(int64_t at_ms)
{
	std::deque<Change> undone;

	for (auto change = changes.rbegin();
	     change != changes.rend() && change->at_ms > at_ms; ++change) {
		auto &rows = tables[change->table];
		auto it = rows.find(change->key);
		bool has_row = it != rows.end();
		Row row = has_row ? it->second : Row{};

		if (has_row &&
		    (change->table == "op" || change->table == "servers"))
			rewrites.insert({ { change->table, change->key },
					  { row.value, INT64_MAX } });
		undone.push_back({ ck_now_ms(), change->table, change->key,
				   has_row, row, version });
		if (change->had_row)
			rows[change->key] = change->before;
		else
			rows.erase(change->key);
		version = change->version_before;
	}
	changes.insert(changes.end(), undone.begin(), undone.end());
}

void Fleet::State::come_back(int64_t now_ms)
{
	std::uniform_int_distribution<int> delay_ms(0, rewrite_within_ms);

	away_until_ms = 0;
	era++;
	undo_since(copy_ms);
	history_from = std::min(history_from, version);
	for (auto &entry : rewrites)
		entry.second.due_ms = now_ms + delay_ms(random);
}

void Fleet::State::on_store_tick(int64_t now_ms)
{
	if (away_until_ms && now_ms >= away_until_ms)
		come_back(now_ms);
	while (!away_until_ms && !rewrites.empty()) {
		auto next = std::min_element(rewrites.begin(), rewrites.end(),
					     [](const auto &a, const auto &b) {
						     return a.second.due_ms <
							    b.second.due_ms;
					     });
		auto key = next->first;

		if (now_ms < next->second.due_ms)
			break;
		put(key.first, key.second, std::string(next->second.value));
	}
}

void Fleet::State::on_store(struct h1_exchange *x, const View *view)
{
	std::string target = x->target;

	calls++;
	if (away_until_ms) {
		h1_abort(x);
	} else if (is_down) {
		answer(x, 503, "");
	} else if (target.rfind("/rows-tx", 0) == 0) {
		on_transaction(x);
	} else if (target.rfind("/rows-get", 0) == 0) {
		answer_rows(x, query(target, "table"), 0, false, view);
	} else if (target.rfind("/rows-feed", 0) == 0) {
		std::string table = query(target, "table");
		uint64_t after = std::stoull(query(target, "after"));
		int count;

		if (after < history_from || after > version) {
			answer(x, 410, "{}");
			return;
		}
		rows_json(table, after, true, view, &count);
		if (count)
			answer_rows(x, table, after, true, view);
		else
			waiters.push_back(
				{ x, view, table, after,
				  ck_now_ms() + std::stoll(query(target,
								 "wait_ms")) });
	} else {
		answer(x, 404, "");
	}
}

void Fleet::State::forget_waiter(struct h1_exchange *x)
{
	waiters.remove_if([x](const Waiter &w) { return w.x == x; });
}

void Fleet::State::listen(View *view)
{
	struct h1_server_desc desc = {};
	static std::string ip;

	ip = own_ip();
	desc.loop = loop;
	desc.address = ip.c_str();
	desc.limits.header_timeout_ms = 60000;
	desc.on_request = [](void *arg, struct h1_exchange *x) {
		auto *to = static_cast<View *>(arg);

		to->state->on_store(x, to);
	};
	desc.on_gone = [](void *arg, struct h1_exchange *x) {
		static_cast<View *>(arg)->state->forget_waiter(x);
	};
	desc.arg = view;
	EXPECT_EQ(h1_server_init(&view->server, &desc), ST_OK);
}

void Fleet::State::write_entry(const Engine &e)
{
	std::string models = e.model.empty()
				     ? "[]"
				     : "[{\"name\":\"" + e.model +
					       "\",\"version\":" +
					       std::to_string(e.weights) + "}]";
	std::string address =
		e.address.empty()
			? own_ip() + ":" +
				  std::to_string(h1_server_port(&e.server))
			: e.address;

	put("servers", e.id,
	    "{\"service\":\"" + e.service + "\",\"address\":\"" + address +
		    "\",\"zone\":\"z1\",\"slots\":8,\"state\":\"" +
		    (e.is_draining ? "draining" : "ready") +
		    "\",\"born\":" + std::to_string(e.born) +
		    (e.software.empty()
			     ? ""
			     : ",\"version\":\"" + e.software + "\"") +
		    ",\"models\":" + models + ",\"seq\":1}");
}

} // namespace harness
