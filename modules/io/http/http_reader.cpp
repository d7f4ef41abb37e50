#include "io/http/http_reader.hpp"

#include <utility>

namespace briardrum
{

namespace
{

// Longest path with its query.
constexpr std::size_t target_bytes_max = 4096;

} // namespace

http_reader::http_reader(side which, std::size_t body_bytes_max,
                         std::function<void(message&&)> on_message)
    : body_bytes_max_(body_bytes_max), on_message_(std::move(on_message))
{
    http_parser_init(&parser_,
                     which == side::requests ? HTTP_REQUEST : HTTP_RESPONSE);
    parser_.data = this;
}

auto http_reader::self(http_parser* parser) -> http_reader&
{
    return *static_cast<http_reader*>(parser->data);
}

auto http_reader::make_callbacks() -> http_parser_settings
{
    http_parser_settings out;
    http_parser_settings_init(&out);
    out.on_message_begin = [](http_parser* parser)
    {
        self(parser).message_ = {};
        self(parser).in_header_value_ = true;
        return 0;
    };
    out.on_header_field =
        [](http_parser* parser, const char* text, std::size_t n)
    {
        auto& it = self(parser);
        if (parser->type != HTTP_RESPONSE)
        {
            return 0;
        }
        if (std::exchange(it.in_header_value_, false))
        {
            it.message_.headers.emplace_back();
        }
        it.message_.headers.back().first.append(text, n);
        return 0;
    };
    out.on_header_value =
        [](http_parser* parser, const char* text, std::size_t n)
    {
        auto& it = self(parser);
        if (parser->type != HTTP_RESPONSE)
        {
            return 0;
        }
        it.in_header_value_ = true;
        it.message_.headers.back().second.append(text, n);
        return 0;
    };
    out.on_url = [](http_parser* parser, const char* text, std::size_t n)
    {
        auto& target = self(parser).message_.target;
        target.append(text, n);
        return target.size() > target_bytes_max ? 1 : 0;
    };
    out.on_body = [](http_parser* parser, const char* text, std::size_t n)
    {
        auto& it = self(parser);
        it.message_.body.append(text, n);
        return it.message_.body.size() > it.body_bytes_max_ ? 1 : 0;
    };
    out.on_message_complete = [](http_parser* parser)
    {
        auto& it = self(parser);
        const auto method = static_cast<http_method>(parser->method);
        it.message_.method = http_method_str(method);
        it.message_.status = static_cast<int>(parser->status_code);
        it.message_.keep_alive = http_should_keep_alive(parser) != 0;
        it.on_message_(std::move(it.message_));
        return 0;
    };
    return out;
}

auto http_reader::feed(byte_view bytes) -> bool
{
    static const auto callbacks = make_callbacks();
    const auto* text = reinterpret_cast<const char*>(bytes.data());
    const auto taken =
        http_parser_execute(&parser_, &callbacks, text, bytes.size());
    return taken == bytes.size() && HTTP_PARSER_ERRNO(&parser_) == HPE_OK;
}

} // namespace briardrum
