#ifndef BRIARDRUM_IO_SERVER_SERVER_ANNOUNCEMENT_HPP
#define BRIARDRUM_IO_SERVER_SERVER_ANNOUNCEMENT_HPP

#include "core/core.hpp"

#include <absl/status/statusor.h>
#include <string>

namespace briardrum
{

// Path at which a backend server announces itself, by one line of key=value
// pairs: "service=manifest slots=5". Further keys are passed over.
constexpr std::string_view announcement_path = "/.well-known/briardrum";

// What a backend server says of itself.
struct server_announcement
{
    std::string service;
    // Requests that it runs at once; 0 when it does not say.
    std::uint32_t slots = 0;

    auto operator==(const server_announcement&) const -> bool = default;
};

// Reads the payload of the announcement; error_kind::malformed otherwise.
auto parse_announcement(byte_view payload)
    -> absl::StatusOr<server_announcement>;

// The CoAP request (confirmable GET) for the announcement, with this message
// id, which is its token too.
auto write_announcement_request(std::uint16_t message_id) -> byte_buffer;

// Reads the answer to such a request: error_kind::malformed when it is no
// CoAP answer, error_kind::not_found for another code than 2.05.
auto read_announcement_answer(byte_view datagram)
    -> absl::StatusOr<server_announcement>;

} // namespace briardrum

#endif
