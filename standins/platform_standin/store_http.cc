#include "store_http.h"

#include <boost/asio/steady_timer.hpp>
#include <charconv>
#include <memory>
#include <utility>

#include "models/standin_main.h"
#include "wire/json.h"

namespace daisyarch {

namespace {

constexpr unsigned kStatusBadRequest = 400;
constexpr unsigned kStatusNotFound = 404;
constexpr unsigned kStatusConflict = 412;
constexpr unsigned kStatusUnavailable = 503;

std::uint64_t ParseNumber(const std::string& text) {
  std::uint64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

// Returns the number after NAME= in a query, or 0 if the query has no such
// name.
std::uint64_t QueryNumber(const std::string& query, const std::string& name) {
  const auto position = query.find(name + "=");
  if (position == std::string::npos) return 0;
  return ParseNumber(query.substr(position + name.size() + 1));
}

HttpResponse EntryResponse(const StoreEntry& entry, unsigned status) {
  HttpResponse response;
  response.m_status = status;
  response.m_headers.emplace_back("ETag",
                                  std::to_string(entry.m_version.value()));
  response.m_body = entry.m_value;
  return response;
}

HttpResponse StatusResponse(unsigned status, const std::string& body) {
  HttpResponse response;
  response.m_status = status;
  response.m_body = body;
  return response;
}

unsigned StatusOfEntry(const StoreEntry& entry) {
  return entry.m_version == StoreVersion() ? kStatusNotFound : 200;
}

void HandleRead(StoreService& service, const std::string& key,
                const std::string& query, const HttpResponder& respond) {
  const TimePoint now = StandinNow();
  const StoreEntry entry = ReadValue(service.m_store, key, now);
  const std::uint64_t wait = QueryNumber(query, "wait_ms");
  const StoreVersion known(QueryNumber(query, "after"));
  if (wait == 0 || entry.m_version > known) {
    return respond(EntryResponse(entry, StatusOfEntry(entry)));
  }
  service.m_watches.push_back(PendingWatch{
      key, known, now + FromMilliseconds(static_cast<std::int64_t>(wait)),
      respond});
}

void AnswerWatches(StoreService& service, const std::string& key,
                   const StoreEntry& entry) {
  for (auto watch = service.m_watches.begin();
       watch != service.m_watches.end();) {
    if (watch->m_key != key || entry.m_version <= watch->m_known) {
      ++watch;
      continue;
    }
    watch->m_respond(EntryResponse(entry, StatusOfEntry(entry)));
    watch = service.m_watches.erase(watch);
  }
}

void HandleWrite(StoreService& service, const std::string& key,
                 const HttpRequest& request, const HttpResponder& respond) {
  const StoreVersion expected(
      ParseNumber(FindHeader(request.m_headers, "If-Match")));
  const StoreLeaseId lease(
      ParseNumber(FindHeader(request.m_headers, "X-Lease")));
  const auto result = SwapValue(service.m_store, key, expected, request.m_body,
                                lease, StandinNow());
  if (!result) {
    const bool is_too_large =
        result.assume_error().m_code == ErrorCode::kInvalidArgument;
    return respond(
        StatusResponse(is_too_large ? kStatusBadRequest : kStatusNotFound,
                       result.assume_error().m_detail));
  }
  const SwapResult& swap = result.assume_value();
  if (swap.m_is_swapped) AnswerWatches(service, key, swap.m_entry);
  if (service.m_faults.m_lose_answers > 0) {
    --service.m_faults.m_lose_answers;
    return;
  }
  // A successful write is answered without the value, which its sender has.
  StoreEntry entry = swap.m_entry;
  if (swap.m_is_swapped) entry.m_value.clear();
  respond(EntryResponse(entry, swap.m_is_swapped ? 200 : kStatusConflict));
}

void HandleLease(StoreService& service, const HttpRequest& request,
                 const std::string& rest, const HttpResponder& respond) {
  const TimePoint now = StandinNow();
  if (request.m_method == "POST") {
    const Duration term = FromMilliseconds(
        static_cast<std::int64_t>(QueryNumber(rest, "term_ms")));
    const StoreLeaseId lease = GrantLease(service.m_store, term, now);
    return respond(StatusResponse(200, std::to_string(lease.value())));
  }
  const StoreLeaseId lease(ParseNumber(rest.substr(1)));
  if (request.m_method == "DELETE") {
    RevokeLease(service.m_store, lease);
    return respond(StatusResponse(200, std::to_string(lease.value())));
  }
  const auto renewed = RenewLease(service.m_store, lease, now);
  if (!renewed) return respond(StatusResponse(kStatusNotFound, ""));
  respond(StatusResponse(200, std::to_string(lease.value())));
}

void HandleFaults(StoreService& service, const std::string& query,
                  const HttpResponder& respond) {
  const TimePoint now = StandinNow();
  const auto milliseconds = [&query](const std::string& name) {
    return FromMilliseconds(
        static_cast<std::int64_t>(QueryNumber(query, name)));
  };
  service.m_faults.m_outage_until = now + milliseconds("outage_ms");
  service.m_faults.m_refuse_until = now + milliseconds("refuse_ms");
  service.m_faults.m_delay = milliseconds("delay_ms");
  service.m_faults.m_lose_answers = QueryNumber(query, "lose_answers");
  respond(StatusResponse(200, "ok\n"));
}

void HandleCounts(const StoreService& service, const HttpResponder& respond) {
  const Json counts = {{"reads", service.m_store.m_reads},
                       {"writes", service.m_store.m_writes},
                       {"watches", service.m_watches.size()}};
  respond(StatusResponse(200, counts.dump() + "\n"));
}

void Route(StoreService& service, const HttpRequest& request,
           const HttpResponder& respond) {
  const std::string& target = request.m_target;
  const auto question_mark = target.find('?');
  const std::string path = target.substr(0, question_mark);
  const std::string query = question_mark == std::string::npos
                                ? ""
                                : target.substr(question_mark + 1);
  const std::string kv = "/kv/";
  const std::string leases = "/leases";
  if (path.rfind(kv, 0) == 0 && request.m_method == "GET") {
    return HandleRead(service, path.substr(kv.size()), query, respond);
  }
  if (path.rfind(kv, 0) == 0 && request.m_method == "PUT") {
    return HandleWrite(service, path.substr(kv.size()), request, respond);
  }
  if (path.rfind(leases, 0) == 0) {
    return HandleLease(service, request, target.substr(leases.size()), respond);
  }
  if (path == "/hosts" && request.m_method == "GET") {
    return respond(StatusResponse(200, service.m_hosts));
  }
  if (path == "/hosts" && request.m_method == "PUT") {
    service.m_hosts = request.m_body;
    return respond(StatusResponse(200, "ok\n"));
  }
  respond(StatusResponse(kStatusNotFound, "no such path\n"));
}

}  // namespace

void HandleStoreCall(StoreService& service, const HttpRequest& request,
                     const HttpResponder& respond) {
  const TimePoint now = StandinNow();
  const std::string faults = "/faults?";
  if (request.m_target.rfind(faults, 0) == 0) {
    return HandleFaults(service, request.m_target.substr(faults.size()),
                        respond);
  }
  if (request.m_target == "/counts") return HandleCounts(service, respond);
  if (now < service.m_faults.m_outage_until) return;
  if (now < service.m_faults.m_refuse_until) {
    return respond(StatusResponse(kStatusUnavailable, "refused\n"));
  }
  if (service.m_faults.m_delay == Duration::zero()) {
    return Route(service, request, respond);
  }
  const auto timer = std::make_shared<boost::asio::steady_timer>(
      service.m_loop, service.m_faults.m_delay);
  timer->async_wait(
      [&service, request, respond, timer](boost::system::error_code) {
        Route(service, request, respond);
      });
}

void TickStore(StoreService& service, TimePoint now) {
  ExpireLeases(service.m_store, now);
  for (auto watch = service.m_watches.begin();
       watch != service.m_watches.end();) {
    if (now < watch->m_until) {
      ++watch;
      continue;
    }
    const StoreEntry entry = ReadValue(service.m_store, watch->m_key, now);
    watch->m_respond(EntryResponse(entry, StatusOfEntry(entry)));
    watch = service.m_watches.erase(watch);
  }
}

}  // namespace daisyarch
