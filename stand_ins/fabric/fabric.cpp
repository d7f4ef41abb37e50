#include "stand_ins/fabric/fabric.hpp"

#include "wire/wire.hpp"

#include <chrono>

namespace briardrum
{

namespace
{

constexpr std::chrono::milliseconds balancers_interval{50};
constexpr double percent = 100;

} // namespace

auto to_string(const fabric_counts& counts) -> std::string
{
    return event("fabric_counts")
        .with("from_callers", counts.from_callers)
        .with("to_balancers", counts.to_balancers)
        .with("from_balancers", counts.from_balancers)
        .with("to_callers", counts.to_callers)
        .with("dropped", counts.dropped)
        .with("no_balancer", counts.no_balancer)
        .with("malformed", counts.malformed)
        .with("unknown_service", counts.unknown_service)
        .line();
}

fabric::fabric(asio::io_context& io, const fabric_settings& settings)
    : balancers_(settings.balancers),
      drop_chance_(settings.drop_percent / percent), random_(settings.seed),
      timer_(io), back_(io, settings.back,
                        [this](const endpoint& /*from*/, byte_view bytes)
                        {
                            from_balancer(bytes);
                        })
{
    for (const auto& address : settings.services)
    {
        services_[address] = std::make_unique<udp_socket>(
            io, address,
            [this, address](const endpoint& caller, byte_view datagram)
            {
                from_caller(address, caller, datagram);
            });
    }
}

auto fabric::start() -> void
{
    watch_balancers();
    back_.start();
    for (const auto& [address, socket] : services_)
    {
        socket->start();
    }
}

auto fabric::counts() const -> const fabric_counts&
{
    return counts_;
}

auto fabric::from_caller(const endpoint& service_address,
                         const endpoint& caller, byte_view datagram) -> void
{
    ++counts_.from_callers;
    const auto& all = balancers_.all();
    if (all.empty())
    {
        ++counts_.no_balancer;
        return;
    }
    if (is_lost())
    {
        return;
    }
    write_proxy_header({caller, service_address, datagram}, buf_);
    back_.send(all[random_.below(all.size())], buf_);
    ++counts_.to_balancers;
}

auto fabric::from_balancer(byte_view bytes) -> void
{
    ++counts_.from_balancers;
    const auto packet = read_proxy_header(bytes);
    if (!packet.ok())
    {
        ++counts_.malformed;
        return;
    }
    const auto it = services_.find(packet->service_address);
    if (it == services_.end())
    {
        ++counts_.unknown_service;
        return;
    }
    if (is_lost())
    {
        return;
    }
    it->second->send(packet->caller, packet->datagram);
    ++counts_.to_callers;
}

auto fabric::is_lost() -> bool
{
    const auto lost = random_.chance(drop_chance_);
    counts_.dropped += lost ? 1 : 0;
    return lost;
}

auto fabric::watch_balancers() -> void
{
    balancers_.refresh();
    timer_.expires_after(balancers_interval);
    timer_.async_wait(
        [this](const asio::error_code& ec)
        {
            if (!ec)
            {
                watch_balancers();
            }
        });
}

} // namespace briardrum
