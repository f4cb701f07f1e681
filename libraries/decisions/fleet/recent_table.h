#pragma once

#include <cstddef>
#include <cstdint>
#include <map>

namespace daisyarch::fleet {

/// A bounded map that drops the entry which was touched the longest ago.
template <typename Key, typename Entry>
struct RecentTable {
  struct Row {
    Entry m_entry;
    std::uint64_t m_touch = 0;
  };

  std::size_t m_limit = 0;  ///< Largest number of entries.
  std::map<Key, Row> m_rows;
  std::map<std::uint64_t, Key> m_touches;  ///< The oldest first.
  std::uint64_t m_last_touch = 0;
};

/// Returns the entry; nullptr if there is none.
template <typename Key, typename Entry>
const Entry* Find(const RecentTable<Key, Entry>& table, const Key& key) {
  const auto found = table.m_rows.find(key);
  return found == table.m_rows.end() ? nullptr : &found->second.m_entry;
}

/// Returns the entry, which is added if there is none.
template <typename Key, typename Entry>
Entry& Touch(RecentTable<Key, Entry>& table, const Key& key) {
  auto& row = table.m_rows[key];
  table.m_touches.erase(row.m_touch);
  row.m_touch = ++table.m_last_touch;
  table.m_touches.emplace(row.m_touch, key);
  if (table.m_rows.size() > table.m_limit) {
    table.m_rows.erase(table.m_touches.begin()->second);
    table.m_touches.erase(table.m_touches.begin());
  }
  return row.m_entry;
}

template <typename Key, typename Entry>
void Erase(RecentTable<Key, Entry>& table, const Key& key) {
  const auto found = table.m_rows.find(key);
  if (found == table.m_rows.end()) return;
  table.m_touches.erase(found->second.m_touch);
  table.m_rows.erase(found);
}

}  // namespace daisyarch::fleet
