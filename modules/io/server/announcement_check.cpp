#include "io/server/announcement_check.hpp"

#include "wire/wire.hpp"

#include <utility>

namespace briardrum
{

announcement_check::announcement_check(std::string service)
    : service_(std::move(service))
{
}

auto announcement_check::start_probe() -> std::uint16_t
{
    return ++last_probe_;
}

auto announcement_check::on_answer(byte_view datagram) -> announcement_verdict
{
    const auto probe = answered_probe(datagram);
    if (!probe.has_value())
    {
        return announcement_verdict::ignored;
    }
    if (accept(datagram))
    {
        confirmed_ = true;
        contradicted_by_.reset();
        return announcement_verdict::confirmed;
    }
    const auto repeated =
        contradicted_by_.has_value() && *contradicted_by_ != *probe;
    if (confirmed_ && !repeated)
    {
        contradicted_by_ = probe;
        return announcement_verdict::doubted;
    }
    on_lost();
    return announcement_verdict::refuted;
}

auto announcement_check::on_lost() -> void
{
    confirmed_ = false;
    contradicted_by_.reset();
}

// Returns the recent probe that a datagram answers, by its token.
auto announcement_check::answered_probe(byte_view datagram) const
    -> std::optional<std::uint16_t>
{
    const auto view = read_coap(datagram);
    constexpr std::size_t token_bytes = 2;
    if (!view.ok() || !view->is_response() || view->token.size() != token_bytes)
    {
        return std::nullopt;
    }
    const auto probe =
        static_cast<std::uint16_t>((view->token[0] << 8U) | view->token[1]);
    const auto age = static_cast<std::uint16_t>(last_probe_ - probe);
    return age < recent_probes ? std::optional(probe) : std::nullopt;
}

auto announcement_check::accept(byte_view datagram) -> bool
{
    const auto answer = read_announcement_answer(datagram);
    if (!answer.ok())
    {
        problem_ = std::string(answer.status().message());
        return false;
    }
    if (answer->service != service_)
    {
        problem_ = "the backend server announces " + answer->service +
                   ", not " + service_;
        return false;
    }
    announcement_ = *answer;
    problem_.clear();
    return true;
}

auto announcement_check::is_confirmed() const -> bool
{
    return confirmed_;
}

auto announcement_check::announcement() const -> const server_announcement&
{
    return announcement_;
}

auto announcement_check::problem() const -> const std::string&
{
    return problem_;
}

} // namespace briardrum
