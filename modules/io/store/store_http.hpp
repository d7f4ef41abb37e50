#ifndef BRIARDRUM_IO_STORE_STORE_HTTP_HPP
#define BRIARDRUM_IO_STORE_STORE_HTTP_HPP

#include "core/core.hpp"

#include <absl/status/statusor.h>
#include <httplib.h>
#include <memory>
#include <string>

namespace briardrum
{

constexpr const char* json_type = "application/json";

// A connection to one address of the store with these bounds.
auto make_http_client(const endpoint& address, millis connect_timeout,
                      millis read_timeout) -> std::unique_ptr<httplib::Client>;

// The answer's text. error_kind::unavailable when nothing can have been
// done, unknown_outcome when a write may have been.
auto read_answer(const httplib::Result& answer, bool is_write)
    -> absl::StatusOr<std::string>;

} // namespace briardrum

#endif
