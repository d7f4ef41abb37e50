#ifndef BRIARDRUM_NODE_STORE_MEMBER_DIRECTORY_HPP
#define BRIARDRUM_NODE_STORE_MEMBER_DIRECTORY_HPP

#include "node/store/store.hpp"

#include <functional>
#include <memory>
#include <span>
#include <vector>

namespace briardrum
{

struct member_directory_settings
{
    // Keys are the prefix and a member's name; values its control address.
    std::string prefix = "briardrum/members/";
    std::string own_name;
    endpoint own_address;
    // A few members publish themselves; the others only read.
    bool publishes = false;
    // Between reads while no other member is known: every packet waits.
    millis retry_interval = milliseconds(300);
};

struct member_directory_hooks
{
    // Control addresses of members, some of them perhaps gone.
    std::function<void(std::span<const endpoint>)> on_addresses;
    event_sink events;
};

// A way into the fleet beside the start addresses of the settings: the store
// keeps where members were last. It is read once at the start and again while
// no other member is known; membership itself is gossip.
//
// tick() every 100 ms or so; leave() when the process stops for good.
class member_directory
{
public:
    member_directory(store& source, member_directory_settings settings,
                     member_directory_hooks hooks);
    ~member_directory();
    member_directory(const member_directory&) = delete;
    auto operator=(const member_directory&) -> member_directory& = delete;

    // alone is true while no other member is known.
    auto tick(millis now, bool is_isolated) -> void;

    auto leave() -> void;

private:
    auto read() -> void;
    auto on_range(const absl::StatusOr<store_range_result>& result) -> void;
    auto publish() -> void;
    auto own_key() const -> std::string;
    auto report_failure(std::string_view operation, const absl::Status& error)
        -> void;

    store& store_;
    member_directory_settings settings_;
    member_directory_hooks hooks_;
    millis next_read_;
    bool reading_ = false;
    bool writing_ = false;
    bool has_read_ = false;
    bool published_ = false;
    // Keeps late callbacks from reaching an object that is gone.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace briardrum

#endif
