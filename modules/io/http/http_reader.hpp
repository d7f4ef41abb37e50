#ifndef BRIARDRUM_IO_HTTP_HTTP_READER_HPP
#define BRIARDRUM_IO_HTTP_HTTP_READER_HPP

#include "core/core.hpp"
#include "io/http/http_message.hpp"

#include <functional>
#include <http_parser.h>
#include <memory>

namespace briardrum
{

// Reads the HTTP/1.1 messages of one connection from its bytes.
//
// feed() what arrives; the hook is called for each whole message. A message
// over the bound, or bytes that are no HTTP, end the reading.
class http_reader
{
public:
    enum class side : std::uint8_t
    {
        requests,
        responses,
    };

    // A message as it was read; for responses method and target are empty.
    struct message
    {
        std::string method;
        std::string target;
        int status = 0;
        // Only read from responses.
        http_headers headers;
        std::string body;
        bool keep_alive = false;
    };

    http_reader(side which, std::size_t body_bytes_max,
                std::function<void(message&&)> on_message);
    http_reader(const http_reader&) = delete;
    auto operator=(const http_reader&) -> http_reader& = delete;

    // False when the bytes are no HTTP or too many; the connection is of no
    // more use.
    auto feed(byte_view bytes) -> bool;

private:
    static auto self(http_parser* parser) -> http_reader&;
    static auto make_callbacks() -> http_parser_settings;

    http_parser parser_{};
    std::size_t body_bytes_max_;
    std::function<void(message&&)> on_message_;
    message message_;
    // The parser hands on names and values of header fields in pieces.
    bool in_header_value_ = false;
};

} // namespace briardrum

#endif
