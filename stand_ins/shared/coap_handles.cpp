#include "stand_ins/shared/coap_handles.hpp"

#include <arpa/inet.h>

namespace briardrum
{

auto coap_context_deleter::operator()(coap_context_t* context) const -> void
{
    coap_free_context(context);
}

auto make_coap_context() -> coap_context_handle
{
    coap_startup();
    coap_set_log_level(LOG_ERR);
    coap_context_handle context(coap_new_context(nullptr));
    // The machine has no memory or file handles left.
    BRIARDRUM_INVARIANT(context != nullptr);
    coap_context_set_block_mode(context.get(), COAP_BLOCK_USE_LIBCOAP |
                                                   COAP_BLOCK_SINGLE_BODY);
    return context;
}

auto to_coap(const endpoint& value) -> coap_address_t
{
    coap_address_t address{};
    coap_address_init(&address);
    address.size = sizeof(address.addr.sin);
    address.addr.sin.sin_family = AF_INET;
    address.addr.sin.sin_addr.s_addr = htonl(value.address);
    address.addr.sin.sin_port = htons(value.port);
    return address;
}

auto body_of(const coap_pdu_t* pdu) -> byte_view
{
    std::size_t size = 0;
    std::size_t offset = 0;
    std::size_t total = 0;
    const std::uint8_t* data = nullptr;
    if (coap_get_data_large(pdu, &size, &data, &offset, &total) == 0)
    {
        return {};
    }
    return {data, size};
}

auto to_coap_ticks(millis span) -> coap_tick_t
{
    constexpr std::int64_t second = seconds(1).count;
    return static_cast<coap_tick_t>(span.count * COAP_TICKS_PER_SECOND /
                                    second);
}

} // namespace briardrum
