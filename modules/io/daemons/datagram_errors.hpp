#ifndef BRIARDRUM_IO_DAEMONS_DATAGRAM_ERRORS_HPP
#define BRIARDRUM_IO_DAEMONS_DATAGRAM_ERRORS_HPP

#include "core/core.hpp"
#include "io/http/metrics_text.hpp"

#include <array>

namespace briardrum
{

// Counts what arrived on one socket and could not be decoded, by error kind,
// and logs it.
class datagram_errors
{
public:
    // socket is the socket's name in logs and metrics.
    datagram_errors(std::string socket, event_sink events);

    auto note(const endpoint& from, const absl::Status& why) -> void;

    // Adds a counter <socket>_errors_total for each kind.
    auto append_to(metrics_text& out) const -> void;

private:
    std::string socket_;
    event_sink events_;
    std::array<std::uint64_t, error_kind_count> counts_{};
};

} // namespace briardrum

#endif
