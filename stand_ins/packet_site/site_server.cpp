#include "stand_ins/packet_site/site_server.hpp"

#include <chrono>
#include <utility>

namespace briardrum::stand_in
{

namespace
{

constexpr millis heartbeat_timeout = seconds(1);

} // namespace

site_server::site_server(asio::io_context& context,
                         site_server_settings settings,
                         std::function<void(const std::string&)> on_run)
    : context_(context), settings_(std::move(settings)),
      on_run_(std::move(on_run)), socket_(context),
      health_(context,
              [](const http_request&)
              {
                  return http_response{http_ok, "text/plain", ""};
              }),
      client_(context, settings_.control), timer_(context),
      started_ms_(clock::wall().count)
{
}

auto site_server::start() -> bool
{
    if (!socket_.open(settings_.local).ok() ||
        !health_.start(settings_.local).ok())
    {
        return false;
    }
    udp_hooks hooks;
    hooks.on_datagram = [this](const endpoint&, byte_view bytes)
    {
        on_packet(bytes);
    };
    socket_.start(std::move(hooks));
    beat();
    return true;
}

auto site_server::drain() -> void
{
    draining_ = true;
}

auto site_server::is_draining() const -> bool
{
    return draining_;
}

auto site_server::control() const -> const endpoint&
{
    return settings_.control;
}

auto site_server::heartbeat() const -> nlohmann::json
{
    return {{"service", settings_.service_name},
            {"address", to_string(settings_.local)},
            {"zone", "here"},
            {"version", "v1"},
            {"slots", settings_.slots},
            {"state", draining_ ? "draining" : "ready"},
            {"warmupLeftMs", 0},
            {"sequence", sequence_},
            {"born", started_ms_}};
}

auto site_server::changed_packets() const -> std::uint64_t
{
    return changed_;
}

auto site_server::is_leave_heard() const -> bool
{
    return drain_heard_;
}

auto site_server::accepted_flows() const -> std::uint64_t
{
    return accepted_;
}

// Far apart for any two servers, so that a caller's acknowledgement names one,
// and another one for each flow, so that packets of a flow that has ended do
// not belong to one that a late copy of its opening packet began.
auto site_server::next_first_sequence() -> std::uint32_t
{
    constexpr std::uint32_t server_step = 1'000'003;
    constexpr std::uint32_t flow_step = 16;
    return settings_.local.address * server_step + flow_step * accepted_++;
}

auto site_server::send(const wire_packet& packet) -> void
{
    socket_.queue(settings_.outbound) = write_wire_packet(packet);
}

auto site_server::on_packet(byte_view bytes) -> void
{
    const auto packet = read_wire_packet(bytes);
    if (!packet.has_value())
    {
        ++changed_;
        return;
    }
    if (packet->has(wire_packet::syn))
    {
        accept(*packet);
        return;
    }
    const auto it = flows_.find({packet->source, packet->destination});
    // A flow opens where its caller acknowledges the server's own position;
    // another server may have accepted a copy of the opening packet.
    const auto opens_elsewhere =
        it != flows_.end() && !it->second.asked &&
        packet->acknowledged != it->second.first_sequence + 1;
    if (it == flows_.end() || opens_elsewhere)
    {
        return_to_sender(bytes);
        return;
    }
    if (packet->has(wire_packet::fin))
    {
        flows_.erase(it);
        return;
    }
    if (!packet->payload.empty())
    {
        on_request(it->second, *packet);
    }
}

// A repeated request is answered again, or acknowledged while it runs.
auto site_server::on_request(flow& row, const wire_packet& packet) -> void
{
    const auto end =
        packet.sequence + static_cast<std::uint32_t>(packet.payload.size());
    if (!row.asked || packet.sequence == row.received)
    {
        row.asked = true;
        row.received = end;
        row.answer.reset();
        run(packet);
        return;
    }
    if (end != row.received)
    {
        return;
    }
    if (row.answer.has_value())
    {
        send(*row.answer);
        return;
    }
    wire_packet out;
    out.source = packet.destination;
    out.destination = packet.source;
    out.sequence = row.first_sequence + 1 + row.answered_bytes;
    out.acknowledged = row.received;
    out.flags = wire_packet::ack;
    send(out);
}

auto site_server::accept(const wire_packet& opening) -> void
{
    const std::pair key{opening.source, opening.destination};
    if (!flows_.contains(key))
    {
        flows_[key].first_sequence = next_first_sequence();
    }
    wire_packet out;
    out.source = opening.destination;
    out.destination = opening.source;
    out.sequence = flows_[key].first_sequence;
    out.acknowledged = opening.sequence + 1;
    out.flags = wire_packet::syn | wire_packet::ack;
    send(out);
}

auto site_server::return_to_sender(byte_view bytes) -> void
{
    auto& back = socket_.queue(settings_.outbound);
    back.assign(bytes.begin(), bytes.end());
    back[10] |= wire_packet::returned;
    for (std::size_t n = 11; n < 16; ++n)
    {
        back[n] = 0;
    }
}

auto site_server::run(const wire_packet& request) -> void
{
    on_run_(request.payload);
    const auto timer = std::make_shared<asio::steady_timer>(context_);
    timer->expires_after(std::chrono::milliseconds(settings_.work.count));
    timer->async_wait(
        [this, timer, request](const asio::error_code& ec)
        {
            if (!ec)
            {
                answer(request);
            }
        });
}

auto site_server::answer(const wire_packet& request) -> void
{
    const auto it = flows_.find({request.source, request.destination});
    if (it == flows_.end())
    {
        return;
    }
    auto& row = it->second;
    const auto kept = request.payload.ends_with('+') && !draining_;
    wire_packet out;
    out.source = request.destination;
    out.destination = request.source;
    out.sequence = row.first_sequence + 1 + row.answered_bytes;
    out.acknowledged = row.received;
    out.flags = kept ? wire_packet::ack : wire_packet::ack | wire_packet::fin;
    out.payload = settings_.service_name + ":" + request.payload;
    row.answered_bytes += static_cast<std::uint32_t>(out.payload.size());
    row.answer = out;
    send(out);
}

auto site_server::beat() -> void
{
    const auto draining = draining_;
    ++sequence_;
    client_.call({"POST", std::string("/v1/instances/") + id + "/heartbeat",
                  heartbeat().dump()},
                 heartbeat_timeout,
                 [this, draining](const absl::StatusOr<http_response>& response)
                 {
                     const auto heard =
                         response.ok() && response->status == http_ok;
                     drain_heard_ = drain_heard_ || (heard && draining);
                 });
    timer_.expires_after(
        std::chrono::milliseconds(settings_.heartbeat_interval.count));
    timer_.async_wait(
        [this](const asio::error_code& ec)
        {
            if (!ec)
            {
                beat();
            }
        });
}

} // namespace briardrum::stand_in
