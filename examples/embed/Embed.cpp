// Uses the quota and idempotency libraries without the daemon. Two VMs share the rate limit of one
// customer and one table of request ids. Messages are function calls, and time is simulated with
// ManualClock.

#include "core/Clock.h"
#include "idempotency/ClaimCoordinator.h"
#include "idempotency/ClaimTable.h"
#include "quota/QuotaHolder.h"
#include "quota/QuotaOwner.h"

#include <cstddef>
#include <cstdint>
#include <iostream>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

using namespace briarspar;

namespace {

const core::CustomerId Customer("acme");
constexpr int64_t PerSecond = 10;
constexpr int64_t BurstSize = 5;

/// A replicated owner passes Replica::holdsLeaderLease() instead; the only owner here always leads.
bool alwaysLeads(core::Time now) { return true; }

/// An application with several processes passes its LeaseHolder instead; this lease never expires.
class PermanentLease final : public idempotency::DispatchPermission {
public:
  bool valid(core::Time now) const override { return true; }
};

/// State that exists once for all VMs.
struct Leader {
  quota::QuotaOwner Quota{quota::QuotaOwnerSettings(), alwaysLeads};
  idempotency::ClaimTable Claims;
};

struct WaitingRequest {
  int Number = 0;
  core::Time Arrived;
};

struct Vm {
  explicit Vm(const std::string &name)
      : Name(name), Quota(quota::QuotaHolderSettings(), core::VmId(name), core::Incarnation(1)),
        Claims(core::VmId(name), core::Incarnation(1), Lease) {}

  std::string Name;
  PermanentLease Lease;
  quota::QuotaHolder Quota;
  idempotency::ClaimCoordinator Claims;
  std::vector<WaitingRequest> Waiting;
  int Admitted = 0;
};

class Example {
public:
  int run() {
    Coordinator.Quota.becomeOwner(Clock.now(), core::Term(1));
    Coordinator.Quota.setLimit(Customer, quota::Rate::perSecond(PerSecond), {BurstSize},
                               Clock.now());
    print("leader", "limits customer acme to 10 requests per second with a burst of 5");
    // A new owner grants the whole limit only when all reserves of earlier owners have expired, one
    // serving lease after it took over. Its bucket is empty at that time and full 0.5 s later.
    Clock.advance(core::Duration::seconds(4));
    print("leader", "the bucket is full");
    bool ok = admitRequests();
    return runOnce() && ok ? 0 : 1;
  }

private:
  void print(const std::string &who, const std::string &what) const {
    std::cout << Clock.now().Ms << " ms " << who << ": " << what << "\n";
  }

  /// Sends requests at three times the rate, at both VMs at the same times.
  bool admitRequests() {
    constexpr int64_t step = 10;
    constexpr int64_t length = 1000;
    constexpr int64_t arrivalInterval = 200;
    int number = 0;
    for (int64_t elapsed = 0; elapsed < length; elapsed += step) {
      for (Vm *vm : {&A, &B}) {
        for (int n = 0; elapsed % arrivalInterval == 0 && n < 3; ++n)
          arrive(*vm, ++number);
      }
      for (Vm *vm : {&A, &B}) {
        exchangeGrants(*vm);
        retryWaiting(*vm);
      }
      Clock.advance(core::Duration::milliseconds(step));
    }
    return checkAdmissions();
  }

  void arrive(Vm &vm, int number) {
    quota::Admission result = vm.Quota.tryAdmit(Customer, Clock.now());
    if (result.Result == quota::Admission::Wait)
      vm.Waiting.push_back({number, Clock.now()});
    else
      finish(vm, number, result);
  }

  void retryWaiting(Vm &vm) {
    std::vector<WaitingRequest> waiting = std::exchange(vm.Waiting, {});
    for (const WaitingRequest &request : waiting) {
      quota::Admission result = vm.Quota.retryAdmit(Customer, Clock.now(), request.Arrived);
      if (result.Result == quota::Admission::Wait)
        vm.Waiting.push_back(request);
      else
        finish(vm, request.Number, result);
    }
  }

