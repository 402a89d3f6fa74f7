#include "ctl/Explain.h"

#include <criterion/criterion.h>

#include <sstream>
#include <string>
#include <string_view>

using namespace briarspar::ctl;

namespace {

/// Log lines in the format of the processes, from a run with crashed targets and an unresponsive
/// holder of a rate.
constexpr std::string_view FirstVm = R"(
{"wall_ms":1000,"vm":"10.0.0.1","node":"vm-1","event":1306,"name":"LeaderChanged","leader":"10.0.9.1"}
{"wall_ms":1200,"vm":"10.0.0.1","node":"vm-1","event":1301,"name":"ConfigApplied","from":0,"to":84}
{"wall_ms":5000,"vm":"10.0.0.1","node":"vm-1","event":1300,"name":"TargetChosen","request":"lost","target":"t7","expected_ms":300,"familiar":true,"load":2.5,"send":1}
{"wall_ms":5100,"vm":"10.0.0.1","node":"vm-1","event":1303,"name":"TargetUnhealthy","target":"t7","load":3}
{"wall_ms":5110,"vm":"10.0.0.1","node":"vm-1","event":1201,"name":"RequestRefused","request":"lost","status":502,"reason":"the target was lost","may_have_run":true}
{"wall_ms":6000,"vm":"10.0.0.1","node":"vm-1","event":1310,"name":"RateHolderSilent","vm":"10.0.0.2"}
{"wall_ms":6010,"vm":"10.0.0.1","node":"vm-1","event":1201,"name":"RequestRefused","request":"limited","status":429,"reason":"over the customer's rate"}
{"wall_ms":9900,"vm":"10.0.0.1","node":"vm-1","event":1201,"name":"RequestRefused","request":"beyond","status":429,"reason":"over the customer's rate"}
)";

constexpr std::string_view SecondVm = R"(
   12.1 vm-2 {"wall_ms":5150,"vm":"10.0.0.2","node":"vm-2","event":1303,"name":"TargetUnhealthy","target":"t7","load":3}
   12.2 vm-2 {"wall_ms":7000,"vm":"10.0.0.2","node":"vm-2","event":1300,"name":"TargetChosen","request":"late","target":"t9","expected_ms":300,"familiar":true,"load":0}
   12.3 vm-2 {"wall_ms":8400,"vm":"10.0.0.2","node":"vm-2","event":1200,"name":"RequestFinished","request":"late","result":"answered","status":200,"target_ms":1400}
   12.4 vm-2 {"wall_ms":8500,"vm":"10.0.0.2","node":"vm-2","event":1312,"name":"NoTargetChosen","request":"full","usable":12,"cold":1,"full":3,"late":8,"region_bound":false,"value":0,"expected_ms":0,"load":0}
   12.4 vm-2 {"wall_ms":8500,"vm":"10.0.0.2","node":"vm-2","event":1201,"name":"RequestRefused","request":"full","status":503,"reason":"no target can answer in time"}
a line cut in the mid {"wall_ms":85
)";

std::string explain(const std::string &request) {
  Explanation explanation(request);
  for (std::string_view log : {FirstVm, SecondVm}) {
    std::istringstream in{std::string(log)};
    explanation.read(in);
  }
  return explanation.text();
}

bool has(const std::string &text, std::string_view part) {
  return text.find(part) != std::string::npos;
}

} // namespace

/// Guards against an unexplained loss of a target whose cause only the logs of other VMs show.
Test(Explain, lostTargetIsFoundInOtherLogs) {
  std::string text = explain("lost");
  cr_assert(
      has(text, "cause: target t7 was lost after the request had been sent; 1 of the other VMs"),
      "%s", text.c_str());
  cr_assert(has(text, "vm-1 believed since 3800 ms: ConfigApplied from=0 to=84"), "%s",
            text.c_str());
  cr_assert(has(text, "150 ms vm-2 TargetUnhealthy"), "%s", text.c_str());
}

/// Guards against a refusal that is attributed to the rate although its holder did not answer, and
/// against an old RateHolderSilent event that is taken for the cause.
Test(Explain, unresponsiveHolderIsTheCause) {
  cr_assert(has(explain("limited"), "cause: the holder of the rate"));
  cr_assert(has(explain("beyond"), "cause: the share of the customer's rate"));
}

/// Guards against reports of late answers and refusals that omit the expected values.
Test(Explain, lateAnswersAndFullTargetsAreReported) {
  cr_assert(has(explain("late"), "cause: the target took 1400 ms instead of 300"));
  cr_assert(has(explain("full"), "left out 1 cold, 3 full and 8 late ones of 12"));
}

/// Guards against an invented report for a request that no log names, and against truncated lines
/// that stop the reader.
Test(Explain, unknownRequestsAndTruncatedLinesAreReported) {
  std::string text = explain("nobody");
  cr_assert(has(text, "no line names request nobody"), "%s", text.c_str());
  cr_assert(has(explain("late"), "lines could not be read"));
}
