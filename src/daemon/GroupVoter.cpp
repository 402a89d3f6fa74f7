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
  std::unique_ptr<GroupVoter> voter(new GroupVoter(events, std::move(sender)));
  absl::StatusOr<std::unique_ptr<agreement::Replica>> replica =
      agreement::Replica::open(settings, storage, voter->Machine, random, now);
  if (!replica.ok())
    return replica.status();
  voter->LocalReplica = *std::move(replica);
  return voter;
}

void GroupVoter::receive(std::string_view bytes, core::Time now) {
  absl::StatusOr<agreement::Envelope> envelope = agreement::decodeEnvelope(bytes);
  if (!envelope.ok()) {
    Events.emit({core::EventId::PeerMessageRejected,
                 {{"reason", std::string(envelope.status().message())}}});
    return;
  }
  LocalReplica->receive(*envelope, now);
  flush();
}

void GroupVoter::tick(core::Time now) {
  LocalReplica->tick(now);
  flush();
}

core::Time GroupVoter::nextLogTime(core::Time now) {
  if (LeadingTerm != LocalReplica->term()) {
    LeadingTerm = LocalReplica->term();
    LeadingSince = now;
    LogTimeAtLeadingStart = Machine.logTime();
  }
  return std::max(Machine.logTime(), LogTimeAtLeadingStart + (now - LeadingSince));
}

void GroupVoter::propose(decltype(LogCommand::Payload) payload, core::Time now, Done done) {
  if (!isLeader(now)) {
    done(absl::UnavailableError("this replica is not the leader"));
    return;
  }
  LogCommand command{nextLogTime(now), std::move(payload)};
  absl::StatusOr<core::LogIndex> index = LocalReplica->propose(encode(command), now);
  if (!index.ok())
    done(index.status());
  else
    Proposals.add(*index, std::move(done));
}

void GroupVoter::flush() {
  agreement::Actions actions = LocalReplica->takeActions();
  for (const agreement::Envelope &envelope : actions.Messages)
    Send(envelope.To.Vm, kind::Raft, agreement::encodeEnvelope(envelope));
  for (const core::Event &event : actions.Events)
    Events.emit(event);
  Proposals.complete(actions.Results);
}

absl::Status GroupVoter::admit(const agreement::VoterId &id, core::Time now) {
  return agreement::admitVoter(*LocalReplica, id, now);
}

std::optional<core::VmId> GroupVoter::leaderHint() const {
  if (LocalReplica->isLeader())
    return LocalReplica->self().Vm;
  std::optional<agreement::VoterId> hint = LocalReplica->leaderHint();
  if (!hint)
    return std::nullopt;
  return hint->Vm;
}

} // namespace briarspar::daemon
