#include "platform/http_platform.h"

#include <charconv>
#include <memory>
#include <utility>

#include "http/http_client.h"
#include "platform/host_list_fields.h"

namespace daisyarch {

namespace {

constexpr unsigned kStatusOk = 200;
constexpr unsigned kStatusNotFound = 404;
constexpr unsigned kStatusPreconditionFailed = 412;
constexpr unsigned kStatusUnavailable = 503;

struct Service {
  HttpClient m_client;
  Duration m_timeout;
};
using ServicePointer = std::shared_ptr<Service>;

std::uint64_t ParseNumber(const std::string& text) {
  std::uint64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

StoreEntry ParseEntry(const HttpResponse& response) {
  return StoreEntry{
      StoreVersion(ParseNumber(FindHeader(response.m_headers, "ETag"))),
      response.m_body};
}

// The service answers 503 only if the call had no effect.
Error StatusError(const ServicePointer& service, const std::string& step,
                  const HttpResponse& response) {
  ErrorCode code = ErrorCode::kInternal;
  if (response.m_status == kStatusUnavailable) code = ErrorCode::kUnavailable;
  if (response.m_status == kStatusNotFound) code = ErrorCode::kNotFound;
  return Error{code, step, ToString(service->m_client.address()),
               "status " + std::to_string(response.m_status)};
}

HttpRequest MakeRequest(const std::string& method, const std::string& target) {
  HttpRequest request;
  request.m_method = method;
  request.m_target = target;
  return request;
}

// Sends a request that is answered with an entry; status 404 gives the entry of
// an absent key.
void RequestEntry(const ServicePointer& service, HttpRequest request,
                  Duration timeout, PlatformCallback<StoreEntry> on_answer) {
  service->m_client.Send(
      std::move(request), timeout,
      [service, on_answer](Result<HttpResponse> result) {
        if (!result) return on_answer(std::move(result).assume_error());
        const HttpResponse& response = result.assume_value();
        if (response.m_status == kStatusNotFound) {
          return on_answer(StoreEntry{});
        }
        if (response.m_status != kStatusOk) {
          return on_answer(StatusError(service, "read store", response));
        }
        on_answer(ParseEntry(response));
      });
}

void CompareAndSwap(const ServicePointer& service, const std::string& key,
                    StoreVersion expected, std::string value,
                    StoreLeaseId lease,
                    PlatformCallback<SwapResult> on_answer) {
  HttpRequest request = MakeRequest("PUT", "/kv/" + key);
  request.m_headers.emplace_back("If-Match", std::to_string(expected.value()));
  if (lease != StoreLeaseId()) {
    request.m_headers.emplace_back("X-Lease", std::to_string(lease.value()));
  }
  request.m_body = std::move(value);
  service->m_client.Send(
      std::move(request), service->m_timeout,
      [service, on_answer](Result<HttpResponse> result) {
        if (!result) return on_answer(std::move(result).assume_error());
        const HttpResponse& response = result.assume_value();
        const bool is_swapped = response.m_status == kStatusOk;
        if (!is_swapped && response.m_status != kStatusPreconditionFailed) {
          return on_answer(StatusError(service, "write store", response));
        }
        on_answer(SwapResult{is_swapped, ParseEntry(response)});
      });
}

void RequestLease(const ServicePointer& service, HttpRequest request,
                  const std::string& step,
                  PlatformCallback<StoreLeaseId> on_answer) {
  service->m_client.Send(
      std::move(request), service->m_timeout,
      [service, step, on_answer](Result<HttpResponse> result) {
        if (!result) return on_answer(std::move(result).assume_error());
        const HttpResponse& response = result.assume_value();
        if (response.m_status != kStatusOk) {
          return on_answer(StatusError(service, step, response));
        }
        on_answer(StoreLeaseId(ParseNumber(response.m_body)));
      });
}

void ListHosts(const ServicePointer& service,
               PlatformCallback<HostList> on_answer) {
  service->m_client.Send(
      MakeRequest("GET", "/hosts"), service->m_timeout,
      [service, on_answer](Result<HttpResponse> result) {
        if (!result) return on_answer(std::move(result).assume_error());
        const HttpResponse& response = result.assume_value();
        if (response.m_status != kStatusOk) {
          return on_answer(StatusError(service, "list hosts", response));
        }
        on_answer(DecodeJson<HostList>(response.m_body, "list hosts",
                                       ToString(service->m_client.address())));
      });
}

std::string LeaseTarget(StoreLeaseId lease) {
  return "/leases/" + std::to_string(lease.value());
}

}  // namespace

Platform MakeHttpPlatform(boost::asio::io_context& loop, const Address& address,
                          Duration timeout) {
  const ServicePointer service(
      new Service{HttpClient(loop, address, HttpClientLimits()), timeout});
  Platform platform;
  platform.m_read = [service](const std::string& key,
                              PlatformCallback<StoreEntry> on_answer) {
    RequestEntry(service, MakeRequest("GET", "/kv/" + key), service->m_timeout,
                 std::move(on_answer));
  };
  platform.m_compare_and_swap =
      [service](const std::string& key, StoreVersion expected,
                std::string value, StoreLeaseId lease,
                PlatformCallback<SwapResult> on_answer) {
        CompareAndSwap(service, key, expected, std::move(value), lease,
                       std::move(on_answer));
      };
  platform.m_watch = [service](const std::string& key, StoreVersion known,
                               Duration wait,
                               PlatformCallback<StoreEntry> on_answer) {
    const std::string target =
        "/kv/" + key + "?after=" + std::to_string(known.value()) +
        "&wait_ms=" + std::to_string(ToMilliseconds(wait));
    RequestEntry(service, MakeRequest("GET", target), wait + service->m_timeout,
                 std::move(on_answer));
  };
  platform.m_grant_lease = [service](Duration term,
                                     PlatformCallback<StoreLeaseId> on_answer) {
    RequestLease(service,
                 MakeRequest("POST", "/leases?term_ms=" +
                                         std::to_string(ToMilliseconds(term))),
                 "grant lease", std::move(on_answer));
  };
  platform.m_renew_lease = [service](StoreLeaseId lease,
                                     PlatformCallback<StoreLeaseId> on_answer) {
    RequestLease(service, MakeRequest("PUT", LeaseTarget(lease)), "renew lease",
                 std::move(on_answer));
  };
  platform.m_revoke_lease =
      [service](StoreLeaseId lease, PlatformCallback<StoreLeaseId> on_answer) {
        RequestLease(service, MakeRequest("DELETE", LeaseTarget(lease)),
                     "revoke lease", std::move(on_answer));
      };
  platform.m_list_hosts = [service](PlatformCallback<HostList> on_answer) {
    ListHosts(service, std::move(on_answer));
  };
  return platform;
}

}  // namespace daisyarch
