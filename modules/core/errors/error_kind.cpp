#include "core/errors/error_kind.hpp"

#include "core/checks/invariant.hpp"

#include <absl/strings/cord.h>
#include <array>

namespace briardrum
{

namespace
{

using absl::StatusCode;

constexpr absl::string_view kind_payload_url = "briardrum/error_kind";

// Columns: kind, name, CoAP code, not run, exit code, status code.
const std::array<error_mapping, error_kind_count> error_mappings = {{
    {error_kind::none, "none", 0, false, 0, StatusCode::kOk},
    {error_kind::invalid_argument, "invalid_argument", 400, false, 65,
     StatusCode::kInvalidArgument},
    {error_kind::not_found, "not_found", 404, false, 66, StatusCode::kNotFound},
    {error_kind::conflict, "conflict", 409, false, 75, StatusCode::kAborted},
    {error_kind::unavailable, "unavailable", 503, false, 69,
     StatusCode::kUnavailable},
    {error_kind::unknown_outcome, "unknown_outcome", 504, false, 76,
     StatusCode::kUnknown},
    {error_kind::malformed, "malformed", 0, false, 65,
     StatusCode::kInvalidArgument},
    {error_kind::wrong_version, "wrong_version", 0, false, 65,
     StatusCode::kInvalidArgument},
    {error_kind::oversize, "oversize", 0, false, 65, StatusCode::kOutOfRange},
    {error_kind::unknown_service, "unknown_service", 0, false, 66,
     StatusCode::kNotFound},
    {error_kind::wrong_incarnation, "wrong_incarnation", 0, false, 70,
     StatusCode::kFailedPrecondition},
    {error_kind::hop_limit, "hop_limit", 0, false, 70,
     StatusCode::kResourceExhausted},
    {error_kind::queue_full, "queue_full", 0, false, 70,
     StatusCode::kResourceExhausted},
    {error_kind::overloaded, "overloaded", 503, true, 69,
     StatusCode::kResourceExhausted},
    {error_kind::deadline_too_short, "deadline_too_short", 503, true, 69,
     StatusCode::kDeadlineExceeded},
    {error_kind::cookie_missing, "cookie_missing", 401, true, 77,
     StatusCode::kUnauthenticated},
    {error_kind::not_started, "not_started", 503, true, 69,
     StatusCode::kUnavailable},
    {error_kind::draining, "draining", 503, true, 69, StatusCode::kUnavailable},
    {error_kind::cancelled_before_run, "cancelled_before_run", 0, true, 70,
     StatusCode::kCancelled},
    {error_kind::outcome_unknown, "outcome_unknown", 504, false, 76,
     StatusCode::kUnknown},
    {error_kind::cookie_invalid, "cookie_invalid", 504, false, 76,
     StatusCode::kUnknown},
    {error_kind::server_silent, "server_silent", 504, false, 76,
     StatusCode::kUnknown},
    {error_kind::owner_lost, "owner_lost", 504, false, 76,
     StatusCode::kUnknown},
}};

} // namespace

auto error_mapping_for(error_kind kind) -> const error_mapping&
{
    const auto n = static_cast<std::size_t>(kind);
    // The caller passed a value that is not an error kind.
    BRIARDRUM_INVARIANT(n < error_kind_count);
    // A row of the table is not at the index of its kind.
    BRIARDRUM_INVARIANT(error_mappings.at(n).kind == kind);
    return error_mappings.at(n);
}

auto make_error(error_kind kind, const std::string& message) -> absl::Status
{
    absl::Status status(error_mapping_for(kind).status, message);
    const auto number = std::to_string(static_cast<int>(kind));
    status.SetPayload(kind_payload_url, absl::Cord(number));
    return status;
}

auto error_kind_of(const absl::Status& status) -> error_kind
{
    if (status.ok())
    {
        return error_kind::none;
    }
    const auto number = status.GetPayload(kind_payload_url);
    if (!number.has_value())
    {
        return error_kind::unavailable;
    }
    return static_cast<error_kind>(std::stoi(std::string(*number)));
}

} // namespace briardrum
