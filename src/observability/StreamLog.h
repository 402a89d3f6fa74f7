#pragma once

#include "core/Event.h"
#include "core/Ids.h"

#include <cstdint>
#include <deque>
#include <string>

namespace briarspar::observability {

struct StreamLogSettings {
  int Descriptor = 1;                    ///< Standard output.
  size_t MaxQueuedBytes = 1024UL * 1024; ///< Lines beyond this size are dropped and counted.
  uint32_t MaxRequestLinesPerS = 400;    ///< Above this rate, lines about requests are sampled.
  uint32_t SamplePermille = 50;          ///< Fraction of requests in the sample.
};

/// Writes each event as one line of JSON to a file descriptor and never blocks on its reader. Under
/// load, lines about individual requests are written only for a sample of the request ids, which is
/// the same on all VMs. Refusals are sampled from twice the rate of other request events; other
/// events are dropped only when the queue is full. Boost.Log has no bounded sink that does not
/// block. Must be used on one thread.
class StreamLog final : public core::EventSink {
public:
  StreamLog(core::VmId vm, std::string name, const StreamLogSettings &settings = {});
  ~StreamLog() override;

  void emit(core::Event event) override;

  /// Writes as many queued lines as the descriptor accepts. Must be called several times per
  /// second.
  void flush();

  uint64_t droppedLines() const { return Dropped; }

private:
  bool shouldLog(const core::Event &event, int64_t nowMs);

  const core::VmId Vm;
  const std::string Name;
  const StreamLogSettings Settings;
  std::deque<std::string> Queue;
  size_t QueuedBytes = 0;
  size_t FrontOffset = 0; ///< Bytes of the first line that were already written.
  int64_t CurrentSecond = 0;
  uint32_t LinesInSecond = 0;
  uint64_t Dropped = 0;
  uint64_t ReportedDropped = 0;
};

} // namespace briarspar::observability
