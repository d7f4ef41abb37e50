#ifndef BRIARDRUM_NODE_BALANCER_ANNOUNCEMENT_CHECK_HPP
#define BRIARDRUM_NODE_BALANCER_ANNOUNCEMENT_CHECK_HPP

#include "config/config.hpp"
#include "membership/membership.hpp"

#include <map>
#include <string>

namespace briardrum
{

// Logs agents that announce a service that does not exist in the configuration,
// once per incarnation. Such an agent gets no flows, because flows are only
// sent to agents of the service they name.
class announcement_check
{
public:
    explicit announcement_check(event_sink events);

    auto check(const configuration& config, const member_record& record)
        -> void;

    // Checks all members again after a configuration change.
    auto check_all(const configuration& config, const member_view& members)
        -> void;

private:
    event_sink events_;
    std::map<member_id, incarnation_number> reported_;
};

} // namespace briardrum

#endif
