#pragma once
/// \file
/// Flow control of answers from the backend server to the caller.

#include <cstdint>
#include <map>
#include <string_view>

#include "Base/address.h"
#include "Kernel/counters.h"
#include "Kernel/plugin.h"

namespace buckthorncart {

enum class AnswerFlowCounter : uint8_t { kPauses, kResumes };

template <>
struct EnumNames<AnswerFlowCounter> {
  static constexpr std::string_view kNames[] = {"answer_pauses_total",
                                                "answer_resumes_total"};
};

/// Limits the memory that an answer uses in the daemons while its caller reads
/// slowly. The receiving daemon grants credit for the bytes that the caller has
/// read. The admitting daemon stops reading from the backend server when the
/// window of an answer is used up, until enough credit has arrived.
class AnswerFlow : public Plugin {
 public:
  void Attach(Context& ctx) override;
  void Handle(Context& ctx, const Event& event) override;

 private:
  struct Flow {
    /// Bytes sent to the receiving daemon without credit for them.
    uint64_t outstanding = 0;
    bool paused = false;
  };

  void HandleBackendAnswered(Context& ctx, const BackendAnswered& answered);
  void HandlePeerMessage(Context& ctx, const PeerMessageReceived& received);
  void GrantCredit(Context& ctx, const AnswerBytesWritten& written);
  void ApplyCredit(Context& ctx, Address from, uint64_t call, uint64_t bytes);

  /// On the admitting daemon: state of each answer, by run.
  std::map<uint64_t, Flow> flows_;
  /// On the receiving daemon: the daemon that sends the answer, by call.
  std::map<uint64_t, Address> sources_;
  Counters<AnswerFlowCounter> counters_;
};

}  // namespace buckthorncart
