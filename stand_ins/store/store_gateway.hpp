#ifndef BRIARDRUM_STAND_INS_STORE_STORE_GATEWAY_HPP
#define BRIARDRUM_STAND_INS_STORE_STORE_GATEWAY_HPP

#include "stand_ins/store/memory_store.hpp"
#include "stand_ins/store/store_faults.hpp"

#include <memory>

namespace briardrum::stand_in
{

// A memory_store that answers etcd's JSON calls over HTTP, with faults that
// can be changed while it runs by a POST to /stand_in/fault. A POST to
// /stand_in/compact forgets past events, and GET /stand_in/calls tells how
// many calls of each kind were made.
class store_gateway
{
public:
    explicit store_gateway(store_faults faults);
    ~store_gateway();
    store_gateway(const store_gateway&) = delete;
    auto operator=(const store_gateway&) -> store_gateway& = delete;

    // Binds and starts answering on threads of its own; false when the
    // address cannot be had. Port 0 takes any that is free.
    auto start(const endpoint& local) -> bool;

    // Where it answers.
    auto local() const -> endpoint;

    auto stop() -> void;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace briardrum::stand_in

#endif
