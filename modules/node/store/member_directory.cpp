#include "node/store/member_directory.hpp"

#include <utility>

namespace briardrum
{

member_directory::member_directory(store& source,
                                   member_directory_settings settings,
                                   member_directory_hooks hooks)
    : store_(source), settings_(std::move(settings)), hooks_(std::move(hooks))
{
}

member_directory::~member_directory()
{
    *alive_ = false;
}

auto member_directory::own_key() const -> std::string
{
    return settings_.layout.balancer_key(settings_.own_name);
}

auto member_directory::tick(millis now, bool is_isolated) -> void
{
    if (now < next_read_ || reading_ || writing_)
    {
        return;
    }
    next_read_ = now + settings_.retry_interval;
    if (!has_read_agents_ || is_isolated)
    {
        read();
    }
    else if (settings_.publishes && !published_)
    {
        publish();
    }
}

auto member_directory::on_store_restored() -> void
{
    must_publish_ = true;
    published_ = false;
}

auto member_directory::read() -> void
{
    reading_ = true;
    auto request = settings_.layout.all();
    // Addresses may be seconds old; the list of agents must be complete.
    request.stale_ok = has_read_agents_;
    store_.range(request,
                 [this, alive = alive_, is_current = !request.stale_ok](
                     const absl::StatusOr<store_range_result>& result)
                 {
                     if (*alive)
                     {
                         on_range(result, is_current);
                     }
                 });
}

auto member_directory::on_range(
    const absl::StatusOr<store_range_result>& result, bool is_current) -> void
{
    reading_ = false;
    if (!result.ok())
    {
        report_failure("read", result.status());
        return;
    }
    std::vector<endpoint> addresses;
    for (const auto& it : result->values)
    {
        if (it.key == settings_.layout.era_key())
        {
            continue;
        }
        const auto address = parse_endpoint(it.value);
        if (!address.ok())
        {
            report_failure("read " + it.key, address.status());
            continue;
        }
        if (it.key == own_key())
        {
            published_ = !must_publish_ && *address == settings_.own_address;
            continue;
        }
        addresses.push_back(*address);
    }
    report_read(*result, addresses.size());
    hooks_.on_addresses(addresses);
    if (is_current && !has_read_agents_)
    {
        read_agents(*result);
    }
    if (settings_.publishes && !published_)
    {
        publish();
    }
}

// After a restore, entries may be missing until the registrar has written them
// again and has said so.
auto member_directory::read_agents(const store_range_result& result) -> void
{
    std::vector<listed_agent> agents;
    auto is_complete = true;
    for (const auto& it : result.values)
    {
        if (it.key == settings_.layout.era_key())
        {
            is_complete = it.value == std::to_string(result.era);
            continue;
        }
        const auto name = settings_.layout.agent_of(it.key);
        if (!name.empty())
        {
            // An agent whose entry was damaged is still one that must be heard.
            const auto address = parse_endpoint(it.value);
            agents.push_back(
                {member_id_of(name), address.ok() ? *address : endpoint{}});
        }
    }
    has_read_agents_ = is_complete;
    if (hooks_.events)
    {
        hooks_.events(event("registered_agents_read")
                          .with("agents", std::uint64_t{agents.size()})
                          .with("complete", is_complete ? "yes" : "no")
                          .with("era", result.era));
    }
    if (is_complete && hooks_.on_agents)
    {
        hooks_.on_agents(agents);
    }
}

// Writes without a compare: only this member writes its key, and repeating the
// write after a lost answer is idempotent.
auto member_directory::publish() -> void
{
    writing_ = true;
    must_publish_ = false;
    store_transaction request;
    request.writes.push_back(
        {own_key(), to_string(settings_.own_address), false, 0});
    store_.commit(request,
                  [this, alive = alive_](
                      const absl::StatusOr<store_commit_result>& result)
                  {
                      if (!*alive)
                      {
                          return;
                      }
                      writing_ = false;
                      // The store may have been restored meanwhile.
                      published_ = result.ok() && !must_publish_;
                      if (!result.ok())
                      {
                          report_failure("write", result.status());
                          return;
                      }
                      report_published(*result);
                  });
}

auto member_directory::report_read(const store_range_result& result,
                                   std::size_t others) const -> void
{
    if (hooks_.events)
    {
        hooks_.events(
            event("member_directory_read")
                .with("others", std::uint64_t{others})
                .with("revision", static_cast<std::uint64_t>(result.revision))
                .with("era", result.era));
    }
}

auto member_directory::report_published(const store_commit_result& result) const
    -> void
{
    if (hooks_.events)
    {
        hooks_.events(
            event("member_directory_written")
                .with("key", own_key())
                .with("address", to_string(settings_.own_address))
                .with("revision", static_cast<std::uint64_t>(result.revision))
                .with("era", result.era));
    }
}

auto member_directory::leave() -> void
{
    if (!settings_.publishes)
    {
        return;
    }
    store_transaction request;
    request.writes.push_back({own_key(), "", true, 0});
    store_.commit(request,
                  [this, alive = alive_](
                      const absl::StatusOr<store_commit_result>& result)
                  {
                      if (*alive && !result.ok())
                      {
                          report_failure("remove", result.status());
                      }
                  });
}

auto member_directory::report_failure(std::string_view operation,
                                      const absl::Status& error) -> void
{
    if (hooks_.events)
    {
        hooks_.events(event("member_directory_failed", event_level::warning)
                          .with("call", operation)
                          .with("why", std::string(error.message())));
    }
}

} // namespace briardrum
