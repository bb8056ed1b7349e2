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

/// Bounds the memory that an answer takes in the daemons when its caller
/// reads slowly. The receiving daemon grants credit for what the caller has
/// taken; the admitting daemon stops reading from the backend server while an
/// answer has used up its window.
class AnswerFlow : public Plugin {
 public:
  void Attach(Context& ctx) override;
  void Handle(Context& ctx, const Event& event) override;

 private:
  struct Flow {
    uint64_t outstanding = 0;
    bool paused = false;
  };

  void NoteFromBackend(Context& ctx, const BackendAnswered& answered);
  void NoteFromPeer(Context& ctx, const PeerMessageReceived& received);
  void GrantCredit(Context& ctx, const AnswerBytesWritten& drained);
  void TakeCredit(Context& ctx, Address from, uint64_t call, uint64_t bytes);

  /// Admitting side, by run.
  std::map<uint64_t, Flow> flows_;
  /// Receiving side: the daemon that sends the answer to a call.
  std::map<uint64_t, Address> sources_;
  Counters<AnswerFlowCounter> counters_;
};

}  // namespace buckthorncart
