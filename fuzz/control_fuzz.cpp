#include "wire/wire.hpp"

using namespace briardrum;

// Decodes any bytes as a control message; what is decoded comes back the same
// when it is encoded again.
extern "C" auto LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                       std::size_t size) -> int
{
    const auto message = decode_control({data, size});
    if (!message.ok())
    {
        return 0;
    }
    const auto again = decode_control(encode_control(*message));
    // A decoded message could not be passed on as it was.
    BRIARDRUM_INVARIANT(again.ok() && *again == *message);
    return 0;
}
