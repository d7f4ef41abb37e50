#ifndef BRIARDRUM_ROUTING_CHOICE_SERVICE_CANDIDATES_HPP
#define BRIARDRUM_ROUTING_CHOICE_SERVICE_CANDIDATES_HPP

#include "membership/membership.hpp"
#include "routing/choice/rendezvous.hpp"

#include <span>
#include <string>
#include <vector>

namespace briardrum
{

// One service's servers as routing sees them, rebuilt only when the member
// view has changed.
class service_candidates
{
public:
    // Call before reading; true when the candidates are not what they were.
    auto refresh(const member_view& members, const std::string& service_name)
        -> bool;

    // Servers that new flows may go to. A suspect stays among them until it
    // is dead, so that its established flows are not placed anew.
    auto serving() const -> std::span<const candidate>;

    // The same with servers that are joining, by which homes will be chosen.
    auto with_joining() const -> std::span<const candidate>;

    auto is_serving(member_id id) const -> bool;

private:
    struct entry
    {
        candidate item;
        incarnation life = 0;
        bool joining = false;

        auto operator==(const entry& other) const -> bool;
    };

    std::uint64_t epoch_ = ~std::uint64_t{0};
    std::vector<entry> entries_;
    std::vector<candidate> serving_;
    std::vector<candidate> with_joining_;
};

} // namespace briardrum

#endif
