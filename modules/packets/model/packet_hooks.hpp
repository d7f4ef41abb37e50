#ifndef BRIARDRUM_PACKETS_MODEL_PACKET_HOOKS_HPP
#define BRIARDRUM_PACKETS_MODEL_PACKET_HOOKS_HPP

#include "packets/model/flow_packet.hpp"
#include "wire/messages/control_message.hpp"

#include <functional>

namespace briardrum
{

// Callbacks through which packet_agent and packet_balancer send packets and
// report to their process.
struct packet_hooks
{
    // Sends a packet with this label to another process of the system.
    std::function<void(const endpoint& to, const flow_packet&,
                       const packet_label&)>
        send_labelled;
    // Sends a notice without a payload: only the addresses of the flow, from
    // caller to route, and this label.
    std::function<void(const endpoint& to, const endpoint& caller,
                       const endpoint& route, const packet_label&)>
        send_notice;
    // Delivers a packet unchanged to the backend server on this VM.
    std::function<void(const flow_packet&)> send_to_server;
    // Delivers a packet of the backend server unchanged to the caller.
    std::function<void(const flow_packet&)> send_to_caller;
    // Sends a reset to the caller of a flow. acknowledged is the last sequence
    // number that the caller acknowledged, or 0 if the flow is not open yet.
    std::function<void(const endpoint& route, const endpoint& caller,
                       std::uint32_t acknowledged)>
        send_reset;
    std::function<void(const endpoint&, const control_message&)> send_control;
    // Asks whether a server process runs on this VM; may be empty. If none
    // does, packet_agent::on_server_not_found() is called.
    std::function<void(millis now)> look_for_server;
    // Samples for histograms; may be empty. The time an opening packet spent in
    // the queue, and the time from the last packet of a request to the first
    // packet of its answer.
    std::function<void(millis)> record_queue_wait;
    std::function<void(millis)> record_answer_time;
    // Called when opening packets sent to this agent went unanswered; may be
    // empty.
    std::function<void(millis now, member_id agent)> opening_unanswered;
    event_sink events;
};

} // namespace briardrum

#endif
