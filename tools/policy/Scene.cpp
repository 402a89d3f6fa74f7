#include "Scene.h"

namespace briarspar::tools {

namespace {

Scene scene(const char *name, SceneEvent event, double load) {
  Scene s;
  s.Name = name;
  s.Event = event;
  s.Load = load;
  return s;
}

std::vector<Scene> makeScenes() {
  std::vector<Scene> all{
      scene("dawn_peak", SceneEvent::None, 0.75),
      scene("five_times", SceneEvent::None, 0.6),
      scene("region_loss", SceneEvent::RegionLoss, 0.5),
      scene("drain", SceneEvent::Drain, 0.6),
      scene("cold_start", SceneEvent::ColdStart, 0.5),
      scene("bad_version", SceneEvent::BadVersion, 0.4),
      scene("no_measurements", SceneEvent::LoadReportsStop, 0.6),
      scene("owner_loss", SceneEvent::OwnerLoss, 0.6),
  };
  // Morning peak: the traffic rises first in the region where the day begins.
  all[0].RegionShares = {0.5, 0.3, 0.2};
  all[1].CustomerFactors = {1, 1, 5, 1, 1, 1, 1, 1};
  all[5].DurationMs = 120'000;
  return all;
}

} // namespace

const std::vector<Scene> &scenes() {
  static const std::vector<Scene> all = makeScenes();
  return all;
}

} // namespace briarspar::tools
