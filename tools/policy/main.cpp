// Simulates fixed scenes with the project's admission and load-balancing classes and with a simple
// baseline policy, and prints latency, refusals and failures as callers see them. Targets, network
// delays and time are simulated; the control plane is reduced to the classes under test.
#include "RoutingPolicy.h"

#include <CLI/CLI.hpp>

#include <cstdio>

using namespace briarspar::tools;

int main(int argc, char **argv) {
  CLI::App app("Measures the routing decisions in fixed scenes against a simple baseline.");
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
