#ifndef BRIARDRUM_REQUESTS_EXCHANGES_OBSERVE_TABLE_HPP
#define BRIARDRUM_REQUESTS_EXCHANGES_OBSERVE_TABLE_HPP

#include "core/core.hpp"
#include "wire/wire.hpp"

#include <cstdint>
#include <vector>

namespace briardrum
{

// A caller's Observe registration at the agent's server.
struct observe_row
{
    request_id id;
    // The caller's registration request, to be repeated at another server.
    byte_buffer request;
    // The last Observe sequence number sent to the caller; it only increases.
    std::uint32_t sequence = 0;
    // When the caller last acknowledged a notification.
    millis acknowledged_at;
};

// The Observe registrations of one agent, keyed by the token under which the
// server knows them.
class observe_table
{
public:
    // Adds a registration. A registration with the same flow and caller token
    // is replaced.
    auto add(std::uint64_t server_token, observe_row row) -> void;

    auto find(std::uint64_t server_token) -> observe_row*;

    // Returns the server token of the registration with this caller token, or
    // 0.
    auto token_of(const flow_key& flow, std::uint64_t caller_token) const
        -> std::uint64_t;

    auto erase(std::uint64_t server_token) -> void;

    // Removes and returns the registrations of a flow that is handed over.
    auto extract(const flow_key& flow) -> std::vector<observe_record>;

    auto has(const flow_key& flow) const -> bool;

    auto rows() -> table<std::uint64_t, observe_row>&;

private:
    table<std::uint64_t, observe_row> rows_;
    table<flow_key, std::vector<std::uint64_t>> by_flow_;
};

} // namespace briardrum

#endif
