#ifndef BRIARDRUM_IO_HTTP_HTTP_MESSAGE_HPP
#define BRIARDRUM_IO_HTTP_HTTP_MESSAGE_HPP

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace briardrum
{

constexpr int http_ok = 200;
constexpr int http_bad_request = 400;
constexpr int http_not_found = 404;
constexpr int http_conflict = 409;
constexpr int http_unavailable = 503;

// target is the path with its query, as it was sent.
struct http_request
{
    std::string method;
    std::string target;
    std::string body;
};

// Header fields in the order in which they were received.
using http_headers = std::vector<std::pair<std::string, std::string>>;

// Returns the value of the first field of this name, in any case, or nullptr.
auto find_header(const http_headers& headers, std::string_view name)
    -> const std::string*;

struct http_response
{
    int status = http_ok;
    std::string content_type = "text/plain";
    std::string body;
    // Only filled in responses that were received.
    http_headers headers = {};
};

} // namespace briardrum

#endif
