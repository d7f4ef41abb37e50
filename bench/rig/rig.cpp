#include "bench/rig/rig.hpp"

#include <algorithm>
#include <deque>
#include <utility>

namespace briardrum::rig
{

namespace
{

constexpr millis agent_tick = milliseconds(20);
constexpr millis balancer_tick = milliseconds(100);
constexpr std::size_t balancer_budget = 100000;
// Packets in a balancer's first in first out queue.
constexpr std::size_t fifo_packets_max = 8192;
// Messages that wait at a paused node, as in a socket's buffer.
constexpr std::size_t pause_buffer_max = 2000;

constexpr std::uint32_t balancer_network = 0x0a000000;
constexpr std::uint32_t agent_network = 0x0a010000;
constexpr std::uint32_t service_network = 0x0a020000;
constexpr std::uint32_t caller_network = 0xac100000;
constexpr std::uint16_t data_port = 7000;
constexpr std::uint16_t control_port = 7001;
constexpr std::uint16_t coap_port = 5683;
constexpr std::uint16_t callers_per_address = 50000;

} // namespace

struct rig::node
{
    std::string name;
    member_kind kind = member_kind::agent;
    std::string service;
    server_profile profile;
    endpoint data;
    endpoint control;
    std::uint64_t lives = 0;
    bool alive = false;
    millis paused_until;
    std::vector<event_queue::action> paused;
    // A tick came while paused and ended the chain of ticks.
    bool tick_missed = false;
    millis control_delay;
    bool server_alive = false;
    std::unique_ptr<agent_core> agent;
    std::unique_ptr<balancer_core> balancer;
    // Packets that wait in first in first out order, when that is asked for.
    struct fifo_packet
    {
        endpoint caller;
        endpoint service_address;
        byte_buffer datagram;
    };
    std::deque<fifo_packet> fifo;
    fake_server* server = nullptr;
};

struct rig::state
{
    explicit state(std::uint64_t seed_value)
        : random(seed_value), seed(seed_value)
    {
    }

