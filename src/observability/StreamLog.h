#pragma once

#include "core/Event.h"
#include "core/Ids.h"

#include <cstdint>
#include <deque>
#include <string>

namespace briarspar::observability {

struct StreamLogSettings {
  int Descriptor = 1;                    ///< Standard output.
  size_t MaxQueuedBytes = 1024UL * 1024; ///< Lines beyond it are dropped and counted.
  uint32_t MaxRequestLinesPerS = 400;    ///< Beyond it, lines of requests are sampled.
  uint32_t SamplePermille = 50;          ///< Requests whose lines are kept then.
};

/// Writes each event as one JSON object a line to a descriptor, without ever waiting for its
/// reader. Under load, lines about single requests are kept for a sample of the request ids, the
/// same on all VMs; refusals are dropped after answers, and changes of belief only when the queue
/// is full. Boost.Log has no bounded sink that does not block, so the lines are written here.
/// Used on one thread.
class StreamLog final : public core::EventSink {
public:
  StreamLog(core::VmId vm, std::string name, const StreamLogSettings &settings = {});
  ~StreamLog() override;

  void emit(core::Event event) override;

  /// Writes what the descriptor takes now. To be called several times a second.
  void flush();

  uint64_t droppedLines() const { return Dropped; }

private:
  bool isKept(const core::Event &event, int64_t nowMs);

  const core::VmId Vm;
  const std::string Name;
  const StreamLogSettings Settings;
  std::deque<std::string> Queue;
  size_t QueuedBytes = 0;
  size_t FrontOffset = 0; ///< Bytes of the first line that are already written.
  int64_t Second = 0;
  uint32_t LinesInSecond = 0;
  uint64_t Dropped = 0;
  uint64_t ReportedDropped = 0;
};

} // namespace briarspar::observability
