#ifndef BRIARDRUM_STAND_INS_CALLER_CALLER_SETTINGS_HPP
#define BRIARDRUM_STAND_INS_CALLER_CALLER_SETTINGS_HPP

#include "core/core.hpp"

#include <optional>
#include <string>

namespace briardrum
{

enum class caller_mode : std::uint8_t
{
    // Each lookup from a new socket, so a new flow.
    lookups,
    // Lookups on one long flow.
    session,
    // An Observe registration and its notifications.
    stream,
    // Confirmations, after a lookup that brings the cookie.
    confirm,
    // Photographs sent block-wise, after such a lookup too.
    upload,
    // Bills read block-wise.
    bill,
};

// What the command line says.
struct caller_settings
{
    caller_mode mode = caller_mode::lookups;
    endpoint target;
    // The service that must answer; empty takes any.
    std::string service;
    // Requests (or notifications) of each session; 0 goes on until SIGTERM.
    std::uint64_t count = 10;
    // Time between the starts of two requests of one session.
    millis interval = milliseconds(100);
    std::string key_prefix = "k";
    std::size_t sessions = 1;
    // A request without a final answer for this long is missing.
    millis timeout = seconds(30);
    std::size_t upload_bytes = 20000;
    // Options that go on every request when given.
    std::optional<std::uint32_t> deadline_ms;
    std::optional<std::uint32_t> urgency;
};

} // namespace briardrum

#endif
