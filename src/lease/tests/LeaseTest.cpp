#include "core/Hash.h"
#include "core/testing/FaultNetwork.h"
#include "core/testing/Property.h"
#include "lease/LeaseGrantor.h"
#include "lease/LeaseHolder.h"

#include <memory>
#include <string>
#include <vector>

using namespace briarspar::core;
using namespace briarspar::lease;
using testing::FaultNetwork;
using testing::FaultSettings;

namespace {

uint64_t digestOf(ConfigVersion version) { return version.Value * 1000 + 1; }

/// The configuration of one replica; the test sets the version.
struct Source final : ConfigSource {
  ConfigVersion Current;

  ConfigVersion version() const override { return Current; }
  uint64_t digest() const override { return digestOf(Current); }
  bool hasDeltaSince(ConfigVersion from) const override { return Current.Value - from.Value < 4; }
  std::string updateSince(ConfigVersion from) const override { return std::to_string(from.Value); }
};

/// The configuration of one VM process. Like src/config, it rejects a delta from another version.
struct Target final : ConfigApplier {
  ConfigVersion Current;
  bool Fails = false;

  ConfigVersion version() const override { return Current; }
  uint64_t digest() const override { return digestOf(Current); }
  absl::Status apply(ConfigVersion to, uint64_t digest, std::string_view update) override {
    cr_assert(to >= Current, "an update reverts the version");
    if (Fails)
      return absl::DataLossError("injected");
    if (update != "0" && update != std::to_string(Current.Value))
      return absl::FailedPreconditionError("delta is based on another version");
    Current = to;
    return absl::OkStatus();
  }
};

struct Process {
  VmId Vm;
  uint64_t Inc = 0;
  int64_t RatePermille = 1000;
  Target Config;
  std::unique_ptr<LeaseHolder> Holder;
};

struct Leader {
  int64_t RatePermille = 1000;
  Source Config;
  std::unique_ptr<LeaseGrantor> Grantor;
};

/// Simulates five processes on four VMs (the last process is a second one of VM 3) and two
/// replicas, at most one of which holds the leader lease. Clock rates differ by up to 1%.
class Simulation {
public:
  static constexpr uint32_t Processes = 5;
  static constexpr uint32_t Nodes = 7;
  static constexpr int64_t StepMs = 10;

  Simulation(uint64_t seed, const FaultSettings &faults) : Network(seed, faults) {
    for (uint32_t n = 0; n < Processes; ++n) {
      Vms[n].Vm = VmId("vm" + std::to_string(std::min(n, Processes - 2)));
      Vms[n].RatePermille = 995 + random(11);
    }
    for (uint32_t n = 0; n < 2; ++n) {
      Leaders[n].RatePermille = 995 + random(11);
      Leaders[n].Grantor = std::make_unique<LeaseGrantor>(
          LeaseGrantorSettings{}, Leaders[n].Config,
          [this, n](Time) { return Current == static_cast<int>(n); });
    }
    for (uint32_t n = 0; n + 1 < Processes; ++n)
      start(n);
    elect(0);
  }

  int64_t random(int64_t bound) {
    return std::uniform_int_distribution<int64_t>(0, bound - 1)(Network.rng());
  }
  Time vmTime(uint32_t n) const { return {Now * Vms[n].RatePermille / 1000}; }
  Time leaderTime(uint32_t n) const { return {Now * Leaders[n].RatePermille / 1000}; }

  void start(uint32_t n) {
    Process &p = Vms[n];
    p.Inc = ++LastInc;
    p.Config = Target();
    p.Holder = std::make_unique<LeaseHolder>(
        LeaseHolderSettings{}, p.Vm, Incarnation(p.Inc), p.Config,
        [this](uint64_t bound) { return static_cast<uint64_t>(random(bound)); });
    Network.setDown(n, false);
  }

  void elect(int n) {
    Current = n;
    if (n < 0)
      return;
    Leaders[n].Config.Current = Committed;
    Leaders[n].Grantor->becomeLeader(leaderTime(n));
  }

  void commit() {
    if (Current >= 0)
      Leaders[Current].Config.Current = Committed = Committed.next();
  }

  /// Injects one random fault or event.
  void injectFault() {
    uint32_t a = random(Nodes);
    uint32_t b = random(Nodes);
    uint32_t vm = random(Processes);
    switch (random(9)) {
    case 0:
      return Network.cut(a, b);
    case 1:
      return Network.isolate(vm, Nodes);
    case 2:
      return Network.healAll();
    case 3:
      return Network.setPaused(vm, !Network.isPaused(vm));
    case 4:
      return start(vm); // Restarts a process, or starts the second process of VM 3.
    case 5:
      return elect(random(3) - 1);
    default:
      return commit();
    }
  }

