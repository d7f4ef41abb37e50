#ifndef BRIARDRUM_IO_DAEMONS_MEMBER_METRICS_HPP
#define BRIARDRUM_IO_DAEMONS_MEMBER_METRICS_HPP

#include "io/http/metrics_text.hpp"
#include "io/udp/udp_socket.hpp"
#include "membership/membership.hpp"

namespace briardrum
{

// Adds how many balancers and agents are in which state, as this process
// sees it: gauges members_<kind>{state="ready"}, and the configuration that
// the process holds.
auto append_member_metrics(metrics_text& out, const member_view& members)
    -> void;

// Adds a UDP socket's counters, <socket>_datagrams_received_total and so on.
auto append_policy_metrics(metrics_text& out, const policy_spreader& policy)
    -> void;

auto append_socket_metrics(metrics_text& out, std::string_view socket,
                           const udp_counters& counters) -> void;

} // namespace briardrum

#endif
