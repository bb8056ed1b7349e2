#pragma once
/// \file
/// Determines which version is in force on each daemon.

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

/// Serves `in-force` and `daemons` by probing every known daemon. A daemon that
/// doesn't reply is listed in the answer and never counted as holding the
/// version.
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
    Time deadline{};
    /// Start of the current round of probes.
    Time round_started_at{};
    /// Daemons that have not been probed in this round.
    std::vector<Address> to_probe;
    /// Version reported by each daemon; daemons that haven't replied are
    /// absent.
    std::map<Address, uint64_t> reported;
  };

  void StartSurvey(Context& ctx, const OperatorRequested& request, Kind kind);
  void ProbeNext(Context& ctx, uint64_t number);
  void BeginRound(Context& ctx, Survey& survey);
  void RecordReply(Context& ctx, const DatagramReceived& received);
  void FinishIfDone(Context& ctx, uint64_t number, bool timed_out);
  bool IsSatisfied(const Survey& survey, Address address) const;
  bool IsPending(const Survey& survey, const Member& member) const;
  void AnswerInForce(Context& ctx, const Survey& survey);
  void AnswerDaemons(Context& ctx, const Survey& survey);

  std::map<uint64_t, Survey> surveys_;
  uint64_t next_survey_ = 0;
};

}  // namespace buckthorncart

#include "Plugins/Configuration/version_survey_inl.h"
