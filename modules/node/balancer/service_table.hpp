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

// A service as seen by a balancer.
struct balanced_service
{
    // 0 for an unused entry.
    service_id id = 0;
    std::string name;
    endpoint address;
    service_targets targets;
    service_counters counters;
    // Load of the backend server in percent, as reported by the agent that
    // answered last.
    std::uint8_t saturation = 0;
};

// Services of the active configuration. A service keeps its index for as long
// as it exists, so that packets queued for it in a scheduler remain assigned to
// it.
class service_table
{
public:
    // Adopts the services of a configuration; returns the indices whose service
    // was removed.
    auto adopt(const configuration& next) -> std::vector<service_index>;

    // Returns the scheduling share of each index.
    auto shares(const configuration& from) const -> std::vector<service_share>;

    auto find(const endpoint& address) -> balanced_service*;
    auto find(service_id id) -> balanced_service*;
    auto index_of(const balanced_service& service) const -> service_index;

    auto at(service_index index) -> balanced_service&
    {
        return services_[index];
    }

    auto all() const -> const std::vector<balanced_service>&;

private:
    auto remove_missing(const configuration& next)
        -> std::vector<service_index>;
    auto free_index() -> service_index;
    auto build_indices() -> void;

    std::vector<balanced_service> services_;
    std::unordered_map<endpoint, service_index> by_address_;
    std::unordered_map<service_id, service_index> by_id_;
};

} // namespace briardrum

#endif
