#include "Kernel/trace.h"

#include <sstream>

#include "Base/digest.h"
#include "Base/overload.h"
#include "Wire/codec.h"
#include "Wire/frame_reader.h"

namespace buckthorncart {
namespace {

std::string EffectBytes(const Effect& effect) {
  std::string bytes = Encode(static_cast<uint32_t>(effect.index()));
  std::visit(
      Overload{
          [&](const SendPeer& e) { bytes += Encode(e.to) + Encode(e.message); },
          [&](const ClosePeerConnection& e) { bytes += Encode(e.peer); },
          [&](const SendDatagram& e) {
            bytes += Encode(e.to) + Encode(e.message);
          },
          [&](const SetTimer& e) {
            bytes += Encode(e.expires_at.count()) + Encode(e.kind) +
                     Encode(e.argument);
          },
          [&](const CallPlatform& e) {
            bytes += Encode(e.tag) + Encode(e.request);
          },
          [&](const AnswerCaller& e) {
            bytes += Encode(e.call) + Encode(e.part) + Encode(e.close);
          },
          [&](const CallBackend& e) {
            bytes += Encode(e.run) + Encode(e.backend) + Encode(e.request);
          },
          [&](const CancelBackendCall& e) { bytes += Encode(e.run); },
          [&](const AnswerOperator& e) {
            bytes += Encode(e.request) + Encode(e.status) + e.body;
          },
          [&](const LogRecord& e) { bytes += NameOf(e.topic); },
          [](const Exit&) {},
          [&](const PauseBackendRead& e) { bytes += Encode(e.run); },
          [&](const ResumeBackendRead& e) { bytes += Encode(e.run); },
      },
      effect);
  return bytes;
}

Failure Unreadable(const std::string& path, const std::string& expected) {
  return {Errc::kUnreadableTrace, path, expected,
          "record a new trace with buckthorncartd --trace FILE"};
}

}  // namespace

uint64_t DigestOfEffects(const std::vector<Effect>& effects) {
  std::string bytes;
  for (const Effect& effect : effects) bytes += EffectBytes(effect);
  return DigestOf(bytes);
}

Result<TraceWriter> TraceWriter::Open(const std::string& path,
                                      const KernelSettings& settings) {
  std::ofstream out(path, std::ios::binary | std::ios::trunc);
  if (!out) {
    return tl::unexpected(Unreadable(path, "a file that can be written"));
  }
  out << MakeFrame(Encode(settings));
  return TraceWriter(std::move(out));
}

void TraceWriter::Append(Time at, const Event& event,
                         const std::vector<Effect>& effects) {
  const TraceRecord record{at.count(), event, DigestOfEffects(effects)};
  out_ << MakeFrame(Encode(record));
  out_.flush();
}

Result<Trace> ReadTrace(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  if (!in) return tl::unexpected(Unreadable(path, "a file that can be read"));
  std::ostringstream contents;
  contents << in.rdbuf();
  FrameReader frames;
  frames.Append(contents.str());
  Trace trace;
  bool first = true;
  while (true) {
    auto frame = frames.Next();
    if (!frame) return tl::unexpected(Unreadable(path, "complete frames"));
    if (!*frame) break;
    if (first) {
      auto settings = Decode<KernelSettings>(**frame);
      if (!settings) return tl::unexpected(Unreadable(path, "settings first"));
      trace.settings = std::move(*settings);
      first = false;
      continue;
    }
    auto record = Decode<TraceRecord>(**frame);
    if (!record) return tl::unexpected(Unreadable(path, "trace records"));
    trace.records.push_back(std::move(*record));
  }
  if (first || frames.Pending() != 0) {
    return tl::unexpected(Unreadable(path, "a trace that is not truncated"));
  }
  return trace;
}

}  // namespace buckthorncart
