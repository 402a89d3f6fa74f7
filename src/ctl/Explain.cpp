#include "ctl/Explain.h"

#include "absl/strings/str_cat.h"

#include <algorithm>
#include <array>

namespace briarspar::ctl {

namespace {

/// Events of a target are reported from this long before the first line of the request until this
/// long after its last one. Ejections last at most 8 s.
constexpr int64_t TargetEventMarginMs = 10'000;

/// Reports of an unhealthy target by several VMs count as one incident within this time.
constexpr int64_t UnhealthyReportWindowMs = 2000;

/// An answer that takes longer than this multiple of the expected time counts as late; normal
/// variation is smaller.
constexpr double SlowAnswerFactor = 2;

/// A share of a rate expires 3 s after the last answer of a leader. A holder that did not answer is
/// asked again sooner.
constexpr int64_t RateShareValidityMs = 3000;

/// Events that change the state of a process for every request.
constexpr std::array<const char *, 5> ProcessStateEvents{
    "LeaderChanged", "ControlLost", "ConfigApplied", "TargetListApplied", "EntryServing"};

/// Events of one target, or of a holder of a rate.
constexpr std::array<const char *, 3> TargetAndRateEvents{"TargetUnhealthy", "TargetReturned",
                                                          "RateHolderSilent"};

template <size_t N> bool contains(const std::array<const char *, N> &names, std::string_view it) {
  return std::find(names.begin(), names.end(), it) != names.end();
}

std::string textOf(const core::Json &j, const char *key) {
  auto it = j.find(key);
  if (it == j.end())
    return "";
  return it->is_string() ? it->get<std::string>() : it->dump();
}

double numberOf(const core::Json &j, const char *key) {
  auto it = j.find(key);
  return it == j.end() || !it->is_number() ? 0 : it->get<double>();
}

std::string detailsOf(const core::Json &j) {
  static const std::set<std::string> known{"wall_ms", "vm", "node", "event", "name", "request"};
  std::string out;
  for (const auto &[key, value] : j.items())
    if (known.count(key) == 0)
      absl::StrAppend(&out, " ", key, "=", textOf(j, key.c_str()));
  return out;
}

} // namespace

void Explanation::read(std::istream &log) {
  std::string text;
  while (std::getline(log, text)) {
    size_t start = text.find('{');
    core::Json details = start == std::string::npos
                             ? core::Json(core::Json::value_t::discarded)
                             : core::Json::parse(text.begin() + static_cast<std::ptrdiff_t>(start),
                                                 text.end(), nullptr, /*allow_exceptions=*/false);
    if (details.is_discarded() || !details.is_object() || textOf(details, "name").empty()) {
      ++UnreadableLines;
      continue;
    }
    Line line{static_cast<int64_t>(numberOf(details, "wall_ms")),
              textOf(details, "node"),
              textOf(details, "name"),
              {}};
    line.Details = std::move(details);
    classify(std::move(line));
  }
  auto byTime = [](const Line &a, const Line &b) { return a.WallMs < b.WallMs; };
  std::stable_sort(RequestLines.begin(), RequestLines.end(), byTime);
  std::stable_sort(StateLines.begin(), StateLines.end(), byTime);
}

void Explanation::classify(Line line) {
  if (textOf(line.Details, "request") == Request)
    RequestLines.push_back(std::move(line));
  else if (contains(ProcessStateEvents, line.Name) || contains(TargetAndRateEvents, line.Name))
    StateLines.push_back(std::move(line));
}

const Explanation::Line *Explanation::lastStateBefore(const Line &reference,
                                                      std::string_view name) const {
  const Line *found = nullptr;
  for (const Line &it : StateLines)
    if (it.Node == reference.Node && it.Name == name && it.WallMs <= reference.WallMs)
      found = &it;
  return found;
}

void Explanation::appendNodeState(std::string &out, const Line &reference) const {
  for (const char *name : ProcessStateEvents)
    if (const Line *it = lastStateBefore(reference, name))
      absl::StrAppend(&out, "  ", reference.Node, " believed since ", reference.WallMs - it->WallMs,
                      " ms: ", name, detailsOf(it->Details), "\n");
}

void Explanation::appendTargetEvents(std::string &out) const {
  std::set<std::string> targets;
  for (const Line &it : RequestLines)
    targets.insert(textOf(it.Details, "target"));
  int64_t from = RequestLines.front().WallMs - TargetEventMarginMs;
  int64_t to = RequestLines.back().WallMs + TargetEventMarginMs;
  for (const Line &it : StateLines) {
    std::string target = textOf(it.Details, "target");
    if (!target.empty() && targets.count(target) != 0 && it.WallMs >= from && it.WallMs <= to)
      absl::StrAppend(&out, "  ", it.WallMs - RequestLines.front().WallMs, " ms ", it.Node, " ",
                      it.Name, detailsOf(it.Details), "\n");
  }
}

size_t Explanation::countUnhealthyReports(const std::string &target, const Line &refusal) const {
  std::set<std::string> nodes;
  for (const Line &it : StateLines)
    if (it.Name == "TargetUnhealthy" && it.Node != refusal.Node &&
        textOf(it.Details, "target") == target &&
        std::abs(it.WallMs - refusal.WallMs) <= UnhealthyReportWindowMs)
      nodes.insert(it.Node);
  return nodes.size();
}

const Explanation::Line *Explanation::lastRequestLine(std::string_view name) const {
  const Line *found = nullptr;
  for (const Line &it : RequestLines)
    found = it.Name == name ? &it : found;
  return found;
}

std::string Explanation::cause() const {
  const Line &last = RequestLines.back();
  if (last.Name == "RequestFinished")
    return latencyCause(last);
  if (last.Name != "RequestRefused")
    return "the logs do not show how the request ended";
  int status = static_cast<int>(numberOf(last.Details, "status"));
  const Line *chosen = lastRequestLine("TargetChosen");
  if (status == 429)
    return rateRefusalCause(last);
  if (status == 502 && chosen != nullptr)
    return lostTargetCause(last, *chosen);
  if (const Line *it = lastRequestLine("NoTargetChosen"))
    return noTargetCause(*it);
  if (status == 504 && chosen != nullptr)
    return absl::StrCat("target ", textOf(chosen->Details, "target"),
                        " gave no answer; it was expected in ",
                        textOf(chosen->Details, "expected_ms"), " ms");
  return textOf(last.Details, "reason");
}

std::string Explanation::rateRefusalCause(const Line &refusal) const {
  const Line *silent = lastStateBefore(refusal, "RateHolderSilent");
  if (silent != nullptr && refusal.WallMs - silent->WallMs <= RateShareValidityMs)
    return absl::StrCat("the holder of the rate, ", textOf(silent->Details, "vm"),
                        ", did not answer in time");
  const Line *lost = lastStateBefore(refusal, "ControlLost");
  const Line *leader = lastStateBefore(refusal, "LeaderChanged");
  if (lost != nullptr && (leader == nullptr || leader->WallMs < lost->WallMs))
    return "the VM had lost contact with the leader, so its shares of the rates had expired";
  return "the share of the customer's rate that was asked was used up";
}

std::string Explanation::lostTargetCause(const Line &refusal, const Line &chosen) const {
  std::string target = textOf(chosen.Details, "target");
  size_t n = countUnhealthyReports(target, refusal);
  return absl::StrCat(
      "target ", target, " was lost after the request had been sent; ",
      n > 0 ? absl::StrCat(n, " of the other VMs found it unhealthy: its process had ended")
            : "no other VM found it unhealthy: perhaps one connection alone broke");
}

std::string Explanation::noTargetCause(const Line &failure) const {
  const core::Json &details = failure.Details;
  if (textOf(details, "region_bound") == "true")
    return "the region of the best target was at its limit for requests moved between regions";
  return absl::StrCat("no target was good enough: the best was expected to answer in ",
                      textOf(details, "expected_ms"), " ms with a load of ",
                      textOf(details, "load"), "; left out ", textOf(details, "cold"), " cold, ",
                      textOf(details, "full"), " full and ", textOf(details, "late"),
                      " late ones of ", textOf(details, "usable"));
}

std::string Explanation::latencyCause(const Line &finish) const {
  const Line *chosen = lastRequestLine("TargetChosen");
  if (chosen == nullptr)
    return "the logs do not name the target of the request";
  double expected = numberOf(chosen->Details, "expected_ms");
  double took = numberOf(finish.Details, "target_ms");
  if (took <= SlowAnswerFactor * expected)
    return absl::StrCat("answered as expected, in ", took, " ms at the target");
  return absl::StrCat(
      "the target took ", took, " ms instead of ", expected,
      textOf(chosen->Details, "familiar") == "true"
          ? ": it no longer had the object cached, or requests of other VMs filled its queue"
          : ": requests of other VMs filled its queue, or the target is slow");
}

std::string Explanation::text() const {
  if (RequestLines.empty())
    return absl::StrCat("no line names request ", Request, "; ", UnreadableLines,
                        " lines could not be read\n");
  std::string out = absl::StrCat("request ", Request, "\n");
  std::set<std::string> describedNodes;
  for (const Line &it : RequestLines) {
    if (describedNodes.insert(it.Node).second)
      appendNodeState(out, it);
    absl::StrAppend(&out, it.WallMs - RequestLines.front().WallMs, " ms ", it.Node, " ", it.Name,
                    detailsOf(it.Details), "\n");
  }
  appendTargetEvents(out);
  absl::StrAppend(&out, "cause: ", cause(), "\n");
  if (UnreadableLines != 0)
    absl::StrAppend(&out, UnreadableLines, " lines could not be read\n");
  return out;
}

} // namespace briarspar::ctl
