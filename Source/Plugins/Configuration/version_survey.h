#pragma once
/// \file
/// Finds out which version is in force where.

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "Base/address.h"
#include "Base/time.h"
#include "Kernel/plugin.h"
#include "Plugins/Configuration/version_survey_rules.h"

namespace buckthorncart {

/// Answers `in-force` and `daemons` by probing every known daemon. A daemon
/// that does not answer is named and never counted as done.
template <VersionSurveyRules Rules>
class VersionSurvey : public Plugin {
 public:
  void Attach(Context& ctx) override;
  void Handle(Context& ctx, const Event& event) override;
  bool HandleOperator(Context& ctx, const OperatorRequested& request) override;

 private:
  enum class Kind : uint8_t { kInForce, kDaemons };
  struct Survey {
    Kind kind = Kind::kInForce;
    uint64_t request = 0;
    uint64_t version = 0;
    Time until{};
    /// Start of the current round of probes.
    Time round{};
    /// Daemons still to be probed in this round.
    std::vector<Address> to_probe;
    /// Version that each daemon reported; daemons without an answer are
    /// absent.
    std::map<Address, uint64_t> reported;
  };

  void Begin(Context& ctx, const OperatorRequested& request, Kind kind);
  void Step(Context& ctx, uint64_t number);
  void BeginRound(Context& ctx, Survey& survey);
  void NoteVersion(Context& ctx, const DatagramReceived& received);
  void EndIfDone(Context& ctx, uint64_t number, bool last);
  bool IsDone(const Survey& survey, Address address) const;
  bool IsMissing(const Survey& survey, const Member& member) const;
  void AnswerInForce(Context& ctx, const Survey& survey);
  void AnswerDaemons(Context& ctx, const Survey& survey);

  std::map<uint64_t, Survey> surveys_;
  uint64_t next_survey_ = 0;
};

}  // namespace buckthorncart

#include "Plugins/Configuration/version_survey_inl.h"
