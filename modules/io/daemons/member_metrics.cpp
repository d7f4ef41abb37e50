#include "io/daemons/member_metrics.hpp"

#include <array>

namespace briardrum
{

namespace
{

constexpr std::size_t state_count =
    static_cast<std::size_t>(member_state::dead) + 1;

} // namespace

auto append_member_metrics(metrics_text& out, const member_view& members)
    -> void
{
    std::array<std::array<std::uint64_t, state_count>, 2> counts{};
    for (const auto& it : members.records())
    {
        auto& row = counts.at(static_cast<std::size_t>(it.kind));
        ++row.at(static_cast<std::size_t>(it.state));
    }
    for (std::size_t n = 0; n < state_count; ++n)
    {
        const auto state = to_string(static_cast<member_state>(n));
        out.gauge("members_balancer", counts[0].at(n), {"state", state});
        out.gauge("members_agent", counts[1].at(n), {"state", state});
    }
    out.gauge("configuration_version", members.self().held_version);
}

auto append_policy_metrics(metrics_text& out, const policy_spreader& policy)
    -> void
{
    const auto& held = policy.policy();
    const auto& counters = policy.counters();
    out.gauge("policy_era", held.era);
    out.gauge("policy_revision", static_cast<std::uint64_t>(held.revision));
    out.gauge("data_centres_evacuated", held.evacuated.size());
    out.gauge("services_limited_while_cold", held.warm_up.size());
    out.counter("policy_changes_total", counters.changes);
    out.counter("policy_messages_sent_total", counters.sent);
    out.counter("policy_requests_sent_total", counters.requests);
    out.counter("policies_outdated_total", counters.outdated);
}

auto append_socket_metrics(metrics_text& out, std::string_view socket,
                           const udp_counters& counters) -> void
{
    const auto name = std::string(socket);
    out.counter(name + "_datagrams_received_total", counters.received);
    out.counter(name + "_datagrams_sent_total", counters.sent);
    out.counter(name + "_oversize_total", counters.oversize);
    out.counter(name + "_send_failed_total", counters.send_failed);
}

} // namespace briardrum
