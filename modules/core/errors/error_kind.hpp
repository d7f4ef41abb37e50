#ifndef BRIARDRUM_CORE_ERRORS_ERROR_KIND_HPP
#define BRIARDRUM_CORE_ERRORS_ERROR_KIND_HPP

#include <absl/status/status.h>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace briardrum
{

// Everything that can go wrong, as one closed list. error_answers() says
// what each kind turns into at every edge of the system; kinds that promise
// "not run" are told apart from kinds that leave the outcome open.
enum class error_kind : std::uint8_t
{
    none,
    // Settings, command line and configuration.
    invalid_argument,
    not_found,
    conflict,
    unavailable,
    unknown_outcome,
    // Datagrams and frames from the network.
    malformed,
    wrong_version,
    oversize,
    unknown_service,
    wrong_incarnation,
    hop_limit,
    queue_full,
    // Requests. The first group was never run and never will be.
    overloaded,
    deadline_too_short,
    cookie_missing,
    not_started,
    draining,
    cancelled_before_run,
    // The outcome of these is not known to us.
    outcome_unknown,
    cookie_invalid,
    server_silent,
    owner_lost,
};

constexpr std::size_t error_kind_count =
    static_cast<std::size_t>(error_kind::owner_lost) + 1;

// What an error turns into at each edge.
struct error_mapping
{
    error_kind kind;
    // Name used in logs, metrics and golden files.
    std::string_view name;
    // CoAP code sent to a caller as class * 100 + detail (503 is 5.03);
    // 0 means the datagram is dropped without an answer.
    std::uint16_t coap_code;
    // True when an answer of this kind promises the request was not run.
    bool not_run;
    // Exit code of the command line.
    std::uint8_t exit_code;
    absl::StatusCode status;
};

// The table's row for a kind.
auto error_mapping_for(error_kind kind) -> const error_mapping&;

// A status that carries its kind; error_kind_of() reads it back.
auto make_error(error_kind kind, const std::string& message) -> absl::Status;

// The kind of a status made by make_error(); none for an OK status.
auto error_kind_of(const absl::Status& status) -> error_kind;

} // namespace briardrum

#endif
