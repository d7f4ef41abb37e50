#ifndef BRIARDRUM_NODE_AGENT_REQUEST_PATH_HPP
#define BRIARDRUM_NODE_AGENT_REQUEST_PATH_HPP

#include "node/agent/agent_context.hpp"

namespace briardrum
{

// Handles requests, answers and notifications of the flows that this agent
// owns, between the callers, the request_engine and the backend server.
class request_path
{
public:
    request_path(agent_context& context, std::uint64_t seed);

    auto set_policy(const service_policy& policy) -> void;
    auto set_slots(std::uint32_t slots) -> void;

    // Handles a request of a flow that this agent owns and that is not moving.
    auto on_request(millis now, const flow_key& flow, const envelope& message,
                    const coap_view& view) -> void;

    // Handles a caller's acknowledgement or reset.
    auto on_caller_reply(millis now, const flow_key& flow,
                         const coap_view& view) -> void;

    // Handles a datagram from the backend server.
    auto on_server(millis now, const flow_key& flow, byte_view datagram)
        -> void;

    auto on_server_lost(millis now) -> void;

    // Called when the server has restarted without its state: registers all
    // streams with it again.
    auto on_server_recovered(millis now) -> void;

    auto tick(millis now) -> void;

    // Returns true if the flow has no work in progress.
    auto can_move(millis now, const flow_key& flow) const -> bool;

    // Returns true if the flow has streams, stored answers or work in progress.
    auto has_work(millis now, const flow_key& flow) const -> bool;

    // Moves a flow's requests and streams out of, or into, this agent.
    auto extract_flow(millis now, const flow_key& flow, flow_record& record)
        -> void;
    auto import_flow(millis now, const flow_record& record) -> void;

    auto in_progress() const -> std::size_t;
    auto stream_count() -> std::size_t;

private:
    // Data kept for a request until it is answered.
    struct open_request
    {
        bool repeatable = true;
        // The datagram of an Observe registration; empty for other requests.
        byte_buffer registration;
    };

    auto check_cookie(millis now, const flow_key& flow,
                      const coap_view& view) const -> error_kind;
    auto is_own_cookie(const flow_row& row, const cookie_claims& claims) const
        -> bool;
    auto track_transfer(millis now, flow_row& row, const coap_view& view)
        -> void;
    auto dispatch(const request_id& id, std::uint64_t server_token,
                  byte_view datagram) -> void;
    auto answer(const request_id& id, byte_view server_answer) -> void;
    auto refuse(const request_id& id, error_kind kind, millis retry_after)
        -> void;
    auto register_stream(const request_id& id, const coap_view& view) -> void;
    auto on_notification(millis now, std::uint64_t server_token,
                         observe_row& row, const coap_view& view,
                         byte_view datagram) -> void;
    auto send_registration(std::uint64_t server_token, const observe_row& row)
        -> void;
    auto end_stream(const request_id& id) -> void;
    auto cookie_for(const flow_key& flow) const -> byte_buffer;

    agent_context& context_;
    request_engine engine_;
    caller_exchanges exchanges_;
    observe_table observes_;
    table<request_id, open_request> open_requests_;
    std::uint16_t next_message_id_ = 1;
    // Server tokens of streams that were taken over have this bit set, so that
    // they cannot collide with those of the engine.
    std::uint64_t next_stream_token_ = std::uint64_t{1} << 63U;
    // Set while an engine callback runs: the current time, and the token being
    // answered.
    millis now_;
    std::uint64_t answering_token_ = 0;
};

} // namespace briardrum

#endif
