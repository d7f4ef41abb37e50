#ifndef BRIARDRUM_IO_SERVER_ANNOUNCEMENT_CHECK_HPP
#define BRIARDRUM_IO_SERVER_ANNOUNCEMENT_CHECK_HPP

#include "io/server/server_announcement.hpp"

#include <optional>

namespace briardrum
{

// What an answer to a probe means for the backend server.
enum class announcement_verdict : std::uint8_t
{
    // It answers none of the last probes.
    ignored,
    // The server announces the agent's service.
    confirmed,
    // The server announced the agent's service before, and this answer does
    // not: it has to be asked again at once.
    doubted,
    // The server announces another service, or nothing that can be used.
    refuted,
};

// Decides from the answers to probes whether the backend server is one of the
// agent's service.
//
// A datagram may come from another writer. It counts only as the answer to a
// recent probe, and a server whose service is known is only given up when the
// answers to two probes agree on that.
class announcement_check
{
public:
    // Number of probes that an answer may be to.
    static constexpr std::uint16_t recent_probes = 5;

    explicit announcement_check(std::string service);

    // Returns the message id of a new probe, which is its token too.
    auto start_probe() -> std::uint16_t;

    auto on_answer(byte_view datagram) -> announcement_verdict;

    // Call when the server does not answer, or no process listens.
    auto on_lost() -> void;

    // Returns true while the server is known to be of the agent's service.
    auto is_confirmed() const -> bool;

    // The announcement that was confirmed last.
    auto announcement() const -> const server_announcement&;

    // Says why the last answer that counted was not usable.
    auto problem() const -> const std::string&;

private:
    auto answered_probe(byte_view datagram) const
        -> std::optional<std::uint16_t>;
    auto accept(byte_view datagram) -> bool;

    std::string service_;
    std::uint16_t last_probe_ = 0;
    bool confirmed_ = false;
    // The probe whose answer contradicted the known service.
    std::optional<std::uint16_t> contradicted_by_;
    server_announcement announcement_;
    std::string problem_;
};

} // namespace briardrum

#endif
