#include "observability/StreamLog.h"

#include "core/Hash.h"

#include <fcntl.h>
#include <unistd.h>

#include <chrono>

namespace briarspar::observability {

namespace {

int64_t wallClockMs() {
  using namespace std::chrono;
  return duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count();
}

bool isAboutRequest(const core::Event &event) { return event.Details.contains("request"); }

/// Refusals are sampled last, because operators need them to explain failed requests to customers.
bool isRefusal(core::EventId id) {
  return id == core::EventId::RequestRefused || id == core::EventId::RequestQuarantined;
}

} // namespace

StreamLog::StreamLog(core::VmId vm, std::string name, const StreamLogSettings &settings)
    : Vm(std::move(vm)), Name(std::move(name)), Settings(settings) {
  int flags = ::fcntl(Settings.Descriptor, F_GETFL);
  if (flags >= 0)
    ::fcntl(Settings.Descriptor, F_SETFL, flags | O_NONBLOCK);
}

StreamLog::~StreamLog() { flush(); }

void StreamLog::emit(core::Event event) {
  int64_t now = wallClockMs();
  if (!shouldLog(event, now)) {
    ++Dropped;
    return;
  }
  core::Json line = std::move(event.Details);
  line["wall_ms"] = now;
  line["vm"] = Vm;
  line["node"] = Name;
  line["event"] = static_cast<int>(event.Id);
  line["name"] = core::eventName(event.Id);
  std::string text = line.dump(-1, ' ', false, core::Json::error_handler_t::replace) + "\n";
  if (QueuedBytes + text.size() > Settings.MaxQueuedBytes) {
    ++Dropped;
    return;
  }
  QueuedBytes += text.size();
  Queue.push_back(std::move(text));
  if (Queue.size() == 1)
    flush();
}

bool StreamLog::shouldLog(const core::Event &event, int64_t nowMs) {
  if (!isAboutRequest(event))
    return true;
  if (nowMs / 1000 != CurrentSecond) {
    CurrentSecond = nowMs / 1000;
    LinesInSecond = 0;
  }
  ++LinesInSecond;
  uint32_t limit = Settings.MaxRequestLinesPerS * (isRefusal(event.Id) ? 2 : 1);
  if (LinesInSecond <= limit)
    return true;
  const core::Json &id = event.Details.at("request");
  return id.is_string() &&
         core::hash64(id.get_ref<const std::string &>()) % 1000 < Settings.SamplePermille;
}

void StreamLog::flush() {
  while (!Queue.empty()) {
    const std::string &front = Queue.front();
    ssize_t n =
        ::write(Settings.Descriptor, front.data() + FrontOffset, front.size() - FrontOffset);
    if (n < 0)
      return;
    FrontOffset += static_cast<size_t>(n);
    if (FrontOffset < front.size())
      continue;
    QueuedBytes -= front.size();
    FrontOffset = 0;
    Queue.pop_front();
  }
  if (Dropped != ReportedDropped) {
    uint64_t dropped = Dropped - ReportedDropped;
    ReportedDropped = Dropped;
    emit({core::EventId::LogLinesDropped, {{"lines", dropped}, {"total", Dropped}}});
  }
}

} // namespace briarspar::observability