  void step() {
    Now += StepMs;
    for (uint32_t n = 0; n < Processes; ++n) {
      if (!Vms[n].Holder || Network.isPaused(n))
        continue;
      if (auto renewal = Vms[n].Holder->tick(vmTime(n))) {
        Network.send(n, Processes, encode(*renewal), Time{Now});
        Network.send(n, Processes + 1, encode(*renewal), Time{Now});
      }
    }
    while (auto delivery = Network.receive(Time{Now}))
      deliver(*delivery);
    check();
  }

  void heal() {
    Network.healAll();
    Network.settings() = FaultSettings{};
    for (uint32_t n = 0; n < Processes; ++n)
      Network.setPaused(n, false);
    if (Current < 0)
      elect(0);
  }

  void check() {
    if (Current < 0)
      return;
    LeaseGrantor &grantor = *Leaders[Current].Grantor;
    Time now = leaderTime(Current);
    for (uint64_t v = Committed.Value; v > InForce.Value; --v) {
      if (grantor.inForceEverywhere(ConfigVersion(v), now)) {
        InForce = ConfigVersion(v);
        break;
      }
    }
    for (uint32_t n = 0; n < Processes; ++n) {
      if (!Vms[n].Holder || !Vms[n].Holder->valid(vmTime(n)))
        continue;
      ++ValidSteps;
      RC_ASSERT(now < grantor.latestExpiry(Vms[n].Vm));
      RC_ASSERT(Vms[n].Config.Current >= InForce);
    }
  }

  int64_t Now = 1000;
  int Current = -1;
  ConfigVersion Committed;
  ConfigVersion InForce; ///< Highest version that any leader reported in force everywhere.
  uint64_t LastInc = 0;
  uint64_t ValidSteps = 0;
  FaultNetwork<std::string> Network;
  Process Vms[Processes];
  Leader Leaders[2];

private:
  void deliver(const FaultNetwork<std::string>::Delivery &delivery) {
    if (delivery.To >= Processes) {
      uint32_t n = delivery.To - Processes;
      auto renewal = decodeRenewal(delivery.Body);
      RC_ASSERT(renewal.ok());
      auto answer = Leaders[n].Grantor->renew(*renewal, leaderTime(n));
      return Network.send(delivery.To, delivery.From, encode(answer), Time{Now});
    }
    auto answer = decodeRenewalResponse(delivery.Body);
    RC_ASSERT(answer.ok());
    if (Vms[delivery.To].Holder)
      (void)Vms[delivery.To].Holder->receive(*answer, vmTime(delivery.To));
  }
};

uint64_t zero(uint64_t) { return 0; }

/// A holder and a grantor without a network.
struct LeasePair {
  Source Config;
  Target Applied;
  bool IsLeader = true;
  LeaseGrantor Grantor{{}, Config, [this](Time) { return IsLeader; }};
  LeaseHolder Holder{{}, VmId("vm"), Incarnation(1), Applied, zero};

  explicit LeasePair(uint64_t version = 1) {
    Config.Current = ConfigVersion(version);
    Grantor.becomeLeader(Time{0});
  }
};

} // namespace

/// Guards against a holder that is valid after the leader's latest expiry, a version reported in
/// force while a valid holder has an older one, and a version that reverts. Faults: message loss
/// and duplication, partitions, pauses, restarts, two processes of one VM, leader changes and clock
/// rates that differ by 1%.
Test(Lease, safeUnderFaultSchedules) {
  testing::checkProperty("lease safety", [] {
    // Not shrunk: a smaller seed is not a simpler schedule.
    uint64_t seed = *rc::gen::noShrink(rc::gen::arbitrary<uint64_t>());
    FaultSettings faults;
    faults.LossPermille = 100;
    faults.DuplicatePermille = 200;
    faults.MaxDelay = Duration{seed % 2 == 0 ? 50 : 800};
    Simulation simulation(seed, faults);
    for (int n = 0; n < 3000; ++n) {
      if (simulation.random(25) == 0)
        simulation.injectFault();
      simulation.step();
    }
    simulation.heal();
    simulation.commit();
    for (int n = 0; n < 1000; ++n)
      simulation.step();
    RC_ASSERT(simulation.ValidSteps > 0u);
    // One process of VM 3 may be fenced; the other VMs serve with the last version.
    RC_ASSERT(simulation.InForce == simulation.Committed);
    for (uint32_t n = 0; n < 3; ++n)
      RC_ASSERT(simulation.Vms[n].Holder->valid(simulation.vmTime(n)));
  });
}

