#include "stand_ins/packet_site/site_callers.hpp"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <utility>

namespace briardrum::stand_in
{

namespace
{

constexpr std::chrono::milliseconds poll_interval(500);
constexpr millis poll_timeout = milliseconds(400);
constexpr int misses_max = 2;
constexpr std::chrono::milliseconds tick_interval(20);
constexpr millis resend_interval = milliseconds(200);
constexpr millis try_time = seconds(10);
constexpr std::uint32_t first_sequence = 5000;
// One flow in this many is kept open for several requests.
constexpr std::uint64_t kept_flow_every = 8;
constexpr std::uint32_t requests_per_kept_flow = 8;
// The pauses on kept flows are up to this long, well below the idle timeout.
constexpr std::uint64_t pause_ms_max = 2500;

// The request of this flow that is followed by so many others; '+' asks the
// server to keep the flow.
auto request_text(std::uint64_t number, std::uint32_t followed_by)
    -> std::string
{
    const auto text = "request-" + std::to_string(number);
    return followed_by == 0 ? text
                            : text + "." + std::to_string(followed_by) + "+";
}

} // namespace

site_callers::site_callers(asio::io_context& context,
                           site_callers_settings settings)
    : context_(context), settings_(std::move(settings)), socket_(context),
      poll_timer_(context), ask_timer_(context), tick_timer_(context),
      misses_(settings_.balancers.size(), misses_max)
{
    for (const auto& it : settings_.balancers)
    {
        clients_.push_back(
            std::make_unique<http_client>(context_, it.readiness));
    }
}

auto site_callers::start() -> bool
{
    if (!socket_.open(settings_.local).ok())
    {
        return false;
    }
    udp_hooks hooks;
    hooks.on_datagram = [this](const endpoint&, byte_view bytes)
    {
        on_packet(bytes);
    };
    socket_.start(std::move(hooks));
    poll();
    tick();
    return true;
}

auto site_callers::begin() -> void
{
    asking_ = true;
    ask();
}

auto site_callers::end() -> void
{
    asking_ = false;
}

auto site_callers::ready_balancers() const -> std::size_t
{
    return static_cast<std::size_t>(std::count_if(misses_.begin(),
                                                  misses_.end(),
                                                  [](int it)
                                                  {
                                                      return it < misses_max;
                                                  }));
}

auto site_callers::tally() const -> const site_tally&
{
    return tally_;
}

auto site_callers::poll() -> void
{
    for (std::size_t n = 0; n < clients_.size(); ++n)
    {
        clients_[n]->call(
            {"GET", "/v1/readiness", ""}, poll_timeout,
            [this, n](const absl::StatusOr<http_response>& response)
            {
                const auto good = response.ok() && response->status == http_ok;
                misses_[n] = good ? 0 : misses_[n] + 1;
            });
    }
    poll_timer_.expires_after(poll_interval);
    poll_timer_.async_wait(
        [this](const asio::error_code& ec)
        {
            if (!ec)
            {
                poll();
            }
        });
}

auto site_callers::ask() -> void
{
    if (!asking_)
    {
        return;
    }
    const auto number = next_++;
    auto route = settings_.routes.begin();
    std::advance(route, number % settings_.routes.size());
    // All callers share an address; their ports tell them apart.
    const endpoint caller{settings_.local.address,
                          static_cast<std::uint16_t>(1024 + number % 60000)};
    flow it;
    it.route = route->first;
    it.number = number;
    it.requests_left =
        number % kept_flow_every == 0 ? requests_per_kept_flow - 1 : 0;
    it.request = request_text(number, it.requests_left);
    it.sequence = first_sequence;
    it.asked_at = clock::now();
    it.sent_at = it.asked_at;
    flows_[caller] = it;
    ++tally_.asked;
    send(caller, it, wire_packet::syn, "");
    const auto gap = 1e6 / settings_.per_second;
    ask_timer_.expires_after(
        std::chrono::microseconds(static_cast<std::int64_t>(gap)));
    ask_timer_.async_wait(
        [this](const asio::error_code& ec)
        {
            if (!ec)
            {
                ask();
            }
        });
}

auto site_callers::tick() -> void
{
    const auto now = clock::now();
    for (auto it = flows_.begin(); it != flows_.end();)
    {
        auto& [caller, row] = *it;
        if (row.paused)
        {
            if (!asking_)
            {
                it = flows_.erase(it);
                continue;
            }
            ask_again(now, caller, row);
            ++it;
            continue;
        }
        if (now - row.asked_at > try_time)
        {
            ++tally_.unanswered;
            it = flows_.erase(it);
            continue;
        }
        if (now - row.sent_at >= resend_interval)
        {
            row.sent_at = now;
            ++row.copies;
            send(caller, row, row.open ? wire_packet::ack : wire_packet::syn,
                 row.open ? row.request : "");
        }
        ++it;
    }
    tick_timer_.expires_after(tick_interval);
    tick_timer_.async_wait(
        [this](const asio::error_code& ec)
        {
            if (!ec)
            {
                tick();
            }
        });
}

auto site_callers::send(const endpoint& caller, const flow& it,
                        std::uint8_t flags, const std::string& payload) -> void
{
    std::vector<endpoint> rotation;
    for (std::size_t n = 0; n < misses_.size(); ++n)
    {
        if (misses_[n] < misses_max)
        {
            rotation.push_back(settings_.balancers[n].packets);
        }
    }
    if (rotation.empty())
    {
        return;
    }
    wire_packet out;
    out.source = caller;
    out.destination = it.route;
    out.flags = flags;
    out.sequence = it.sequence;
    // In an opening packet the field counts its copies.
    out.acknowledged = flags == wire_packet::syn ? it.copies : it.acknowledged;
    out.payload = payload;
    const auto place = std::hash<endpoint>{}(caller) >> 20U;
    socket_.queue(rotation[place % rotation.size()]) = write_wire_packet(out);
}

auto site_callers::on_packet(byte_view bytes) -> void
{
    const auto packet = read_wire_packet(bytes);
    if (!packet.has_value())
    {
        ++tally_.wrong;
        return;
    }
    const auto found = flows_.find(packet->destination);
    if (found == flows_.end() || found->second.route != packet->source)
    {
        return;
    }
    auto& row = found->second;
    if (packet->has(wire_packet::reset))
    {
        tally_.broken += row.open ? 1 : 0;
        tally_.refused += row.open ? 0 : 1;
        flows_.erase(found);
        return;
    }
    if (packet->has(wire_packet::syn))
    {
        if (!std::exchange(row.open, true))
        {
            row.acknowledged = packet->sequence + 1;
        }
        row.sent_at = clock::now();
        send(found->first, row, wire_packet::ack,
             row.paused ? "" : row.request);
        return;
    }
    if (packet->payload.empty())
    {
        return;
    }
    if (!on_answer(found->first, row, *packet))
    {
        send(found->first, row, wire_packet::ack | wire_packet::fin, "");
        flows_.erase(found);
    }
}

// Returns false when the flow has ended.
auto site_callers::on_answer(const endpoint& caller, flow& row,
                             const wire_packet& packet) -> bool
{
    if (row.paused || packet.sequence != row.acknowledged)
    {
        // A repeated answer: it is acknowledged again.
        send(caller, row, wire_packet::ack, "");
        return true;
    }
    const auto expected = settings_.routes.at(row.route) + ":" + row.request;
    ++(packet.payload == expected ? tally_.answered : tally_.wrong);
    if (packet.payload != expected)
    {
        std::printf(
            "event=wrong_answer caller=%s expected=%s found=%s sequence=%u\n",
            to_string(caller).c_str(), expected.c_str(), packet.payload.c_str(),
            packet.sequence);
    }
    row.acknowledged += static_cast<std::uint32_t>(packet.payload.size());
    row.sequence += static_cast<std::uint32_t>(row.request.size());
    if (row.requests_left == 0 || packet.has(wire_packet::fin))
    {
        return false;
    }
    send(caller, row, wire_packet::ack, "");
    const auto pause = std::hash<std::string>{}(row.request) % pause_ms_max;
    row.paused = true;
    row.asked_at =
        clock::now() + milliseconds(static_cast<std::int64_t>(pause));
    return true;
}

auto site_callers::ask_again(millis now, const endpoint& caller, flow& row)
    -> void
{
    if (now < row.asked_at)
    {
        return;
    }
    row.paused = false;
    --row.requests_left;
    row.request = request_text(row.number, row.requests_left);
    row.asked_at = now;
    row.sent_at = now;
    ++tally_.asked;
    send(caller, row, wire_packet::ack, row.request);
}

} // namespace briardrum::stand_in
