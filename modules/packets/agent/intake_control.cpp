#include "packets/agent/intake_control.hpp"

namespace briardrum
{

intake_control::intake_control(agent_state& state) : state_(state) {}

auto intake_control::tick(millis now) -> void
{
    auto& conduct = state_.conduct;
    auto& bound = state_.intake;
    if (!conduct.is_enabled())
    {
        return;
    }
    report_judgement(conduct.tick(now));
    const auto normal = !bound.is_reduced() &&
                        bound.weight_percent() == conduct_bound::weight_normal;
    if (!conduct.is_faulty() && normal)
    {
        return;
    }
    const auto was_reduced = bound.is_reduced();
    // An agent that joins or drains gets no new flows anyway.
    const auto faulty = conduct.is_faulty() &&
                        state_.members.self().state == member_state::ready;
    bound.update(now, faulty, conduct.lacks_requests(now), list_others());
    report_intake(was_reduced);
    if (state_.members.self().weight_percent != bound.weight_percent())
    {
        state_.members.set_weight(now, bound.weight_percent());
    }
}

auto intake_control::report_judgement(conduct_change change) -> void
{
    if (change == conduct_change::none)
    {
        return;
    }
    const auto faulty = change == conduct_change::became_faulty;
    state_.counters.found_faulty += faulty ? 1 : 0;
    const auto report = state_.conduct.report();
    state_.emit(event(faulty ? "server_faulty" : "server_recovered",
                      event_level::warning)
                    .with("service", state_.server.service_name())
                    .with("requests", report.requests)
                    .with("unanswered", report.unanswered)
                    .with("broken_off", report.broken_off)
                    .with("pending", report.pending)
                    .with("in_a_row", report.answered_in_a_row)
                    .with("limit_ms", as_count(report.answer_limit))
                    .with("usual_ms", as_count(report.usual_answer_time)));
}

auto intake_control::report_intake(bool was_reduced) -> void
{
    const auto reduced = state_.intake.is_reduced();
    if (reduced == was_reduced)
    {
        return;
    }
    const auto& counts = state_.intake.counts();
    state_.emit(
        event(reduced ? "intake_reduced" : "intake_restored",
              event_level::warning)
            .with("service", state_.server.service_name())
            .with("server", state_.conduct.is_faulty() ? "faulty" : "healthy")
            .with("agents", std::uint64_t{counts.agents})
            .with("faulty", std::uint64_t{counts.faulty})
            .with("reduced", std::uint64_t{counts.reduced})
            .with("reduced_max", std::uint64_t{counts.reduced_max}));
}

// Agents that join or drain get no new flows, with whatever weight.
auto intake_control::list_others() const -> std::vector<conduct_peer>
{
    std::vector<conduct_peer> out;
    const auto self = state_.members.self().id;
    for (const auto id : state_.members.agents_of(state_.server.service_name()))
    {
        const auto* record = state_.members.find(id);
        if (id != self && record != nullptr &&
            record->state == member_state::ready)
        {
            out.push_back({id, record->weight_percent});
        }
    }
    return out;
}

} // namespace briardrum
