#include "stand_ins/shared/answer_text.hpp"

#include <algorithm>

namespace briardrum
{

namespace
{

constexpr std::string_view separators = " &\n";

auto pad_from_key(std::string& text, std::string_view key, std::size_t size)
    -> void
{
    random_source random(member_id_of(key));
    while (text.size() < size)
    {
        text += static_cast<char>('a' + random.below(26));
    }
    text.resize(size);
}

} // namespace

auto to_string(const answer_text& answer) -> std::string
{
    return "service=" + answer.service + " server=" + answer.server +
           " key=" + answer.key;
}

auto field_of(std::string_view text, std::string_view name)
    -> std::optional<std::string>
{
    while (!text.empty())
    {
        const auto end = std::min(text.find_first_of(separators), text.size());
        const auto field = text.substr(0, end);
        const auto equals = field.find('=');
        if (equals != std::string_view::npos && field.substr(0, equals) == name)
        {
            return std::string(field.substr(equals + 1));
        }
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    return std::nullopt;
}

auto make_bill(const answer_text& answer, std::size_t size) -> std::string
{
    auto text = to_string(answer) + " bytes=" + std::to_string(size) + "\n";
    pad_from_key(text, answer.key, size);
    return text;
}

auto is_whole_bill(std::string_view text) -> bool
{
    const auto line = text.substr(0, text.find('\n'));
    const auto service = field_of(line, "service");
    const auto server = field_of(line, "server");
    const auto key = field_of(line, "key");
    if (!service || !server || !key)
    {
        return false;
    }
    return field_of(line, "bytes") == std::to_string(text.size()) &&
           text == make_bill({*service, *server, *key}, text.size());
}

auto make_photograph(std::string_view key, std::size_t size) -> std::string
{
    std::string text = "key=" + std::string(key) + "\n";
    pad_from_key(text, key, size);
    return text;
}

auto checksum_of(std::string_view bytes) -> std::string
{
    return std::to_string(member_id_of(bytes));
}

} // namespace briardrum
