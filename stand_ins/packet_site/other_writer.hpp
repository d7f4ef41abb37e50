#ifndef BRIARDRUM_STAND_INS_PACKET_SITE_OTHER_WRITER_HPP
#define BRIARDRUM_STAND_INS_PACKET_SITE_OTHER_WRITER_HPP

#include "stand_ins/packet_site/site_evacuation.hpp"

namespace briardrum::stand_in
{

// Sends well-formed heartbeats and leave calls that no server of the site has
// made, each to the agent of a random server.
class other_writer
{
public:
    other_writer(asio::io_context& context, const site_servers& servers,
                 std::chrono::milliseconds interval, std::uint64_t seed);

    auto end() -> void;

    // Prints what was sent. Returns true if every server that does not drain
    // has accepted flows since the end.
    auto report() const -> bool;

private:
    auto wait() -> void;
    auto write() -> void;
    auto make_request(const site_server& server) -> http_request;

    const site_servers& servers_;
    std::chrono::milliseconds interval_;
    random_source random_;
    asio::steady_timer timer_;
    // One for each server, to the agent beside it.
    std::vector<std::unique_ptr<http_client>> clients_;
    std::uint64_t sent_ = 0;
    std::vector<std::uint64_t> accepted_at_end_;
};

} // namespace briardrum::stand_in

#endif
