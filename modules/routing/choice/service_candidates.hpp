#ifndef BRIARDRUM_ROUTING_CHOICE_SERVICE_CANDIDATES_HPP
#define BRIARDRUM_ROUTING_CHOICE_SERVICE_CANDIDATES_HPP

#include "membership/membership.hpp"
#include "routing/choice/rendezvous.hpp"

#include <span>
#include <string>
#include <vector>

namespace briardrum
{

// The candidates of one service for rendezvous hashing, rebuilt only when the
// member view has changed. A candidate's weight is the number of its slots
// times the weight in its record.
class service_candidates
{
public:
    // Call before reading. Returns true if the candidates have changed.
    auto refresh(const member_view& members, const std::string& service_name)
        -> bool;

    // Servers that may receive new flows. Suspect servers are included until
    // they are dead, so that their established flows are not placed again.
    auto serving() const -> std::span<const candidate>;

    // Like serving(), plus servers that are joining; determines the homes of
    // flows once those servers have joined.
    auto with_joining() const -> std::span<const candidate>;

    auto is_serving(member_id id) const -> bool;

private:
    struct entry
    {
        candidate item;
        incarnation_number life = 0;
        std::uint8_t percent = 100;
        bool joining = false;

        auto operator==(const entry& other) const -> bool;
    };

    static auto scale_weights(std::span<entry> entries) -> void;

    std::uint64_t epoch_ = ~std::uint64_t{0};
    std::vector<entry> entries_;
    std::vector<candidate> serving_;
    std::vector<candidate> with_joining_;
};

} // namespace briardrum

#endif
