#include "stand_ins/caller/caller.hpp"

#include "stand_ins/shared/stop_request.hpp"

#include <algorithm>

namespace briardrum
{

namespace
{

constexpr std::uint32_t io_wait_ms = 5;

} // namespace

caller::caller(const caller_settings& settings)
    : settings_(settings), context_(make_coap_context())
{
    coap_register_response_handler(context_.get(), on_answer);
    coap_register_nack_handler(context_.get(), on_failure);
    open_flows();
}

auto caller::run() -> void
{
    while (!is_done())
    {
        coap_io_process(context_.get(), io_wait_ms);
        const auto now = clock::now();
        for (const auto& flow : flows_)
        {
            if (is_stop_requested())
            {
                flow->stop();
            }
            flow->tick(now);
        }
    }
}

auto caller::tally() -> caller_tally&
{
    return tally_;
}

auto caller::on_answer(coap_session_t* session, const coap_pdu_t* /*sent*/,
                       const coap_pdu_t* answer, coap_mid_t /*id*/)
    -> coap_response_t
{
    auto* flow = static_cast<caller_flow*>(coap_session_get_app_data(session));
    if (flow != nullptr)
    {
        flow->on_answer(clock::now(), answer);
    }
    return COAP_RESPONSE_OK;
}

auto caller::on_failure(coap_session_t* session, const coap_pdu_t* /*sent*/,
                        coap_nack_reason_t /*reason*/, coap_mid_t /*id*/)
    -> void
{
    auto* flow = static_cast<caller_flow*>(coap_session_get_app_data(session));
    if (flow != nullptr)
    {
        flow->on_failure(clock::now());
    }
}

auto caller::open_flows() -> void
{
    const auto now = clock::now();
    for (std::size_t n = 0; n < settings_.sessions; ++n)
    {
        // First requests are spread over one interval.
        const auto offset = settings_.interval.count *
                            static_cast<std::int64_t>(n) /
                            static_cast<std::int64_t>(settings_.sessions);
        flows_.push_back(std::make_unique<caller_flow>(
            context_.get(), settings_, tally_, n, now + milliseconds(offset)));
    }
}

auto caller::is_done() const -> bool
{
    return std::ranges::all_of(flows_,
                               [](const auto& flow)
                               {
                                   return flow->is_done();
                               });
}

} // namespace briardrum
