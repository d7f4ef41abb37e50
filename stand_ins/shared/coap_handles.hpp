#ifndef BRIARDRUM_STAND_INS_SHARED_COAP_HANDLES_HPP
#define BRIARDRUM_STAND_INS_SHARED_COAP_HANDLES_HPP

#include "core/core.hpp"

#include <coap3/coap.h>
#include <memory>

namespace briardrum
{

// Frees a libcoap context with its sessions and resources.
struct coap_context_deleter
{
    auto operator()(coap_context_t* context) const -> void;
};

using coap_context_handle =
    std::unique_ptr<coap_context_t, coap_context_deleter>;

// A libcoap context that assembles block-wise bodies itself and logs errors
// only.
auto make_coap_context() -> coap_context_handle;

auto to_coap(const endpoint& value) -> coap_address_t;

// The body that a message carries, whole when libcoap assembled it.
auto body_of(const coap_pdu_t* pdu) -> byte_view;

// A span of time in libcoap's own unit.
auto to_coap_ticks(millis span) -> coap_tick_t;

inline auto as_text(byte_view bytes) -> std::string_view
{
    return {reinterpret_cast<const char*>(bytes.data()), bytes.size()};
}

} // namespace briardrum

#endif
