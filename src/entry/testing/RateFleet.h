#pragma once

#include "control/RateAllocator.h"
#include "entry/RateLimiter.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace briarspar::entry::testing {

using core::DomainId;
using core::Duration;
using core::Incarnation;
using core::LogIndex;
using core::RegionId;
using core::Term;
using core::Time;
using core::VmId;

/// Returns the catalog entry of one customer with a rate per second and a burst.
inline catalog::ItemMap<catalog::Customer> oneCustomer(double rate, double burst) {
  catalog::Customer it;
  it.Name = "c";
  it.RatePerS = rate;
  it.Burst = burst;
  catalog::ItemMap<catalog::Customer> shelf;
  shelf["c"] = {catalog::ItemVersion(1), LogIndex(1), it, ""};
  return shelf;
}

/// Entry VMs that receive shares of one customer's rate from a leader and ask each other for
/// permits. Messages are lost, VMs restart and leaders change at random. Each failure domain has
/// eight VMs.
class RateFleet {
public:
  RateFleet(size_t n, double rate) : Rate(rate), Vms(n) {
    for (size_t i = 0; i < n; ++i) {
      Places.push_back({id(i), RegionId("r"), DomainId("z" + std::to_string(i / 8))});
      start(i, 1);
    }
    setListed([](size_t) { return true; });
    Leader->becomeLeader(Term(1), roster(), Now);
    Leader->setRates(oneCustomer(Rate, Rate));
  }

  /// Advances by 100 ms: each VM gets `demand` requests and the hot VM `hotDemand`; each VM reports
  /// in every fourth step.
  void step(uint64_t demand, uint64_t hotDemand, uint64_t lossPermille,
            const std::function<uint64_t()> &random) {
    Now = Now + Duration{100};
    for (size_t i = 0; i < Vms.size(); ++i) {
      Vm &it = Vms[i];
      uint64_t mine = i == Hot ? hotDemand : demand;
      it.Limiter->onTimer(Now);
      for (uint64_t k = 0; k < mine; ++k)
        request(i, random, lossPermille);
      const bool isDue = (Now.Ms / 100 + static_cast<int64_t>(i)) % 4 == 0 || it.ReportSoon;
      if (!isDue || random() % 1000 < lossPermille)
        continue;
      auto answer = Leader->allocate(id(i), Incarnation(it.Run), it.Heard, it.Limiter->uses(Now),
                                     Holders, Now);
      if (random() % 1000 < lossPermille)
        continue;
      it.Heard = LeaderTerm;
      it.ReportSoon = it.Limiter->setEntries(Listed, Now);
      it.Limiter->setShares(answer, Now, Now);
    }
  }

  /// Issues one request of the customer at a VM.
  void request(size_t i, const std::function<uint64_t()> &random, uint64_t lossPermille = 0) {
    std::optional<bool> granted = Vms[i].Limiter->request("c", Now, [this](bool later) {
      if (later)
        Admitted.push_back(Now);
    });
    if (granted.value_or(false))
      Admitted.push_back(Now);
    deliver(lossPermille, random);
  }

  void changeLeader() {
    LeaderTerm = LeaderTerm.next();
    Leader = std::make_unique<control::RateAllocator>();
    Leader->becomeLeader(LeaderTerm, roster(), Now);
    Leader->setRates(oneCustomer(Rate, Rate));
  }

  void restart(size_t i) { start(i, Vms[i].Run + 1); }

  /// A VM that has not heard from the leader since its start has no configuration and refuses all
  /// requests without asking for a permit.
  bool isServing(size_t i) const { return Vms[i].Heard.Value != 0; }

  /// Sets the VMs in the leader's list of live VMs. VMs that are starting or stopping are not in
  /// it, but have callers.
  void setListed(const std::function<bool(size_t)> &isListed) {
    Listed.clear();
    for (size_t i = 0; i < Places.size(); ++i)
      if (isListed(i))
        Listed.push_back(Places[i]);
    Holders = link::RateHolders(Listed);
  }

  /// Returns the maximum number of requests admitted in any window, as a fraction of the platform's
  /// limit.
  double worstWindow() const {
    double most = 0;
    size_t from = 0;
    for (size_t to = 0; to < Admitted.size(); ++to) {
      while (Admitted[to] - Admitted[from] >= Duration{5000})
        ++from;
      most = std::max(most, static_cast<double>(to - from + 1));
    }
    return most / ((5 * Rate + Rate) * 1.1 + 20);
  }

  size_t Hot = 0;
  size_t admitted() const { return Admitted.size(); }

private:
  struct Vm {
    std::unique_ptr<RateLimiter> Limiter;
    uint64_t Run = 1;
    Term Heard;
    bool ReportSoon = false;
  };

  struct Ask {
    size_t From;
    VmId To;
    link::RateRequest Content;
  };

  void start(size_t i, uint64_t run) {
    auto limiter = std::make_unique<RateLimiter>(
        Places[i], [this, i](const VmId &to, const link::RateRequest &ask) {
          Asks.push_back({i, to, ask});
        });
    limiter->setLimits(oneCustomer(Rate, Rate), Now);
    Vms[i] = {std::move(limiter), run, Term(0), false};
  }

  void deliver(uint64_t lossPermille, const std::function<uint64_t()> &random) {
    for (const Ask &ask : std::exchange(Asks, {})) {
      if (random() % 1000 < lossPermille)
        continue;
      for (size_t to = 0; to < Vms.size(); ++to) {
        if (id(to) != ask.To)
          continue;
        link::RatePermit permit = Vms[to].Limiter->answer(ask.Content, Now);
        if (permit.Sequence != 0 && random() % 1000 >= lossPermille)
          Vms[ask.From].Limiter->onPermit(ask.To, permit, Now);
      }
    }
  }

  static VmId id(size_t i) { return VmId("vm" + std::to_string(i)); }
  std::set<VmId> roster() const {
    std::set<VmId> out;
    for (size_t i = 0; i < Vms.size(); ++i)
      out.insert(id(i));
    return out;
  }

  double Rate;
  Time Now{1'000'000};
  std::vector<Vm> Vms;
  std::vector<link::EntryLocation> Places;
  std::vector<link::EntryLocation> Listed;
  link::RateHolders Holders;
  std::vector<Ask> Asks;
  std::unique_ptr<control::RateAllocator> Leader = std::make_unique<control::RateAllocator>();
  Term LeaderTerm{1};
  std::vector<Time> Admitted;
};

} // namespace briarspar::entry::testing
