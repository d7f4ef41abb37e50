#include "packets/agent/owner_search.hpp"

#include <algorithm>
#include <utility>

namespace briardrum
{

namespace
{

// Answers arrive within two hops between data centres. After that, the next
// retransmission of the caller starts a new search.
constexpr millis search_timeout = milliseconds(100);
// After a failed search, a flow is not searched for again until its ends have
// retransmitted once more, which they do 200 ms after a packet and then 400 ms
// later.
constexpr millis failed_retry_interval = milliseconds(400);
// Capacity of the token bucket, in seconds of its rate.
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

auto owner_search::try_send(millis now) -> bool
{
    refill(now);
    if (tokens_ == 0)
    {
        return false;
    }
    --tokens_;
    return true;
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
    auto& denied_by = it->denied_by;
    if (std::find(denied_by.begin(), denied_by.end(), address) ==
        denied_by.end())
    {
        denied_by.push_back(address);
    }
    if (denied_by.size() != it->agents_asked)
    {
        return std::nullopt;
    }
    return denial{denied_by.size(), now - it->since};
}

auto owner_search::take_failed(millis now) -> std::vector<flow_key>
{
    std::vector<flow_key> failed;
    std::vector<flow_key> ended;
    for (auto& [flow, it] : rows_.rows())
    {
        const auto age = now - it.since;
        if (it.state == stage::pending && age >= search_timeout)
        {
            it.state = stage::failed;
            failed.push_back(flow);
        }
        const auto retention =
            it.state == stage::failed ? failed_retry_interval : search_timeout;
        if (age >= retention)
        {
            ended.push_back(flow);
        }
    }
    for (const auto& flow : ended)
    {
        rows_.erase(flow);
    }
    return failed;
}

} // namespace briardrum
