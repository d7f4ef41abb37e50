#ifndef BRIARDRUM_NODE_BALANCER_ANNOUNCEMENT_CHECK_HPP
#define BRIARDRUM_NODE_BALANCER_ANNOUNCEMENT_CHECK_HPP

#include "config/config.hpp"
#include "membership/membership.hpp"

#include <map>
#include <string>

namespace briardrum
{

// Tells operators of agents that announce a service which nobody created.
// Such an agent gets no flow, because flows are only ever sent to agents of
// the service that they name; it is logged once for each life.
class announcement_check
{
public:
    explicit announcement_check(event_sink events);

    auto check(const configuration& config, const member_record& record)
        -> void;

    // Checks every member again, after a change of the configuration.
    auto check_all(const configuration& config, const member_view& members)
        -> void;

private:
    event_sink events_;
    std::map<member_id, incarnation_number> reported_;
};

} // namespace briardrum

#endif
