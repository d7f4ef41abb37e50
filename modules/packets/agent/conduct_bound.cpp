#include "packets/agent/conduct_bound.hpp"

#include <algorithm>

namespace briardrum
{

namespace
{

// The part of the agents that may reduce their intake: 1 / n.
constexpr std::size_t reduced_part = 3;

auto count_agents(std::span<const conduct_peer> others, bool faulty,
                  bool reduced) -> conduct_counts
{
    conduct_counts out;
    out.agents = others.size() + 1;
    out.faulty = faulty ? 1 : 0;
    out.reduced = reduced ? 1 : 0;
    for (const auto& it : others)
    {
        out.faulty += it.weight_percent < conduct_bound::weight_normal ? 1 : 0;
        out.reduced +=
            it.weight_percent == conduct_bound::weight_reduced ? 1 : 0;
    }
    out.reduced_max = out.agents / reduced_part;
    return out;
}

// Returns the number of agents with this weight and a smaller id.
auto count_before(std::span<const conduct_peer> others, member_id id,
                  std::uint8_t weight_percent) -> std::size_t
{
    return static_cast<std::size_t>(std::count_if(
        others.begin(), others.end(),
        [&](const conduct_peer& it)
        {
            return it.id < id && it.weight_percent == weight_percent;
        }));
}

} // namespace

conduct_bound::conduct_bound(member_id self) : self_(self) {}

auto conduct_bound::update(millis now, bool faulty, bool lacks_requests,
                           std::span<const conduct_peer> others) -> void
{
    counts_ = count_agents(others, faulty, is_reduced());
    const auto next = decide(now, faulty, others);
    if (next == intake_state::reduced && state_ != intake_state::reduced)
    {
        next_probe_ = now + probe_interval;
    }
    state_ = next;
    switch (state_)
    {
    case intake_state::normal:
        publish(now, weight_normal);
        return;
    case intake_state::announced:
        publish(now, weight_announced);
        return;
    case intake_state::reduced:
        break;
    }
    publish(now, lacks_requests ? weight_announced : weight_reduced);
}

auto conduct_bound::decide(millis now, bool faulty,
                           std::span<const conduct_peer> others) const
    -> intake_state
{
    if (!faulty)
    {
        return intake_state::normal;
    }
    // So many servers do not fail by themselves.
    if (counts_.faulty * 2 > counts_.agents)
    {
        return intake_state::announced;
    }
    const auto reduced_before = count_before(others, self_, weight_reduced);
    if (state_ == intake_state::reduced)
    {
        return reduced_before < counts_.reduced_max ? intake_state::reduced
                                                    : intake_state::announced;
    }
    const auto announced = published_ == weight_announced &&
                           now - *published_at_ >= change_interval;
    const auto announced_before = count_before(others, self_, weight_announced);
    return announced && counts_.reduced + announced_before < counts_.reduced_max
               ? intake_state::reduced
               : intake_state::announced;
}

auto conduct_bound::publish(millis now, std::uint8_t weight) -> void
{
    const auto due =
        !published_at_.has_value() || now - *published_at_ >= change_interval;
    if (weight != published_ && due)
    {
        published_ = weight;
        published_at_ = now;
    }
}

auto conduct_bound::weight_percent() const -> std::uint8_t
{
    return published_;
}

auto conduct_bound::is_reduced() const -> bool
{
    return state_ == intake_state::reduced;
}

auto conduct_bound::allows_flow(millis now) const -> bool
{
    return !is_reduced() || now >= next_probe_;
}

auto conduct_bound::on_flow_started(millis now) -> void
{
    next_probe_ = now + probe_interval;
}

auto conduct_bound::counts() const -> const conduct_counts&
{
    return counts_;
}

} // namespace briardrum
