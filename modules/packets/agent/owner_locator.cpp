#include "packets/agent/owner_locator.hpp"

#include <algorithm>
#include <utility>

namespace briardrum
{

owner_locator::owner_locator(agent_state& state, release_hook release)
    : state_(state), release_(std::move(release))
{
}

auto owner_locator::has_recent_search(const flow_key& flow) const -> bool
{
    return searches_.has_recent_search(flow);
}

auto owner_locator::search(millis now, const flow_packet& packet) -> void
{
    const auto flow = flow_from_caller(packet);
    const auto self = state_.members.self().id;
    const auto known = state_.members.agents_of(state_.server.service_name());
    std::vector<member_id> agents(known.begin(), known.end());
    std::erase(agents, self);
    switch (searches_.admit(now, flow, agents.size()))
    {
    case owner_search::decision::search:
        break;
    case owner_search::decision::hold:
        state_.counters.dropped += held_.hold(flow, packet) ? 0 : 1;
        return;
    case owner_search::decision::drop:
        ++state_.counters.dropped;
        return;
    case owner_search::decision::defer:
        ++state_.counters.dropped;
        ++state_.counters.searches_deferred;
        state_.emit(state_.flow_event("search_deferred", flow)
                        .with("reason", "too_many_searches"));
        return;
    }
    ++state_.counters.searches;
    auto label = packet.label;
    label.kind = label_kind::locate;
    label.service = state_.tag;
    for (const auto id : agents)
    {
        state_.send_to(id, packet, label);
    }
    state_.emit(state_.flow_event("owner_searched", flow)
                    .with("asked", std::uint64_t{agents.size()})
                    .with("hops", std::uint64_t{packet.label.hops}));
}

auto owner_locator::on_owned(millis now, const endpoint& from,
                             const flow_packet& notice) -> void
{
    const auto* owner = state_.find_by_address(from.address);
    if (owner == nullptr || owner->id == state_.members.self().id)
    {
        return;
    }
    const auto flow = flow_from_caller(notice);
    state_.redirects.set(now, {flow, owner->id, owner->incarnation, 0});
    const auto* probed = state_.flows.find(flow);
    if (probed != nullptr && probed->phase == flow_phase::probing)
    {
        state_.remove_flow(now, flow);
    }
    if (!searches_.on_owner_found(flow))
    {
        return;
    }
    ++state_.counters.searches_found;
    state_.emit(
        state_.flow_event("owner_found", flow).with("owner", owner->name));
    held_.release(flow,
                  [&](const flow_packet& packet)
                  {
                      release_(now, packet);
                  });
}

// Every known agent has denied the flow. It may still be open at an agent that
// is not known here yet, so it is not reset: the event informs the operator,
// and the deadline of the caller ends the flow.
auto owner_locator::on_unowned(millis now, const endpoint& from,
                               const flow_packet& notice) -> void
{
    const auto flow = flow_from_caller(notice);
    const auto denial = searches_.on_denied(now, flow, from.address);
    if (denial.has_value())
    {
        state_.emit(state_.flow_event("owner_denied", flow)
                        .with("denied_by", std::uint64_t{denial->agents})
                        .with("since_ms", as_count(denial->elapsed)));
    }
}

auto owner_locator::report_failed(millis now) -> void
{
    for (const auto& flow : searches_.take_failed(now))
    {
        std::uint64_t dropped = 0;
        held_.release(flow,
                      [&](const flow_packet&)
                      {
                          ++dropped;
                      });
        ++state_.counters.searches_failed;
        state_.emit(state_.flow_event("owner_not_found", flow)
                        .with("dropped", dropped));
    }
}

} // namespace briardrum
