#pragma once
/// \file
/// Detects that the platform's store has been restored from an older copy.

#include <cstdint>

#include "Kernel/counters.h"
#include "Kernel/plugin.h"

namespace buckthorncart {

class Context;

enum class RestoreCounter : uint8_t { kRestores };

template <>
struct EnumNames<RestoreCounter> {
  static constexpr std::string_view kNames[] = {"platform_restores_total"};
};

/// Compares the era in each reply of the platform with that of the replies
/// before, and raises `PlatformRestored`. The daemons that call the platform
/// regularly tell the others at once, and every probe repeats the era, because
/// most daemons call the platform only when they start.
///
/// An era that a peer reports is not taken for that of the platform: it makes
/// this daemon store its rows again, and nothing else.
class RestoreDetector : public Plugin {
 public:
  void Attach(Context& ctx) override;
  void Handle(Context& ctx, const Event& event) override;

 private:
  void ObserveReply(Context& ctx, uint64_t era);
  void ObservePeer(Context& ctx, uint64_t era);
  void Raise(Context& ctx, uint64_t era);
  void NotifyPeers(Context& ctx) const;

  /// Latest era in a reply of the platform; 0 before the first one.
  uint64_t era_ = 0;
  Counters<RestoreCounter> counters_;
};

}  // namespace buckthorncart
