#ifndef BRIARDRUM_IO_STORE_ETCD_JSON_HPP
#define BRIARDRUM_IO_STORE_ETCD_JSON_HPP

#include "node/store/store.hpp"

#include <absl/status/statusor.h>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace briardrum
{

// The JSON of the calls of etcd's HTTP gateway, version 3: keys and values in
// base64, 64-bit numbers as strings, defaults left out. Requests are written
// by the client and read by the stand-in; answers the other way.

auto write_range(const store_range& request) -> nlohmann::json;
auto write_transaction(const store_transaction& request) -> nlohmann::json;
auto write_lease_grant(millis span) -> nlohmann::json;
auto write_keep_alive(lease_id id) -> nlohmann::json;
auto write_watch(const store_watch& request) -> nlohmann::json;

// Each gives error_kind::malformed for JSON that is no such answer.
auto read_range_result(std::string_view text)
    -> absl::StatusOr<store_range_result>;
auto read_commit_result(std::string_view text)
    -> absl::StatusOr<store_commit_result>;
auto read_lease(std::string_view text) -> absl::StatusOr<store_lease>;
// One line of a watch's stream.
auto read_watch_batch(std::string_view text)
    -> absl::StatusOr<store_watch_batch>;

} // namespace briardrum

#endif
