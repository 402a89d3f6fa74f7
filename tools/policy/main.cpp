// Runs the decision objects through fixed scenes on injected time, beside a simple baseline in the
// same run, and prints what callers see. Stand-in targets and delays; no model of a whole cluster.
#include "RoutingPolicy.h"

#include <CLI/CLI.hpp>

#include <cstdio>

using namespace briarspar::tools;

int main(int argc, char **argv) {
  CLI::App app("Measures the steering decisions in fixed scenes, beside a simple baseline.");
  uint64_t seed = 1;
  std::string deployment;
  std::string scene;
  bool json = false;
  std::vector<std::string> deploymentNames, sceneNames;
  for (const Deployment &d : deployments())
    deploymentNames.push_back(d.Name);
  for (const Scene &s : scenes())
    sceneNames.push_back(s.Name);
  app.add_option("--seed", seed, "seed of the requests and service times");
  app.add_option("--deployment", deployment, "one deployment; all without it")
      ->check(CLI::IsMember(deploymentNames));
  app.add_option("--scene", scene, "one scene; all without it")->check(CLI::IsMember(sceneNames));
  app.add_flag("--json", json, "print JSON");
  CLI11_PARSE(app, argc, argv);

  const nlohmann::json rows = runAll(deployment, scene, seed);
  if (json)
    std::printf("%s\n", nlohmann::json{{"seed", seed}, {"rows", rows}}.dump(2).c_str());
  else
    printTable(rows);
  return 0;
}
