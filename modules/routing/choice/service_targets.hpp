#ifndef BRIARDRUM_ROUTING_CHOICE_SERVICE_TARGETS_HPP
#define BRIARDRUM_ROUTING_CHOICE_SERVICE_TARGETS_HPP

#include "membership/membership.hpp"
#include "routing/choice/service_candidates.hpp"

#include <string>
#include <vector>

namespace briardrum
{

// Address and incarnation of an agent that accepts envelopes.
struct service_target
{
    member_id id = 0;
    incarnation_number life = 0;
    endpoint address;
    bool suspect = false;
};

// The agents of one service to which a balancer forwards, rebuilt only when the
// member view has changed.
class service_targets
{
public:
    // Call before reading.
    auto refresh(const member_view& members, const std::string& service_name)
        -> void;

    // Returns an agent that may hold flows of the service, including draining
    // and suspect ones, or nullptr if it left, died or announced another
    // service.
    auto find(member_id id) const -> const service_target*;

    // Returns the home of a flow, used if nothing else is known about the flow,
    // or nullptr if the service has no server.
    auto home_of(const flow_key& flow) const -> const service_target*;

    // Returns where to place a new flow: the first agent in its rendezvous
    // order that is not suspect, or a later one if earlier ones have been
    // tried. If all are suspect, returns the home; nullptr if the service has
    // no server.
    auto placement_target(const flow_key& flow, std::size_t tried) const
        -> const service_target*;

    // Returns an agent of the service that does not count as suspect, also if
    // it is draining or joining; the same on every balancer. nullptr if there
    // is none.
    auto any_target(const flow_key& flow) const -> const service_target*;

    auto size() const -> std::size_t;

private:
    std::uint64_t epoch_ = ~std::uint64_t{0};
    service_candidates candidates_;
    std::vector<service_target> targets_;
};

} // namespace briardrum

#endif
