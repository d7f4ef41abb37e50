#ifndef BRIARDRUM_STAND_INS_PACKET_SITE_SITE_EVACUATION_HPP
#define BRIARDRUM_STAND_INS_PACKET_SITE_SITE_EVACUATION_HPP

#include "stand_ins/packet_site/site_operator.hpp"
#include "stand_ins/packet_site/site_server.hpp"

#include <memory>
#include <vector>

namespace briardrum::stand_in
{

using site_servers = std::vector<std::unique_ptr<site_server>>;

// Evacuates a data centre one second after it is made, and counts the flows
// that its servers accept after the deadline.
class site_evacuation
{
public:
    // Every third server, from the second on, is in this data centre. The
    // first server, which drains, is in another one.
    static constexpr const char* data_centre = "zone-2";

    site_evacuation(asio::io_context& context, site_operator& operators,
                    const site_servers& servers,
                    std::chrono::milliseconds deadline);

    // Ends the evacuation.
    auto end() -> void;

    // Prints what was counted. Returns true if flows were accepted before the
    // deadline and after the end, and none in between.
    auto report() const -> bool;

private:
    auto begin(std::chrono::milliseconds deadline) -> void;
    auto accepted_flows() const -> std::uint64_t;

    site_operator& operators_;
    const site_servers& servers_;
    asio::steady_timer timer_;
    bool in_force_ = false;
    std::uint64_t at_deadline_ = 0;
    std::uint64_t at_end_ = 0;
};

} // namespace briardrum::stand_in

#endif
