#include "RoutingPolicy.h"

#include <cstdio>

namespace briarspar::tools {

void printTable(const nlohmann::json &rows) {
  std::printf("%-10s %-15s %-9s %6s %6s %6s %8s %8s %8s %8s %8s %8s %6s %6s %6s %-8s %6s %6s %6s\n",
              "deployment", "scene", "policy", "p50", "p99", "p99.9", "drain_ms", "worst%",
              "median%", "worstp99", "medp99", "refused%", "nocap", "failed", "lost", "move",
              "retry", "hedge", "late");
  for (const nlohmann::json &row : rows) {
    auto text = [&row](const char *key) { return row[key].get<std::string>(); };
    auto number = [&row](const char *key) { return row[key].get<long>(); };
    auto percent = [&row](const char *key) { return 100 * row[key].get<double>(); };
    std::printf("%-10s %-15s %-9s %6ld %6ld %6ld %8ld %8.2f %8.2f %8ld %8ld %8.3f %6ld %6ld %6ld "
                "%-8s %6ld %6ld %6ld\n",
                text("deployment").c_str(), text("scene").c_str(), text("policy").c_str(),
                number("p50_ms"), number("p99_ms"), number("p999_ms"), number("drain_ms"),
                percent("worst_customer_share"), percent("median_customer_share"),
                number("worst_customer_p99_ms"), number("median_customer_p99_ms"),
                percent("refused_within_rate"), number("no_capacity"), number("failed"),
                number("lost"), text("move").c_str(), number("retries"), number("hedges"),
                number("late_answers"));
  }
}

} // namespace briarspar::tools
