#ifndef BRIARDRUM_PACKETS_MODEL_PACKET_HOOKS_HPP
#define BRIARDRUM_PACKETS_MODEL_PACKET_HOOKS_HPP

#include "packets/model/flow_packet.hpp"
#include "wire/messages/control_message.hpp"

#include <functional>

namespace briardrum
{

// What the packet cores ask of their process.
struct packet_hooks
{
    // Sends a packet to another process of the system under this label.
    std::function<void(const endpoint& to, const flow_packet&,
                       const packet_label&)>
        send_labelled;
    // Sends only the names of the flow's ends, from caller to route, under
    // this label.
    std::function<void(const endpoint& to, const endpoint& caller,
                       const endpoint& route, const packet_label&)>
        send_notice;
    // Hands a packet to the backend server of this VM, unchanged.
    std::function<void(const flow_packet&)> send_to_server;
    // Hands a backend server's packet to the caller, unchanged.
    std::function<void(const flow_packet&)> send_to_caller;
    // Resets a flow towards its caller. acknowledged is the last position
    // that the caller confirmed, or 0 while the flow is not open.
    std::function<void(const endpoint& route, const endpoint& caller,
                       std::uint32_t acknowledged)>
        send_reset;
    std::function<void(const endpoint&, const control_message&)> send_control;
    // For histograms; may be empty. How long an opening packet waited in the
    // queue, and the time from a request's last packet to its answer's first.
    std::function<void(millis)> record_queue_wait;
    std::function<void(millis)> record_answer_time;
    // Opening packets sent to this agent went unanswered; may be empty.
    std::function<void(millis now, member_id agent)> opening_unanswered;
    event_sink events;
};

} // namespace briardrum

#endif