    event_queue queue;
    random_source random;
    std::uint64_t seed;
    network_profile network;
    std::shared_ptr<const configuration> config;
    std::vector<std::unique_ptr<node>> nodes;
    std::map<endpoint, node*> by_address;
    std::set<std::pair<std::string, std::string>> cuts;
    std::set<std::pair<std::string, std::string>> control_cuts;
    // Servers of every life: what each ran counts to the end.
    std::vector<std::unique_ptr<fake_server>> servers;
    // Cores of earlier lives, kept since queued actions may name them.
    std::vector<std::unique_ptr<agent_core>> old_agents;
    std::vector<std::unique_ptr<balancer_core>> old_balancers;
    std::vector<std::unique_ptr<fake_caller>> callers;
    std::map<endpoint, fake_caller*> caller_at;
    std::map<std::string, caller_totals> totals;
    std::vector<std::string>* events = nullptr;
    bool baseline = false;
    // 0 when balancers are not limited.
    std::size_t packets_per_ms = 0;
    bool fifo = false;
};

rig::rig(std::uint64_t seed) : state_(std::make_unique<state>(seed))
{
    auto config = std::make_shared<configuration>();
    config->version = 1;
    config->in_force = "ordinary";
    config->presets["ordinary"].name = "ordinary";
    config->cookie_keys[0].id = 1;
    config->cookie_keys[0].secret.fill(static_cast<std::uint8_t>(seed + 1));
    state_->config = config;
}

rig::~rig() = default;

auto rig::network() -> network_profile&
{
    return state_->network;
}

auto rig::queue() -> event_queue&
{
    return state_->queue;
}

auto rig::add_service(const std::string& name, service_policy policy) -> void
{
    auto next = *state_->config;
    service item;
    item.id = next.next_service_id++;
    item.name = name;
    item.address = {service_network + item.id, coap_port};
    next.services[name] = item;
    next.presets["ordinary"].policies[name] = policy;
    state_->config = std::make_shared<configuration>(std::move(next));
}

auto rig::add_balancer(const std::string& name) -> void
{
    auto item = std::make_unique<node>();
    const auto n = static_cast<std::uint32_t>(state_->nodes.size() + 1);
    item->name = name;
    item->kind = member_kind::balancer;
    item->data = {balancer_network + n, data_port};
    item->control = {balancer_network + n, control_port};
    state_->nodes.push_back(std::move(item));
    start_node(*state_->nodes.back());
}

auto rig::add_agent(const std::string& name, const std::string& service,
                    const server_profile& profile) -> void
{
    auto item = std::make_unique<node>();
    const auto n = static_cast<std::uint32_t>(state_->nodes.size() + 1);
    item->name = name;
    item->service = service;
    item->profile = profile;
    item->data = {agent_network + n, data_port};
    item->control = {agent_network + n, control_port};
    state_->nodes.push_back(std::move(item));
    start_node(*state_->nodes.back());
}

auto rig::add_caller(const std::string& service, const caller_profile& profile,
                     millis delay) -> fake_caller&
{
    const auto n = static_cast<std::uint32_t>(state_->callers.size());
    const auto port =
        static_cast<std::uint16_t>(1024 + n % callers_per_address);
    const endpoint address{caller_network + n / callers_per_address, port};
    const auto service_address = state_->config->find(service)->address;
    state_->callers.push_back(std::make_unique<fake_caller>(
        "c" + std::to_string(n), service, profile, state_->queue,
        state_->seed * 1000003 + n, state_->totals[service],
        [this, address, service_address](byte_view datagram)
        {
            to_balancer(address, service_address, datagram);
        }));
    auto& caller = *state_->callers.back();
    state_->caller_at[address] = &caller;
    caller.start(delay);
    return caller;
}

auto rig::run_for(millis span) -> void
{
    state_->queue.run_until(state_->queue.now() + span);
}

auto rig::kill(const std::string& name) -> void
{
    auto& item = find(name);
    item.alive = false;
    item.paused.clear();
    item.tick_missed = false;
    item.paused_until = {};
    if (item.agent != nullptr)
    {
        item.server->stop();
        state_->old_agents.push_back(std::move(item.agent));
    }
    if (item.balancer != nullptr)
    {
        state_->old_balancers.push_back(std::move(item.balancer));
    }
}

auto rig::replace(const std::string& name) -> void
{
    auto& item = find(name);
    if (item.alive)
    {
        kill(name);
    }
    start_node(item);
}

auto rig::pause(const std::string& name, millis span) -> void
{
    auto& item = find(name);
    const auto life = item.lives;
    item.paused_until = state_->queue.now() + span;
    state_->queue.after(span,
                        [this, &item, life]
                        {
                            if (!item.alive || item.lives != life)
                            {
                                return;
                            }
                            auto waiting = std::move(item.paused);
                            item.paused.clear();
                            for (auto& it : waiting)
                            {
                                it();
                            }
                            if (std::exchange(item.tick_missed, false))
                            {
                                tick(item, life);
                            }
                        });
}

auto rig::drain(const std::string& name) -> void
{
    const auto now = state_->queue.now();
    if (state_->baseline)
    {
        find(name).agent->members().set_state(now, member_state::draining);
        return;
    }
    find(name).agent->drain(now);
}

auto rig::leave(const std::string& name) -> void
{
    find(name).balancer->leave(state_->queue.now());
}

auto rig::cut(const std::string& from, const std::string& to) -> void
{
    state_->cuts.emplace(from, to);
}

auto rig::cut_control(const std::string& from, const std::string& to) -> void
{
    state_->control_cuts.emplace(from, to);
}

auto rig::heal() -> void
{
    state_->cuts.clear();
    state_->control_cuts.clear();
}

auto rig::delay_control(const std::string& name, millis up_to) -> void
{
    find(name).control_delay = up_to;
}

auto rig::kill_server(const std::string& agent) -> void
{
    auto& item = find(agent);
    item.server->stop();
    item.server_alive = false;
    item.agent->on_server_lost(state_->queue.now());
}

auto rig::restart_server(const std::string& agent) -> void
{
    start_server(find(agent));
}

auto rig::use_baseline() -> void
{
    state_->baseline = true;
}

auto rig::agent(const std::string& name) -> agent_core&
{
    return *find(name).agent;
}

auto rig::balancer(const std::string& name) -> balancer_core&
{
    return *find(name).balancer;
}

auto rig::server(const std::string& agent) -> fake_server&
{
    return *find(agent).server;
}

auto rig::is_quiet(const std::string& agent) -> bool
{
    return find(agent).agent->is_drained();
}

auto rig::agents_of(const std::string& service) const
    -> std::vector<std::string>
{
    std::vector<std::string> names;
    for (const auto& it : state_->nodes)
    {
        if (it->kind == member_kind::agent && it->service == service)
        {
            names.push_back(it->name);
        }
    }
    return names;
}

auto rig::change_configuration(const std::function<void(configuration&)>& edit)
    -> void
{
    auto next = std::make_shared<configuration>(*state_->config);
    edit(*next);
    ++next->version;
    state_->config = next;
    for (const auto& it : state_->nodes)
    {
        if (it->agent != nullptr)
        {
            it->agent->adopt(state_->queue.now(), next);
        }
        if (it->balancer != nullptr)
        {
            it->balancer->adopt(state_->queue.now(), next);
        }
    }
}

auto rig::excuse_callers_of(const std::string& server) -> void
{
    for (const auto& it : state_->callers)
    {
        if (it->server() == server)
        {
            it->excuse();
        }
    }
}

auto rig::finish_callers() -> void
{
    for (const auto& it : state_->callers)
    {
        it->finish();
    }
}

auto rig::totals(const std::string& service) -> caller_totals&
{
    return state_->totals[service];
}

auto rig::check() const -> std::vector<std::string>
{
    std::vector<std::string> faults;
    std::map<std::string, int> runs;
    for (const auto& it : state_->servers)
    {
        for (const auto& [key, count] : it->runs())
        {
            runs[key] += count;
        }
    }
    for (const auto& [key, count] : runs)
    {
        if (count > 1)
        {
            faults.push_back("ran twice: " + key);
        }
    }
    for (const auto& [service, sums] : state_->totals)
    {
        if (sums.wrong > 0)
        {
            faults.push_back("wrong answers: " + service);
        }
        for (const auto& key : sums.not_run_keys)
        {
            if (runs.contains(key))
            {
                faults.push_back("ran though told not run: " + key);
            }
        }
    }
    return faults;
}

auto rig::record_events(std::vector<std::string>* into) -> void
{
    state_->events = into;
}

auto rig::find(const std::string& name) const -> node&
{
    const auto it = std::find_if(state_->nodes.begin(), state_->nodes.end(),
                                 [&](const auto& item)
                                 {
                                     return item->name == name;
                                 });
    // The test names a node that it did not add.
    BRIARDRUM_INVARIANT(it != state_->nodes.end());
    return **it;
}

auto rig::start_node(node& item) -> void
{
    const auto now = state_->queue.now();
    ++item.lives;
    item.alive = true;
    member_record self;
    self.id = member_id_of(item.name);
    self.incarnation = static_cast<incarnation_number>(now.count) + item.lives;
    self.version = 1;
    self.kind = item.kind;
    self.name = item.name;
    self.data_centre = "dc";
    self.data_address = item.data;
    self.control_address = item.control;
    self.service_name = item.service;
    self.slots = item.kind == member_kind::agent ? item.profile.slots : 0;
    self.state = item.kind == member_kind::agent ? member_state::joining
                                                 : member_state::ready;
    std::vector<endpoint> starts;
    for (const auto& it : state_->nodes)
    {
        if (it->control != item.control && starts.size() < 3)
        {
            starts.push_back(it->control);
        }
    }
    state_->by_address[item.data] = &item;
    state_->by_address[item.control] = &item;
    const auto seed = state_->random.bits();
    const auto events = event_sink_for(item.name);
    const auto control =
        [this, &item](const endpoint& to, const control_message& message)
    {
        send_control(item, to, message);
    };
    const auto data = [this, &item](const endpoint& to, const envelope& message)
    {
        send_envelope(item, to, message);
    };
    if (item.kind == member_kind::balancer)
    {
        balancer_hooks hooks{data,
                             [this](const caller_packet& packet)
                             {
                                 to_caller(packet);
                             },
                             control, events};
        item.balancer = std::make_unique<balancer_core>(
            self, starts, membership_settings{}, hooks, seed);
        item.balancer->adopt(now, state_->config);
    }
    else
    {
        agent_hooks hooks{data,
                          control,
                          [&item](const flow_key& flow, byte_view datagram)
                          {
                              item.server->on_datagram(flow, datagram);
                          },
                          [](const flow_key&) {},
                          events,
                          {},
                          {}};
        item.agent = std::make_unique<agent_core>(
            self, starts, membership_settings{}, hooks, seed);
        item.agent->adopt(now, state_->config);
        start_server(item);
    }
    const auto life = item.lives;
    state_->queue.after({static_cast<std::int64_t>(state_->random.below(20))},
                        [this, &item, life]
                        {
                            tick(item, life);
                        });
}

auto rig::start_server(node& item) -> void
{
    auto* agent = &item;
    const auto life = item.lives;
    state_->servers.push_back(std::make_unique<fake_server>(
        item.service, item.name, item.profile, state_->queue,
        state_->random.bits(),
        [this, agent, life](const flow_key& flow, byte_view datagram)
        {
            const auto copy = to_buffer(datagram);
            state_->queue.after({},
                                [this, agent, life, flow, copy]
                                {
                                    deliver(*agent, life,
                                            [this, agent, flow, copy]
                                            {
                                                agent->agent->on_server(
                                                    state_->queue.now(), flow,
                                                    copy);
                                            });
                                });
        }));
    item.server = state_->servers.back().get();
    item.server_alive = true;
    item.agent->on_server_ready(state_->queue.now());
}

auto rig::at_address(const endpoint& address) const -> node*
{
    const auto it = state_->by_address.find(address);
    return it == state_->by_address.end() ? nullptr : it->second;
}

auto rig::event_sink_for(const std::string& name) -> event_sink
{
    return [this, name](const event& item)
    {
        if (state_->events != nullptr)
        {
            state_->events->push_back(
                std::to_string(state_->queue.now().count) + " " + name + " " +
                item.line());
        }
    };
}

auto rig::passes(const node& from, const node& to) -> bool
{
    return to.alive && !state_->cuts.contains({from.name, to.name});
}

auto rig::transit() -> millis
{
    const auto spread =
        static_cast<std::uint64_t>(state_->network.jitter.count) + 1;
    return state_->network.node_delay +
           millis{static_cast<std::int64_t>(state_->random.below(spread))};
}

auto rig::send_envelope(node& from, const endpoint& to, const envelope& message)
    -> void
{
    auto* receiver = at_address(to);
    const auto lost = receiver == nullptr || !passes(from, *receiver) ||
                      state_->random.chance(state_->network.loss);
    if (lost)
    {
        return;
    }
    auto copy = std::make_shared<byte_buffer>(to_buffer(message.datagram));
    auto sent = message;
    if (state_->baseline)
    {
        // Agents keep what they get, and balancers learn nothing.
        sent.placed = sent.kind == envelope_kind::request;
        sent.from_agent = 0;
    }
    const auto twice = state_->random.chance(state_->network.duplication);
    for (int n = 0; n < (twice ? 2 : 1); ++n)
    {
        const auto life = receiver->lives;
        state_->queue.after(
            transit(),
            [this, receiver, life, sent, copy]
            {
                deliver(*receiver, life,
                        [this, receiver, sent, copy]
                        {
                            auto arrived = sent;
                            arrived.datagram = *copy;
                            const auto now = state_->queue.now();
                            if (receiver->agent != nullptr)
                            {
                                receiver->agent->on_envelope(now, arrived);
                            }
                            else
                            {
                                receiver->balancer->on_envelope(now, arrived);
                            }
                        });
            });
    }
}

auto rig::send_control(node& from, const endpoint& to,
                       const control_message& message) -> void
{
    auto* receiver = at_address(to);
    const auto lost =
        receiver == nullptr || !passes(from, *receiver) ||
        state_->control_cuts.contains({from.name, receiver->name}) ||
        state_->random.chance(state_->network.control_loss);
    if (lost)
    {
        return;
    }
    auto delay = transit();
    const auto extra =
        static_cast<std::uint64_t>(receiver->control_delay.count);
    delay += {static_cast<std::int64_t>(state_->random.below(extra + 1))};
    const auto life = receiver->lives;
    state_->queue.after(
        delay,
        [this, receiver, life, message]
        {
            deliver(*receiver, life,
                    [this, receiver, message]
                    {
                        const auto now = state_->queue.now();
                        if (receiver->agent != nullptr)
                        {
                            receiver->agent->on_control(now, message);
                        }
                        else
                        {
                            receiver->balancer->on_control(now, message);
                        }
                    });
        });
}

auto rig::deliver(node& to, std::uint64_t life, event_queue::action what)
    -> void
{
    if (!to.alive || to.lives != life)
    {
        return;
    }
    if (state_->queue.now() < to.paused_until)
    {
        if (to.paused.size() < pause_buffer_max)
        {
            to.paused.push_back(std::move(what));
        }
        return;
    }
    what();
}

auto rig::to_balancer(const endpoint& caller, const endpoint& service_address,
                      byte_view datagram) -> void
{
    std::vector<node*> live;
    for (const auto& it : state_->nodes)
    {
        // As a fabric that asks each balancer whether it can serve.
        const auto serves = it->kind == member_kind::balancer && it->alive &&
                            it->balancer->members().has_synchronised();
        if (serves)
        {
            live.push_back(it.get());
        }
    }
    if (live.empty() || state_->random.chance(state_->network.loss))
    {
        return;
    }
    auto* chosen = live[state_->random.below(live.size())];
    auto copy = std::make_shared<byte_buffer>(to_buffer(datagram));
    const auto life = chosen->lives;
    const auto spread =
        static_cast<std::uint64_t>(state_->network.jitter.count) + 1;
    const auto delay =
        state_->network.caller_delay +
        millis{static_cast<std::int64_t>(state_->random.below(spread))};
    state_->queue.after(
        delay,
        [this, chosen, life, caller, service_address, copy]
        {
            deliver(*chosen, life,
                    [this, chosen, caller, service_address, copy]
                    {
                        on_packet(*chosen, {caller, service_address, *copy});
                    });
        });
}

auto rig::on_packet(node& item, const caller_packet& packet) -> void
{
    const auto now = state_->queue.now();
    if (state_->fifo)
    {
        if (item.fifo.size() < fifo_packets_max)
        {
            item.fifo.push_back({packet.caller, packet.service_address,
                                 to_buffer(packet.datagram)});
        }
        return;
    }
    item.balancer->on_packet(now, packet);
    if (state_->packets_per_ms == 0)
    {
        item.balancer->serve(now, balancer_budget);
    }
}

auto rig::inject(const endpoint& caller, const std::string& service,
                 byte_view datagram) -> void
{
    to_balancer(caller, state_->config->find(service)->address, datagram);
}

auto rig::limit_balancers(std::size_t packets_per_ms, bool first_in_first_out)
    -> void
{
    state_->packets_per_ms = packets_per_ms;
    state_->fifo = first_in_first_out;
    pump_balancers();
}

auto rig::pump_balancers() -> void
{
    const auto now = state_->queue.now();
    for (const auto& it : state_->nodes)
    {
        if (it->balancer == nullptr || !it->alive || now < it->paused_until)
        {
            continue;
        }
        for (auto n = state_->packets_per_ms; n > 0 && !it->fifo.empty(); --n)
        {
            const auto& packet = it->fifo.front();
            it->balancer->on_packet(
                now, {packet.caller, packet.service_address, packet.datagram});
            it->fifo.pop_front();
        }
        it->balancer->serve(now, state_->packets_per_ms);
    }
    state_->queue.after(milliseconds(1),
                        [this]
                        {
                            pump_balancers();
                        });
}

auto rig::to_caller(const caller_packet& packet) -> void
{
    const auto it = state_->caller_at.find(packet.caller);
    const auto lost = it == state_->caller_at.end() ||
                      state_->random.chance(state_->network.loss);
    if (lost)
    {
        return;
    }
    auto* caller = it->second;
    state_->queue.after(state_->network.caller_delay,
                        [caller, copy = to_buffer(packet.datagram)]
                        {
                            caller->on_datagram(copy);
                        });
}

auto rig::tick(node& item, std::uint64_t life) -> void
{
    if (!item.alive || item.lives != life)
    {
        return;
    }
    if (state_->queue.now() < item.paused_until)
    {
        item.tick_missed = true;
        return;
    }
    const auto now = state_->queue.now();
    const auto is_agent = item.agent != nullptr;
    if (is_agent)
    {
        item.agent->tick(now);
    }
    else
    {
        item.balancer->tick(now);
        if (state_->packets_per_ms == 0)
        {
            item.balancer->serve(now, balancer_budget);
        }
    }
    state_->queue.after(is_agent ? agent_tick : balancer_tick,
                        [this, &item, life]
                        {
                            tick(item, life);
                        });
}

} // namespace briardrum::rig
