#ifndef BRIARDRUM_STAND_INS_PACKET_SITE_SITE_OPERATOR_HPP
#define BRIARDRUM_STAND_INS_PACKET_SITE_SITE_OPERATOR_HPP

#include "stand_ins/packet_site/platform_store.hpp"

#include <asio.hpp>
#include <chrono>
#include <deque>
#include <functional>
#include <string>

namespace briardrum::stand_in
{

// The operators of a site: writes configurations to the store, takes the store
// away, and restores it from a copy that is some seconds old.
class site_operator
{
public:
    // make_text gives the configuration of a version.
    site_operator(asio::io_context& context, platform_store& store,
                  std::function<std::string(std::uint64_t)> make_text);

    // Writes the next version.
    auto change() -> void;

    // Evacuates a data centre, or ends its evacuation.
    auto evacuate(const std::string& data_centre) -> void;
    auto withdraw(const std::string& data_centre) -> void;

    // While there is an outage the store refuses every call.
    auto set_outage(bool is_out) -> void;

    // Writes some versions in quick succession, takes the store away for a
    // moment, brings back its oldest copy, writes the newest version again, and
    // a second later the next one. Does nothing while a restore is under way.
    auto restore() -> void;

    // The newest version that was written.
    auto version() const -> std::uint64_t;
    auto restores() const -> std::uint64_t;

private:
    auto write() -> void;
    auto keep_copies() -> void;
    auto take_away() -> void;
    auto finish_restore() -> void;
    auto run_after(std::chrono::milliseconds delay, std::function<void()> task)
        -> void;

    platform_store& store_;
    std::function<std::string(std::uint64_t)> make_text_;
    asio::steady_timer copy_timer_;
    asio::steady_timer restore_timer_;
    std::deque<memory_store> copies_;
    std::uint64_t version_ = 0;
    std::uint64_t restores_ = 0;
    bool outage_ = false;
    bool restoring_ = false;
};

} // namespace briardrum::stand_in

#endif
