#ifndef BRIARDRUM_MEMBERSHIP_RECORDS_MEMBER_TABLE_HPP
#define BRIARDRUM_MEMBERSHIP_RECORDS_MEMBER_TABLE_HPP

#include "core/core.hpp"
#include "wire/messages/member_record.hpp"

#include <map>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace briardrum
{

// True for a member that may still answer: neither left nor dead.
auto is_live(member_state state) -> bool;

// What became of a claim about a member.
enum class merge_outcome : std::uint8_t
{
    // It replaced what was known, or is the first of its member.
    applied,
    // It says what is known already.
    duplicate,
    // More recent things are known.
    stale,
    // The last word on a member that nobody here knows.
    unknown_not_live,
};

struct merge_result
{
    merge_outcome outcome = merge_outcome::duplicate;
    // What was known before, when outcome is taken and it was no new member.
    std::optional<member_record> before;
};

// Every member's record with the indices that routing and gossip read. A
// record only ever moves forward: see supersedes().
class member_table
{
public:
    // Starts with one record, whatever its state.
    explicit member_table(const member_record& first);

    // Takes a claim in when it is newer than what is known.
    auto merge(const member_record& update) -> merge_result;

    // Removes records; the others keep their order.
    auto erase(std::span<const member_id> ids) -> void;

    auto find(member_id id) const -> const member_record*;
    auto records() const -> std::span<const member_record>;

    // Live members by id; a span is valid until the next change.
    auto agents_of(const std::string& service_name) const
        -> std::span<const member_id>;
    auto balancers() const -> std::span<const member_id>;
    auto live_in(const std::string& data_centre) const
        -> std::span<const member_id>;
    auto live() const -> std::span<const member_id>;

    // Data centres with at least one live member.
    auto data_centres() const
        -> const std::map<std::string, std::vector<member_id>>&;

    auto epoch() const -> std::uint64_t;

private:
    auto add(const member_record& record) -> void;
    auto add_to_indices(const member_record& record) -> void;
    auto remove_from_indices(const member_record& record) -> void;
    auto replace(member_record& known, const member_record& update) -> void;

    std::vector<member_record> records_;
    std::unordered_map<member_id, std::size_t> index_by_id_;
    std::map<std::string, std::vector<member_id>> agents_;
    std::map<std::string, std::vector<member_id>> data_centres_;
    std::vector<member_id> balancers_;
    std::vector<member_id> live_;
    std::uint64_t epoch_ = 0;
};

} // namespace briardrum

#endif
