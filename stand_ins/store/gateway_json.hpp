#ifndef BRIARDRUM_STAND_INS_STORE_GATEWAY_JSON_HPP
#define BRIARDRUM_STAND_INS_STORE_GATEWAY_JSON_HPP

#include "node/store/store.hpp"

#include <nlohmann/json.hpp>

namespace briardrum::stand_in
{

// The store's side of io/store/etcd_json.hpp, written for itself, so that a
// mistake does not stand on both sides. Readers throw what nlohmann::json
// throws.

auto read_range(const nlohmann::json& in) -> store_range;
auto read_transaction(const nlohmann::json& in) -> store_transaction;
auto read_span(const nlohmann::json& in) -> millis;
auto read_id(const nlohmann::json& in) -> lease_id;
auto read_watch(const nlohmann::json& in) -> store_watch;

auto write_answer(const store_range_result& out) -> nlohmann::json;
auto write_answer(const store_commit_result& out) -> nlohmann::json;
auto write_answer(const store_lease& out) -> nlohmann::json;
auto write_answer(const store_watch_batch& out) -> nlohmann::json;

} // namespace briardrum::stand_in

#endif
