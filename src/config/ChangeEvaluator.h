#pragma once

#include "config/ConfigStore.h"

#include <cstdint>
#include <string>
#include <vector>

namespace briarspar::config {

/// Decides one command against the current records and collects the resulting edits. It does not
/// modify the store; ConfigStore commits the edits of an accepted command.
class ChangeEvaluator {
public:
  ChangeEvaluator(const ConfigStore &store, const Command &command);

  /// Decides the command. Leaves Outcome::Version unset.
  Outcome evaluate();

  std::vector<RecordEdit> takeEdits() { return std::move(Edits); }

  Outcome operator()(const CreateCustomer &change);
  Outcome operator()(const UpdateCustomer &change);
  Outcome operator()(const CreateKey &change);
  Outcome operator()(const WithdrawKey &change);
  Outcome operator()(const CreateRoute &change);
  Outcome operator()(const DeleteRoute &change);
  Outcome operator()(const AddTarget &change);
  Outcome operator()(const DeleteTarget &change);
  Outcome operator()(const SetCap &change);
  Outcome operator()(const StartDrain &change);
  Outcome operator()(const UpdateDrain &change);
  Outcome operator()(const CancelDrain &change);
  Outcome operator()(const StartShift &change);
  Outcome operator()(const UpdateShift &change);
  Outcome operator()(const StartMove &change);
  Outcome operator()(const UpdateMove &change);
  Outcome operator()(const CancelMove &change);
  Outcome operator()(const PutVm &change);
  Outcome operator()(const RemoveVm &change);
  Outcome operator()(const SetRegionFailure &change);
  Outcome operator()(const SetBlocks &change);
  Outcome operator()(const DeleteBlocks &change);

private:
  Outcome accepted(std::string subject) const;
  Outcome invalid(std::string reason) const;
  Outcome conflict(std::string winner, std::string reason) const;

  /// Returns the record that the command refers to. If it is missing or not at the expected
  /// version, sets `failure` and returns null.
  template <class R> const R *findExpected(const decltype(R::Id) &id, Outcome &failure) const;
  /// Returns true if no record has this id and the command expects none; otherwise sets `failure`.
  template <class R> bool isFree(const decltype(R::Id) &id, Outcome &failure) const;
  /// Returns true if the record is absent and none is expected, or if it is at the expected
  /// version; otherwise sets `failure`.
  template <class R> bool mayReplace(const decltype(R::Id) &id, Outcome &failure) const;
  bool isExpected(std::string_view what, const Stamp &stamp, Outcome &failure) const;
  Outcome missingRecord(RecordKind kind, const std::string &id) const;

  template <class R> void put(R record) {
    record.Changed = NextStamp;
    std::string id = record.Id.Value;
    Edits.push_back({kindOf<R>(), std::move(id), AnyRecord(std::move(record))});
  }
  template <class R> void remove(const decltype(R::Id) &id) {
    Edits.push_back({kindOf<R>(), id.Value, std::nullopt});
  }
  template <class R> void pruneFinished(const core::MoveId &justFinished);
  template <class R, class U> Outcome updateProgress(const R &record, const U &update);

  /// Updates the target or VM of the drain, so that its version changes with the drain, and sets
  /// the state of a target. For a failure domain or region, only checks that it has a target or VM.
  Outcome updateDrainedRecord(DrainKind kind, const std::string &name, TargetState state);
  std::string checkLocation(const core::RegionId &region, const core::DomainId &domain) const;
  bool isRegion(const std::string &name) const;
  bool isDomain(const std::string &name) const;
  std::string checkCaps(const StartShift &change) const;
  std::string checkBlocks(const std::vector<BlockId> &blocks) const;

  const ConfigStore &Store;
  const Records &Current;
  const Command &EvaluatedCommand;
  Stamp NextStamp; ///< Stamp for the records that the command changes.
  std::vector<RecordEdit> Edits;
};

} // namespace briarspar::config
