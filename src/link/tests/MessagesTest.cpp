#include "link/Messages.h"
#include "core/Codec.h"

#include <criterion/criterion.h>

#include <string>
#include <utility>
#include <vector>

using namespace briarspar;
using namespace briarspar::core;
using namespace briarspar::link;

namespace {

/// Report of one of 80 entry VMs in front of three services, with 25 active customers.
EntryReport fullReport(bool withSamples) {
  EntryReport it;
  it.Sequence = 12'345;
  it.Region = RegionId("region");
  it.Domain = DomainId("domain-a");
  it.Address = "10.5.0.16:8443";
  it.Serving = true;
  it.LeaderTerm = Term(7);
  it.Catalog = LogIndex(120);
  it.ListEpoch = 7;
  it.ListSequence = 40;
  it.EntriesDigest = 0x1234567890abcdef;
  for (int i = 0; i < 25; ++i)
    it.Usage.push_back({"customer" + std::to_string(i), 3.4 + i, 12, true});
  for (uint32_t i = 0; i < 10; ++i)
    it.Loads.push_back({0x9000'0000 + i, 7});
  for (int i = 0; withSamples && i < 3; ++i)
    it.Services.push_back(
        {"service" + std::to_string(i), std::vector<uint32_t>(SketchSize, 1U << 30), 4.2});
  return it;
}

ControlResponse answer(bool withSlowlyChangingParts) {
  ControlResponse it;
  it.Sequence = 12'345;
  it.LeaderTerm = Term(7);
  it.IsLeader = true;
  for (int i = 0; i < 25; ++i)
    it.Shares.push_back({"customer" + std::to_string(i), 12, 80});
  for (uint32_t i = 0; i < 40; ++i)
    it.Busy.push_back({0x9000'0000 + i, 9});
  if (withSlowlyChangingParts) {
    it.Members = {VmId("10.1.0.4"), VmId("10.2.0.4"), VmId("10.3.0.4"), VmId("10.4.0.4")};
    for (int i = 0; i < 9; ++i)
      it.Demand.push_back({RegionId("region"), "service" + std::to_string(i % 3), 412, 120.5});
  }
  return it;
}

} // namespace

/// Guards against a field that is lost or changes its position in the encoding.
Test(Messages, roundTripKeepsAllFields) {
  EntryReport report = fullReport(true);
  report.Versions = {{"service0", "v2", "route", 100, 3, 4500, 7, 5, LogIndex(12)}};
  report.Crashes = "crash report";
  absl::StatusOr<EntryReport> decodedReport = decodeEntryReport(encode(report));
  cr_assert(decodedReport.ok());
  cr_assert(encode(*decodedReport) == encode(report));
  cr_assert_eq(decodedReport->Address, report.Address);
  cr_assert_eq(decodedReport->ListSequence, 40);
  cr_assert_eq(decodedReport->EntriesDigest, report.EntriesDigest);
  cr_assert_float_eq(decodedReport->Usage[1].ArrivalsPerS, 4.4, 1e-9);
  cr_assert_eq(decodedReport->Versions[0].LatencyMs, 4500);
  cr_assert_eq(decodedReport->Versions[0].TimeOuts, 7);
  cr_assert_eq(decodedReport->Versions[0].Slow, 5);
  cr_assert_eq(decodedReport->Versions[0].OrderedAt.Value, 12);
  cr_assert_eq(decodedReport->Services[2].MinHashes.size(), SketchSize);
  cr_assert_eq(decodedReport->Loads[9].Target, 0x9000'0009);
  cr_assert_eq(decodedReport->Crashes, "crash report");

  ControlResponse sent = answer(true);
  sent.CatalogDelta = "catalog";
  sent.ListDelta = "list";
  sent.Entries = {77, {{VmId("a"), RegionId("r"), DomainId("d")}}, {VmId("b")}};
  sent.Crashes = "crash report";
  absl::StatusOr<ControlResponse> decodedResponse = decodeControlResponse(encode(sent));
  cr_assert(decodedResponse.ok());
  cr_assert(encode(*decodedResponse) == encode(sent));
  cr_assert_eq(decodedResponse->Shares[3].Permille, 12);
  cr_assert_eq(decodedResponse->Shares[3].Vms, 80);
  cr_assert_eq(decodedResponse->CatalogDelta, "catalog");
  cr_assert_eq(decodedResponse->ListDelta, "list");
  cr_assert_eq(decodedResponse->Entries.From, 77);
  cr_assert_eq(decodedResponse->Entries.Gone[0], VmId("b"));
  cr_assert_eq(decodedResponse->Members[3].Value, "10.4.0.4");
  cr_assert_float_eq(decodedResponse->Demand[8].Slots, 120.5, 1e-9);
  cr_assert_eq(decodedResponse->Busy[39].Requests, 9);

  absl::StatusOr<EntryUnreachable> decodedNotice =
      decodeEntryUnreachable(encode(EntryUnreachable{VmId("a"), Incarnation(3)}));
  cr_assert(decodedNotice.ok());
  cr_assert_eq(decodedNotice->Run.Value, 3);

  absl::StatusOr<RetiredNotice> retired =
      decodeRetiredNotice(encode(RetiredNotice{VmId("a"), Incarnation(3), Incarnation(9)}));
  cr_assert(retired.ok());
  cr_assert_eq(retired->Vm, VmId("a"));
  cr_assert_eq(retired->Data.Value, 3);
  cr_assert_eq(retired->Newest.Value, 9);
}

/// Guards against a notice about another target or of another kind at its receiver.
Test(Messages, processNoticesRoundTrip) {
  const ProcessNotices sent{{{0xffff'fffe, ProcessFact::MayHaveEnded, Duration{0}},
                             {0x0102'0304, ProcessFact::IsCold, Duration{3'001}},
                             {0, ProcessFact::IsWarm, Duration{65'535}}}};
  absl::StatusOr<ProcessNotices> got = decodeProcessNotices(encode(sent));
  cr_assert(got.ok());
  cr_assert_eq(got->Notices.size(), 3);
  for (size_t i = 0; i < 3; ++i) {
    cr_assert_eq(got->Notices[i].Target, sent.Notices[i].Target);
    cr_assert(got->Notices[i].Fact == sent.Notices[i].Fact);
    cr_assert_eq(got->Notices[i].Span.Ms, sent.Notices[i].Span.Ms);
  }
  cr_assert(decodeProcessNotices(encode(ProcessNotices{}))->Notices.empty());
}

/// Guards against a span that wraps around, so that a target that stays cold for long seems warm.
Test(Messages, spansOfProcessNoticesAreClamped) {
  for (auto [span, expected] : {std::pair<int64_t, int64_t>{65'536, 65'535},
                                {1'000'000'000'000, 65'535},
                                {-1, 0},
                                {-1'000'000, 0}}) {
    absl::StatusOr<ProcessNotices> got =
        decodeProcessNotices(encode(ProcessNotices{{{7, ProcessFact::IsCold, Duration{span}}}}));
    cr_assert(got.ok());
    cr_assert_eq(got->Notices.at(0).Span.Ms, expected);
    cr_assert_eq(got->Notices.at(0).Target, 7);
  }
}

/// Guards against a message of a later release that is refused or misread, and against bytes that
/// end in the middle of a notice.
Test(Messages, unknownAndPartialProcessNoticesAreSkipped) {
  const auto message = [](std::vector<uint8_t> bytes) {
    return encodeCbor(Json::array({Json::binary(std::move(bytes))}));
  };
  const std::vector<uint8_t> known{1, 0, 0, 0, 2, 5, 0};
  for (uint8_t fact : {uint8_t{0}, uint8_t{5}, uint8_t{255}}) {
    std::vector<uint8_t> bytes{9, 0, 0, 0, fact, 5, 0};
    bytes.insert(bytes.end(), known.begin(), known.end());
    absl::StatusOr<ProcessNotices> got = decodeProcessNotices(message(bytes));
    cr_assert(got.ok());
    cr_assert_eq(got->Notices.size(), 1);
    cr_assert_eq(got->Notices[0].Target, 1);
  }
  for (size_t n = 1; n < known.size(); ++n) {
    std::vector<uint8_t> bytes = known;
    bytes.insert(bytes.end(), known.begin(), known.begin() + static_cast<std::ptrdiff_t>(n));
    absl::StatusOr<ProcessNotices> got = decodeProcessNotices(message(bytes));
    cr_assert(got.ok());
    cr_assert_eq(got->Notices.size(), 1, "%zu further bytes", n);
  }
  const std::string whole = message(known);
  for (size_t n = 0; n < whole.size(); ++n)
    cr_assert_not(decodeProcessNotices(whole.substr(0, n)).ok(), "%zu of %zu bytes", n,
                  whole.size());
}

/// Guards against a crash on bytes from another program.
Test(Messages, malformedBytesAreRefused) {
  for (const std::string &bytes : {std::string(), std::string("no cbor"), encodeCbor(Json::array()),
                                   encodeCbor(Json{{"n", 1}}), encodeCbor(Json{1, "a", 2})}) {
    cr_assert_not(decodeEntryReport(bytes).ok());
    cr_assert_not(decodeControlResponse(bytes).ok());
    cr_assert_not(decodeEntryUnreachable(bytes).ok());
    cr_assert_not(decodeRetiredNotice(bytes).ok());
    cr_assert_not(decodeProcessNotices(bytes).ok());
  }
}

/// Guards against control messages above 4 KB/s per node, the limit required by the users: a full
/// report every 400 ms, a brief one to each of four other control VMs every 1,200 ms, and the
/// responses.
Test(Messages, controlTrafficPerVmStaysBelow4KbPerSecond) {
  EntryReport briefReport = fullReport(false);
  briefReport.Usage.clear();
  briefReport.Loads.clear();
  // The objects are sampled every 3 s.
  double reports = (2.5 - 1 / 3.0) * static_cast<double>(encode(fullReport(false)).size()) +
                   1 / 3.0 * static_cast<double>(encode(fullReport(true)).size());
  double briefs = 4 / 1.2 * static_cast<double>(encode(briefReport).size());
  double answers =
      1.25 * static_cast<double>(encode(answer(false)).size() + encode(answer(true)).size());
  cr_log_info("reports %.0f, brief reports %.0f, answers %.0f bytes/s", reports, briefs, answers);
  cr_assert_leq(reports + briefs + answers, 4000, "%.0f + %.0f + %.0f", reports, briefs, answers);
}
