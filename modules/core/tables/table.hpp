#ifndef BRIARDRUM_CORE_TABLES_TABLE_HPP
#define BRIARDRUM_CORE_TABLES_TABLE_HPP

#include <cstddef>
#include <unordered_map>
#include <utility>
#include <vector>

namespace briardrum
{

// Hash table of entities with contiguous storage, so that all rows can be
// visited efficiently on each tick: for (auto& row : table.rows()).
//
// A pointer or reference to a row is valid until the next insert or erase.
// Erasing moves the last row into the gap; use erase_if() to remove rows while
// iterating. The row order depends only on the order of operations, so that
// runs are reproducible.
template <typename Key, typename Row>
class table
{
public:
    struct entry
    {
        Key key;
        Row row;
    };

    // Returns the row with this key, or nullptr.
    auto find(const Key& key) -> Row*
    {
        const auto it = indices_.find(key);
        return it == indices_.end() ? nullptr : &rows_[it->second].row;
    }

    auto find(const Key& key) const -> const Row*
    {
        const auto it = indices_.find(key);
        return it == indices_.end() ? nullptr : &rows_[it->second].row;
    }

    // Adds a row, or returns the existing row with this key unchanged.
    auto insert(const Key& key, Row row = {}) -> Row&
    {
        const auto [it, added] = indices_.try_emplace(key, rows_.size());
        if (added)
        {
            rows_.push_back({key, std::move(row)});
        }
        return rows_[it->second].row;
    }

    // Removes a row. Returns false if there is none with this key.
    auto erase(const Key& key) -> bool
    {
        const auto it = indices_.find(key);
        if (it == indices_.end())
        {
            return false;
        }
        const auto index = it->second;
        indices_.erase(it);
        if (index + 1 != rows_.size())
        {
            rows_[index] = std::move(rows_.back());
            indices_[rows_[index].key] = index;
        }
        rows_.pop_back();
        return true;
    }

    // Removes every row for which predicate(key, row) is true. Returns the
    // number of removed rows.
    template <typename Predicate>
    auto erase_if(Predicate predicate) -> std::size_t
    {
        std::size_t removed = 0;
        for (std::size_t n = 0; n < rows_.size();)
        {
            if (predicate(rows_[n].key, rows_[n].row))
            {
                const auto key = rows_[n].key;
                erase(key);
                ++removed;
            }
            else
            {
                ++n;
            }
        }
        return removed;
    }

    auto rows() -> std::vector<entry>&
    {
        return rows_;
    }

    auto rows() const -> const std::vector<entry>&
    {
        return rows_;
    }

    auto size() const -> std::size_t
    {
        return rows_.size();
    }

    auto empty() const -> bool
    {
        return rows_.empty();
    }

private:
    std::vector<entry> rows_;
    std::unordered_map<Key, std::size_t> indices_;
};

} // namespace briardrum

#endif
