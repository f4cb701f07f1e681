#include <catch2/catch.hpp>

#include "base/random.h"
#include "chart/chart_parser.h"
#include "chart/chart_structure.h"
#include "mesh/mesh_envelope.h"
#include "platform/host_list_fields.h"
#include "settings/settings.h"
#include "wire/configuration_fields.h"
#include "wire/node_fields.h"
#include "wire/placement_fields.h"

namespace daisyarch {

namespace {

constexpr int kMutations = 4000;

JournalBatch MakeBatch() {
  JournalBatch batch;
  batch.m_sequence = SequenceNumber(7);
  batch.m_epoch = Epoch(2);
  batch.m_writer = NodeId("n1");
  JobRequest request;
  request.m_member = MemberId("shop");
  request.m_key = IdempotencyKey("order");
  request.m_repeat = RepeatPolicy::kNever;
  batch.m_records = {
      JobAccepted{JobId(0xffffffffffffffffULL), request},
      TaskAssigned{TaskId{JobId(1), 2}, Attempt(3), WorkerId("w"),
                   Incarnation(4)},
      AttemptEnded{TaskId{JobId(1), 2}, Attempt(3), AttemptOutcome::kLost, 9},
      JobCancelled{JobId(5)}, OwnerClaimed{NodeId("n1"), Epoch(2)}};
  return batch;
}

std::string Mutate(std::string bytes, Random& random) {
  const std::uint64_t changes = 1 + NextBelow(random, 4);
  for (std::uint64_t index = 0; index < changes && !bytes.empty(); ++index) {
    const std::size_t position = NextBelow(random, bytes.size());
    switch (NextBelow(random, 3)) {
      case 0:
        bytes[position] = static_cast<char>(NextBelow(random, 256));
        break;
      case 1:
        bytes.erase(position, 1 + NextBelow(random, 5));
        break;
      default:
        bytes.insert(position, 1, static_cast<char>(NextBelow(random, 256)));
    }
  }
  return bytes;
}

// Decodes mutated input. Any result but a crash is accepted; an error must
// carry the step and the peer.
template <typename Message>
void DecodeMutations(const std::string& bytes, std::uint64_t seed) {
  Random random{seed};
  for (int index = 0; index < kMutations; ++index) {
    const std::string input = Mutate(bytes, random);
    const auto cbor = DecodeCbor<Message>(input, "step", "peer");
    const auto json = DecodeJson<Message>(input, "step", "peer");
    if (!cbor) CHECK(cbor.assume_error().m_step == "step");
    if (!json) CHECK(json.assume_error().m_peer == "peer");
  }
}

}  // namespace

TEST_CASE("A journal batch decodes to the batch that was encoded") {
  const JournalBatch batch = MakeBatch();
  const auto read =
      DecodeCbor<JournalBatch>(WriteCbor(Encode(batch)), "step", "peer");
  REQUIRE(read);
  CHECK(Encode(read.assume_value()) == Encode(batch));
}

TEST_CASE("Mutated messages never crash a decoder", "[fuzz]") {
  const std::string batch = WriteCbor(Encode(MakeBatch()));
  DecodeMutations<JournalBatch>(batch, 1);
  DecodeMutations<JournalBatch>(Encode(MakeBatch()).dump(), 2);
  DecodeMutations<Heartbeat>(WriteCbor(Encode(Heartbeat())), 3);
  DecodeMutations<WorkerReport>(Encode(WorkerReport()).dump(), 4);
  DecodeMutations<WorkerControl>(Encode(WorkerControl()).dump(), 5);
  DecodeMutations<Configuration>(WriteCbor(Encode(Configuration())), 6);
  DecodeMutations<MeshEnvelope>(WriteCbor(Encode(MeshEnvelope())), 7);
  DecodeMutations<HostList>(Encode(HostList()).dump(), 8);
}

TEST_CASE("Mutated charts and settings never crash a parser", "[fuzz]") {
  const auto chart = std::string(
      "chart: c\ninitial: a\nevents: [e]\nstates:\n  a:\n    on:\n"
      "      e: {target: b}\n  b: {final: true, ignore: [e]}\n");
  const auto settings = std::string(
      "node: {id: n1, failure_domain: a}\nlisten: {http: \"127.0.0.1:1\", "
      "mesh: \"127.0.0.1:2\"}\nplatform: {address: \"127.0.0.1:3\"}\n"
      "workers: {failure_domains: [a]}\n");
  REQUIRE(ParseSettings(settings, "f"));
  Random random{9};
  for (int index = 0; index < kMutations / 2; ++index) {
    const auto parsed = ParseChart(Mutate(chart, random), "f");
    if (parsed) (void)CheckStructure(parsed.assume_value());
    const auto read = ParseSettings(Mutate(settings, random), "f");
    if (!read) CHECK(!read.assume_error().m_detail.empty());
  }
}

TEST_CASE("Deeply nested input and out-of-range numbers are rejected") {
  const std::string deep(1000000, '\x81');
  const auto nested = ParseCbor(deep, "step", "peer");
  REQUIRE(!nested);
  CHECK(nested.assume_error().m_detail.find("nested") != std::string::npos);
  std::uint32_t small = 0;
  CHECK(FieldReader::Read(Json(-1), small) == "out of range");
  CHECK(FieldReader::Read(Json(4294967296LL), small) == "out of range");
  std::int64_t wide = 0;
  CHECK(FieldReader::Read(Json(18446744073709551615ULL), wide) ==
        "out of range");
}

TEST_CASE("A decoding error names the invalid field") {
  const auto read =
      DecodeJson<AttemptId>(R"({"task":"x","attempt":1})", "read", "peer");
  REQUIRE(!read);
  CHECK(read.assume_error().m_detail.find("field \"task\"") == 0);
  const auto missing = DecodeJson<AttemptId>("{}", "read", "peer");
  REQUIRE(!missing);
  CHECK(missing.assume_error().m_detail == "field \"task\" is missing");
}

}  // namespace daisyarch
