#include "node/store/store.hpp"

#include <iterator>
#include <utility>

namespace briardrum
{

auto append_page(store_range_result& pages, store_range_result page)
    -> absl::Status
{
    if (pages.values.empty())
    {
        pages = std::move(page);
        return absl::OkStatus();
    }
    if (page.era != pages.era)
    {
        return make_error(error_kind::unavailable,
                          "store: restored between two pages");
    }
    // A watch from the first page's revision reports the writes that were made
    // while later pages were read.
    pages.more = page.more;
    std::move(page.values.begin(), page.values.end(),
              std::back_inserter(pages.values));
    return absl::OkStatus();
}

auto prefix_end(std::string_view prefix) -> std::string
{
    std::string out(prefix);
    // The caller passed a prefix without an upper bound: empty, or ending in
    // 0xff.
    BRIARDRUM_INVARIANT(!out.empty() && out.back() != '\xff');
    ++out.back();
    return out;
}

} // namespace briardrum
