#include "Membership/large_fleet.h"

#include <algorithm>
#include <utility>

#include "Wire/codec.h"
#include "Wire/frame_reader.h"

namespace buckthorncart {
namespace {

constexpr uint32_t kDataCentres = 5;

}  // namespace

std::string LargeFleet::DataCentreOf(uint32_t n) {
  return "dc-" + std::to_string(n % kDataCentres);
}

LargeFleet::LargeFleet(uint32_t size, FakeFleet::PluginFactory plugins,
                       const AdjustSettings& adjust)
    : fleet(std::move(plugins)) {
  std::vector<KernelSettings> all;
  for (uint32_t n = 1; n <= size; ++n) {
    all.push_back(TestSettings(n, DataCentreOf(n)));
  }
  std::vector<Address> seeds;
  for (uint32_t n = 0; n < std::min(size, kDataCentres); ++n) {
    seeds.push_back(all[n].self);
  }
  for (KernelSettings& settings : all) {
    settings.peers = seeds;
    if (adjust) adjust(settings);
  }
  fleet.AddAll(all);
  fleet.SetFilter([this](Address from, const Effect& effect) {
    return Delivers(from, effect);
  });
  fleet.StartAll();
}

bool LargeFleet::Delivers(Address from, const Effect& effect) {
  Address to;
  if (const auto* message = std::get_if<SendPeer>(&effect)) {
    to = message->to;
    sent_bytes_[NumberOf(from)] += MakeFrame(Encode(message->message)).size();
  } else if (const auto* datagram = std::get_if<SendDatagram>(&effect)) {
    to = datagram->to;
    sent_bytes_[NumberOf(from)] += Encode(datagram->message).size();
  }
  if (partition_side_ && to.IsSet() &&
      partition_side_(NumberOf(from)) != partition_side_(NumberOf(to)))
    return false;
  return !loss_filter_ || !loss_filter_(from, effect);
}

void LargeFleet::Partition(std::function<bool(uint32_t n)> side) {
  partition_side_ = std::move(side);
}

void LargeFleet::Heal() {
  partition_side_ = nullptr;
  loss_filter_ = nullptr;
}

bool LargeFleet::MembershipConverged() {
  const std::vector<uint32_t> numbers = fleet.Numbers();
  return std::all_of(numbers.begin(), numbers.end(), [&](uint32_t n) {
    const auto& members = fleet.At(n).GetContext().Shared().members;
    const auto alive =
        std::count_if(members.begin(), members.end(), [](const auto& item) {
          return item.second.status == MemberStatus::kAlive;
        });
    return static_cast<size_t>(alive) + 1 == numbers.size();
  });
}

uint64_t LargeFleet::TotalSentBytes() const {
  uint64_t sum = 0;
  for (const auto& [n, bytes] : sent_bytes_) sum += bytes;
  return sum;
}

uint64_t LargeFleet::SumOfCounter(std::string_view counter) {
  uint64_t sum = 0;
  for (const uint32_t n : fleet.Numbers()) sum += fleet.At(n).Counter(counter);
  return sum;
}

}  // namespace buckthorncart
