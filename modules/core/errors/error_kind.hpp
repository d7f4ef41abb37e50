#ifndef BRIARDRUM_CORE_ERRORS_ERROR_KIND_HPP
#define BRIARDRUM_CORE_ERRORS_ERROR_KIND_HPP

#include <absl/status/status.h>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace briardrum
{

// Closed list of all errors. error_mapping_for() gives the representation of
// each kind at the external interfaces. Kinds that guarantee that the request
// was not run are distinct from kinds whose outcome is unknown.
enum class error_kind : std::uint8_t
{
    none,
    // Errors of settings, command line and configuration.
    invalid_argument,
    not_found,
    conflict,
    unavailable,
    unknown_outcome,
    // Errors of datagrams and frames received from the network.
    malformed,
    wrong_version,
    oversize,
    unknown_service,
    wrong_incarnation,
    hop_limit,
    queue_full,
    // Errors of requests. Requests with one of the following kinds were not
    // run and never will be.
    overloaded,
    deadline_too_short,
    cookie_missing,
    not_started,
    draining,
    cancelled_before_run,
    // Whether a request with one of the following kinds was run is unknown.
    outcome_unknown,
    cookie_invalid,
    server_silent,
    owner_lost,
};

constexpr std::size_t error_kind_count =
    static_cast<std::size_t>(error_kind::owner_lost) + 1;

// Representation of an error kind at each external interface.
struct error_mapping
{
    error_kind kind;
    // Name in logs, metrics and golden files.
    std::string_view name;
    // CoAP response code for a caller as class * 100 + detail (503 is 5.03).
    // 0 means that the datagram is dropped without a response.
    std::uint16_t coap_code;
    // True if a response of this kind guarantees that the request was not run.
    bool not_run;
    // Exit code of the command-line tool.
    std::uint8_t exit_code;
    absl::StatusCode status;
};

// Returns the mapping of a kind.
auto error_mapping_for(error_kind kind) -> const error_mapping&;

// Returns a status that carries its kind, which error_kind_of() extracts.
auto make_error(error_kind kind, const std::string& message) -> absl::Status;

// Returns the kind of a status made by make_error(): none for an OK status,
// unavailable for an error status without a kind.
auto error_kind_of(const absl::Status& status) -> error_kind;

} // namespace briardrum

#endif
