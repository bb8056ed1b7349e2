/// Random test of everything that handles messages of other daemons: a damaged
/// message that can still be decoded does not end the process.

#include <doctest/doctest.h>

#include <string>
#include <utility>
#include <vector>

#include "Requests/request_fleet.h"
#include "Support/mutation.h"
#include "Wire/codec.h"

namespace buckthorncart {
namespace {

constexpr int kRounds = 20'000;
constexpr uint32_t kTarget = 1;

/// Appends a message of each type.
template <typename Variant, size_t... I>
std::vector<std::string> EncodeEachType(std::index_sequence<I...> /*unused*/) {
  return {Encode(Variant(std::in_place_index<I>))...};
}

template <typename Variant>
std::vector<std::string> EncodeEachType() {
  return EncodeEachType<Variant>(
      std::make_index_sequence<std::variant_size_v<Variant>>());
}

TEST_CASE("odd messages: damaged messages of every type end no daemon") {
  RequestFleet test(StandardPlugins, {.receivers = 1, .servers = 2});
  const Address sender = test.fleet.At(2).Self();
  std::vector<std::string> messages = EncodeEachType<PeerMessage>();
  messages.push_back(Encode(
      PeerMessage(PushMembers{{test.fleet.At(2).GetContext().Shared().self}})));
  std::vector<std::string> datagrams = EncodeEachType<Datagram>();
  datagrams.push_back(Encode(Datagram(
      Probe{1, {2, {test.fleet.At(2).GetContext().Shared().self}, 3}})));
  pcg32 random(36);
  int decoded = 0;
  for (int i = 0; i < kRounds; ++i) {
    const auto n = static_cast<uint32_t>(i);
    const auto damage = n % 4 == 0 ? Mutate : ReplaceBytes;
    const auto message =
        Decode<PeerMessage>(damage(messages[n % messages.size()], random));
    if (message) {
      test.fleet.Inject(kTarget, PeerMessageReceived{sender, *message});
      ++decoded;
    }
    const auto datagram =
        Decode<Datagram>(damage(datagrams[n % datagrams.size()], random));
    if (datagram) {
      test.fleet.Inject(kTarget, DatagramReceived{sender, *datagram});
      ++decoded;
    }
    if (i % 100 == 0) test.fleet.Advance(10ms);
  }
  CHECK(decoded > kRounds / 20);
  test.fleet.Advance(30s);
  CHECK(test.fleet.At(kTarget).Ready());
}

// Report of other operators: a row that no daemon had written, with a key that
// is no address or a port out of range, ended all daemons that read the list.
TEST_CASE("odd messages: odd rows among those of the daemons cost nothing") {
  FakeFleet fleet;
  for (const char* key : {"vm/", "vm/10.0.0.1:70000", "vm/10.0.0.1:-1",
                          "vm/\xff\xfe", "vm/10.0.0.1:0", "v"}) {
    fleet.Put(key, std::string(1'000, '['));
  }
  fleet.Add(1, "nl-west-a");
  fleet.Add(2, "nl-west-b");
  fleet.StartAll();
  fleet.Advance(5s);
  CHECK(fleet.At(1).GetContext().Shared().members.size() == 1);
  // The reply of a store that returns rows outside the requested range.
  for (uint64_t tag = 1; tag < 20; ++tag) {
    PlatformReply reply{PlatformStatus::kOk, {{"v", ""}, {"", "x"}}, {}, 1};
    fleet.Inject(1, PlatformReplied{tag, reply});
  }
  fleet.Advance(5s);
  CHECK(fleet.At(1).GetContext().Shared().members.size() == 1);
}

}  // namespace
}  // namespace buckthorncart
