#include "store_view.h"

#include <absl/strings/escaping.h>
#include <absl/strings/match.h>

#include <algorithm>

#include "fleet/store_keys.h"
#include "wire/json.h"

namespace daisyarch {

namespace {

using Addresses = std::map<std::string, std::string>;

std::string Replace(const Addresses& addresses, const std::string& address) {
  const auto found = addresses.find(address);
  return found == addresses.end() ? address : found->second;
}

// A worker's entry is an object; in the roster, the address comes first.
std::string ReplaceIn(const Addresses& addresses, const std::string& key,
                      const std::string& value) {
  if (absl::StartsWith(key, fleet::kRosterPrefix)) {
    const std::size_t end = std::min(value.find(' '), value.size());
    return Replace(addresses, value.substr(0, end)) + value.substr(end);
  }
  Json entry = Json::parse(value, nullptr, false);
  if (!entry.is_object() || !entry.contains("addr")) return value;
  entry["addr"] = Replace(addresses, entry["addr"].get<std::string>());
  return entry.dump();
}

void ReplaceInItem(const Addresses& addresses, Json& item) {
  if (!item.is_object() || !item.contains("value")) return;
  const std::string key = item.value("key", std::string());
  const bool has_address = absl::StartsWith(key, fleet::kRosterPrefix) ||
                           absl::StartsWith(key, "servers/");
  std::string value;
  if (!has_address ||
      !absl::Base64Unescape(item["value"].get<std::string>(), &value)) {
    return;
  }
  item["value"] = absl::Base64Escape(ReplaceIn(addresses, key, value));
}

std::string ReplaceInBody(const Addresses& addresses, const std::string& text) {
  Json body = Json::parse(text, nullptr, false);
  if (!body.is_object()) return text;
  ReplaceInItem(addresses, body);
  for (const char* list : {"items", "events", "puts"}) {
    if (!body.contains(list)) continue;
    for (Json& item : body[list]) ReplaceInItem(addresses, item);
  }
  return body.dump();
}

}  // namespace

void AddLink(StoreView& view, const std::string& worker,
             const std::string& link) {
  view.m_link_of[worker] = link;
  view.m_worker_of[link] = worker;
}

HttpRequest ToStore(const StoreView& view, HttpRequest request) {
  request.m_body = ReplaceInBody(view.m_worker_of, request.m_body);
  return request;
}

HttpResponse FromStore(const StoreView& view, HttpResponse response) {
  response.m_body = ReplaceInBody(view.m_link_of, response.m_body);
  return response;
}

}  // namespace daisyarch
