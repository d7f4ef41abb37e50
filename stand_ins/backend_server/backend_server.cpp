#include "stand_ins/backend_server/backend_server.hpp"

#include "stand_ins/shared/answer_text.hpp"
#include "stand_ins/shared/stop_request.hpp"

#include <bit>
#include <iostream>

namespace briardrum
{

namespace
{

constexpr std::int64_t cold_factor = 4;
constexpr std::uint32_t io_wait_ms = 20;
constexpr unsigned int sessions_max = 20000;
constexpr std::uint32_t shed_max_age_s = 1;

// libcoap's ticks and our clock round differently; waking this much later
// keeps a request from being taken for one that was sent again.
constexpr millis rounding = milliseconds(2);

auto set_text(const coap_call& call, coap_pdu_code_t code,
              const std::string& text) -> void
{
    coap_pdu_set_code(call.response, code);
    const auto bytes = as_bytes(text);
    coap_add_data(call.response, bytes.size(), bytes.data());
}

auto key_of_query(const coap_call& call) -> std::string
{
    if (call.query == nullptr)
    {
        return {};
    }
    const byte_view bytes{call.query->s, call.query->length};
    return field_of(as_text(bytes), "key").value_or("");
}

auto key_of_body(const coap_call& call) -> std::string
{
    return field_of(as_text(body_of(call.request)), "key").value_or("");
}

// Hands a body to libcoap, which cuts it into blocks and frees it at last.
auto set_large(const coap_call& call, std::string text) -> void
{
    coap_pdu_set_code(call.response, COAP_RESPONSE_CODE_CONTENT);
    auto* owned = new std::string(std::move(text));
    const auto bytes = as_bytes(*owned);
    const auto release = [](coap_session_t* /*session*/, void* body)
    {
        delete static_cast<std::string*>(body);
    };
    coap_add_data_large_response(call.resource, call.session, call.request,
                                 call.response, call.query,
                                 COAP_MEDIATYPE_TEXT_PLAIN, -1, 0, bytes.size(),
                                 bytes.data(), release, owned);
}

} // namespace

template <backend_server::handler Handle>
auto backend_server::trampoline(coap_resource_t* resource,
                                coap_session_t* session,
                                const coap_pdu_t* request,
                                const coap_string_t* query,
                                coap_pdu_t* response) -> void
{
    auto* self =
        static_cast<backend_server*>(coap_resource_get_userdata(resource));
    (self->*Handle)({resource, session, request, query, response});
}

backend_server::backend_server(const server_settings& settings)
    : settings_(settings), started_at_(clock::now()), notified_at_(started_at_),
      slots_(settings.slots), context_(make_coap_context())
{
    coap_context_set_max_idle_sessions(context_.get(), sessions_max);
    add_resources();
    const auto address = to_coap(settings_.listen);
    if (coap_new_endpoint(context_.get(), &address, COAP_PROTO_UDP) == nullptr)
    {
        throw std::runtime_error("cannot listen on " +
                                 to_string(settings_.listen));
    }
}

auto backend_server::add(const char* path, coap_request_t method,
                         coap_method_handler_t handle) -> coap_resource_t*
{
    auto* resource = coap_resource_init(coap_make_str_const(path), 0);
    coap_register_handler(resource, method, handle);
    coap_resource_set_userdata(resource, this);
    coap_add_resource(context_.get(), resource);
    return resource;
}

auto backend_server::add_resources() -> void
{
    using self = backend_server;
    add("lookup", COAP_REQUEST_GET, trampoline<&self::on_lookup>);
    add("confirm", COAP_REQUEST_POST, trampoline<&self::on_confirm>);
    add("upload", COAP_REQUEST_POST, trampoline<&self::on_upload>);
    add("bill", COAP_REQUEST_GET, trampoline<&self::on_bill>);
    add(".well-known/briardrum", COAP_REQUEST_GET,
        trampoline<&self::on_announce>);
    add("health", COAP_REQUEST_GET, trampoline<&self::on_health>);
    stream_ = add("stream", COAP_REQUEST_GET, trampoline<&self::on_stream>);
    coap_resource_set_get_observable(stream_, 1);
}

auto backend_server::run() -> void
{
    std::cout << event("listening")
                     .with("server", settings_.server)
                     .with("address", to_string(settings_.listen))
                     .line()
              << std::endl;
    while (!is_stop_requested() || slots_.in_progress(clock::now()) > 0)
    {
        coap_io_process(context_.get(), io_wait_ms);
        notify(clock::now());
    }
}

auto backend_server::on_lookup(const coap_call& call) -> void
{
    work(
        call, [] {},
        [&]
        {
            set_text(call, COAP_RESPONSE_CODE_CONTENT,
                     answer_for_key(key_of_query(call)));
        });
}

auto backend_server::on_confirm(const coap_call& call) -> void
{
    const auto key = key_of_body(call);
    work(
        call,
        [&]
        {
            const auto n = ++runs_[key];
            std::cout << event("confirm_run")
                             .with("server", settings_.server)
                             .with("key", key)
                             .with("runs", n)
                             .line()
                      << std::endl;
        },
        [&]
        {
            set_text(call, COAP_RESPONSE_CODE_CHANGED, answer_for_key(key));
        });
}

auto backend_server::on_stream(const coap_call& call) -> void
{
    set_text(call, COAP_RESPONSE_CODE_CONTENT,
             answer_for_key(key_of_query(call)) +
                 " sequence=" + std::to_string(stream_sequence_));
}

auto backend_server::on_upload(const coap_call& call) -> void
{
    const auto body = as_text(body_of(call.request));
    set_text(call, COAP_RESPONSE_CODE_CHANGED,
             answer_for_key(key_of_body(call)) +
                 " checksum=" + checksum_of(body));
}

auto backend_server::on_bill(const coap_call& call) -> void
{
    set_large(call, make_bill({settings_.service, settings_.server,
                               key_of_query(call)},
                              settings_.bill_bytes));
}

auto backend_server::on_announce(const coap_call& call) -> void
{
    set_text(call, COAP_RESPONSE_CODE_CONTENT,
             "service=" + settings_.service + " server=" + settings_.server +
                 " slots=" + std::to_string(settings_.slots));
}

auto backend_server::on_health(const coap_call& call) -> void
{
    const auto now = clock::now();
    const auto cold = now < started_at_ + settings_.cold;
    set_text(call, COAP_RESPONSE_CODE_CONTENT,
             std::string("status=") + (cold ? "cold" : "ok") +
                 " in_progress=" + std::to_string(slots_.in_progress(now)) +
                 " slots=" + std::to_string(settings_.slots));
}

auto backend_server::work(const coap_call& call,
                          const std::function<void()>& begin,
                          const std::function<void()>& finish) -> void
{
    const auto now = clock::now();
    const auto token = coap_pdu_get_token(call.request);
    if (auto* waiting = coap_find_async(call.session, token);
        waiting != nullptr)
    {
        // Either its time is over or the request was sent again.
        const auto end =
            std::bit_cast<std::int64_t>(coap_async_get_app_data(waiting));
        if (now.count >= end)
        {
            finish();
        }
        return;
    }
    if (!admit(call))
    {
        return;
    }
    begin();
    const auto end = slots_.start(now, work_time(now));
    auto* waiting =
        end > now ? coap_register_async(call.session, call.request,
                                        to_coap_ticks(end - now + rounding))
                  : nullptr;
    if (waiting == nullptr)
    {
        finish();
        return;
    }
    // The end itself stands in the pointer's place.
    coap_async_set_app_data(waiting, std::bit_cast<void*>(end.count));
}

auto backend_server::admit(const coap_call& call) -> bool
{
    const auto busy = slots_.in_progress(clock::now());
    const auto waiting = static_cast<std::int64_t>(busy) -
                         static_cast<std::int64_t>(slots_.slots());
    if (settings_.shed < 0 || waiting < settings_.shed)
    {
        return true;
    }
    coap_pdu_set_code(call.response, COAP_RESPONSE_CODE_SERVICE_UNAVAILABLE);
    const std::uint8_t max_age = shed_max_age_s;
    coap_add_option(call.response, COAP_OPTION_MAXAGE, sizeof(max_age),
                    &max_age);
    return false;
}

auto backend_server::answer_for_key(const std::string& key) const -> std::string
{
    return to_string(answer_text{settings_.service, settings_.server, key});
}

auto backend_server::work_time(millis now) const -> millis
{
    const auto cold = now < started_at_ + settings_.cold;
    return cold ? settings_.work * cold_factor : settings_.work;
}

auto backend_server::notify(millis now) -> void
{
    if (now - notified_at_ >= settings_.stream)
    {
        notified_at_ = now;
        ++stream_sequence_;
        coap_resource_notify_observers(stream_, nullptr);
    }
}

} // namespace briardrum
