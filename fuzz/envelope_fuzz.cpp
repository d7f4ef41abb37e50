#include "wire/wire.hpp"

using namespace briardrum;

// Decodes any bytes as an envelope; what is decoded can be encoded again.
extern "C" auto LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                       std::size_t size) -> int
{
    const auto message = decode_envelope({data, size});
    if (!message.ok())
    {
        return 0;
    }
    byte_buffer out;
    encode_envelope(*message, out);
    // A decoded envelope could not be passed on.
    BRIARDRUM_INVARIANT(decode_envelope(out).ok());
    return 0;
}
