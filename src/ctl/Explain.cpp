#include "ctl/Explain.h"

#include "absl/strings/str_cat.h"

#include <algorithm>
#include <array>

namespace briarspar::ctl {

namespace {

/// Lines about a target are told from this long before the request's first line until so long after
/// its last one: ejections last 8 s at most.
constexpr int64_t TargetSpanMs = 10'000;

/// VMs that find a target unhealthy at the same moment do so within this time.
constexpr int64_t SameMomentMs = 2000;

/// An answer after this many times of what was expected needs an explanation; work spreads by less.
constexpr double LateFactor = 2;

/// A share of a rate ends 3 s after the last answer of a leader; a silent holder is asked again
/// after less.
constexpr int64_t RateSpanMs = 3000;

/// Beliefs that bear on every request.
constexpr std::array<const char *, 5> CommonBeliefs{"LeaderChanged", "ControlLost", "ConfigApplied",
                                                    "TargetListApplied", "EntryServing"};

/// Lines that tell about one target, or about the rates.
constexpr std::array<const char *, 3> OtherBeliefs{"TargetUnhealthy", "TargetReturned",
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
      ++Unreadable;
      continue;
    }
    Line line{static_cast<int64_t>(numberOf(details, "wall_ms")),
              textOf(details, "node"),
              textOf(details, "name"),
              {}};
    line.Details = std::move(details);
    take(std::move(line));
  }
  auto byTime = [](const Line &a, const Line &b) { return a.WallMs < b.WallMs; };
  std::stable_sort(Path.begin(), Path.end(), byTime);
  std::stable_sort(Beliefs.begin(), Beliefs.end(), byTime);
}

void Explanation::take(Line line) {
  if (textOf(line.Details, "request") == Request)
    Path.push_back(std::move(line));
  else if (contains(CommonBeliefs, line.Name) || contains(OtherBeliefs, line.Name))
    Beliefs.push_back(std::move(line));
}

const Explanation::Line *Explanation::lastBefore(const Line &of, std::string_view name) const {
  const Line *found = nullptr;
  for (const Line &it : Beliefs)
    if (it.Node == of.Node && it.Name == name && it.WallMs <= of.WallMs)
      found = &it;
  return found;
}

void Explanation::addBeliefs(std::string &out, const Line &of) const {
  for (const char *name : CommonBeliefs)
    if (const Line *it = lastBefore(of, name))
      absl::StrAppend(&out, "  ", of.Node, " believed since ", of.WallMs - it->WallMs,
                      " ms: ", name, detailsOf(it->Details), "\n");
}

void Explanation::addTargets(std::string &out) const {
  std::set<std::string> targets;
  for (const Line &it : Path)
    targets.insert(textOf(it.Details, "target"));
  int64_t from = Path.front().WallMs - TargetSpanMs;
  int64_t to = Path.back().WallMs + TargetSpanMs;
  for (const Line &it : Beliefs) {
    std::string target = textOf(it.Details, "target");
    if (!target.empty() && targets.count(target) != 0 && it.WallMs >= from && it.WallMs <= to)
      absl::StrAppend(&out, "  ", it.WallMs - Path.front().WallMs, " ms ", it.Node, " ", it.Name,
                      detailsOf(it.Details), "\n");
  }
}

size_t Explanation::countUnhealthy(const std::string &target, const Line &refusal) const {
  std::set<std::string> nodes;
  for (const Line &it : Beliefs)
    if (it.Name == "TargetUnhealthy" && it.Node != refusal.Node &&
        textOf(it.Details, "target") == target &&
        std::abs(it.WallMs - refusal.WallMs) <= SameMomentMs)
      nodes.insert(it.Node);
  return nodes.size();
}

const Explanation::Line *Explanation::lastOf(std::string_view name) const {
  const Line *found = nullptr;
  for (const Line &it : Path)
    found = it.Name == name ? &it : found;
  return found;
}

