#include "faulty_peer.h"
#include "mesh/mesh_envelope.h"
#include "wire/relay_fields.h"

namespace daisyarch::limits {

namespace {

constexpr std::size_t kMegabyte = 1000UL * 1000;
// More than any answer inside the protocol, from each of the store's and the
// workers' connections.
constexpr std::size_t kStoreBytes = 40 * kMegabyte;
constexpr std::size_t kWorkerBytes = 4 * kMegabyte;
constexpr std::size_t kWorkers = 60;
// So many that the leader uses several relays.
constexpr std::size_t kRelays = 20;

const std::string kOk = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n";
const std::string kChunked = kOk + "Transfer-Encoding: chunked\r\n\r\n";

std::string Repeated(const std::string& part, std::size_t bytes) {
  std::string text;
  text.reserve(bytes + part.size());
  while (text.size() < bytes) text += part;
  return text;
}

std::string Whole(const std::string& body) {
  return kOk +
         "Connection: close\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

std::string Row(std::size_t number) {
  return R"({"key":"servers/x)" + std::to_string(1000000000 + number) +
         R"(","rev":1,"value":"e30="})";
}

std::string Rows(std::size_t first, std::size_t count) {
  std::string rows;
  for (std::size_t number = first; number < first + count; ++number) {
    rows += (number == first ? "" : ",") + Row(number);
  }
  return rows;
}

// A listing's page after which there is always another one, or new events.
std::string NewRows(std::size_t answer, const std::string& list) {
  constexpr std::size_t kRows = 20000;
  return Whole(R"({"as_of":1000000,"has_more":)" +
               std::string(list == "items" ? "true" : "false") + ",\"" + list +
               "\":[" + Rows(answer * kRows, kRows) + "]}");
}

void AddHttpAnswers(std::vector<FaultyAnswer>& answers, PeerRole role,
                    const std::string& start, std::size_t peers,
                    std::size_t bytes) {
  const std::string filler(64000, 'x');
  const std::string field = "X-Field: " + std::string(1000, 'x') + "\r\n";
  const auto add = [&](const std::string& name, std::string prefix,
                       std::string piece) {
    answers.push_back({start + name, role, peers, std::move(prefix),
                       std::move(piece), bytes});
  };
  add("trailers", kChunked + "0\r\n", field);
  add("chunk_extensions", kChunked + "5;a=", filler);
  add("fields", kOk, field);
  add("small_fields", kOk, Repeated("a:\r\n", 1000));
  add("field_without_end", kOk + "X-Field: ", filler);
  add("chunks_without_end", kChunked, "fa00\r\n" + filler + "\r\n");
  add("small_chunks", kChunked, Repeated("1\r\nx\r\n", 60000));
  add("body_without_end", kOk + "Connection: close\r\n\r\n", filler);
  add("length_that_never_comes",
      kOk + "Content-Length: " + std::to_string(bytes) + "\r\n\r\n", "x");
  answers.back().m_piece_bytes = 1;
  add("interim_answers", "", Repeated("HTTP/1.1 100 Continue\r\n\r\n", 60000));
  const auto add_whole = [&](const std::string& name, const std::string& body) {
    answers.push_back({start + name, role, peers, Whole(body)});
  };
  add_whole("deep_json", std::string(200000, '['));
  add_whole("wide_json", R"({"items":[)" + Repeated("0,", kWorkerBytes - 100) +
                             R"(0],"running":[],"finished":[]})");
  add_whole("many_members", R"({"items":[{)" +
                                Repeated(R"("":0,)", kWorkerBytes - 100) +
                                R"("":0}]})");
}

