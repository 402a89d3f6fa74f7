#pragma once

#include "core/testing/FaultNetwork.h"
#include "core/testing/Property.h"
#include "quota/QuotaHolder.h"
#include "quota/QuotaOwner.h"

#include <algorithm>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace briarspar::quota::testing {

using core::Duration;
using core::Time;
using core::testing::FaultNetwork;
using core::testing::FaultSettings;

struct Limit {
  int64_t PerSecond;
  int64_t Burst;
};

/// A token bucket that starts full: the maximum admission that the bound allows.
class ExactBucket {
public:
  explicit ExactBucket(Limit limit, int64_t parts = 1)
      : PerMs(limit.PerSecond * 1000 / parts), Depth(limit.Burst * 1'000'000 / parts),
        Level(Depth) {}

  bool take(int64_t ms) {
    Level = std::min(Depth, Level + (ms - LastMs) * PerMs);
    LastMs = ms;
    if (Level < 1'000'000)
      return false;
    Level -= 1'000'000;
    return true;
  }

private:
  int64_t PerMs;
  int64_t Depth;
  int64_t Level;
  int64_t LastMs = 0;
};

/// Returns true if every interval of the log has at most burst + rate * length admissions. `log`
/// must be sorted.
inline bool withinBound(const std::vector<int64_t> &log, Limit limit, int64_t from, int64_t to) {
  ExactBucket bucket(limit);
  return std::all_of(log.begin(), log.end(),
                     [&](int64_t ms) { return ms < from || ms >= to || bucket.take(ms); });
}

/// Twelve VMs and two owners on injected time, in steps of 1 ms. The owner clocks are the
/// reference. In an adverse simulation, VM clocks deviate by up to 1% and the last two VMs are two
/// processes of one VM.
class Simulation {
public:
  static constexpr uint32_t Vms = 12;
  static constexpr uint32_t Nodes = Vms + 2;

  /// Requests per second of a customer at a VM at a given time.
  using Load = std::function<double(uint32_t vm, size_t customer, int64_t ms)>;

  /// Results for the requests that the limits allow.
  struct Share {
    int64_t WithinLimit = 0; ///< Requests admitted by one bucket for the whole fleet.
    int64_t Admitted = 0;    ///< Of these, admitted with grants.
    int64_t Static = 0; ///< Of these, admitted with a static split: a twelfth of each limit per VM.

    double share() const { return WithinLimit == 0 ? 1 : double(Admitted) / double(WithinLimit); }
    double staticShare() const {
      return WithinLimit == 0 ? 1 : double(Static) / double(WithinLimit);
    }
  };

  Simulation(uint64_t seed, const FaultSettings &faults, std::vector<Limit> limits, Load load,
             bool adverse = false)
      : Adverse(adverse), Network(seed, faults), Limits(std::move(limits)),
        Arrivals(std::move(load)), Log(Limits.size()) {
    for (size_t c = 0; c < Limits.size(); ++c) {
      Names.emplace_back("customer" + std::to_string(c));
      FleetBuckets.emplace_back(Limits[c]);
      SplitBuckets.emplace_back(Vms, ExactBucket(Limits[c], Vms));
    }
    for (uint32_t n = 0; n < 2; ++n) {
      Owners[n] = std::make_unique<QuotaOwner>(
          QuotaOwnerSettings{}, [this, n](Time) { return Current == static_cast<int>(n); });
      for (size_t c = 0; c < Limits.size(); ++c)
        setLimitAt(n, c, Limits[c]);
    }
    for (uint32_t n = 0; n < Vms; ++n)
      start(n);
    elect(0);
  }

  int64_t random(int64_t bound) {
    return std::uniform_int_distribution<int64_t>(0, bound - 1)(Network.rng());
  }

  void start(uint32_t vm) {
    core::VmId id("vm" + std::to_string(Adverse ? std::min(vm, Vms - 2) : vm));
    Holders[vm] =
        std::make_unique<QuotaHolder>(QuotaHolderSettings{}, id, core::Incarnation(++LastInc));
    RatePermille[vm] = Adverse ? 990 + 10 * random(3) : 1000;
    Waiting.erase(std::remove_if(Waiting.begin(), Waiting.end(),
                                 [=](const Request &r) { return r.Vm == vm; }),
                  Waiting.end());
  }

  /// Changes the owner; -1: no owner. The new owner may start long after the old lease ended. If it
  /// does not know when the lease ended, it assumes its own start.
  void elect(int n, bool knowsLeaseEnd = true) {
    if (Current >= 0 || !knowsLeaseEnd)
      LeaseEnd = Now;
    Current = n;
    if (n >= 0)
      Owners[n]->becomeOwner(Time{LeaseEnd}, core::Term(++Epoch));
  }

  /// Removes all faults.
  void heal() {
    Network.healAll();
    Network.settings() = FaultSettings{};
    for (uint32_t vm = 0; vm < Vms; ++vm)
      Network.setPaused(vm, false);
    if (Current < 0)
      elect(0);
  }

  void setLimit(size_t customer, Limit limit) {
    for (uint32_t n = 0; n < 2; ++n)
      setLimitAt(n, customer, limit);
  }

