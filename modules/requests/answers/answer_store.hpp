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

// EXCHANGE_LIFETIME of RFC 7252, section 4.8.2, with the default parameters:
// how long a caller may send or repeat a datagram with the same message id.
constexpr millis exchange_lifetime = seconds(247);

// The result of a finished request: the server's answer, or the error that was
// sent to the caller instead.
struct stored_answer
{
    request_id id;
    millis expires;
    // none if the server answered.
    error_kind kind = error_kind::none;
    byte_buffer answer;

    auto flow() const -> const flow_key&
    {
        return id.flow;
    }
};

// Stores the result of each finished request until its id expires. Results are
// never evicted early: the engine bounds the memory by refusing new requests
// when there is no room left for their answers.
class answer_store
{
public:
    // Returns the stored answer, or nullptr if there is none or it has expired.
    auto find(millis now, const request_id& id) const -> const stored_answer*;

    // Stores an answer. An expired answer with the same id is replaced.
    auto insert(millis now, stored_answer answer) -> void;

    // Removes expired answers.
    auto expire(millis now) -> void;

    // Removes and returns all answers of a flow.
    auto extract(millis now, const flow_key& flow)
        -> std::vector<stored_answer>;

    auto size() const -> std::size_t;

    // Memory in use in bytes, including the overhead per answer.
    auto bytes() const -> std::size_t;

    // Memory in bytes that an answer of this size takes, including overhead.
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
