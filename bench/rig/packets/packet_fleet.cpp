#include "bench/rig/packets/packet_fleet.hpp"

#include <algorithm>
#include <utility>

namespace briardrum::rig
{

namespace
{

constexpr std::uint32_t balancer_network = 0x0a000000; // 10.0.0.0
constexpr std::uint32_t agent_network = 0x0a010000;    // 10.1.0.0
constexpr std::uint16_t packet_port = 8000;
constexpr std::uint16_t member_port = 7000;
constexpr millis caller_delay = milliseconds(3);
constexpr millis far_delay = milliseconds(1);
constexpr millis tick_interval = milliseconds(20);
constexpr millis balancer_tick_interval = milliseconds(50);
constexpr std::size_t data_centres = 3;
// Heartbeats begin soon after the start and follow at the interval.
constexpr millis first_heartbeat = milliseconds(10);

auto balancer_address(std::size_t index) -> endpoint
{
    return {balancer_network + static_cast<std::uint32_t>(index) + 1,
            packet_port};
}

auto agent_address(std::size_t index) -> endpoint
{
    return {agent_network + static_cast<std::uint32_t>(index) + 1, packet_port};
}

// Members are told of records and not probed, so none is ever isolated.
auto view_settings() -> membership_settings
{
    membership_settings out;
    out.probe_interval = minutes(10);
    return out;
}

auto data_centre_of(std::size_t index) -> std::string
{
    return "dc-" + std::to_string(index % data_centres);
}

} // namespace

struct packet_fleet::balancer_process
{
    std::unique_ptr<member_view> members;
    std::unique_ptr<packet_balancer> core;
    bool in_rotation = true;
};

struct packet_fleet::agent_process
{
    std::unique_ptr<member_view> members;
    std::unique_ptr<packet_agent> core;
    std::string service_name;
    std::uint64_t life = 0;
    bool up = true;
};

packet_fleet::packet_fleet(packet_fleet_settings settings)
    : settings_(std::move(settings)), random_(settings_.seed)
{
    routes_ = make_routes();
    caller_ = std::make_unique<packet_caller>(events_, settings_.loads,
                                              settings_.seed + 1,
                                              [this](const flow_packet& packet)
                                              {
                                                  from_caller(packet);
                                              });
    for (std::size_t n = 0; n < settings_.balancers; ++n)
    {
        balancers_.push_back(std::make_unique<balancer_process>());
        make_balancer(n);
    }
    for (const auto& service : settings_.services)
    {
        for (std::uint32_t n = 0; n < service.servers; ++n)
        {
            const auto index = agents_.size();
            agents_.push_back(std::make_unique<agent_process>());
            agents_.back()->service_name = service.name;
            packet_server_hooks hooks;
            hooks.send = [this, index](const flow_packet& packet)
            {
                auto& agent = *agents_[index];
                if (agent.up)
                {
                    agent.core->on_server_packet(events_.now(), packet);
                }
            };
            hooks.work_of = [this](const flow_key& flow)
            {
                return caller_->work_of(flow);
            };
            hooks.started = [this](const flow_key& flow)
            {
                caller_->on_run(flow);
            };
            hooks.refused = [this](const flow_key& flow)
            {
                caller_->on_refused(flow);
            };
            servers_.push_back(std::make_unique<packet_server>(
                events_, settings_.server, service.slots,
                static_cast<std::uint32_t>(index), std::move(hooks)));
            make_agent(index);
        }
    }
    tick_agents();
    if (settings_.hedging.enabled)
    {
        tick_balancers();
    }
}

packet_fleet::~packet_fleet() = default;

auto packet_fleet::make_routes() const -> std::shared_ptr<const route_table>
{
    auto out = std::make_shared<route_table>();
    out->version = 1;
    for (const auto& load : settings_.loads)
    {
        route item{{{load.service_name, 1}}, load.urgency};
        item.may_repeat = load.repeatable;
        out->routes[load.route] = std::move(item);
    }
    return out;
}

auto packet_fleet::make_record(std::size_t index, member_kind kind,
                               const std::string& service_name) const
    -> member_record
{
    const auto is_agent = kind == member_kind::agent;
    member_record out;
    out.name = (is_agent ? "agent-" : "balancer-") + std::to_string(index);
    out.id = member_id_of(out.name);
    out.incarnation = static_cast<incarnation_number>(events_.now().count) + 1;
    out.kind = kind;
    out.state = member_state::ready;
    out.data_centre = data_centre_of(index);
    out.data_address =
        is_agent ? agent_address(index) : balancer_address(index);
    out.control_address = {out.data_address.address, member_port};
    out.service_name = service_name;
    out.slots = is_agent ? 1 : 0;
    return out;
}

auto packet_fleet::make_balancer(std::size_t index) -> void
{
    auto& it = *balancers_[index];
    const auto record = make_record(index, member_kind::balancer, "");
    it.core.reset();
    it.members = std::make_unique<member_view>(
        record, std::vector<endpoint>{}, view_settings(), membership_hooks{},
        random_.bits());
    packet_hooks hooks;
    const auto from = record.data_address;
    hooks.send_labelled = [this, from](const endpoint& to,
                                       const flow_packet& packet,
                                       const packet_label& label)
    {
        auto copy = packet;
        copy.label = label;
        arrive(from, to, copy);
    };
    hooks.send_reset =
        [this](const endpoint& route, const endpoint& caller, std::uint32_t)
    {
        on_reset(route, caller);
    };
    hooks.send_control =
        [this, from](const endpoint& to, const control_message& message)
    {
        arrive_control(from, to, message);
    };
    it.core = std::make_unique<packet_balancer>(*it.members, std::move(hooks));
    it.core->adopt(events_.now(), routes_);
    it.core->configure_hedging(events_.now(), settings_.hedging);
    introduce(*it.members);
    announce(record);
}

auto packet_fleet::make_agent(std::size_t index) -> void
{
    auto& it = *agents_[index];
    const auto record = make_record(index, member_kind::agent, it.service_name);
    ++it.life;
    it.up = true;
    it.core.reset();
    membership_hooks member_hooks;
    member_hooks.heard_of_departed =
        [this, index](millis now, const member_record& gone)
    {
        if (agents_[index]->core != nullptr)
        {
            agents_[index]->core->on_member_departed(now, gone);
        }
    };
    member_hooks.changed =
        [this, id = record.id](const member_record& after, const member_record*)
    {
        if (after.id == id)
        {
            announce(after);
        }
    };
    it.members = std::make_unique<member_view>(
        record, std::vector<endpoint>{}, view_settings(),
        std::move(member_hooks), random_.bits());
    auto agent_settings = settings_.agent;
    agent_settings.service_name = it.service_name;
    it.core = std::make_unique<packet_agent>(*it.members, agent_settings,
                                             make_hooks(index), events_.now());
    it.core->set_warm_up_rate(events_.now(), settings_.warm_up_rate);
    introduce(*it.members);
    announce(record);
    it.core->on_registered_agents(events_.now(), registered_agents());
    tell_policy(index);
    const auto life = it.life;
    events_.after(first_heartbeat,
                  [this, index, life]
                  {
                      if (agents_[index]->life == life)
                      {
                          beat(index);
                      }
                  });
}

auto packet_fleet::make_hooks(std::size_t agent_index) -> packet_hooks
{
    packet_hooks out;
    const auto from = agent_address(agent_index);
    out.send_labelled = [this, from](const endpoint& to,
                                     const flow_packet& packet,
                                     const packet_label& label)
    {
        auto copy = packet;
        copy.label = label;
        arrive(from, to, copy);
    };
    out.send_notice = [this, from](const endpoint& to, const endpoint& caller,
                                   const endpoint& route,
                                   const packet_label& label)
    {
        flow_packet notice;
        notice.source = caller;
        notice.destination = route;
        notice.label = label;
        arrive(from, to, notice);
    };
    out.send_control =
        [this, from](const endpoint& to, const control_message& message)
    {
        arrive_control(from, to, message);
    };
    out.send_to_server = [this, agent_index](const flow_packet& packet)
    {
        for (const auto& load : settings_.loads)
        {
            const auto foreign =
                load.route == packet.destination &&
                load.service_name != agents_[agent_index]->service_name;
            misrouted_ += foreign ? 1 : 0;
        }
        const auto flow = flow_from_caller(packet);
        if (packet.opens && !servers_[agent_index]->holds(flow))
        {
            ++opened_in_[data_centre_of(agent_index)];
        }
        auto copy = packet;
        copy.label = {};
        events_.after({},
                      [this, agent_index, copy]
                      {
                          servers_[agent_index]->on_packet(copy);
                      });
    };
    out.send_to_caller = [this, agent_index](const flow_packet& packet)
    {
        to_caller(packet, agent_index);
    };
    out.send_reset =
        [this](const endpoint& route, const endpoint& caller, std::uint32_t)
    {
        on_reset(route, caller);
    };
    return out;
}

// Every process learns of a record after a delay of its own.
auto packet_fleet::announce(const member_record& record) -> void
{
    auto& known = records_[record.id];
    if (known.id != 0 && supersedes(known, record))
    {
        return;
    }
    known = record;
    const auto tell = [&](auto& process)
    {
        events_.after(random_lag(),
                      [this, &process, record]
                      {
                          if (process.members != nullptr)
                          {
                              control_message message;
                              message.from = record.id;
                              message.from_incarnation = record.incarnation;
                              message.body = gossip_message{{record}, false};
                              process.members->on_control(events_.now(),
                                                          message);
                          }
                      });
    };
    for (const auto& it : balancers_)
    {
        tell(*it);
    }
    for (const auto& it : agents_)
    {
        tell(*it);
    }
}

auto packet_fleet::random_lag() -> millis
{
    return milliseconds(static_cast<std::int64_t>(random_.below(
        static_cast<std::uint64_t>(settings_.view_lag_max.count) + 1)));
}

auto packet_fleet::tell_policy(std::size_t agent_index) -> void
{
    if (policy_.revision == 0)
    {
        return;
    }
    events_.after(random_lag(),
                  [this, agent_index, policy = policy_]
                  {
                      // A later policy has its own message, which may be
                      // faster.
                      if (policy == policy_)
                      {
                          agents_[agent_index]->core->on_policy(events_.now(),
                                                                policy);
                      }
                  });
}

auto packet_fleet::evacuate(std::vector<std::string> names) -> void
{
    policy_.evacuated = std::move(names);
    ++policy_.revision;
    for (const auto& it : balancers_)
    {
        if (it->core != nullptr)
        {
            it->core->set_evacuating(!policy_.evacuated.empty());
        }
    }
    for (std::size_t n = 0; n < agents_.size(); ++n)
    {
        tell_policy(n);
    }
}

auto packet_fleet::opened_in(const std::string& data_centre) const
    -> std::uint64_t
{
    const auto it = opened_in_.find(data_centre);
    return it == opened_in_.end() ? 0 : it->second;
}

auto packet_fleet::introduce(member_view& to) -> void
{
    for (const auto& [id, record] : records_)
    {
        control_message message;
        message.from = id;
        message.from_incarnation = record.incarnation;
        message.body = gossip_message{{record}, false};
        to.on_control(events_.now(), message);
    }
}

auto packet_fleet::registered_agents() const -> std::vector<listed_agent>
{
    std::vector<listed_agent> out;
    for (const auto& [id, record] : records_)
    {
        if (record.kind == member_kind::agent)
        {
            out.push_back({id, record.control_address});
        }
    }
    return out;
}

auto packet_fleet::beat(std::size_t index) -> void
{
    auto& agent = *agents_[index];
    auto& server = *servers_[index];
    if (agent.up && server.is_up() && !server.is_frozen())
    {
        auto heartbeat = server.next_heartbeat();
        heartbeat.service_name = agent.service_name;
        agent.core->on_heartbeat(events_.now(), heartbeat);
    }
    const auto life = agent.life;
    events_.after(settings_.agent.heartbeat_interval,
                  [this, index, life]
                  {
                      if (agents_[index]->life == life)
                      {
                          beat(index);
                      }
                  });
}

auto packet_fleet::tick_agents() -> void
{
    for (const auto& it : agents_)
    {
        if (it->up)
        {
            it->core->tick(events_.now());
        }
    }
    events_.after(tick_interval,
                  [this]
                  {
                      tick_agents();
                  });
}

auto packet_fleet::tick_balancers() -> void
{
    for (const auto& it : balancers_)
    {
        if (it->core != nullptr)
        {
            it->core->tick(events_.now());
        }
    }
    events_.after(balancer_tick_interval,
                  [this]
                  {
                      tick_balancers();
                  });
}

// No random number is drawn for a link without a loss of its own, so that runs
// without such links stay as they are.
auto packet_fleet::is_lost(const endpoint& from, const endpoint& to) -> bool
{
    if (random_.chance(settings_.loss))
    {
        return true;
    }
    for (const auto& end : {from, to})
    {
        const auto it = agent_losses_.find(end.address);
        if (it != agent_losses_.end() && random_.chance(it->second))
        {
            return true;
        }
    }
    return false;
}

auto packet_fleet::delay_between(const endpoint& a, const endpoint& b) const
    -> millis
{
    const auto same = a.address % data_centres == b.address % data_centres;
    return same ? millis{} : far_delay;
}

auto packet_fleet::arrive(const endpoint& from, const endpoint& to,
                          const flow_packet& packet) -> void
{
    ++messages_;
    if (is_lost(from, to))
    {
        return;
    }
    events_.after(delay_between(from, to),
                  [this, from, to, packet]
                  {
                      const auto now = events_.now();
                      if (to.address >= agent_network)
                      {
                          const auto index = to.address - agent_network - 1;
                          if (index < agents_.size() && agents_[index]->up)
                          {
                              agents_[index]->core->on_packet(now, from,
                                                              packet);
                          }
                          return;
                      }
                      const auto index = to.address - balancer_network - 1;
                      if (index < balancers_.size() &&
                          balancers_[index]->core != nullptr &&
                          packet.label.kind == label_kind::hint)
                      {
                          balancers_[index]->core->on_hint(packet);
                      }
                  });
}

auto packet_fleet::arrive_control(const endpoint& from, const endpoint& to,
                                  const control_message& message) -> void
{
    ++messages_;
    if (is_lost(from, to))
    {
        return;
    }
    events_.after(
        delay_between(from, to),
        [this, to, message]
        {
            if (to.address >= agent_network)
            {
                const auto index = to.address - agent_network - 1;
                if (index < agents_.size() && agents_[index]->up)
                {
                    agents_[index]->core->on_control(events_.now(), message);
                }
                return;
            }
            const auto index = to.address - balancer_network - 1;
            if (index < balancers_.size() && balancers_[index]->core != nullptr)
            {
                balancers_[index]->core->on_control(message);
            }
        });
}

// The fabric: the flow's hash modulo the balancers in rotation.
auto packet_fleet::from_caller(const flow_packet& packet) -> void
{
    events_.after(caller_delay,
                  [this, packet]
                  {
                      std::vector<balancer_process*> rotation;
                      for (const auto& it : balancers_)
                      {
                          if (it->in_rotation && it->core != nullptr)
                          {
                              rotation.push_back(it.get());
                          }
                      }
                      if (rotation.empty() || random_.chance(settings_.loss))
                      {
                          return;
                      }
                      const auto hash =
                          std::hash<flow_key>{}(flow_from_caller(packet));
                      auto& chosen = *rotation[(hash >> 8U) % rotation.size()];
                      chosen.core->on_caller_packet(events_.now(), packet);
                  });
}

auto packet_fleet::to_caller(const flow_packet& packet, std::size_t agent_index)
    -> void
{
    if (is_lost(agent_address(agent_index), packet.destination))
    {
        return;
    }
    events_.after(caller_delay,
                  [this, packet]
                  {
                      caller_->on_packet(packet);
                  });
}

auto packet_fleet::on_reset(const endpoint& route, const endpoint& caller)
    -> void
{
    flow_packet packet;
    packet.source = caller;
    packet.destination = route;
    const auto flow = flow_from_caller(packet);
    const auto held = std::any_of(servers_.begin(), servers_.end(),
                                  [&](const auto& it)
                                  {
                                      return it->holds(flow);
                                  });
    broken_flows_ += held && caller_->is_open(flow) ? 1 : 0;
    events_.after(caller_delay,
                  [this, flow]
                  {
                      caller_->on_reset(flow);
                  });
}

auto packet_fleet::run_until(millis end) -> void
{
    events_.run_until(end);
}

auto packet_fleet::events() -> event_queue&
{
    return events_;
}

auto packet_fleet::start_load() -> void
{
    caller_->start();
}

auto packet_fleet::set_load_factor(const std::string& load, double factor)
    -> void
{
    caller_->set_factor(load, factor);
}

auto packet_fleet::stop_balancer(std::size_t index) -> void
{
    balancers_[index]->in_rotation = false;
    balancers_[index]->core.reset();
}

auto packet_fleet::start_balancer(std::size_t index) -> void
{
    make_balancer(index);
    balancers_[index]->in_rotation = true;
}

auto packet_fleet::restart_agent(std::size_t index) -> void
{
    make_agent(index);
}

auto packet_fleet::lose_server(std::size_t index) -> void
{
    servers_[index]->lose();
    auto& agent = *agents_[index];
    agent.up = false;
    auto record = records_[agent.members->self().id];
    record.state = member_state::dead;
    announce(record);
}

auto packet_fleet::start_server(std::size_t index) -> void
{
    servers_[index]->start();
    make_agent(index);
}

auto packet_fleet::drain_server(std::size_t index) -> void
{
    servers_[index]->drain();
}

auto packet_fleet::lose_everything(millis down) -> void
{
    for (const auto& it : balancers_)
    {
        it->in_rotation = false;
        it->core.reset();
    }
    for (std::size_t n = 0; n < agents_.size(); ++n)
    {
        servers_[n]->lose();
        agents_[n]->up = false;
    }
    records_.clear();
    events_.after(down,
                  [this]
                  {
                      for (std::size_t n = 0; n < balancers_.size(); ++n)
                      {
                          start_balancer(n);
                      }
                      for (std::size_t n = 0; n < agents_.size(); ++n)
                      {
                          start_server(n);
                      }
                  });
}

auto packet_fleet::slow_server(std::size_t index, double factor) -> void
{
    servers_[index]->set_slowness(factor);
}

auto packet_fleet::freeze_server(std::size_t index, millis span) -> void
{
    servers_[index]->set_frozen(true);
    events_.after(span,
                  [this, index]
                  {
                      servers_[index]->set_frozen(false);
                  });
}

auto packet_fleet::set_agent_loss(std::size_t index, double share) -> void
{
    agent_losses_[agent_address(index).address] = share;
}

auto packet_fleet::hedges() const -> hedge_sums
{
    hedge_sums out;
    for (const auto& it : balancers_)
    {
        out.openings += it->core->counters().opened;
        out.sent += it->core->hedging().sent;
        out.over_budget += it->core->hedging().over_budget;
        out.not_calm += it->core->hedging().not_calm;
    }
    for (const auto& it : agents_)
    {
        out.started += it->core->counters().hedges_started;
        out.won += it->core->counters().hedges_won;
        out.lost += it->core->counters().hedges_lost;
        out.refused_by_load += it->core->counters().hedges_refused_by_load;
    }
    return out;
}

auto packet_fleet::server_count() const -> std::size_t
{
    return servers_.size();
}

auto packet_fleet::server(std::size_t index) const -> const packet_server&
{
    return *servers_[index];
}

auto packet_fleet::caller() -> packet_caller&
{
    return *caller_;
}

auto packet_fleet::messages() const -> std::uint64_t
{
    return messages_;
}

auto packet_fleet::misrouted() const -> std::uint64_t
{
    return misrouted_;
}

auto packet_fleet::broken_flows() const -> std::uint64_t
{
    return broken_flows_;
}

auto packet_fleet::imbalance(const std::string& service_name) const -> double
{
    std::uint64_t total = 0;
    std::uint64_t most = 0;
    std::uint64_t count = 0;
    for (std::size_t n = 0; n < servers_.size(); ++n)
    {
        if (agents_[n]->service_name != service_name)
        {
            continue;
        }
        ++count;
        total += servers_[n]->runs();
        most = std::max(most, servers_[n]->runs());
    }
    return total == 0
               ? 1
               : static_cast<double>(most * count) / static_cast<double>(total);
}

} // namespace briardrum::rig
