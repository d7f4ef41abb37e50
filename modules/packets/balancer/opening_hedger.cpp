#include "packets/balancer/opening_hedger.hpp"

#include <algorithm>
#include <utility>

namespace briardrum
{

opening_hedger::opening_hedger(hedging_hooks hooks) : hooks_(std::move(hooks))
{
}

auto opening_hedger::configure(millis now, const hedging_settings& settings)
    -> void
{
    if (settings == settings_)
    {
        return;
    }
    if (settings.enabled && !settings_.enabled)
    {
        enabled_at_ = now;
        next_pass_ = now;
    }
    settings_ = settings;
    if (!settings_.enabled)
    {
        kept_ = {};
        services_.clear();
    }
}

auto opening_hedger::is_enabled() const -> bool
{
    return settings_.enabled;
}

auto opening_hedger::on_opening(millis now, const std::string& service_name,
                                member_id agent, const flow_packet& packet)
    -> void
{
    if (!settings_.enabled)
    {
        return;
    }
    const auto flow = flow_from_caller(packet);
    if (auto* kept = kept_.find(flow))
    {
        kept->copied = true;
        return;
    }
    if (packet.retransmissions > 0)
    {
        return;
    }
    auto& service = services_[service_name];
    service.earn(settings_);
    if (kept_.size() >= kept_max)
    {
        return;
    }
    auto& kept = kept_.insert(flow);
    kept.packet = packet;
    kept.packet.datagram = {};
    kept.bytes = to_buffer(packet.datagram);
    kept.service_name = service_name;
    kept.agent = agent;
    kept.opened_at = now;
    next_pass_ = std::min(
        next_pass_, now + service.delay(settings_.floor).value_or(keep_time));
}

auto opening_hedger::on_next_packet(millis now, const flow_key& flow) -> bool
{
    const auto* kept = kept_.find(flow);
    if (kept == nullptr)
    {
        return false;
    }
    auto& service = services_[kept->service_name];
    const auto elapsed = std::min(keep_time, now - kept->opened_at);
    const auto delay = service.delay(settings_.floor);
    if (!kept->counted && delay.has_value())
    {
        service.add_outcome(now, elapsed <= *delay);
    }
    service.add_sample(elapsed, settings_.percentile);
    const auto hedged = kept->hedged;
    kept_.erase(flow);
    return hedged;
}

auto opening_hedger::is_kept(const flow_key& flow) const -> bool
{
    return kept_.find(flow) != nullptr;
}

auto opening_hedger::tick(millis now) -> void
{
    if (!settings_.enabled || now < next_pass_)
    {
        return;
    }
    next_pass_ = now + keep_time;
    kept_.erase_if(
        [&](const flow_key&, kept_opening& kept)
        {
            auto& service = services_[kept.service_name];
            const auto delay = service.delay(settings_.floor);
            const auto age = now - kept.opened_at;
            if (!kept.counted && delay.has_value() && age >= *delay)
            {
                consider(now, kept, service);
            }
            if (age >= keep_time)
            {
                service.add_sample(keep_time, settings_.percentile);
                return true;
            }
            const auto due =
                kept.counted ? keep_time : delay.value_or(keep_time);
            next_pass_ = std::min(next_pass_, kept.opened_at + due);
            return false;
        });
    next_pass_ = std::max(next_pass_, now + pass_interval);
}

// The opening was not answered within the delay. The calm check concerns the
// other openings.
auto opening_hedger::consider(millis now, kept_opening& kept,
                              service_openings& service) -> void
{
    const auto calm = now - enabled_at_ >= start_time &&
                      service.is_calm(now, settings_.percentile);
    report_calm(now, kept.service_name, service, calm);
    kept.counted = true;
    service.add_outcome(now, false);
    // The caller's own copy is on its way to the second agent.
    if (kept.copied)
    {
        return;
    }
    if (!calm)
    {
        ++counters_.not_calm;
        return;
    }
    if (!service.has_token())
    {
        ++counters_.over_budget;
        return;
    }
    kept.packet.datagram = kept.bytes;
    kept.hedged = hooks_.send(now, kept);
    kept.packet.datagram = {};
    if (!kept.hedged)
    {
        ++counters_.no_target;
        return;
    }
    service.spend();
    ++counters_.sent;
}

auto opening_hedger::report_calm(millis now, const std::string& service_name,
                                 service_openings& service, bool calm) const
    -> void
{
    if (std::exchange(service.was_calm, calm) == calm || !hooks_.events)
    {
        return;
    }
    const auto recent = service.recent(now);
    const auto delay = service.delay(settings_.floor).value_or(keep_time);
    hooks_.events(event("hedging_calm")
                      .with("service", service_name)
                      .with("calm", calm ? "yes" : "no")
                      .with("openings", std::uint64_t{recent.openings})
                      .with("unanswered", std::uint64_t{recent.unanswered})
                      .with("delay_ms", static_cast<std::uint64_t>(delay.count))
                      .with("on_for_ms", static_cast<std::uint64_t>(
                                             (now - enabled_at_).count)));
}

auto opening_hedger::delay_of(const std::string& service_name) const
    -> std::optional<millis>
{
    const auto it = services_.find(service_name);
    return it == services_.end() ? std::nullopt
                                 : it->second.delay(settings_.floor);
}

auto opening_hedger::counters() const -> const hedging_counters&
{
    return counters_;
}

} // namespace briardrum
