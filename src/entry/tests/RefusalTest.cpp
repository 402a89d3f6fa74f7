#include "entry/testing/CopyingTarget.h"
#include "entry/testing/SessionFixture.h"

#include <array>
#include <chrono>

using namespace briarspar;
using entry::testing::CopyingTarget;
using entry::testing::CopyTime;

namespace {

/// Ids under which the address of the target is listed. Only the second one is that of the process.
const std::string OldId = "t-1";
const std::string NewId = "t-2";

/// Well above the timeout of the route.
constexpr core::Duration MaxResponseTime{10'000};

constexpr std::array<CopyTime, 7> AllCopyTimes{
    CopyTime::WithRefusal,      CopyTime::SoonAfterRefusal, CopyTime::BeforeNextResponse,
    CopyTime::SplitAroundNext,  CopyTime::TwiceBeforeNext,  CopyTime::OtherStatusFirst,
    CopyTime::AfterNextResponse};

/// A VM with a route that is not idempotent and one target process, which is listed under the given
/// ids.
struct Fixture : entry::testing::SessionFixture {
  Fixture(CopyTime copies, const std::vector<std::string> &ids)
      : Target(Io, Context.Names, NewId, copies) {
    entry::testing::configure(Context, entry::testing::oneOpenRoute(/*idempotent=*/false), ids,
                              Target.port(), Clock.now());
    for (int i = 0; i < 20; ++i)
      Context.Retries.countRequest(entry::testing::ServiceName, Clock.now());
  }

  /// Sends a request and returns the status of the response, or 0.
  int exchange(const std::string &id) {
    return exchangeBytes("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n" +
                         Context.Names.RequestId + ": " + id + "\r\n\r\n");
  }

  int exchangeBytes(const std::string &request) {
    Received.clear();
    send(request);
    const auto start = std::chrono::steady_clock::now();
    const core::Time sentAt = Clock.now();
    core::Duration passed{0};
    while (Received.find("\r\n\r\n") == std::string::npos && passed < MaxResponseTime) {
      poll();
      passed = {std::chrono::duration_cast<std::chrono::milliseconds>(
                    std::chrono::steady_clock::now() - start)
                    .count()};
      Clock.advance(sentAt + passed - Clock.now());
    }
    // A target that began to run the request in spite of the response is noticed.
    for (int n = 0; n < 200; ++n)
      poll();
    return Received.size() < 12 ? 0 : std::stoi(Received.substr(9, 3));
  }

  CopyingTarget Target;
};

bool saysNotRun(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

void checkStatus(const Fixture &f, int status, const std::string &id, int runsBefore, int copies) {
  const int runs = f.Target.runs(id) - runsBefore;
  cr_assert_neq(status, 0);
  cr_assert_leq(runs, 1);
  cr_assert(!saysNotRun(status) || runs == 0, "status %d, but the target ran it (copies: %d)",
            status, copies);
}

} // namespace

/// Guards against a copy of a 421 that is taken for the response to the repeat of the request under
/// the new id of the same address.
Test(Refusal, repeatAtSameAddressIsNotReportedAsNotRun) {
  for (CopyTime copies : AllCopyTimes) {
    Fixture f(copies, {OldId, NewId});
    for (int n = 0; n < 3; ++n) {
      const std::string id = "request-" + std::to_string(n);
      checkStatus(f, f.exchange(id), id, 0, static_cast<int>(copies));
    }
  }
}

/// Guards against a copy of a refusal that is taken for the response to a caller's repeat of its
/// id.
Test(Refusal, repeatOfCallerIsNotReportedAsNotRun) {
  for (CopyTime copies : AllCopyTimes) {
    Fixture f(copies, {NewId});
    f.Target.RefuseFirst = 1;
    for (int n = 0; n < 3; ++n) {
      const int before = f.Target.runs("request");
      checkStatus(f, f.exchange("request"), "request", before, static_cast<int>(copies));
    }
  }
}

/// Guards against passing on a status that says "not run" from a target that ran the request.
Test(Refusal, statusWithoutStatementIsNoPromise) {
  for (int status : {408, 429, 503}) {
    Fixture f(CopyTime::Never, {NewId});
    f.Target.RunStatus = status;
    checkStatus(f, f.exchange("request"), "request", 0, static_cast<int>(CopyTime::Never));
  }
}

/// Guards against the beginning of a copy that, joined with the response to the next request, looks
/// like a refusal of that request.
Test(Refusal, cutCopyIsNotJoinedWithNextResponse) {
  for (bool idFirst : {true, false}) {
    for (size_t cut = 1; cut < 120; ++cut) {
      Fixture f(CopyTime::CutBeforeNext, {NewId});
      f.Target.RefuseFirst = 1;
      f.Target.CutCopyAt = cut;
      f.Target.IdFirst = idFirst;
      f.Target.WorkTime = std::chrono::milliseconds(1);
      cr_assert_eq(f.exchange("first"), 503);
      checkStatus(f, f.exchange("second"), "second", 0, static_cast<int>(cut));
      cr_assert_eq(f.Target.copies(), 1);
      cr_assert_eq(f.Target.connections(), 1);
    }
  }
}

/// Guards against responses to HEAD requests, and requests without an id, on connections that
/// carried others: a copy would pass as their response, or their length would hide the one that
/// follows.
Test(Refusal, headAndRequestWithoutIdGetNewConnections) {
  for (const std::string request :
       {"HEAD /a HTTP/1.1\r\nHost: h\r\nBriarspar-Request-Id: x\r\n\r\n",
        "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"}) {
    Fixture f(CopyTime::Never, {NewId});
    cr_assert_eq(f.exchange("first"), 200);
    cr_assert_eq(f.exchangeBytes(request), 200);
    cr_assert_eq(f.Target.connections(), 2);
    cr_assert_eq(f.exchange("third"), 200);
    cr_assert_eq(f.Target.connections(), 2);
  }
}

/// Guards against ejecting a sound target because this VM has no connection left for it.
Test(Refusal, connectionLimitDoesNotEjectTarget) {
  Fixture f(CopyTime::Never, {NewId});
  catalog::Catalog catalog = entry::testing::oneOpenRoute(/*idempotent=*/false);
  catalog::Change change;
  catalog::Service service;
  service.Name = entry::testing::ServiceName;
  service.MaxConnections = 2;
  change.Services.push_back({catalog::ItemVersion(3), service, service.Name});
  cr_assert(catalog.apply(change, core::LogIndex(3)).ok());
  f.Context.Targets.setCatalog(catalog, f.Clock.now());
  std::string requests;
  for (int n = 0; n < 4; ++n)
    requests += "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n" + f.Context.Names.RequestId +
                ": " + std::to_string(n) + "\r\n\r\n";
  f.exchangeBytes(requests);
  cr_assert(f.Context.Targets.takeEjections().empty());
  cr_assert_eq(f.exchange("later"), 200);
}
