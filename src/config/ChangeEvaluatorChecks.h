#pragma once

#include "config/ChangeEvaluator.h"
#include "config/Text.h"

/// Templates of ChangeEvaluator that its source files share.
namespace briarspar::config {

template <class R> std::string describe(const decltype(R::Id) &id) {
  return concat(nameOf(kindOf<R>()), " ", id.Value);
}

template <class R>
const R *ChangeEvaluator::findExpected(const decltype(R::Id) &id, Outcome &failure) const {
  const R *record = find(tableOf<R>(Current), id);
  if (record == nullptr) {
    failure = missingRecord(kindOf<R>(), id.Value);
    return nullptr;
  }
  return isExpected(describe<R>(id), record->Changed, failure) ? record : nullptr;
}

template <class R> bool ChangeEvaluator::isFree(const decltype(R::Id) &id, Outcome &failure) const {
  if (const R *record = find(tableOf<R>(Current), id)) {
    failure = conflict(record->Changed.Command, concat(describe<R>(id), " exists already"));
    return false;
  }
  if (EvaluatedCommand.ExpectedVersion.Value == 0)
    return true;
  failure = missingRecord(kindOf<R>(), id.Value);
  return false;
}

template <class R>
bool ChangeEvaluator::mayReplace(const decltype(R::Id) &id, Outcome &failure) const {
  if (find(tableOf<R>(Current), id) != nullptr)
    return findExpected<R>(id, failure) != nullptr;
  return isFree<R>(id, failure);
}

} // namespace briarspar::config