/// Guards against a VM that delays a version for more than one lease period because it receives no
/// answers while its renewals still arrive.
Test(Lease, oneWayPartitionDelaysVersionByAtMostOneLease) {
  LeasePair p;
  auto first = p.Holder.tick(Time{10'000});
  cr_assert(p.Holder.receive(p.Grantor.renew(*first, Time{10'000}), Time{10'000}).ok());
  p.Config.Current = ConfigVersion(2);
  cr_assert_not(p.Grantor.inForceEverywhere(ConfigVersion(2), Time{10'001}));
  cr_assert_eq(p.Grantor.pendingVms(ConfigVersion(2), Time{10'001}).size(), 1);
  for (int64_t t = 10'100; t <= 13'030; t += 10) {
    if (auto renewal = p.Holder.tick(Time{t}))
      (void)p.Grantor.renew(*renewal, Time{t}); // The answer is lost.
  }
  cr_assert(p.Grantor.inForceEverywhere(ConfigVersion(2), Time{13'030}));
  cr_assert_not(p.Holder.valid(Time{12'970}));
  cr_assert(p.Holder.valid(Time{12'969}));
}

/// Guards against extending a lease on a duplicate or reordered answer or one for another process.
Test(Lease, onlyTheNewestOutstandingAnswerCounts) {
  LeasePair p;
  auto a = p.Holder.tick(Time{1000});
  auto answerA = p.Grantor.renew(*a, Time{1000});
  auto b = p.Holder.tick(Time{1600});
  auto answerB = p.Grantor.renew(*b, Time{1600});
  cr_assert(p.Holder.receive(answerB, Time{1700}).ok());
  cr_assert_eq(p.Holder.validUntil().Ms, 1600 + 2970);
  cr_assert(absl::IsFailedPrecondition(p.Holder.receive(answerA, Time{1800})));
  cr_assert(absl::IsFailedPrecondition(p.Holder.receive(answerB, Time{1800})));
  auto foreign = answerB;
  foreign.Inc = Incarnation(2);
  cr_assert(absl::IsInvalidArgument(p.Holder.receive(foreign, Time{1800})));
  cr_assert(p.Grantor.renew(*a, Time{1900}).Result == RenewalResult::Stale);
  cr_assert_eq(p.Holder.validUntil().Ms, 1600 + 2970);
}

/// Guards against sending a renewal separately shortly after another message, and against other
/// messages that shorten the back-off while the leader does not answer.
Test(Lease, renewalIsSentEarlyUnlessOneIsUnanswered) {
  LeasePair p;
  const Duration ahead{100};
  auto first = p.Holder.tick(Time{1000});
  cr_assert(first.has_value());
  cr_assert(p.Holder.receive(p.Grantor.renew(*first, Time{1000}), Time{1000}).ok());
  // The random source returns 0, so the interval is not shortened.
  cr_expect_not(p.Holder.tick(Time{1399}, ahead).has_value());
  cr_expect(p.Holder.tick(Time{1400}, ahead).has_value());
  Time retry{1400};
  while (!p.Holder.tick(retry, ahead).has_value())
    retry = retry + Duration{1};
  cr_expect_eq(retry.Ms, 1400 + 500, "retried at %ld", retry.Ms);
}

/// Guards against extending a lease when the configuration could not be applied or is older than
/// the one in force.
Test(Lease, leaseRequiresAppliedConfiguration) {
  LeasePair p(5);
  p.Applied.Fails = true;
  auto a = p.Holder.tick(Time{1000});
  cr_assert(absl::IsDataLoss(p.Holder.receive(p.Grantor.renew(*a, Time{1000}), Time{1000})));
  cr_assert_not(p.Holder.valid(Time{1000}));
  p.Applied.Fails = false;
  auto b = p.Holder.tick(Time{4000});
  cr_assert(b->NeedsFullState);
  p.Applied.Current = ConfigVersion(6);
  auto older = p.Grantor.renew(*b, Time{4000});
  cr_assert(absl::IsFailedPrecondition(p.Holder.receive(older, Time{4000})));
  cr_assert_not(p.Holder.valid(Time{4000}));
}

/// Guards against grants without the leader lease, and against an older process that keeps serving.
Test(Lease, onlyTheLeaderGrantsAndNewerIncarnationsFence) {
  LeasePair p;
  Target other;
  LeaseHolder newer({}, VmId("vm"), Incarnation(2), other, zero);
  p.IsLeader = false;
  auto a = p.Holder.tick(Time{1000});
  cr_assert(absl::IsUnavailable(p.Holder.receive(p.Grantor.renew(*a, Time{1000}), Time{1000})));
  p.IsLeader = true;
  cr_assert(p.Holder.receive(p.Grantor.renew(*a, Time{1010}), Time{1010}).ok());
  auto b = newer.tick(Time{1100});
  cr_assert(newer.receive(p.Grantor.renew(*b, Time{1100}), Time{1100}).ok());
  auto c = p.Holder.tick(Time{2000});
  cr_assert(absl::IsAborted(p.Holder.receive(p.Grantor.renew(*c, Time{2000}), Time{2000})));
  cr_assert_not(p.Holder.valid(Time{2000}));
  cr_assert(p.Holder.fenced());
  cr_assert_not(p.Holder.tick(Time{9000}).has_value());
}

/// Guards against reporting a version in force too early when many versions within one lease exceed
/// the number of separately recorded grants.
Test(Lease, mergedGrantsStayPending) {
  LeasePair p;
  Renewal renewal;
  renewal.Vm = VmId("vm");
  renewal.Inc = Incarnation(1);
  renewal.Applied = ConfigVersion(1);
  renewal.Digest = digestOf(renewal.Applied);
  for (uint64_t n = 1; n <= 12; ++n) {
    p.Config.Current = ConfigVersion(n);
    renewal.Sequence = n;
    cr_assert(p.Grantor.renew(renewal, Time{10'000}).Result != RenewalResult::NotLeader);
  }
  cr_assert_not(p.Grantor.inForceEverywhere(ConfigVersion(2), Time{13'029}));
  cr_assert(p.Grantor.inForceEverywhere(ConfigVersion(12), Time{13'030}));
}

/// Guards against a restart storm: 60 VMs start at the same time without a leader. When the leader
/// returns they must not renew at the same time, nor get more full states than the limit.
Test(Lease, restartedDomainRenewsSpreadOut) {
  constexpr int count = 60;
  pcg32 rng(7);
  Time now;
  auto random = [&](uint64_t bound) { return now < Time{5000} ? 0 : rng() % bound; };
  std::vector<std::unique_ptr<Target>> targets;
  std::vector<std::unique_ptr<LeaseHolder>> holders;
  for (int n = 0; n < count; ++n) {
    targets.push_back(std::make_unique<Target>());
    holders.push_back(std::make_unique<LeaseHolder>(LeaseHolderSettings{},
                                                    VmId("vm" + std::to_string(n)), Incarnation(1),
                                                    *targets.back(), random));
  }
  Source config;
  config.Current = ConfigVersion(9);
  LeaseGrantorSettings settings;
  settings.FullStatesPerSecond = 20;
  LeaseGrantor grantor(settings, config, [](Time t) { return t >= Time{20'000}; });
  int maxSentPerStep = 0;
  int fullStates = 0;
  for (int64_t t = 1000; t < 30'000; t += 50) {
    now = Time{t};
    int sent = 0;
    for (auto &holder : holders) {
      auto renewal = holder->tick(Time{t});
      if (!renewal)
        continue;
      ++sent;
      auto answer = grantor.renew(*renewal, Time{t});
      fullStates += t < 21'000 && !answer.Update.empty() ? 1 : 0;
      (void)holder->receive(answer, Time{t});
    }
    if (t >= 15'000)
      maxSentPerStep = std::max(maxSentPerStep, sent);
  }
  cr_assert_leq(maxSentPerStep, count / 3, "%d of %d VMs sent in the same 50 ms", maxSentPerStep,
                count);
  cr_assert_leq(fullStates, 20);
  for (auto &holder : holders)
    cr_assert(holder->valid(Time{30'000}));
}

/// Guards against messages too large for 2,000 VMs: at two renewals a second, both directions must
/// stay below a tenth of the control traffic budget of 4 KB/s per node. Also guards against crashes
/// on malformed messages.
Test(Lease, messagesAreSmallAndMalformedOnesAreErrors) {
  Renewal renewal;
  renewal.Vm = VmId("eu-west-1a-entry-0123");
  renewal.Inc = Incarnation(1'800'000'000'000);
  renewal.Sequence = renewal.LastAnswered = 1'000'000;
  renewal.Applied = ConfigVersion(1'000'000);
  renewal.Digest = ~uint64_t{0};
  RenewalResponse answer;
  answer.Vm = renewal.Vm;
  answer.Inc = renewal.Inc;
  answer.Sequence = renewal.Sequence;
  answer.Result = RenewalResult::Granted;
  answer.Length = Duration{3000};
  answer.Version = renewal.Applied;
  answer.Digest = renewal.Digest;
  size_t bytes = encode(renewal).size() + encode(answer).size();
  cr_log_info("renewal %zu bytes, answer %zu bytes", encode(renewal).size(), encode(answer).size());
  cr_assert_leq(2 * bytes, 400);
  cr_assert_eq(decodeRenewal(encode(renewal))->Digest, renewal.Digest);
  cr_assert_eq(decodeRenewalResponse(encode(answer))->Length.Ms, 3000);

  testing::checkProperty("decoding corrupted bytes returns a status",
                         [&](uint8_t value, uint16_t at) {
                           std::string buf = encode(answer);
                           buf[at % buf.size()] = static_cast<char>(value);
                           auto decoded = decodeRenewalResponse(buf);
                           if (decoded.ok())
                             RC_ASSERT(decoded->Result <= RenewalResult::Stale);
                           (void)decodeRenewal(buf);
                         });
}
