#include "daemon/GroupVoter.h"

#include "absl/strings/str_cat.h"
#include "agreement/Admission.h"
#include "agreement/Messages.h"

#include <algorithm>

namespace briarspar::daemon {

absl::StatusOr<std::unique_ptr<GroupVoter>>
GroupVoter::open(const agreement::ReplicaSettings &settings, agreement::LogStorage &storage,
                 agreement::RandomSource &random, core::EventSink &events, Sender sender,
                 core::Time now) {
  std::unique_ptr<GroupVoter> side(new GroupVoter(events, std::move(sender)));
  absl::StatusOr<std::unique_ptr<agreement::Replica>> log =
      agreement::Replica::open(settings, storage, side->Machine, random, now);
  if (!log.ok())
    return log.status();
  side->Log = *std::move(log);
  return side;
}

void GroupVoter::receive(std::string_view bytes, core::Time now) {
  absl::StatusOr<agreement::Envelope> envelope = agreement::decodeEnvelope(bytes);
  if (!envelope.ok()) {
    Events.emit({core::EventId::PeerMessageRejected,
                 {{"reason", std::string(envelope.status().message())}}});
    return;
  }
  Log->receive(*envelope, now);
  flush();
}

void GroupVoter::tick(core::Time now) {
  Log->tick(now);
  flush();
}

core::Time GroupVoter::nextLogTime(core::Time now) {
  if (LeadingTerm != Log->term()) {
    LeadingTerm = Log->term();
    LeadingSince = now;
    LogTimeAtLeadingStart = Machine.logTime();
  }
  return std::max(Machine.logTime(), LogTimeAtLeadingStart + (now - LeadingSince));
}

void GroupVoter::propose(decltype(LogCommand::Payload) what, core::Time now, Done done) {
  if (!isLeader(now)) {
    done(absl::UnavailableError("this replica does not lead"));
    return;
  }
  LogCommand command{nextLogTime(now), std::move(what)};
  absl::StatusOr<core::LogIndex> index = Log->propose(encode(command), now);
  if (!index.ok())
    done(index.status());
  else
    Proposals.add(*index, std::move(done));
}

void GroupVoter::flush() {
  agreement::Actions actions = Log->takeActions();
  for (const agreement::Envelope &envelope : actions.Messages)
    Send(envelope.To.Vm, kind::Raft, agreement::encodeEnvelope(envelope));
  for (const core::Event &event : actions.Events)
    Events.emit(event);
  Proposals.complete(actions.Results);
}

absl::Status GroupVoter::admit(const agreement::VoterId &id, core::Time now) {
  return agreement::admitVoter(*Log, id, now);
}

std::optional<core::VmId> GroupVoter::leaderHint() const {
  if (Log->isLeader())
    return Log->self().Vm;
  std::optional<agreement::VoterId> hint = Log->leaderHint();
  if (!hint)
    return std::nullopt;
  return hint->Vm;
}

} // namespace briarspar::daemon
