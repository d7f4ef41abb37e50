#include "node/agent/request_path.hpp"

#include <algorithm>
#include <array>
#include <utility>
#include <vector>

namespace briardrum
{

namespace
{

// A block-wise transfer that pauses for longer is considered abandoned.
constexpr millis transfer_pause_max = seconds(10);

// A notification is sent confirmable if the caller has not acknowledged one for
// this long, so that a lost caller is detected.
constexpr millis caller_check_interval = seconds(20);

// CoAP code 5.03 (Service Unavailable) as encoded in a datagram.
constexpr std::uint8_t code_service_unavailable = 0xa3;

// Observe sequence numbers have 24 bits (RFC 7641).
constexpr std::uint32_t observe_mask = 0xffffff;

auto pack_token(byte_view token) -> std::uint64_t
{
    std::uint64_t packed = 0;
    for (const auto octet : token)
    {
        packed = (packed << 8U) | octet;
    }
    return packed;
}

auto unpack_token(std::uint64_t packed) -> std::array<std::uint8_t, 8>
{
    std::array<std::uint8_t, 8> bytes{};
    for (std::size_t n = 0; n < bytes.size(); ++n)
    {
        bytes.at(n) = static_cast<std::uint8_t>(packed >> (8 * (7 - n)));
    }
    return bytes;
}

// FNV-1a, sufficient to distinguish the few Request-Tags of one flow.
auto hash_tag(byte_view tag) -> std::uint32_t
{
    if (tag.empty())
    {
        return 0;
    }
    std::uint32_t hash = 2166136261U;
    for (const auto octet : tag)
    {
        hash = (hash ^ octet) * 16777619U;
    }
    return hash | 1U;
}

auto make_request_id(const flow_key& flow, const coap_view& view) -> request_id
{
    return {flow, pack_token(view.token),
            static_cast<std::uint8_t>(view.token.size()), view.message_id,
            hash_tag(view.request_tag)};
}

auto is_success(const coap_view& view) -> bool
{
    return view.code >= 0x40 && view.code < 0x60;
}

// Diagnostic payload of an error answer. Only a request that cannot have run
// elsewhere is reported as "not run".
auto refusal_text(error_kind kind, bool repeatable) -> std::string_view
{
    const auto& row = error_mapping_for(kind);
    if (!row.not_run)
    {
        return "outcome unknown";
    }
    return repeatable ? "busy" : "not run";
}

} // namespace

request_path::request_path(agent_context& context, std::uint64_t seed)
    : context_(context),
      engine_(
          {[this](const request_id& id, std::uint64_t token, byte_view datagram)
           {
               dispatch(id, token, datagram);
           },
           [this](const request_id& id, byte_view datagram)
           {
               answer(id, datagram);
           },
           [this](const request_id& id, error_kind kind, millis retry_after)
           {
               refuse(id, kind, retry_after);
           },
           [](const request_id&, std::uint64_t)
           {
               // CoAP cannot cancel a single request.
           },
           context.hooks.events, context.hooks.finished},
          seed),
      exchanges_(
          [this](const flow_key& flow, byte_view datagram)
          {
              context_.send_to_caller(flow, datagram);
          },
          [this](const caller_exchanges::match& matched)
          {
              if (matched.is_notification)
              {
                  context_.counters.add(agent_counter::streams_lost);
                  end_stream(matched.id);
              }
          })
{
}

auto request_path::set_policy(const service_policy& policy) -> void
{
    engine_.set_policy(policy);
}

auto request_path::set_slots(std::uint32_t slots) -> void
{
    engine_.set_slots(slots);
}

auto request_path::on_request(millis now, const flow_key& flow,
                              const envelope& message, const coap_view& view)
    -> void
{
    now_ = now;
    auto& row = *context_.flows.find(flow);
    row.last_used = now;
    context_.counters.add(agent_counter::requests);
    const auto id = make_request_id(flow, view);
    const auto repeatable = (context_.repeatable & method_bit(view.code)) != 0;
    if (!exchanges_.is_open(id))
    {
        exchanges_.begin(now, id, view.type);
        open_requests_.insert(id) = {repeatable, {}};
    }
    const auto kind =
        repeatable ? error_kind::none : check_cookie(now, flow, view);
    if (kind != error_kind::none)
    {
        context_.counters.add(kind == error_kind::cookie_missing
                                  ? agent_counter::cookie_missing
                                  : agent_counter::cookie_invalid);
        const auto invalid = kind == error_kind::cookie_invalid;
        if (invalid && context_.hooks.flow_broken)
        {
            context_.hooks.flow_broken();
        }
        refuse(id, kind, {});
        return;
    }
    track_transfer(now, row, view);
    if (view.observe == 0U)
    {
        open_requests_.insert(id).registration = to_buffer(message.datagram);
    }
    else if (view.observe.has_value())
    {
        end_stream(id);
    }
    request_arrival arrival;
    arrival.id = id;
    arrival.datagram = message.datagram;
    arrival.repeatable = repeatable;
    arrival.level = context_.config->policy_of(flow.service).level;
    if (view.urgency.has_value() && *view.urgency < urgency_count)
    {
        arrival.level = static_cast<urgency>(*view.urgency);
    }
    arrival.time_left = {view.deadline_ms.value_or(0)};
    const auto result = engine_.arrive(now, arrival);
    if (result == arrival_result::in_progress)
    {
        exchanges_.repeat(id);
    }
    if (result == arrival_result::dropped)
    {
        exchanges_.forget(id);
        open_requests_.erase(id);
        context_.counters.add(agent_counter::dropped);
    }
    if (result == arrival_result::repeated)
    {
        context_.counters.add(agent_counter::repeated);
    }
}

auto request_path::on_caller_reply(millis now, const flow_key& flow,
                                   const coap_view& view) -> void
{
    now_ = now;
    if (view.type == coap_type::acknowledgement)
    {
        const auto matched = exchanges_.on_ack(flow, view.message_id);
        const auto token = matched.has_value() && matched->is_notification
                               ? observes_.token_of(flow, matched->id.token)
                               : 0;
        if (token != 0)
        {
            observes_.find(token)->acknowledged_at = now;
        }
        return;
    }
    const auto matched = exchanges_.on_reset(flow, view.message_id);
    if (matched.has_value() && matched->is_notification)
    {
        end_stream(matched->id);
    }
    const auto open = exchanges_.find_open(flow, view.message_id);
    if (open.has_value())
    {
        engine_.cancel(now, *open);
        exchanges_.forget(*open);
        open_requests_.erase(*open);
    }
}

auto request_path::on_server(millis now, const flow_key& flow,
                             byte_view datagram) -> void
{
    now_ = now;
    engine_.on_server_heard(now);
    const auto view = read_coap(datagram);
    if (!view.ok())
    {
        context_.counters.add(agent_counter::malformed);
        return;
    }
    if (view->type == coap_type::confirmable)
    {
        coap_reply ack;
        ack.message_id = view->message_id;
        context_.hooks.send_to_server(flow, write_coap(ack));
    }
    if (!view->is_response())
    {
        return;
    }
    const auto server_token = pack_token(view->token);
    auto* stream = observes_.find(server_token);
    if (stream != nullptr && stream->id.flow == flow)
    {
        on_notification(now, server_token, *stream, *view, datagram);
        return;
    }
    const auto verdict = view->code == code_service_unavailable
                             ? server_verdict::overloaded
                             : server_verdict::answered;
    answering_token_ = server_token;
    const auto taken = engine_.on_answer(now, server_token, datagram, verdict);
    answering_token_ = 0;
    if (taken)
    {
        return;
    }
    context_.counters.add(agent_counter::late_answers);
    if (view->observe.has_value() && view->type != coap_type::acknowledgement)
    {
        coap_reply reset;
        reset.type = coap_type::reset;
        reset.message_id = view->message_id;
        context_.hooks.send_to_server(flow, write_coap(reset));
    }
}

auto request_path::on_server_lost(millis now) -> void
{
    now_ = now;
    engine_.on_server_lost(now);
}

auto request_path::on_server_recovered(millis now) -> void
{
    now_ = now;
    engine_.on_server_ready(now);
    for (const auto& [token, row] : observes_.rows().rows())
    {
        send_registration(token, row);
    }
}

auto request_path::tick(millis now) -> void
{
    now_ = now;
    engine_.tick(now);
    exchanges_.tick(now);
    context_.saturation = engine_.saturation();
}

auto request_path::can_move(millis now, const flow_key& flow) const -> bool
{
    const auto* row = context_.flows.find(flow);
    return row != nullptr && !row->handing_over && now >= row->busy_until &&
           engine_.in_progress(flow) == 0 && exchanges_.is_idle(flow);
}

auto request_path::has_work(millis now, const flow_key& flow) const -> bool
{
    return observes_.has(flow) || !can_move(now, flow);
}

auto request_path::extract_flow(millis now, const flow_key& flow,
                                flow_record& record) -> void
{
    // The caller moves a flow with a request in progress.
    BRIARDRUM_INVARIANT(engine_.in_progress(flow) == 0);
    record.requests = engine_.extract(now, flow);
    record.observes = observes_.extract(flow);
    exchanges_.erase_flow(flow);
}

auto request_path::import_flow(millis now, const flow_record& record) -> void
{
    now_ = now;
    engine_.restore(now, record.requests);
    for (const auto& it : record.observes)
    {
        const auto token = next_stream_token_++;
        observe_row row{it.id, it.request, it.sequence, now};
        send_registration(token, row);
        observes_.add(token, std::move(row));
    }
}

auto request_path::in_progress() const -> std::size_t
{
    return engine_.in_progress();
}

auto request_path::stream_count() -> std::size_t
{
    return observes_.rows().size();
}

auto request_path::check_cookie(millis now, const flow_key& flow,
                                const coap_view& view) const -> error_kind
{
    const auto& row = *context_.flows.find(flow);
    const auto later_block = view.block1.has_value() && view.block1->number > 0;
    if (view.echo.empty())
    {
        if (!later_block)
        {
            return error_kind::cookie_missing;
        }
        // The transfer that this block belongs to may be with another owner.
        return now < row.upload_until ? error_kind::none
                                      : error_kind::cookie_invalid;
    }
    const auto claims = context_.signer.verify(view.echo, flow);
    if (!claims.ok() || !is_own_cookie(row, *claims))
    {
        return error_kind::cookie_invalid;
    }
    return error_kind::none;
}

auto request_path::is_own_cookie(const flow_row& row,
                                 const cookie_claims& claims) const -> bool
{
    const flow_owner named{claims.owner, claims.life, claims.generation};
    const flow_owner self{context_.members.self().id,
                          context_.initial_incarnation, row.generation};
    return named == self || std::find(row.owners.begin(), row.owners.end(),
                                      named) != row.owners.end();
}

auto request_path::track_transfer(millis now, flow_row& row,
                                  const coap_view& view) -> void
{
    if (!view.block1.has_value())
    {
        return;
    }
    row.busy_until = view.block1->more ? now + transfer_pause_max : now;
    row.upload_until = now + transfer_pause_max;
}

auto request_path::dispatch(const request_id& id, std::uint64_t server_token,
                            byte_view datagram) -> void
{
    // The caller passes a token from the range of streams that were taken over.
    BRIARDRUM_INVARIANT(server_token >> 63U == 0);
    const auto token = unpack_token(server_token);
    coap_edit edit;
    edit.type = coap_type::confirmable;
    edit.message_id = next_message_id_++;
    edit.token = byte_view(token);
    edit.echo = byte_view{};
    const auto out = edit_coap(datagram, edit);
    // The caller dispatches a datagram that read_coap() does not accept.
    BRIARDRUM_INVARIANT(out.ok());
    context_.hooks.send_to_server(id.flow, *out);
}

auto request_path::answer(const request_id& id, byte_view server_answer) -> void
{
    const auto view = read_coap(server_answer);
    // The caller passes a server answer that read_coap() does not accept.
    BRIARDRUM_INVARIANT(view.ok());
    auto* row = context_.flows.find(id.flow);
    if (row != nullptr && view->block2.has_value())
    {
        row->busy_until = view->block2->more ? now_ + transfer_pause_max : now_;
    }
    register_stream(id, *view);
    open_requests_.erase(id);
    // libcoap's client loses the rest of a block-wise answer whose first block
    // carries Echo, so these answers are sent without a cookie.
    const auto cookie =
        view->block2.has_value() ? byte_buffer{} : cookie_for(id.flow);
    answer_extras extras;
    extras.cookie = cookie;
    if (view->observe.has_value())
    {
        const auto token = observes_.token_of(id.flow, id.token);
        auto* stream = observes_.find(token);
        extras.observe = stream == nullptr ? *view->observe : stream->sequence;
    }
    context_.counters.add(agent_counter::answered);
    exchanges_.answer(now_, id, server_answer, extras);
}

auto request_path::refuse(const request_id& id, error_kind kind,
                          millis retry_after) -> void
{
    const auto* found = open_requests_.find(id);
    const auto repeatable = found == nullptr || found->repeatable;
    open_requests_.erase(id);
    const auto& row = error_mapping_for(kind);
    context_.trace(row.name, id.flow, "message_id", id.message_id);
    context_.counters.add(row.not_run ? agent_counter::refused
                                      : agent_counter::outcome_unknown);
    if (row.coap_code == 0)
    {
        exchanges_.forget(id);
        return;
    }
    std::optional<std::uint32_t> max_age_s;
    if (retry_after.count > 0)
    {
        max_age_s =
            static_cast<std::uint32_t>((retry_after.count + 999) / 1000);
    }
    exchanges_.reply(now_, id, row.coap_code, max_age_s,
                     refusal_text(kind, repeatable));
}

auto request_path::register_stream(const request_id& id, const coap_view& view)
    -> void
{
    auto* found = open_requests_.find(id);
    const auto registered = found != nullptr && !found->registration.empty() &&
                            view.observe.has_value() && is_success(view) &&
                            answering_token_ != 0;
    if (!registered)
    {
        return;
    }
    const auto sequence = *view.observe & observe_mask;
    observes_.add(answering_token_,
                  {id, std::move(found->registration), sequence, now_});
}

auto request_path::on_notification(millis now, std::uint64_t server_token,
                                   observe_row& row, const coap_view& view,
                                   byte_view datagram) -> void
{
    const auto id = row.id;
    auto* flow = context_.flows.find(id.flow);
    if (flow != nullptr)
    {
        flow->last_used = now;
    }
    row.sequence = (row.sequence + 1) & observe_mask;
    const auto confirmable = now - row.acknowledged_at >= caller_check_interval;
    answer_extras extras;
    const auto ends = !view.observe.has_value() || !is_success(view);
    if (!ends)
    {
        extras.observe = row.sequence;
    }
    else
    {
        observes_.erase(server_token);
    }
    context_.counters.add(agent_counter::notifications);
    exchanges_.notify(now, id, datagram, extras, confirmable);
}

auto request_path::send_registration(std::uint64_t server_token,
                                     const observe_row& row) -> void
{
    const auto token = unpack_token(server_token);
    coap_edit edit;
    edit.type = coap_type::confirmable;
    edit.message_id = next_message_id_++;
    edit.token = byte_view(token);
    edit.echo = byte_view{};
    const auto out = edit_coap(row.request, edit);
    // The caller passes a registration that read_coap() does not accept.
    BRIARDRUM_INVARIANT(out.ok());
    context_.hooks.send_to_server(row.id.flow, *out);
}

auto request_path::end_stream(const request_id& id) -> void
{
    const auto token = observes_.token_of(id.flow, id.token);
    if (token != 0)
    {
        observes_.erase(token);
    }
}

auto request_path::cookie_for(const flow_key& flow) const -> byte_buffer
{
    const auto* row = context_.flows.find(flow);
    if (row == nullptr)
    {
        return {};
    }
    return context_.signer.make({context_.members.self().id,
                                 context_.initial_incarnation, row->generation},
                                flow);
}

} // namespace briardrum
