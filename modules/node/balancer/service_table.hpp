#ifndef BRIARDRUM_NODE_BALANCER_SERVICE_TABLE_HPP
#define BRIARDRUM_NODE_BALANCER_SERVICE_TABLE_HPP

#include "config/config.hpp"
#include "node/balancer/balancer_counters.hpp"
#include "routing/choice/service_targets.hpp"
#include "routing/queues/packet_scheduler.hpp"

#include <string>
#include <unordered_map>
#include <vector>

namespace briardrum
{

// One service as a balancer serves it.
struct balanced_service
{
    // 0 for a place that no service has.
    service_id id = 0;
    std::string name;
    endpoint address;
    service_targets targets;
    service_counters counters;
    // How full the agent that answered last said its server is, in percent.
    std::uint8_t saturation = 0;
};

// The services of the configuration in force. A service keeps its place for
// as long as it exists, so that what waits for it in a scheduler stays its.
class service_table
{
public:
    // Takes the services over; gives the places that lost their service.
    auto adopt(const configuration& next) -> std::vector<service_index>;

    // How the configuration treats each place.
    auto shares(const configuration& from) const -> std::vector<service_share>;

    auto find(const endpoint& address) -> balanced_service*;
    auto find(service_id id) -> balanced_service*;
    auto place_of(const balanced_service& service) const -> service_index;

    auto at(service_index place) -> balanced_service&
    {
        return services_[place];
    }

    auto all() const -> const std::vector<balanced_service>&;

private:
    auto remove_missing(const configuration& next)
        -> std::vector<service_index>;
    auto free_place() -> service_index;
    auto build_indices() -> void;

    std::vector<balanced_service> services_;
    std::unordered_map<endpoint, service_index> by_address_;
    std::unordered_map<service_id, service_index> by_id_;
};

} // namespace briardrum

#endif
