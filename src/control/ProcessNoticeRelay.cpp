#include "control/ProcessNoticeRelay.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace briarspar::control {

void ProcessNoticeRelay::receive(absl::Span<const link::ProcessNotice> notices, core::Time now) {
  for (const link::ProcessNotice &it : notices) {
    Notice notice{it.Fact, now, now};
    if (isDoubt(it.Fact))
      notice.Ref = now - it.Span;
    if (it.Fact == link::ProcessFact::IsCold)
      notice.Ref = now + it.Span;
    if (!isNew(notice, it.Target))
      continue;
    Latest[it.Target] = notice;
    if (std::find(Pending.begin(), Pending.end(), it.Target) == Pending.end())
      Pending.push_back(it.Target);
  }
}

bool ProcessNoticeRelay::isDoubt(link::ProcessFact fact) {
  return fact == link::ProcessFact::MayHaveEnded || fact == link::ProcessFact::StoppedResponding;
}

bool ProcessNoticeRelay::isNew(const Notice &notice, uint32_t target) const {
  auto known = Latest.find(target);
  if (known == Latest.end())
    return true;
  const Notice &last = known->second;
  switch (notice.Fact) {
  case link::ProcessFact::StoppedResponding:
    if (last.Fact == link::ProcessFact::MayHaveEnded)
      return true;
    [[fallthrough]];
  case link::ProcessFact::MayHaveEnded:
    // Right after a cold answer, other VMs still report the end of the process before. They repeat
    // the notice if they have to.
    return last.Fact == link::ProcessFact::IsWarm || notice.At - last.At >= Settings.RepeatInterval;
  case link::ProcessFact::IsCold:
    return last.Fact != notice.Fact ||
           std::abs((notice.Ref - last.Ref).Ms) >= Settings.ColdTolerance.Ms;
  case link::ProcessFact::IsWarm:
    // A process that is cold until later has started since.
    if (last.Fact == link::ProcessFact::IsCold)
      return last.Ref - notice.At < Settings.ColdTolerance;
    return last.Fact != notice.Fact || notice.At - last.At >= Settings.RepeatInterval;
  }
  return false;
}

std::vector<link::ProcessNotice> ProcessNoticeRelay::take(core::Time now) {
  std::vector<link::ProcessNotice> out;
  out.reserve(Pending.size());
  for (uint32_t target : std::exchange(Pending, {}))
    out.push_back(encode(target, Latest.at(target), now));
  return out;
}

std::vector<link::ProcessNotice> ProcessNoticeRelay::current(core::Time now) {
  std::vector<link::ProcessNotice> out;
  for (auto it = Latest.begin(); it != Latest.end();) {
    const bool isPending = std::find(Pending.begin(), Pending.end(), it->first) != Pending.end();
    if (!isPending && now - it->second.At > Settings.Retention) {
      it = Latest.erase(it);
      continue;
    }
    if (it->second.Fact != link::ProcessFact::IsWarm)
      out.push_back(encode(it->first, it->second, now));
    ++it;
  }
  return out;
}

link::ProcessNotice ProcessNoticeRelay::encode(uint32_t target, const Notice &notice,
                                               core::Time now) {
  core::Duration span{0};
  if (isDoubt(notice.Fact))
    span = now - notice.Ref;
  if (notice.Fact == link::ProcessFact::IsCold)
    span = {std::max<int64_t>(0, (notice.Ref - now).Ms)};
  return {target, notice.Fact, span};
}

} // namespace briarspar::control
