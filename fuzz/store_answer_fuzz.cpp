#include "platform/server_requests.hpp"
#include "platform/store_responses.hpp"

// Any text as an answer of the store and as a server's heartbeat.
extern "C" auto LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                       std::size_t size) -> int
{
    using namespace briardrum;
    const std::string text(reinterpret_cast<const char*>(data), size);
    const http_response response{http_ok, "application/json", text};
    auto read = 0;
    read += platform::parse_key_response(response).ok() ? 1 : 0;
    read += platform::parse_range_response(response).ok() ? 1 : 0;
    read += platform::parse_watch_response(response).ok() ? 1 : 0;
    const http_request beat{"POST", "/v1/instances/i/heartbeat", text};
    read += platform::parse_server_request(beat).ok() ? 1 : 0;
    return read > 3 ? -1 : 0;
}
