#include "node/balancer_core.hpp"

#include "node/balancer/announcement_check.hpp"
#include "node/balancer/service_table.hpp"
#include "routing/choice/hint_cache.hpp"

#include <utility>

namespace briardrum
{

namespace
{

// Number of flows whose agent is remembered; 32 bytes each.
constexpr std::size_t hint_cache_capacity = std::size_t{1} << 17U;

auto counter_for(drop_reason reason) -> service_counter
{
    switch (reason)
    {
    case drop_reason::over_share:
        return service_counter::dropped_over_share;
    case drop_reason::too_late:
        return service_counter::dropped_too_late;
    default:
        return service_counter::dropped_removed;
    }
}

} // namespace

struct balancer_core::state
{
    state(const member_record& self, std::vector<endpoint> start_addresses,
          const membership_settings& settings, balancer_hooks hooks_in,
          std::uint64_t seed)
        : hooks(std::move(hooks_in)), announcements(hooks.events),
          members(self, std::move(start_addresses), settings, member_hooks(),
                  seed),
          hints(hint_cache_capacity),
          scheduler({},
                    {[this](service_index index, const queued_packet& packet)
                     {
                         forward(services.at(index), packet);
                     },
                     [this](service_index index, drop_reason reason)
                     {
                         services.at(index).counters.add(counter_for(reason));
                     }})
    {
    }

    auto member_hooks() -> membership_hooks
    {
        membership_hooks out;
        out.send = hooks.send_control;
        out.events = hooks.events;
        out.changed = [this](const member_record& after, const member_record*)
        {
            if (config != nullptr)
            {
                announcements.check(*config, after);
            }
        };
        return out;
    }

    // Returns the agent for a datagram of the flow: the one that last answered
    // the flow if it is still available, otherwise the flow's home.
    auto choose(balanced_service& service, const flow_key& flow)
        -> const service_target*
    {
        service.targets.refresh(members, service.name);
        if (const auto hinted = hints.find(flow); hinted != 0)
        {
            if (const auto* target = service.targets.find(hinted))
            {
                service.counters.add(service_counter::forwarded_by_hint);
                return target;
            }
            hints.forget(flow);
        }
        return service.targets.home_of(flow);
    }

    auto forward(balanced_service& service, const queued_packet& packet) -> void
    {
        const auto* target = choose(service, {packet.caller, service.id});
        if (target == nullptr)
        {
            service.counters.add(service_counter::dropped_no_server);
            return;
        }
        envelope message;
        message.kind = envelope_kind::request;
        message.service = service.id;
        message.target = target->id;
        message.target_incarnation = target->life;
        message.caller = packet.caller;
        message.service_address = packet.service_address;
        message.balancer = members.self().id;
        message.version = config->version;
        message.datagram = packet.datagram();
        service.counters.add(service_counter::forwarded);
        hooks.send_envelope(target->address, message);
    }

    // Returns true if the answer would be sent from the address of another
    // service. An address unknown here may belong to a configuration that this
    // balancer has not received yet or has replaced.
    auto is_misdelivered(const envelope& message) -> bool
    {
        const auto* owner = services.find(message.service_address);
        return message.kind != envelope_kind::answer ||
               (owner != nullptr && owner->id != message.service);
    }

    auto record_answer(balanced_service& service, const envelope& message)
        -> void
    {
        service.counters.add(service_counter::answers);
        service.saturation = message.saturation;
        service.targets.refresh(members, service.name);
        if (service.targets.find(message.from_agent) != nullptr)
        {
            hints.learn({message.caller, message.service}, message.from_agent);
        }
    }

    balancer_hooks hooks;
    std::shared_ptr<const configuration> config;
    announcement_check announcements;
    member_view members;
    service_table services;
    hint_cache hints;
    packet_scheduler scheduler;
    balancer_counters counters;
};

balancer_core::balancer_core(const member_record& self,
                             std::vector<endpoint> start_addresses,
                             membership_settings settings, balancer_hooks hooks,
                             std::uint64_t seed)
    : state_(std::make_unique<state>(self, std::move(start_addresses), settings,
                                     std::move(hooks), seed))
{
}

balancer_core::~balancer_core() = default;

auto balancer_core::adopt(millis now, std::shared_ptr<const configuration> next)
    -> bool
{
    auto& it = *state_;
    const auto held = it.config == nullptr ? 0 : it.config->version;
    if (next == nullptr || next->version <= held)
    {
        return false;
    }
    it.config = std::move(next);
    for (const auto index : it.services.adopt(*it.config))
    {
        it.scheduler.clear(index);
    }
    it.scheduler.set_services(it.services.shares(*it.config));
    it.announcements.check_all(*it.config, it.members);
    it.members.set_held_version(now, it.config->version);
    return true;
}

auto balancer_core::on_packet(millis now, const caller_packet& packet) -> void
{
    auto& it = *state_;
    if (it.config == nullptr)
    {
        it.counters.add(balancer_counter::no_configuration);
        return;
    }
    if (packet.datagram.size() > coap_datagram_max)
    {
        it.counters.add(balancer_counter::oversize);
        return;
    }
    auto* service = it.services.find(packet.service_address);
    if (service == nullptr)
    {
        it.counters.add(balancer_counter::unknown_service);
        return;
    }
    service->counters.add(service_counter::received);
    it.scheduler.push(now, it.services.index_of(*service), packet.caller,
                      packet.service_address, packet.datagram);
}

auto balancer_core::serve(millis now, std::size_t budget) -> std::size_t
{
    return state_->scheduler.serve(now, budget);
}

auto balancer_core::on_envelope(millis, const envelope& message) -> void
{
    auto& it = *state_;
    if (it.is_misdelivered(message))
    {
        it.counters.add(balancer_counter::misdelivered_answers);
        return;
    }
    if (auto* service = it.services.find(message.service))
    {
        it.record_answer(*service, message);
    }
    it.hooks.send_to_caller(
        {message.caller, message.service_address, message.datagram});
}

auto balancer_core::on_control(millis now, const control_message& message)
    -> void
{
    state_->members.on_control(now, message);
}

auto balancer_core::tick(millis now) -> void
{
    state_->members.tick(now);
}

auto balancer_core::leave(millis now) -> void
{
    if (state_->members.self().state < member_state::draining)
    {
        state_->members.set_state(now, member_state::draining);
    }
}

auto balancer_core::members() -> member_view&
{
    return state_->members;
}

auto balancer_core::has_configuration() const -> bool
{
    return state_->config != nullptr;
}

auto balancer_core::visit_counters(
    const std::function<void(std::string_view, std::string_view,
                             std::uint64_t)>& visit) const -> void
{
    state_->counters.visit_all(
        [&](std::string_view name, std::uint64_t value)
        {
            visit(name, "", value);
        });
    visit("waiting", "", state_->scheduler.waiting());
    for (const auto& service : state_->services.all())
    {
        if (service.id == 0)
        {
            continue;
        }
        service.counters.visit_all(
            [&](std::string_view name, std::uint64_t value)
            {
                visit(name, service.name, value);
            });
        visit("saturation_percent", service.name, service.saturation);
    }
}

} // namespace briardrum