std::string Explanation::cause() const {
  const Line &last = Path.back();
  if (last.Name == "RequestFinished")
    return causeOfTime(last);
  if (last.Name != "RequestRefused")
    return "the lines do not show how it ended";
  int status = static_cast<int>(numberOf(last.Details, "status"));
  const Line *chosen = lastOf("TargetChosen");
  if (status == 429)
    return causeOfRate(last);
  if (status == 502 && chosen != nullptr)
    return causeOfLoss(last, *chosen);
  if (const Line *it = lastOf("NoTargetChosen"))
    return causeOfNoTarget(*it);
  if (status == 504 && chosen != nullptr)
    return absl::StrCat("target ", textOf(chosen->Details, "target"),
                        " gave no answer; it was expected in ",
                        textOf(chosen->Details, "expected_ms"), " ms");
  return textOf(last.Details, "reason");
}

std::string Explanation::causeOfRate(const Line &refusal) const {
  const Line *silent = lastBefore(refusal, "RateHolderSilent");
  if (silent != nullptr && refusal.WallMs - silent->WallMs <= RateSpanMs)
    return absl::StrCat("the holder of the rate, ", textOf(silent->Details, "vm"),
                        ", gave no permit in time");
  const Line *lost = lastBefore(refusal, "ControlLost");
  const Line *leader = lastBefore(refusal, "LeaderChanged");
  if (lost != nullptr && (leader == nullptr || leader->WallMs < lost->WallMs))
    return "the VM had lost the leader, so that its shares of the rates ended";
  return "the share of the customer's rate that was asked had no room";
}

std::string Explanation::causeOfLoss(const Line &refusal, const Line &chosen) const {
  std::string target = textOf(chosen.Details, "target");
  size_t n = countUnhealthy(target, refusal);
  return absl::StrCat(
      "target ", target, " was lost after the request had been sent; ",
      n > 0 ? absl::StrCat(n, " of the other VMs found it unhealthy: its process had ended")
            : "no other VM found it unhealthy: perhaps one connection alone broke");
}

std::string Explanation::causeOfNoTarget(const Line &failure) const {
  const core::Json &why = failure.Details;
  if (textOf(why, "region_bound") == "true")
    return "the best target's region got no more requests for the bound on moves between regions";
  return absl::StrCat("no target was worth it: the best would have answered in ",
                      textOf(why, "expected_ms"), " ms with a load of ", textOf(why, "load"),
                      "; left out ", textOf(why, "cold"), " cold, ", textOf(why, "full"),
                      " full and ", textOf(why, "late"), " late ones of ", textOf(why, "usable"));
}

std::string Explanation::causeOfTime(const Line &finish) const {
  const Line *chosen = lastOf("TargetChosen");
  if (chosen == nullptr)
    return "the lines do not name its target";
  double expected = numberOf(chosen->Details, "expected_ms");
  double took = numberOf(finish.Details, "target_ms");
  if (took <= LateFactor * expected)
    return absl::StrCat("answered as expected, in ", took, " ms at the target");
  return absl::StrCat("the target took ", took, " ms instead of ", expected,
                      textOf(chosen->Details, "familiar") == "true"
                          ? ": it had forgotten the object, or other VMs filled its queue"
                          : ": other VMs filled its queue, or it is slow");
}

std::string Explanation::text() const {
  if (Path.empty())
    return absl::StrCat("no line names request ", Request, "; ", Unreadable,
                        " lines could not be read\n");
  std::string out = absl::StrCat("request ", Request, "\n");
  std::set<std::string> told;
  for (const Line &it : Path) {
    if (told.insert(it.Node).second)
      addBeliefs(out, it);
    absl::StrAppend(&out, it.WallMs - Path.front().WallMs, " ms ", it.Node, " ", it.Name,
                    detailsOf(it.Details), "\n");
  }
  addTargets(out);
  absl::StrAppend(&out, "cause: ", cause(), "\n");
  if (Unreadable != 0)
    absl::StrAppend(&out, Unreadable, " lines could not be read\n");
  return out;
}

} // namespace briarspar::ctl
