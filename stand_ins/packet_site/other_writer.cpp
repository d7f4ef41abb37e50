#include "stand_ins/packet_site/other_writer.hpp"

#include <nlohmann/json.hpp>

namespace briardrum::stand_in
{

namespace
{

constexpr millis request_timeout = seconds(1);

auto heartbeat_request(const std::string& id, const nlohmann::json& body)
    -> http_request
{
    return {"POST", "/v1/instances/" + id + "/heartbeat", body.dump()};
}

} // namespace

other_writer::other_writer(asio::io_context& context,
                           const site_servers& servers,
                           std::chrono::milliseconds interval,
                           std::uint64_t seed)
    : servers_(servers), interval_(interval), random_(seed), timer_(context)
{
    for (const auto& it : servers)
    {
        clients_.push_back(
            std::make_unique<http_client>(context, it->control()));
    }
    wait();
}

auto other_writer::wait() -> void
{
    timer_.expires_after(interval_);
    timer_.async_wait(
        [this](const asio::error_code& ec)
        {
            if (!ec)
            {
                write();
                wait();
            }
        });
}

auto other_writer::write() -> void
{
    const auto at = random_.below(servers_.size());
    ++sent_;
    clients_[at]->call(make_request(*servers_[at]), request_timeout,
                       [](const absl::StatusOr<http_response>&) {});
}

auto other_writer::make_request(const site_server& server) -> http_request
{
    const std::string own_id = site_server::id;
    auto body = server.heartbeat();
    const auto next = body["sequence"].get<std::uint64_t>() + 1;
    const auto now = clock::wall().count;
    switch (random_.below(8))
    {
    case 0:
        body["born"] = now;
        body["sequence"] = 1;
        return heartbeat_request("i-other", body);
    case 1:
        body["born"] = now;
        body["sequence"] = 1;
        body["service"] = "invoices";
        return heartbeat_request("i-other", body);
    case 2:
        body["born"] = now;
        body["sequence"] = 1;
        return heartbeat_request(own_id, body);
    case 3:
        body["service"] = "invoices";
        body["sequence"] = next;
        return heartbeat_request(own_id, body);
    case 4:
        body["slots"] = 100000;
        body["sequence"] = next;
        return heartbeat_request(own_id, body);
    case 5:
        body["sequence"] = (std::uint64_t{1} << 53U) - 1;
        return heartbeat_request(own_id, body);
    case 6:
        body["state"] = "draining";
        body["sequence"] = next;
        return heartbeat_request(own_id, body);
    default:
        return {"POST", "/v1/instances/" + own_id + "/leave", ""};
    }
}

auto other_writer::end() -> void
{
    timer_.cancel();
    for (const auto& it : servers_)
    {
        accepted_at_end_.push_back(it->accepted_flows());
    }
}

auto other_writer::report() const -> bool
{
    std::uint64_t shut_out = 0;
    for (std::size_t n = 0; n < servers_.size(); ++n)
    {
        const auto& it = *servers_[n];
        const auto served = it.accepted_flows() > accepted_at_end_[n];
        shut_out += !served && !it.is_draining() ? 1 : 0;
    }
    std::printf("event=other_writer_done sent=%llu shut_out=%llu\n",
                static_cast<unsigned long long>(sent_),
                static_cast<unsigned long long>(shut_out));
    return shut_out == 0;
}

} // namespace briardrum::stand_in
