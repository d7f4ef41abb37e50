#include "io/daemons/datagram_errors.hpp"

#include <utility>

namespace briardrum
{

datagram_errors::datagram_errors(std::string socket, event_sink events)
    : socket_(std::move(socket)), events_(std::move(events))
{
}

auto datagram_errors::note(const endpoint& from, const absl::Status& why)
    -> void
{
    const auto kind = error_kind_of(why);
    ++counts_.at(static_cast<std::size_t>(kind));
    events_(event("datagram_refused", event_level::warning)
                .with("socket", socket_)
                .with("from", to_string(from))
                .with("kind", error_mapping_for(kind).name)
                .with("reason", std::string(why.message())));
}

auto datagram_errors::append_to(metrics_text& out) const -> void
{
    constexpr std::array kinds = {
        error_kind::malformed, error_kind::wrong_version, error_kind::oversize};
    for (const auto kind : kinds)
    {
        out.counter(socket_ + "_errors_total",
                    counts_.at(static_cast<std::size_t>(kind)),
                    {"kind", error_mapping_for(kind).name});
    }
}

} // namespace briardrum