  void finish(Vm &vm, int number, const quota::Admission &result) {
    bool admitted = result.Result == quota::Admission::Admitted;
    print(vm.Name, "request " + std::to_string(number) + (admitted ? " admitted" : " refused"));
    if (!admitted)
      return;
    ++vm.Admitted;
    Admissions.push_back(Clock.now());
  }

  void exchangeGrants(Vm &vm) {
    for (const quota::GrantRequest &request : vm.Quota.tick(Clock.now()))
      vm.Quota.receive(Coordinator.Quota.request(request, Clock.now()), Clock.now());
  }

  /// Checks that every interval admits at most burst + rate * length requests. Requests admitted at
  /// the same time form an interval of length 0.
  bool checkAdmissions() const {
    size_t violations = 0;
    for (size_t first = 0; first < Admissions.size(); ++first) {
      for (size_t last = first; last < Admissions.size(); ++last) {
        int64_t span = (Admissions[last] - Admissions[first]).Ms;
        auto count = static_cast<int64_t>(last - first + 1);
        violations += count * 1000 > BurstSize * 1000 + PerSecond * span ? 1 : 0;
      }
    }
    print("check", std::to_string(A.Admitted) + " admitted at vm-a, " + std::to_string(B.Admitted) +
                       " at vm-b, " + std::to_string(violations) + " intervals over the limit");
    // Unless both VMs admit requests, the shared limit is not tested.
    return violations == 0 && A.Admitted > 0 && B.Admitted > 0 &&
           A.Admitted + B.Admitted > BurstSize;
  }

  /// Sends a request that must not run twice through vm-a and resends it through vm-b.
  bool runOnce() {
    std::optional<idempotency::CallerReply> first = send(A, 1);
    Clock.advance(core::Duration::seconds(1));
    std::optional<idempotency::CallerReply> second = send(B, 2);
    bool same = first && second && first->Status == idempotency::CallerReply::Answered &&
                second->Status == idempotency::CallerReply::Answered &&
                first->Answer == second->Answer;
    print("check", "the request ran " + std::to_string(Runs) + " time(s), the answers are " +
                       (same ? "equal" : "different"));
    return Runs == 1 && same;
  }

  std::optional<idempotency::CallerReply> send(Vm &vm, idempotency::CallerId caller) {
    print(vm.Name, "receives the request with id order-17");
    idempotency::RequestStart start;
    start.Caller = caller;
    start.Key = {Customer, core::RouteId("charge"), "order-17"};
    start.BodyFingerprint = 17;
    start.Deadline = core::Duration::seconds(5);
    vm.Claims.start(start, Clock.now());
    std::optional<idempotency::CallerReply> reply;
    // Executing an action can create further ones.
    for (auto actions = vm.Claims.takeActions(); !actions.empty();
         actions = vm.Claims.takeActions()) {
      for (const idempotency::ClaimAction &action : actions)
        std::visit([&](const auto &it) { execute(vm, it, reply); }, action);
    }
    return reply;
  }

  using ReplySlot = std::optional<idempotency::CallerReply>;

  void execute(Vm &vm, const idempotency::SendCommand &send, ReplySlot &reply) {
    bool isClaim = std::holds_alternative<idempotency::Claim>(send.Command);
    print(vm.Name, isClaim ? "claims the id" : "records the end of the request");
    vm.Claims.receive(Coordinator.Claims.apply(send.Command, Clock.now()), Clock.now());
  }

  void execute(Vm &vm, const idempotency::Dispatch &dispatch, ReplySlot &reply) {
    ++Runs;
    std::string answer = "receipt " + std::to_string(Runs);
    print(vm.Name, "holds the id and runs the request");
    vm.Claims.dispatchFinished(dispatch.Attempt, {idempotency::DispatchResult::Answered, answer},
                               Clock.now());
  }

  void execute(Vm &vm, const idempotency::Reply &action, ReplySlot &reply) {
    reply = action.Content;
    print(vm.Name, "answers the caller: " + action.Content.Answer);
  }

  core::ManualClock Clock;
  Leader Coordinator;
  Vm A{"vm-a"};
  Vm B{"vm-b"};
  std::vector<core::Time> Admissions;
  int Runs = 0;
};

} // namespace

int main() { return Example().run(); }
