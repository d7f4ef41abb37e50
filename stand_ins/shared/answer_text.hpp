#ifndef BRIARDRUM_STAND_INS_SHARED_ANSWER_TEXT_HPP
#define BRIARDRUM_STAND_INS_SHARED_ANSWER_TEXT_HPP

#include "core/core.hpp"

#include <optional>
#include <string>
#include <string_view>

namespace briardrum
{

// What each answer of the backend server says, so that the caller can tell
// an answer that was not for it: "service=docs server=docs-2 key=a-1".
struct answer_text
{
    std::string service;
    std::string server;
    std::string key;
};

auto to_string(const answer_text& answer) -> std::string;

// The value of name in "a=1 b=2" or "a=1&b=2"; nothing when it is not there.
auto field_of(std::string_view text, std::string_view name)
    -> std::optional<std::string>;

// The content of a bill: the answer's text and its own size in a first line,
// then bytes that follow from the key, size bytes in all.
auto make_bill(const answer_text& answer, std::size_t size) -> std::string;

// True when text is a whole bill as make_bill() writes it.
auto is_whole_bill(std::string_view text) -> bool;

// The content of a photograph: size bytes that follow from the key.
auto make_photograph(std::string_view key, std::size_t size) -> std::string;

// A short checksum to compare what was sent with what arrived.
auto checksum_of(std::string_view bytes) -> std::string;

} // namespace briardrum

#endif
