#ifndef BRIARDRUM_TESTS_FAKES_BALANCER_FIXTURE_HPP
#define BRIARDRUM_TESTS_FAKES_BALANCER_FIXTURE_HPP

#include "node/balancer_core.hpp"
#include "tests/fakes/membership_fleet.hpp"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace briardrum::tests
{

// One balancer whose neighbours the test plays. What it sends is kept here.
class balancer_fixture
{
public:
    struct sent_envelope
    {
        endpoint to;
        envelope message;
        byte_buffer datagram;
    };

    balancer_fixture();

    // Services are added to the configuration before adopt_configuration().
    auto add_service(const std::string& name, service_policy policy = {})
        -> void;
    auto adopt_configuration() -> void;

    // Tells the balancer of a member, as gossip from an unknown process.
    auto deliver_gossip(const member_record& record) -> void;

    // A datagram of the caller with this port.
    auto packet(const std::string& service, std::uint16_t port) -> void;
    auto serve(std::size_t budget = 1000) -> std::size_t;

    // Sends one datagram and serves it; gives where it went, or 0.
    auto target_of(const std::string& service, std::uint16_t port) -> member_id;

    // An answer of this agent on the flow of the caller with this port.
    auto answer(const std::string& service, std::uint16_t port,
                member_id from_agent) -> void;

    auto counter(std::string_view name, std::string_view service = "")
        -> std::uint64_t;
    auto sent_to(const std::string& service) const -> std::size_t;

    configuration config;
    millis now = seconds(100);
    std::vector<sent_envelope> sent;
    std::vector<caller_packet> answered;
    std::map<std::string, std::uint64_t, std::less<>> events;
    std::unique_ptr<balancer_core> core;
};

} // namespace briardrum::tests

#endif
