#include "tests/support/control_samples.hpp"

namespace briardrum
{

namespace
{

constexpr endpoint caller{0x7f000001, 40000};
const flow_key key{caller, 3};

auto make_member() -> member_record
{
    member_record record;
    record.id = 0xfedcba9876543210;
    record.incarnation = 1700000000000;
    record.version = 9;
    record.kind = member_kind::agent;
    record.state = member_state::dead;
    record.name = "manifest-3";
    record.data_centre = "trapani";
    record.data_address = {0x7f000001, 7001};
    record.control_address = {0x7f000001, 7002};
    record.service_name = "manifest";
    record.slots = 5;
    record.weight_percent = 40;
    record.held_version = 77;
    return record;
}

auto make_id() -> request_id
{
    return {key, 0x0102030405060708, 8, 0xffff, 0xabcdef01};
}

auto make_flow() -> flow_record
{
    flow_record flow;
    flow.key = key;
    flow.generation = 4;
    flow.owners = {{11, 22, 1}, {12, 23, 3}};
    flow.requests = {
        {make_id(), request_state::refused, {1, 2, 3}, milliseconds(247000)},
        {make_id(), request_state::running, {}, milliseconds(1)}};
    flow.observes = {{make_id(), {4, 5, 6}, 42}};
    flow.may_have_run = true;
    flow.balancer = 17;
    return flow;
}

} // namespace

auto control_samples() -> std::vector<control_message>
{
    const std::vector<control_body> bodies = {
        gossip_message{{make_member(), make_member()}, true},
        probe_message{1, 2, {3, 4}},
        probe_ack_message{3, 4},
        redirects_message{
            5, {{key, 6, 7, 8}, {key, 9, 10, 11}}, true, {12, 13}},
        hand_over_message{12, make_flow()},
        transfer_ack_message{13, false},
        configuration_message{
            14, 15, {{"services/manifest", "{}", false}, {"x", "", true}}},
        configuration_request{16},
        load_message{17, 18, 19, 20},
        heartbeat_message{21},
        flow_query_message{22, {key, key}, 25},
        flow_reply_message{23, 24, {key}, {key, key}, {26, 27}},
        placement_policy_message{
            {25, 26, {"marsala", "trapani"}, {{27, 2500}, {28, 1}}}}};
    std::vector<control_message> messages;
    messages.reserve(bodies.size());
    for (const auto& body : bodies)
    {
        messages.push_back({0x123456789abcdef0, 1700000000001, body});
    }
    return messages;
}

} // namespace briardrum
