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

// Returns true for a member that may still answer, one that has neither left
// nor died.
auto is_live(member_state state) -> bool;

// Returns true for a member that is asked before a flow counts as lost: a
// balancer, or an agent that reports slots. An agent without slots has no
// server, so no flow is open there.
auto answers_flow_queries(const member_record& record) -> bool;

// Result of merging an update about a member.
enum class merge_outcome : std::uint8_t
{
    // The update replaced the known record or added a new member.
    applied,
    // The update matches the known record.
    duplicate,
    // The known record is newer.
    stale,
    // The update says that a member unknown here has left or died.
    unknown_not_live,
};

struct merge_result
{
    merge_outcome outcome = merge_outcome::duplicate;
    // The record before the update if the outcome is applied, unless the member
    // is new.
    std::optional<member_record> before;
};

// Records of all members, with the indices that routing and gossip use. A
// record is only ever replaced by a newer one: see supersedes().
class member_table
{
public:
    // Creates a table with one record, whatever its state.
    explicit member_table(const member_record& first);

    // Applies an update if it is newer than the known record.
    auto merge(const member_record& update) -> merge_result;

    // Removes records; the others keep their order.
    auto erase(std::span<const member_id> ids) -> void;

    auto find(member_id id) const -> const member_record*;
    auto records() const -> std::span<const member_record>;

    // Live members, sorted by id. A span is valid until the next change.
    auto agents_of(const std::string& service_name) const
        -> std::span<const member_id>;
    auto balancers() const -> std::span<const member_id>;
    auto live_in(const std::string& data_centre) const
        -> std::span<const member_id>;
    auto live() const -> std::span<const member_id>;

    // Data centres with at least one live member.
    auto data_centres() const
        -> const std::map<std::string, std::vector<member_id>>&;

    // Digest of the ids of the live members that answer flow queries. Two
    // tables with the same digest agree on these.
    auto members_digest() const -> std::uint64_t;

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
    std::uint64_t members_digest_ = 0;
    std::uint64_t epoch_ = 0;
};

} // namespace briardrum

#endif
