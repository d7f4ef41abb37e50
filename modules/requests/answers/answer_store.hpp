#ifndef BRIARDRUM_REQUESTS_ANSWERS_ANSWER_STORE_HPP
#define BRIARDRUM_REQUESTS_ANSWERS_ANSWER_STORE_HPP

#include "wire/wire.hpp"

#include <boost/multi_index/hashed_index.hpp>
#include <boost/multi_index/key_extractors.hpp>
#include <boost/multi_index/ordered_index.hpp>
#include <boost/multi_index_container.hpp>
#include <memory>
#include <vector>

namespace briardrum
{

// How long a caller may still send or repeat a datagram with the same message
// id (RFC 7252, 4.8.2, with the default parameters).
constexpr millis exchange_lifetime = seconds(247);

// What a finished request came to: an answer of the server, or what the
// caller was told instead.
struct stored_answer
{
    request_id id;
    millis expires;
    // none when there is an answer.
    error_kind kind = error_kind::none;
    byte_buffer answer;

    auto flow() const -> const flow_key&
    {
        return id.flow;
    }
};

// Finished requests, each kept until its id may be forgotten and never
// forgotten earlier: what bounds the store is that the engine takes no new
// request when there is no room left for its answer.
class answer_store
{
public:
    // The kept answer, or nullptr when there is none or it has expired.
    auto find(millis now, const request_id& id) const -> const stored_answer*;

    // Keeps an answer; replaces one with the same id that has expired.
    auto insert(millis now, stored_answer answer) -> void;

    // Forgets what has expired.
    auto expire(millis now) -> void;

    // Takes out all that is kept of a flow.
    auto extract(millis now, const flow_key& flow)
        -> std::vector<stored_answer>;

    auto size() const -> std::size_t;

    // Memory in use, answers and bookkeeping.
    auto bytes() const -> std::size_t;

    // Memory that one answer of this size takes.
    static auto cost(std::size_t answer_size) -> std::size_t;

private:
    struct by_id;
    struct by_expiry;
    struct by_flow;
    using container = boost::multi_index_container<
        stored_answer,
        boost::multi_index::indexed_by<
            boost::multi_index::hashed_unique<
                boost::multi_index::tag<by_id>,
                boost::multi_index::member<stored_answer, request_id,
                                           &stored_answer::id>,
                std::hash<request_id>>,
            boost::multi_index::ordered_non_unique<
                boost::multi_index::tag<by_expiry>,
                boost::multi_index::member<stored_answer, millis,
                                           &stored_answer::expires>>,
            boost::multi_index::hashed_non_unique<
                boost::multi_index::tag<by_flow>,
                boost::multi_index::const_mem_fun<
                    stored_answer, const flow_key&, &stored_answer::flow>,
                std::hash<flow_key>>>>;

    container answers_;
    std::size_t bytes_ = 0;
};

} // namespace briardrum

#endif
