#include "platform/server_calls.hpp"
#include "platform/store_answers.hpp"

// Any text as an answer of the store and as a server's heartbeat.
extern "C" auto LLVMFuzzerTestOneInput(const std::uint8_t* data,
                                       std::size_t size) -> int
{
    using namespace briardrum;
    const std::string text(reinterpret_cast<const char*>(data), size);
    const http_response response{http_ok, "application/json", text};
    auto read = 0;
    read += platform::read_key_answer(response).ok() ? 1 : 0;
    read += platform::read_range_answer(response).ok() ? 1 : 0;
    read += platform::read_watch_answer(response).ok() ? 1 : 0;
    const http_request beat{"POST", "/v1/instances/i/heartbeat", text};
    read += platform::read_server_call(beat).ok() ? 1 : 0;
    return read > 3 ? -1 : 0;
}
