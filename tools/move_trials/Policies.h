#pragma once

#include "moves/MoveController.h"

#include <deque>
#include <map>
#include <vector>

namespace briarspar::tools {

/// Decides the steps of one version move.
class MovePolicy {
public:
  virtual ~MovePolicy() = default;
  virtual void observe(const moves::VersionStats &stats, core::Time now) = 0;
  virtual std::vector<moves::MoveStep> tick(core::Time now) = 0;
  virtual void committed(const moves::MoveStep &step, core::Time now) = 0;
  virtual const moves::MoveRecord &record() const = 0;
};

/// Runs the project's MoveController.
class ControllerPolicy final : public MovePolicy {
public:
  ControllerPolicy(const moves::MoveRecord &record, core::Time now) : Id(record.Id) {
    Controller.start(record, now);
  }
  void observe(const moves::VersionStats &stats, core::Time now) override {
    Controller.observe(stats, now);
  }
  std::vector<moves::MoveStep> tick(core::Time now) override { return Controller.tick(now); }
  void committed(const moves::MoveStep &step, core::Time now) override {
    Controller.committed(step, now);
  }
  const moves::MoveRecord &record() const override { return *Controller.find(Id); }

private:
  moves::MoveController Controller;
  core::MoveId Id;
};

/// Baseline with fixed thresholds: raises the share through the same values as the controller at
/// equal intervals, and rolls back when, on any route, more than 5% of the new version's requests
/// of the last 10 s failed or more than 10% took longer than 512 ms. The thresholds do not apply
/// during the propagation and cold-start periods after the share was raised.
class ThresholdPolicy final : public MovePolicy {
public:
  ThresholdPolicy(const moves::MoveRecord &record, core::Time now);
  void observe(const moves::VersionStats &stats, core::Time now) override;
  std::vector<moves::MoveStep> tick(core::Time now) override;
  void committed(const moves::MoveStep &step, core::Time now) override;
  const moves::MoveRecord &record() const override { return Record; }

private:
  bool exceedsThresholds(core::Time now);

  moves::MoveSettings Settings;
  moves::MoveRecord Record;
  core::Time StartedAt;
  core::Time ShareSince;
  core::Time EmittedAt{-1'000'000};
  std::map<core::RouteId, std::deque<std::pair<core::Time, moves::RequestCounts>>> Window;
};

} // namespace briarspar::tools
