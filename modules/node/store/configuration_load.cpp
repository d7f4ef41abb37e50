#include "node/store/configuration_load.hpp"

#include <utility>

namespace briardrum
{

namespace
{

// Keeps each answer of the store well below a megabyte.
constexpr std::int64_t values_per_page = 2000;

// State of a load in progress, shared by its callbacks.
struct load_state
{
    store* source = nullptr;
    store_layout layout;
    store_callback<loaded_configuration> done;
    loaded_configuration out;
    std::vector<configuration_change> changes;
};

auto finish(load_state& state) -> void
{
    if (state.changes.empty())
    {
        state.done(state.out);
        return;
    }
    auto value = apply_changes(configuration{}, state.changes);
    if (!value.ok())
    {
        state.done(value.status());
        return;
    }
    state.out.value = std::make_shared<const configuration>(*std::move(value));
    state.done(state.out);
}

auto append_page(load_state& state, const store_range_result& page) -> void
{
    const auto prefix = state.layout.configuration_prefix();
    for (const auto& item : page.values)
    {
        const auto key = item.key.substr(prefix.size());
        state.changes.push_back({key, item.value});
        if (key == root_key)
        {
            state.out.root = item.value;
        }
    }
}

auto read_page(const std::shared_ptr<load_state>& state,
               const std::string& from) -> void
{
    const auto prefix = state->layout.configuration_prefix();
    const store_range request{from, prefix_end(prefix), values_per_page,
                              state->out.position.revision};
    state->source->range(
        request,
        [state](const absl::StatusOr<store_range_result>& page)
        {
            if (!page.ok())
            {
                state->done(page.status());
                return;
            }
            auto& pinned = state->out.position;
            if (pinned.revision != 0 && page->era != pinned.era)
            {
                state->done(make_error(error_kind::unavailable,
                                       "the store was restored meanwhile"));
                return;
            }
            if (pinned.revision == 0)
            {
                pinned = {page->era, page->revision};
            }
            append_page(*state, *page);
            if (page->more && !page->values.empty())
            {
                read_page(state, page->values.back().key + '\0');
                return;
            }
            finish(*state);
        });
}

} // namespace

auto load_configuration(store& source, const store_layout& layout,
                        store_callback<loaded_configuration> done) -> void
{
    auto state = std::make_shared<load_state>();
    state->source = &source;
    state->layout = layout;
    state->done = std::move(done);
    read_page(state, layout.configuration_prefix());
}

} // namespace briardrum
