#include "crowds.h"

#include "mesh/mesh_envelope.h"
#include "models/site_job.h"
#include "wire/relay_fields.h"

namespace daisyarch::limits {

namespace {

constexpr std::size_t kMegabyte = 1000UL * 1000;
// Just inside the largest body that a daemon reads.
constexpr std::size_t kBodyBytes = 4 * kMegabyte;

std::string Head(const std::string& method, const std::string& fields) {
  return method + " /jobs/00000000000000aa HTTP/1.1\r\nHost: " + kSiteHost +
         "\r\n" + fields;
}

std::string Lengthy(std::size_t bytes) {
  return Head("POST", "Content-Length: " + std::to_string(bytes) + "\r\n\r\n");
}

std::string Chunked() {
  return Head("POST", "Transfer-Encoding: chunked\r\n\r\n");
}

std::string Filler(std::size_t bytes) { return std::string(bytes, 'x'); }

std::string ChunkOf(std::size_t bytes) {
  static const char* const kDigits = "0123456789abcdef";
  std::string size;
  for (std::size_t rest = bytes; rest > 0; rest /= 16) {
    size.insert(size.begin(), kDigits[rest % 16]);
  }
  return size + "\r\n" + Filler(bytes) + "\r\n";
}

// A whole request with this body.
std::string Submission(const std::string& body) {
  return Lengthy(body.size()) + body;
}

std::string Repeated(const std::string& part, std::size_t bytes) {
  std::string text;
  text.reserve(bytes + part.size());
  while (text.size() < bytes) text += part;
  return text;
}

// A request whose body ends in the piece that holds the next one's header.
std::string PipelinedSmallFields() {
  return Submission(Filler(2500)) +
         Head("POST", "Content-Length: 900000\r\n" + Repeated("a:\r\n", 15600) +
                          "\r\n");
}

const std::string kUpgrade =
    "GET /mesh HTTP/1.1\r\nHost: a\r\nUpgrade: websocket\r\n"
    "Connection: Upgrade\r\nSec-WebSocket-Version: 13\r\n"
    "Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n";
// The headers of masked binary messages of 4,000,000 and 1,900,000 bytes; the
// mask is zero.
const std::string kLongMessage("\x82\xff\0\0\0\0\0\x3d\x09\0\0\0\0\0", 14);
const std::string kMessage("\x82\xff\0\0\0\0\0\x1c\xfd\xe0\0\0\0\0", 14);

// The header of a masked ping without a payload.
const std::string kPing("\x89\x80\0\0\0\0", 6);

// A call of as many orders as its message can hold.
std::string SmallOrders() {
  constexpr std::size_t kOrders = 150000;
  fleet::RelayedOrder order;
  order.m_order = fleet::PollOrder();
  fleet::RelayCall call;
  call.m_orders.assign(kOrders, order);
  const std::string bytes = fleet::WriteRelayCall(call);
  MeshEnvelope envelope;
  envelope.m_method = "relay_orders";
  envelope.m_body = Json::binary({bytes.begin(), bytes.end()});
  const std::string message = WriteCbor(Encode(envelope));
  std::string header("\x82\xff", 2);
  for (int shift = 56; shift >= 0; shift -= 8) {
    header += static_cast<char>(message.size() >> static_cast<unsigned>(shift));
  }
  return header + std::string(4, '\0') + message;
}

}  // namespace

std::vector<Crowd> MakeCrowds() {
  const std::string field = "X-Field: " + Filler(1000) + "\r\n";
  const std::string filler = Filler(64000);
  const std::string jobs = R"({"spec":"","steps":[)";
  return {
      {"trailers", Target::kCallers, 30, Chunked() + "0\r\n", field,
       8 * kMegabyte},
      {"chunk_extensions", Target::kCallers, 30, Chunked() + "5;a=", filler,
       8 * kMegabyte},
      {"headers", Target::kCallers, 100, Head("POST", ""), field, kMegabyte},
      {"pipelined_small_fields", Target::kCallers, 100, PipelinedSmallFields(),
       "x", 100},
      {"small_fields", Target::kCallers, 30, Head("POST", ""),
       Repeated("a:\r\n", 60000), 4 * kMegabyte},
      {"header_without_end", Target::kCallers, 100, Head("POST", "X-Field: "),
       filler, kMegabyte},
      {"chunked_bodies", Target::kCallers, 60, Chunked(), ChunkOf(8000),
       kBodyBytes},
      {"bodies_with_length", Target::kCallers, 60, Lengthy(kBodyBytes), filler,
       kBodyBytes - 64000},
      {"slow_senders", Target::kCallers, 200, Lengthy(900000), filler, 768000,
       true},
      {"readers_that_do_not_read", Target::kMetrics, 60, "",
       "GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n", kMegabyte, false, false},
      {"idle_crowd", Target::kCallers, 600, "", "", 0},
      {"idle_crowd_at_metrics", Target::kMetrics, 600, "", "", 0},
      {"deep_json", Target::kCallers, 10,
       Submission(jobs + std::string(200000, '['))},
      {"wide_json", Target::kCallers, 10,
       Submission(jobs + Repeated("[],", kBodyBytes - 100) + "0]}")},
      {"many_members", Target::kCallers, 10,
       Submission(jobs + R"({"after":[)" + Repeated("0,", kBodyBytes - 100) +
                  "0]}]}")},
      {"no_utf8", Target::kCallers, 10,
       Submission(jobs.substr(0, 9) + "\xe1" + jobs.substr(9) +
                  R"({"count":1}]})")},
      {"random_bytes", Target::kCallers, 60, "\x16\x03\x01\xff", filler,
       kMegabyte},
      {"relay_long_messages", Target::kRelay, 60, kUpgrade + kLongMessage,
       filler, kBodyBytes - 64000},
      {"relay_messages", Target::kRelay, 60, kUpgrade + kMessage, filler,
       1792000},
      {"relay_pings", Target::kRelay, 10, kUpgrade, Repeated(kPing, 60000),
       4 * kMegabyte, false, false},
      {"relay_small_orders", Target::kRelay, 10, kUpgrade + SmallOrders()},
      {"relay_headers", Target::kRelay, 100, "GET /mesh HTTP/1.1\r\n", field,
       kMegabyte},
      {"relay_idle_crowd", Target::kRelay, 600, kUpgrade, "", 0},
  };
}

}  // namespace daisyarch::limits
