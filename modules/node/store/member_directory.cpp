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
    return settings_.prefix + settings_.own_name;
}

auto member_directory::tick(millis now, bool is_isolated) -> void
{
    if (now < next_read_ || reading_ || writing_)
    {
        return;
    }
    next_read_ = now + settings_.retry_interval;
    if (!has_read_ || is_isolated)
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
    store_range request;
    request.key = settings_.prefix;
    request.range_end = prefix_end(settings_.prefix);
    request.stale_ok = true;
    store_.range(
        request,
        [this, alive = alive_](const absl::StatusOr<store_range_result>& result)
        {
            if (*alive)
            {
                on_range(result);
            }
        });
}

auto member_directory::on_range(
    const absl::StatusOr<store_range_result>& result) -> void
{
    reading_ = false;
    if (!result.ok())
    {
        report_failure("read", result.status());
        return;
    }
    has_read_ = true;
    std::vector<endpoint> addresses;
    for (const auto& it : result->values)
    {
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
    if (settings_.publishes && !published_)
    {
        publish();
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