  void remove(size_t customer) {
    for (uint32_t n = 0; n < 2; ++n)
      Owners[n]->removeCustomer(Names[customer], Time{Now});
  }

  void run(int64_t ms) {
    for (int64_t end = Now + ms; Now < end;)
      step();
  }

  void step() {
    ++Now;
    while (auto delivery = Network.receive(Time{Now}))
      deliver(*delivery);
    for (uint32_t vm = 0; vm < Vms; ++vm) {
      if (Network.isPaused(vm))
        continue;
      if ((Now + vm) % 10 == 0)
        tick(vm);
      for (size_t c = 0; c < Limits.size(); ++c)
        arrive(vm, c);
    }
    retry();
  }

  /// Starts a new measurement of the requests that arrive from now on.
  void measure() {
    Measured = Share();
    MeasuredFrom = Now;
  }

  int64_t Now = 1000;
  int Current = -1;
  const bool Adverse;
  FaultNetwork<std::string> Network;
  std::vector<Limit> Limits;
  Load Arrivals;
  std::vector<std::vector<int64_t>> Log; ///< Admission times per customer.
  Share Measured;
  int64_t AdmittedBy[Vms] = {};
  uint64_t SentBytes = 0;
  uint64_t SentMessages = 0;

private:
  struct Request {
    uint32_t Vm;
    size_t Customer;
    Time Arrived; ///< On the VM's clock.
    int64_t ArrivedMs;
    int64_t RetryMs;
    bool WithinLimit;
  };

  Time vmTime(uint32_t vm) const { return {Now * RatePermille[vm] / 1000}; }

  void setLimitAt(uint32_t owner, size_t customer, Limit limit) {
    Owners[owner]->setLimit(Names[customer], Rate::perSecond(limit.PerSecond), {limit.Burst},
                            Time{Now});
  }

  void tick(uint32_t vm) {
    for (const GrantRequest &request : Holders[vm]->tick(vmTime(vm))) {
      std::string bytes = encode(request);
      SentBytes += bytes.size();
      ++SentMessages;
      // The VM does not know the owner; only one of the two answers with grants.
      Network.send(vm, Vms, bytes, Time{Now});
      Network.send(vm, Vms + 1, bytes, Time{Now});
    }
  }

  void deliver(const FaultNetwork<std::string>::Delivery &delivery) {
    if (delivery.To < Vms) {
      auto answer = decodeGrantResponse(delivery.Body);
      cr_assert(answer.ok());
      return Holders[delivery.To]->receive(*answer, vmTime(delivery.To));
    }
    auto request = decodeGrantRequest(delivery.Body);
    cr_assert(request.ok());
    GrantResponse answer = Owners[delivery.To - Vms]->request(*request, Time{Now});
    std::string bytes = encode(answer);
    SentBytes += answer.Result == GrantResult::Ok ? bytes.size() : 0;
    Network.send(delivery.To, delivery.From, bytes, Time{Now});
  }

  void arrive(uint32_t vm, size_t customer) {
    double perSecond = Arrivals(vm, customer, Now);
    if (perSecond <= 0 ||
        std::uniform_real_distribution<double>(0, 1000)(Network.rng()) >= perSecond)
      return;
    Request request{vm, customer, vmTime(vm), Now, 0, FleetBuckets[customer].take(Now)};
    bool admittedBySplit = SplitBuckets[customer][vm].take(Now);
    Measured.WithinLimit += request.WithinLimit ? 1 : 0;
    Measured.Static += request.WithinLimit && admittedBySplit ? 1 : 0;
    finish(request, Holders[vm]->tryAdmit(Names[customer], vmTime(vm)));
  }

  void finish(Request request, const Admission &admission) {
    if (admission.Result == Admission::Admitted) {
      Log[request.Customer].push_back(Now);
      ++AdmittedBy[request.Vm];
      bool counts = request.WithinLimit && request.ArrivedMs > MeasuredFrom;
      Measured.Admitted += counts ? 1 : 0;
    } else if (admission.Result == Admission::Wait) {
      request.RetryMs = Now + admission.Hint.Ms;
      Waiting.push_back(request);
    }
  }

  void retry() {
    std::vector<Request> due;
    auto isDue = [&](const Request &r) { return r.RetryMs <= Now && !Network.isPaused(r.Vm); };
    std::copy_if(Waiting.begin(), Waiting.end(), std::back_inserter(due), isDue);
    Waiting.erase(std::remove_if(Waiting.begin(), Waiting.end(), isDue), Waiting.end());
    for (const Request &r : due)
      finish(r, Holders[r.Vm]->retryAdmit(Names[r.Customer], vmTime(r.Vm), r.Arrived));
  }

  uint64_t Epoch = 0;
  uint64_t LastInc = 0;
  int64_t LeaseEnd = -10'000; ///< Before the start, so that no earlier owner counts.
  int64_t MeasuredFrom = 0;
  std::vector<core::CustomerId> Names;
  std::vector<ExactBucket> FleetBuckets;
  std::vector<std::vector<ExactBucket>> SplitBuckets;
  std::unique_ptr<QuotaOwner> Owners[2];
  std::unique_ptr<QuotaHolder> Holders[Vms];
  int64_t RatePermille[Vms];
  std::vector<Request> Waiting;
};

} // namespace briarspar::quota::testing
