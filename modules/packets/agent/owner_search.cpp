#include "packets/agent/owner_search.hpp"

#include <algorithm>
#include <utility>

namespace briardrum
{

namespace
{

// A search's answers come within two hops between data centres. Afterwards
// the caller's next retransmission searches again.
constexpr millis search_timeout = milliseconds(100);
// A flow that was not found is not looked for again until its ends have
// retransmitted once more: they do so 200 ms after a packet, then after 400 ms.
constexpr millis failed_retry_interval = milliseconds(400);
// Tokens for so many seconds may be saved up.
constexpr std::uint64_t burst_seconds = 2;
constexpr std::int64_t millis_per_second = 1000;

} // namespace

auto owner_search::refill(millis now) -> void
{
    const auto span = std::clamp<std::int64_t>((now - refilled_at_).count, 0,
                                               std::int64_t{burst_seconds} *
                                                   millis_per_second);
    const auto gained = static_cast<std::uint64_t>(span) * messages_per_second /
                        static_cast<std::uint64_t>(millis_per_second);
    if (gained == 0)
    {
        return;
    }
    refilled_at_ = now;
    tokens_ = std::min(tokens_ + gained, burst_seconds * messages_per_second);
}

auto owner_search::admit(millis now, const flow_key& flow, std::size_t agents)
    -> decision
{
    if (const auto* it = rows_.find(flow))
    {
        return it->state == stage::pending ? decision::hold : decision::drop;
    }
    refill(now);
    if (tokens_ < agents)
    {
        return decision::defer;
    }
    tokens_ -= agents;
    auto& it = rows_.insert(flow);
    it.since = now;
    it.agents_asked = agents;
    return decision::search;
}

auto owner_search::has_recent_search(const flow_key& flow) const -> bool
{
    return rows_.find(flow) != nullptr;
}

auto owner_search::on_owner_found(const flow_key& flow) -> bool
{
    auto* it = rows_.find(flow);
    return it != nullptr &&
           std::exchange(it->state, stage::found) == stage::pending;
}

auto owner_search::on_denied(millis now, const flow_key& flow,
                             std::uint32_t address) -> std::optional<denial>
{
    auto* it = rows_.find(flow);
    if (it == nullptr || it->state != stage::pending)
    {
        return std::nullopt;
    }
    auto& by = it->denied_by;
    if (std::find(by.begin(), by.end(), address) == by.end())
    {
        by.push_back(address);
    }
    if (by.size() != it->agents_asked)
    {
        return std::nullopt;
    }
    return denial{by.size(), now - it->since};
}

auto owner_search::take_failed(millis now) -> std::vector<flow_key>
{
    std::vector<flow_key> failed;
    std::vector<flow_key> over;
    for (auto& [flow, it] : rows_.rows())
    {
        const auto age = now - it.since;
        if (it.state == stage::pending && age >= search_timeout)
        {
            it.state = stage::failed;
            failed.push_back(flow);
        }
        const auto kept =
            it.state == stage::failed ? failed_retry_interval : search_timeout;
        if (age >= kept)
        {
            over.push_back(flow);
        }
    }
    for (const auto& flow : over)
    {
        rows_.erase(flow);
    }
    return failed;
}

} // namespace briardrum
