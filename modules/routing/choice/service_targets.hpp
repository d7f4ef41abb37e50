#ifndef BRIARDRUM_ROUTING_CHOICE_SERVICE_TARGETS_HPP
#define BRIARDRUM_ROUTING_CHOICE_SERVICE_TARGETS_HPP

#include "membership/membership.hpp"
#include "routing/choice/service_candidates.hpp"

#include <string>
#include <vector>

namespace briardrum
{

// Where an agent takes envelopes, in which life.
struct service_target
{
    member_id id = 0;
    incarnation life = 0;
    endpoint address;
    bool suspect = false;
};

// One service's agents as a balancer sends to them, rebuilt only when the
// member view has changed.
class service_targets
{
public:
    // Call before reading.
    auto refresh(const member_view& members, const std::string& service_name)
        -> void;

    // An agent that may hold flows of the service, draining and suspect ones
    // included; nullptr when it left, died or announced another service.
    auto find(member_id id) const -> const service_target*;

    // Where a flow that nothing is known of belongs, or nullptr when the
    // service has no server.
    auto home_of(const flow_key& flow) const -> const service_target*;

    // Where a new flow starts to look for a server: the first of its order
    // that is not suspect, or a later one when so many were tried before.
    // nullptr when the service has no server.
    auto placement_target(const flow_key& flow, std::size_t tried) const
        -> const service_target*;

    auto size() const -> std::size_t;

private:
    std::uint64_t epoch_ = ~std::uint64_t{0};
    service_candidates candidates_;
    std::vector<service_target> targets_;
};

} // namespace briardrum

#endif
