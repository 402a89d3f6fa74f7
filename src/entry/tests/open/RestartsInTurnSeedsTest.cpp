#include "absl/strings/str_cat.h"
#include "entry/testing/RestartsInTurn.h"

#include <criterion/criterion.h>

#include <string>

using namespace briarspar;
using entry::testing::playRestartsInTurn;
using entry::testing::RestartsInTurn;

/// Guards against refusing callers within their rate while VMs restart in turn, with other arrivals
/// than RateLimiter/restartsInTurnKeepSmallRatesServed. A holder that takes over starts without
/// tokens, and VMs with different lists ask different holders.
Test(RateLimiter, restartsInTurnKeepSmallRatesServedForAllSeeds) {
  std::string shortfalls;
  for (uint64_t seed = 1; seed <= 5; ++seed)
    for (double rate : {17, 34, 68}) {
      const RestartsInTurn it = playRestartsInTurn(rate, seed);
      cr_assert_leq(it.WorstWindow, 1);
      if (it.Admitted < it.Asked * 95 / 100)
        absl::StrAppend(&shortfalls, it.Admitted, " of ", it.Asked, " at ", rate, ", seed ", seed,
                        "; ");
    }
  cr_assert(shortfalls.empty(), "%s", shortfalls.c_str());
}
