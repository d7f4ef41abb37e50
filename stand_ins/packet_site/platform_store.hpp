#ifndef BRIARDRUM_STAND_INS_PACKET_SITE_PLATFORM_STORE_HPP
#define BRIARDRUM_STAND_INS_PACKET_SITE_PLATFORM_STORE_HPP

#include "core/core.hpp"
#include "stand_ins/store/memory_store.hpp"

#include <memory>
#include <string>

namespace briardrum::stand_in
{

// The users' metadata store in memory: reads, ranges, waiting watches and
// transactions, on threads of its own.
class platform_store
{
public:
    platform_store();
    ~platform_store();
    platform_store(const platform_store&) = delete;
    auto operator=(const platform_store&) -> platform_store& = delete;

    // False when the address cannot be bound.
    auto start(const endpoint& local) -> bool;

    // Writes as the operator does.
    auto put(const std::string& key, const std::string& value) -> void;

    auto remove(const std::string& key) -> void;

    // While it is down, every call is refused.
    auto set_down(bool down) -> void;

    // What it holds now, and coming back from such a copy.
    auto copy() const -> memory_store;
    auto restore(const memory_store& from) -> void;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace briardrum::stand_in

#endif
