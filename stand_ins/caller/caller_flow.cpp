#include "stand_ins/caller/caller_flow.hpp"

#include <algorithm>

namespace briardrum
{

namespace
{

// Least time before a refused request is sent again.
constexpr millis refused_wait = milliseconds(200);

// Refusals of one request after which it is not sent again.
constexpr std::uint32_t refusals_max = 100;

auto work_of(caller_mode mode) -> request_work
{
    switch (mode)
    {
    case caller_mode::stream:
        return request_work::stream;
    case caller_mode::confirm:
        return request_work::confirm;
    case caller_mode::upload:
        return request_work::upload;
    case caller_mode::bill:
        return request_work::bill;
    case caller_mode::lookups:
    case caller_mode::session:
        break;
    }
    return request_work::lookup;
}

auto runs_once(request_work work) -> bool
{
    return work == request_work::confirm || work == request_work::upload;
}

} // namespace

caller_flow::caller_flow(coap_context_t* context,
                         const caller_settings& settings, caller_tally& tally,
                         std::size_t number, millis start_at)
    : context_(context), settings_(settings), tally_(tally), number_(number),
      next_at_(start_at)
{
    open();
}

caller_flow::~caller_flow()
{
    close();
}

auto caller_flow::stop() -> void
{
    stopping_ = true;
}

auto caller_flow::is_done() const -> bool
{
    const auto all = settings_.count != 0 && done_ >= settings_.count;
    const auto streams = waiting_.has_value() &&
                         waiting_->work == request_work::stream &&
                         notifications_ > 0;
    return all || (stopping_ && (!waiting_.has_value() || streams));
}

auto caller_flow::tick(millis now) -> void
{
    if (is_done())
    {
        return;
    }
    if (waiting_.has_value())
    {
        if (now - sent_at_ >= settings_.timeout)
        {
            finish(now, request_outcome::missing);
        }
        return;
    }
    if (now >= next_at_ && !stopping_)
    {
        send(now);
    }
}

auto caller_flow::on_answer(millis now, const coap_pdu_t* answer) -> void
{
    const auto token = coap_pdu_get_token(answer);
    const auto bytes = byte_view{token.s, token.length};
    // An answer that came twice, or after the request was given up.
    if (!waiting_.has_value() || !std::ranges::equal(bytes, waiting_->token))
    {
        return;
    }
    has_cookie_ = has_cookie(answer);
    const auto outcome = judge_answer(settings_, *waiting_, answer);
    if (waiting_->work == request_work::stream &&
        outcome == request_outcome::answered)
    {
        on_notification(now);
        return;
    }
    finish(now, outcome);
}

auto caller_flow::on_failure(millis now) -> void
{
    if (waiting_.has_value())
    {
        finish(now, request_outcome::missing);
    }
}

auto caller_flow::open() -> void
{
    const auto target = to_coap(settings_.target);
    session_ =
        coap_new_client_session(context_, nullptr, &target, COAP_PROTO_UDP);
    // The machine has no file handles left for the caller's sockets.
    BRIARDRUM_INVARIANT(session_ != nullptr);
    coap_session_set_app_data(session_, this);
    has_cookie_ = false;
    established_ = false;
    broken_ = false;
    reopen_ = false;
}

auto caller_flow::close() -> void
{
    coap_session_set_app_data(session_, nullptr);
    coap_session_release(session_);
}

auto caller_flow::needs_cookie() const -> bool
{
    return runs_once(work_of(settings_.mode)) && !has_cookie_;
}

auto caller_flow::next_request() const -> caller_request
{
    caller_request request;
    request.key = settings_.key_prefix + "-" + std::to_string(number_) + "-" +
                  std::to_string(done_);
    request.work =
        needs_cookie() ? request_work::lookup : work_of(settings_.mode);
    return request;
}

auto caller_flow::send(millis now) -> void
{
    if (reopen_)
    {
        close();
        open();
    }
    auto request = next_request();
    tally_.add_sent();
    sent_at_ = now;
    next_at_ = now + settings_.interval;
    // libcoap puts the cookie on this request and then forgets it.
    has_cookie_ = false;
    const auto taken = send_request(session_, settings_, request);
    waiting_ = std::move(request);
    if (!taken)
    {
        finish(now, request_outcome::missing);
    }
}

auto caller_flow::finish(millis now, request_outcome outcome) -> void
{
    tally_.add_outcome(outcome);
    note_flow(outcome);
    if (outcome == request_outcome::answered)
    {
        tally_.add_latency(now - sent_at_);
    }
    if (outcome == request_outcome::refused_not_run)
    {
        next_at_ = std::max(next_at_, now + refused_wait);
    }
    const auto work = waiting_->work;
    waiting_.reset();
    if (work == work_of(settings_.mode))
    {
        finish_work(outcome);
    }
    else if (has_cookie_ || outcome == request_outcome::answered)
    {
        // The lookup was made for its cookie; the work follows at once.
        has_cookie_ = true;
        next_at_ = now;
    }
}

auto caller_flow::finish_work(request_outcome outcome) -> void
{
    const auto once = runs_once(work_of(settings_.mode));
    if (once && outcome == request_outcome::answered)
    {
        tally_.add_confirmed();
    }
    if (once && outcome == request_outcome::refused_not_run &&
        ++refusals_ < refusals_max)
    {
        return;
    }
    refusals_ = 0;
    ++done_;
    reopen_ = settings_.mode == caller_mode::lookups;
}

auto caller_flow::note_flow(request_outcome outcome) -> void
{
    switch (outcome)
    {
    case request_outcome::answered:
        established_ = true;
        return;
    case request_outcome::refused_not_run:
        return;
    case request_outcome::wrong:
    case request_outcome::missing:
    case request_outcome::outcome_unknown:
        break;
    }
    if (established_ && !broken_)
    {
        broken_ = true;
        tally_.add_broken_flow();
    }
}

auto caller_flow::on_notification(millis now) -> void
{
    tally_.add_notification();
    ++notifications_;
    established_ = true;
    // Silence is measured from the last notification.
    sent_at_ = now;
    if (notifications_ == settings_.count)
    {
        const auto token = waiting_->token;
        coap_binary_t name{token.size(),
                           const_cast<std::uint8_t*>(token.data())};
        coap_cancel_observe(session_, &name, COAP_MESSAGE_CON);
        finish(now, request_outcome::answered);
        done_ = settings_.count;
    }
}

} // namespace briardrum
