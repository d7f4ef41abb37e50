#include "wire/wire.hpp"

using namespace briardrum;

// Reads any bytes as a PROXY header; what is read comes back the same when it
// is written again.
extern "C" auto LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                       std::size_t size) -> int
{
    const auto packet = read_proxy_header({data, size});
    if (!packet.ok())
    {
        return 0;
    }
    byte_buffer out;
    write_proxy_header(*packet, out);
    const auto again = read_proxy_header(out);
    // A header was not written as it was read.
    BRIARDRUM_INVARIANT(again.ok() && again->caller == packet->caller &&
                        again->service_address == packet->service_address);
    return 0;
}
