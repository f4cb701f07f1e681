#include "site_store.h"

#include <absl/strings/escaping.h>
#include <absl/strings/match.h>
#include <absl/strings/numbers.h>

#include <algorithm>

#include "json_fields.h"
#include "models/standin_control.h"

namespace daisyarch {

namespace {

using adapter::IntegerAt;
using adapter::TextAt;

constexpr std::size_t kPageItems = 500;
constexpr std::size_t kKeptHistory = 4000;
constexpr unsigned kStatusForbidden = 403;
constexpr unsigned kStatusNotFound = 404;
constexpr unsigned kStatusGone = 410;
constexpr unsigned kStatusConditionFailed = 412;

// Keys and prefixes have no characters that would be escaped.
std::string QueryText(const std::string& target, const std::string& name) {
  const auto query = target.find('?');
  if (query == std::string::npos) return "";
  const std::string parts = "&" + target.substr(query + 1);
  const auto found = parts.find("&" + name + "=");
  if (found == std::string::npos) return "";
  const auto begin = found + name.size() + 2;
  return parts.substr(begin, parts.find('&', begin) - begin);
}

std::uint64_t NumberOf(const std::string& text) {
  std::uint64_t number = 0;
  return absl::SimpleAtoi(text, &number) ? number : 0;
}

Json ItemOf(const std::string& key, const std::string& value,
            StoreRevision revision) {
  return {{"key", key},
          {"value", absl::Base64Escape(value)},
          {"rev", revision.value()}};
}

HttpResponse ReadKey(const SiteStore& store, const std::string& key) {
  const auto found = store.m_model.m_entries.find(key);
  const std::uint64_t as_of = store.m_model.m_revision.value();
  if (found == store.m_model.m_entries.end()) {
    return JsonResponse(kStatusNotFound, {{"as_of", as_of}});
  }
  Json item = ItemOf(key, found->second.m_value, found->second.m_revision);
  item["as_of"] = as_of;
  return JsonResponse(200, item);
}

HttpResponse ReadRange(const SiteStore& store, const std::string& prefix,
                       const std::string& after) {
  const StoreListing listing = List(store.m_model, prefix);
  Json items = Json::array();
  bool has_more = false;
  for (const StoredItem& item : listing.m_items) {
    if (!after.empty() && item.m_key <= after) continue;
    has_more = items.size() == kPageItems;
    if (has_more) break;
    items.push_back(ItemOf(item.m_key, item.m_value, item.m_revision));
  }
  return JsonResponse(200, {{"items", items},
                            {"has_more", has_more},
                            {"as_of", listing.m_as_of.value()}});
}

// Returns whether the watch has been answered.
bool AnswerWatch(const SiteStore& store, const SiteWatch& watch,
                 TimePoint now) {
  const auto changes =
      ChangesAfter(store.m_model, watch.m_prefix, watch.m_after);
  if (!changes) {
    watch.m_respond(JsonResponse(kStatusGone, Json::object()));
    return true;
  }
  const StoreChanges& found = changes.assume_value();
  if (found.m_changes.empty() && now < watch.m_until) return false;
  Json events = Json::array();
  for (const StoreChange& change : found.m_changes) {
    Json event =
        ItemOf(change.m_key, change.m_value.value_or(""), change.m_revision);
    if (!change.m_value) {
      event = {{"key", change.m_key},
               {"rev", change.m_revision.value()},
               {"tombstone", true}};
    }
    events.push_back(std::move(event));
  }
  watch.m_respond(JsonResponse(
      200, {{"events", events}, {"as_of", found.m_as_of.value()}}));
  return true;
}

void StartWatch(SiteStore& store, const std::string& target,
                const HttpResponder& respond) {
  const TimePoint now = StandinNow();
  const auto wait =
      static_cast<std::int64_t>(NumberOf(QueryText(target, "wait_ms")));
  SiteWatch watch{QueryText(target, "prefix"),
                  StoreRevision(NumberOf(QueryText(target, "after"))),
                  now + FromMilliseconds(wait), respond};
  if (!AnswerWatch(store, watch, now)) store.m_watches.push_back(watch);
}

std::uint64_t UnsignedAt(const Json& object, const char* name) {
  return static_cast<std::uint64_t>(IntegerAt(object, name));
}

StoreTransaction ReadTransaction(const Json& body) {
  StoreTransaction transaction;
  for (const Json& row : body.value("expect", Json::array())) {
    transaction.m_expectations.push_back(
        {TextAt(row, "key"), StoreRevision(UnsignedAt(row, "rev"))});
  }
  for (const Json& row : body.value("puts", Json::array())) {
    std::string value;
    absl::Base64Unescape(TextAt(row, "value"), &value);
    transaction.m_puts.push_back(
        {TextAt(row, "key"), value, StoreLeaseId(UnsignedAt(row, "lease"))});
  }
  for (const Json& key : body.value("remove", Json::array())) {
    transaction.m_removals.push_back(key.get<std::string>());
  }
  return transaction;
}

bool IsForeign(const std::string& key) {
  return absl::StartsWith(key, "op/") || absl::StartsWith(key, "servers/");
}

HttpResponse Commit(SiteStore& store, const Json& body) {
  const StoreTransaction transaction = ReadTransaction(body);
  for (const StorePut& put : transaction.m_puts) {
    if (IsForeign(put.m_key)) return JsonResponse(kStatusForbidden, {});
  }
  ExpireLeases(store.m_model, StandinNow());
  if (!HasLeases(store.m_model, transaction)) {
    return JsonResponse(kStatusNotFound, Json::object());
  }
  const TransactionResult result = Apply(store.m_model, transaction);
  if (result.m_is_applied) {
    return JsonResponse(200, {{"rev", result.m_revision.value()}});
  }
  Json items = Json::array();
  for (const StoredItem& item : result.m_current_items) {
    items.push_back(ItemOf(item.m_key, item.m_value, item.m_revision));
  }
  return JsonResponse(kStatusConditionFailed, {{"items", items}});
}

HttpResponse HandleLease(SiteStore& store, const std::string& path,
                         const Json& body) {
  const TimePoint now = StandinNow();
  ExpireLeases(store.m_model, now);
  if (path == "/daisyarch/kv-lease") {
    const std::int64_t term = IntegerAt(body, "ttl_ms");
    const StoreLeaseId lease =
        GrantLease(store.m_model, FromMilliseconds(term), now);
    return JsonResponse(200, {{"lease", lease.value()}, {"ttl_ms", term}});
  }
  const StoreLeaseId lease(NumberOf(path.substr(path.rfind('/') + 1)));
  if (absl::StartsWith(path, "/daisyarch/kv-lease-end/")) {
    RevokeLease(store.m_model, lease);
    return JsonResponse(200, Json::object());
  }
  const bool is_known =
      static_cast<bool>(RenewLease(store.m_model, lease, now));
  return JsonResponse(is_known ? 200 : kStatusNotFound, Json::object());
}

}  // namespace

void HandleCall(SiteStore& store, const HttpRequest& request,
                const HttpResponder& respond) {
  const std::string& target = request.m_target;
  const std::string path = target.substr(0, target.find('?'));
  Json body = Json::parse(request.m_body, nullptr, false);
  if (!body.is_object()) body = Json::object();
  if (path == "/daisyarch/kv-key") {
    return respond(ReadKey(store, QueryText(target, "key")));
  }
  if (path == "/daisyarch/kv-range") {
    return respond(ReadRange(store, QueryText(target, "prefix"),
                             QueryText(target, "after")));
  }
  if (path == "/daisyarch/kv-watch") return StartWatch(store, target, respond);
  if (path == "/daisyarch/kv-txn") return respond(Commit(store, body));
  if (absl::StartsWith(path, "/daisyarch/kv-")) {
    return respond(HandleLease(store, path, body));
  }
  respond(JsonResponse(kStatusNotFound, Json::object()));
}

void PutKey(SiteStore& store, const std::string& key,
            const std::string& value) {
  StoreTransaction transaction;
  transaction.m_puts.push_back({key, value, StoreLeaseId()});
  Apply(store.m_model, transaction);
}

void Tick(SiteStore& store, TimePoint now) {
  ExpireLeases(store.m_model, now);
  for (auto watch = store.m_watches.begin(); watch != store.m_watches.end();) {
    watch = AnswerWatch(store, *watch, now) ? store.m_watches.erase(watch)
                                            : std::next(watch);
  }
  std::vector<StoreChange>& history = store.m_model.m_history;
  if (history.size() < 2 * kKeptHistory) return;
  const auto kept = history.end() - static_cast<std::ptrdiff_t>(kKeptHistory);
  store.m_model.m_compacted_revision = std::prev(kept)->m_revision;
  history.erase(history.begin(), kept);
}

}  // namespace daisyarch
