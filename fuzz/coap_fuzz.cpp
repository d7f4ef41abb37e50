#include "wire/wire.hpp"

using namespace briardrum;

// Reads any bytes as CoAP; what is read can be edited, and the edit read.
extern "C" auto LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                       std::size_t size) -> int
{
    const byte_view bytes{data, size};
    const auto view = read_coap(bytes);
    if (!view.ok() || view->is_empty())
    {
        return 0;
    }
    coap_edit edit;
    edit.message_id = 7;
    edit.echo = as_bytes("cookie");
    edit.observe = view->observe;
    const auto edited = edit_coap(bytes, edit);
    // An edit made something that is no CoAP.
    BRIARDRUM_INVARIANT(!edited.ok() || read_coap(*edited).ok());
    return 0;
}
