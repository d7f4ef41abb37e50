#ifndef BRIARDRUM_STAND_INS_BACKEND_SERVER_SERVER_SETTINGS_HPP
#define BRIARDRUM_STAND_INS_BACKEND_SERVER_SERVER_SETTINGS_HPP

#include "core/core.hpp"

#include <string>

namespace briardrum
{

// What the command line says.
struct server_settings
{
    endpoint listen;
    std::string service;
    std::string server;
    // Requests that run at once; others wait for a slot.
    std::uint32_t slots = 5;
    // How long one request holds its slot.
    millis work = milliseconds(10);
    // Waiting requests above which new ones are answered with 5.03; -1 takes
    // all.
    std::int64_t shed = -1;
    // After the start, requests take several times as long for this long.
    millis cold;
    // Time between two notifications of a stream.
    millis stream = milliseconds(200);
    std::size_t bill_bytes = 20000;
};

} // namespace briardrum

#endif