// Answers the first call of a link with as many outcomes as a message can hold.
std::string SmallOutcomes() {
  constexpr std::size_t kOutcomes = 500000;
  fleet::RelayAnswer answer;
  answer.m_outcomes.assign(kOutcomes, fleet::RelayedOutcome());
  const std::string bytes = fleet::WriteRelayAnswer(answer);
  MeshEnvelope envelope;
  envelope.m_number = 1;
  envelope.m_body = Json::binary({bytes.begin(), bytes.end()});
  const std::string message = WriteCbor(Encode(envelope));
  std::string header("\x82\x7f", 2);
  for (int shift = 56; shift >= 0; shift -= 8) {
    header += static_cast<char>(message.size() >> static_cast<unsigned>(shift));
  }
  return header + message;
}

FaultyAnswer RelayAnswer(const std::string& name, std::string prefix,
                         std::string piece, std::size_t bytes) {
  return {"relay_answers_" + name, PeerRole::kRelay, kRelays,
          std::move(prefix),       std::move(piece), bytes};
}

void AddRelayAnswers(std::vector<FaultyAnswer>& answers) {
  const std::string filler(64000, 'x');
  const std::string upgrade =
      "HTTP/1.1 101 Switching Protocols\r\nUpgrade: websocket\r\n"
      "Connection: Upgrade\r\n";
  answers.push_back(RelayAnswer("upgrade_fields", upgrade,
                                "X-Field: " + std::string(1000, 'x') + "\r\n",
                                8 * kMegabyte));
  answers.push_back(RelayAnswer("upgrade_field_without_end",
                                upgrade + "X-Field: ", filler, 8 * kMegabyte));
  answers.push_back(RelayAnswer(
      "upgrade_body", "HTTP/1.1 200 OK\r\nContent-Length: 40000000\r\n\r\n",
      filler, 8 * kMegabyte));
  // The header of a binary message of 4,000,000 bytes.
  answers.push_back(RelayAnswer("long_messages",
                                std::string("\x82\x7f\0\0\0\0\0\x3d\x09\0", 10),
                                filler, 4 * kMegabyte - 64000));
  // A whole answer to a call that was never sent.
  MeshEnvelope envelope;
  envelope.m_number = UINT64_MAX;
  const std::string message = WriteCbor(Encode(envelope));
  answers.push_back(RelayAnswer(
      "messages", "",
      Repeated(
          "\x82" + std::string(1, static_cast<char>(message.size())) + message,
          60000),
      8 * kMegabyte));
  answers.push_back(RelayAnswer("pings", "",
                                Repeated("\x89" + std::string(1, '\0'), 60000),
                                8 * kMegabyte));
  answers.back().m_is_reading = false;
  answers.push_back(RelayAnswer("small_outcomes", SmallOutcomes(), "", 0));
}

}  // namespace

std::vector<FaultyAnswer> MakeFaultyAnswers() {
  std::vector<FaultyAnswer> answers;
  AddHttpAnswers(answers, PeerRole::kStore, "store_", 1, kStoreBytes);
  AddHttpAnswers(answers, PeerRole::kWorker, "worker_", kWorkers, kWorkerBytes);
  AddRelayAnswers(answers);
  answers.push_back(
      {"store_long_answers", PeerRole::kStore, 1,
       Whole(R"({"as_of":1000000,"has_more":false,"items":[)" +
             Rows(0, 150000) + R"(],"events":[)" + Rows(0, 100000) + "]}")});
  for (const std::string list : {"items", "events"}) {
    answers.push_back({"store_new_" + list, PeerRole::kStore});
    answers.back().m_answers_per_peer = 2000;
    answers.back().m_only_for = "prefix=servers/";
    answers.back().m_make_answer = [list](const std::string& request,
                                          std::size_t number) {
      // A watch that fails is followed by a listing.
      const bool is_watch = request.find("kv-watch") != std::string::npos;
      if (is_watch && list == "items") {
        return std::string(
            "HTTP/1.1 410 Gone\r\nConnection: close\r\n"
            "Content-Length: 0\r\n\r\n");
      }
      return NewRows(number, list);
    };
  }
  return answers;
}

}  // namespace daisyarch::limits
