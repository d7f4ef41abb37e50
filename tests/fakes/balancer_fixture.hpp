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

// One balancer whose peers are played by the test. Records what it sends.
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

    // Adds a service to the configuration; call before adopt_configuration().
    auto add_service(const std::string& name, service_policy policy = {})
        -> void;
    auto adopt_configuration() -> void;

    // Sends the balancer a record by gossip, from an unknown process.
    auto deliver_gossip(const member_record& record) -> void;

    // Passes in a datagram of the caller with this port.
    auto packet(const std::string& service, std::uint16_t port) -> void;
    auto serve(std::size_t budget = 1000) -> std::size_t;

    // Passes in one datagram and serves it; returns the member that it was sent
    // to, or 0.
    auto target_of(const std::string& service, std::uint16_t port) -> member_id;

    // Passes in an answer of this agent to the caller with this port.
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
