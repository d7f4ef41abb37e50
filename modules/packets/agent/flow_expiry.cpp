#include "packets/agent/flow_expiry.hpp"

namespace briardrum
{

namespace
{

// A caller answers an open flow within two round trips and some processing
// time. A caller that is gone must not hold a slot; a later packet acquires a
// slot again.
constexpr millis opening_timeout = milliseconds(60);
// Longer than any request deadline: the caller is gone, and its slot is
// released.
constexpr millis answer_timeout = seconds(8);
// A caller whose packets were lost retransmits after 200 ms of silence.
constexpr millis transfer_stall_time = milliseconds(250);
// The last packets of a closed flow are retransmitted for about this long. A
// probed flow that the server does not hold has been returned long before.
constexpr millis closed_flow_retention = seconds(2);
// The first agents of the order know the owner of a flow long before.
constexpr millis offer_retention = seconds(5);
constexpr millis expiry_interval = milliseconds(20);
constexpr millis table_expiry_interval = seconds(1);

} // namespace

flow_expiry::flow_expiry(agent_state& state) : state_(state) {}

auto flow_expiry::tick(millis now) -> void
{
    if (now < next_expiry_)
    {
        return;
    }
    next_expiry_ = now + expiry_interval;
    std::vector<flow_key> expired;
    for (auto& [flow, row] : state_.flows.rows())
    {
        release_slot_if_stuck(now, flow, row);
        if (is_expired(now, row))
        {
            expired.push_back(flow);
        }
    }
    for (const auto& flow : expired)
    {
        state_.remove_flow(now, flow);
    }
    if (now >= next_table_expiry_)
    {
        next_table_expiry_ = now + table_expiry_interval;
        state_.redirects.expire(now, state_.settings.flow_lifetime);
        state_.offers.expire(now, offer_retention);
    }
}

auto flow_expiry::release_slot_if_stuck(millis now, const flow_key& flow,
                                        owned_flow& row) -> void
{
    const auto phase_time = now - row.phase_since;
    const auto stuck =
        (row.phase == flow_phase::opening && phase_time > opening_timeout) ||
        (row.phase == flow_phase::asking && phase_time > answer_timeout);
    const auto stalled = row.phase == flow_phase::receiving &&
                         now - row.last_used > transfer_stall_time;
    if (stuck)
    {
        ++state_.counters.unanswered;
        state_.emit(state_.flow_event("flow_unanswered", flow)
                        .with("phase", to_string(row.phase))
                        .with("since_ms", as_count(phase_time)));
    }
    if (stuck || stalled)
    {
        state_.set_phase(now, row, flow_phase::idle);
    }
}

auto flow_expiry::is_expired(millis now, const owned_flow& row) const -> bool
{
    const auto closed = (row.caller_closed && row.server_closed) ||
                        row.phase == flow_phase::probing;
    const auto idle = now - row.last_used;
    return idle > state_.settings.flow_lifetime ||
           (closed && idle > closed_flow_retention);
}

} // namespace briardrum
