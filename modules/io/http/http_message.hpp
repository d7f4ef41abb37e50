#ifndef BRIARDRUM_IO_HTTP_HTTP_MESSAGE_HPP
#define BRIARDRUM_IO_HTTP_HTTP_MESSAGE_HPP

#include <string>

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

struct http_response
{
    int status = http_ok;
    std::string content_type = "text/plain";
    std::string body;
};

} // namespace briardrum

#endif
