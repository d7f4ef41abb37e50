#ifndef BRIARDRUM_STAND_INS_BACKEND_SERVER_BACKEND_SERVER_HPP
#define BRIARDRUM_STAND_INS_BACKEND_SERVER_BACKEND_SERVER_HPP

#include "core/core.hpp"
#include "stand_ins/backend_server/server_settings.hpp"
#include "stand_ins/backend_server/slot_pool.hpp"
#include "stand_ins/shared/coap_handles.hpp"

#include <functional>
#include <map>
#include <string>

namespace briardrum
{

// One request that a handler is to answer.
struct coap_call
{
    coap_resource_t* resource = nullptr;
    coap_session_t* session = nullptr;
    const coap_pdu_t* request = nullptr;
    const coap_string_t* query = nullptr;
    coap_pdu_t* response = nullptr;
};

// A backend server of any service on libcoap's own server sessions:
//
//   GET  /lookup?key=K            a short answer
//   POST /confirm                 counts the runs of each key in the payload
//   GET  /stream?key=K            Observe
//   POST /upload                  takes a body block-wise
//   GET  /bill?key=K              answers block-wise
//   GET  /.well-known/briardrum   which service this is, and its slots
//   GET  /health                  how it says it feels
class backend_server
{
public:
    explicit backend_server(const server_settings& settings);

    // Handles what arrives until a stop is requested and nothing is in
    // progress any more.
    auto run() -> void;

private:
    using handler = void (backend_server::*)(const coap_call&);

    auto add(const char* path, coap_request_t method,
             coap_method_handler_t handle) -> coap_resource_t*;
    auto add_resources() -> void;
    template <handler Handle>
    static auto trampoline(coap_resource_t* resource, coap_session_t* session,
                           const coap_pdu_t* request,
                           const coap_string_t* query, coap_pdu_t* response)
        -> void;

    auto on_lookup(const coap_call& call) -> void;
    auto on_confirm(const coap_call& call) -> void;
    auto on_stream(const coap_call& call) -> void;
    auto on_upload(const coap_call& call) -> void;
    auto on_bill(const coap_call& call) -> void;
    auto on_announce(const coap_call& call) -> void;
    auto on_health(const coap_call& call) -> void;

    // Runs the request in a slot, begin once when it gets one, and finish
    // when its time there is over.
    auto work(const coap_call& call, const std::function<void()>& begin,
              const std::function<void()>& finish) -> void;
    auto admit(const coap_call& call) -> bool;
    auto answer_for_key(const std::string& key) const -> std::string;
    auto work_time(millis now) const -> millis;
    auto notify(millis now) -> void;

    server_settings settings_;
    millis started_at_;
    millis notified_at_;
    slot_pool slots_;
    std::map<std::string, std::uint64_t> runs_;
    std::uint64_t stream_sequence_ = 0;
    coap_context_handle context_;
    coap_resource_t* stream_ = nullptr;
};

} // namespace briardrum

#endif
