#include "requests/answers/answer_store.hpp"

namespace briardrum
{

namespace
{

// Per answer: the links and buckets of the three indices, and the allocator's
// overhead for the row and the answer.
constexpr std::size_t overhead_bytes = 128;

} // namespace

auto answer_store::find(millis now, const request_id& id) const
    -> const stored_answer*
{
    const auto it = answers_.find(id);
    if (it == answers_.end() || it->expires <= now)
    {
        return nullptr;
    }
    return &*it;
}

auto answer_store::insert(millis now, stored_answer answer) -> void
{
    expire(now);
    answer.answer.shrink_to_fit();
    const auto added_bytes = cost(answer.answer.size());
    const auto [it, inserted] = answers_.insert(std::move(answer));
    // The caller finished the same request twice.
    BRIARDRUM_INVARIANT(inserted);
    bytes_ += added_bytes;
}

auto answer_store::expire(millis now) -> void
{
    auto& index = answers_.get<by_expiry>();
    while (!index.empty() && index.begin()->expires <= now)
    {
        bytes_ -= cost(index.begin()->answer.size());
        index.erase(index.begin());
    }
}

auto answer_store::extract(millis now, const flow_key& flow)
    -> std::vector<stored_answer>
{
    expire(now);
    auto& index = answers_.get<by_flow>();
    const auto [begin, end] = index.equal_range(flow);
    std::vector<stored_answer> out(begin, end);
    index.erase(begin, end);
    for (const auto& stored : out)
    {
        bytes_ -= cost(stored.answer.size());
    }
    return out;
}

auto answer_store::size() const -> std::size_t
{
    return answers_.size();
}

auto answer_store::bytes() const -> std::size_t
{
    return bytes_;
}

auto answer_store::cost(std::size_t answer_size) -> std::size_t
{
    return sizeof(stored_answer) + overhead_bytes + answer_size;
}

} // namespace briardrum
