#include "entry/testing/RestartsInTurn.h"

#include <criterion/criterion.h>

using namespace briarspar;
using entry::testing::playRestartsInTurn;
using entry::testing::RestartsInTurn;

/// Guards against refusing callers within their rate while VMs restart in turn, because VMs that
/// are stopping or starting take the shares of the holders, or because a holder that takes over
/// gets no more than what it has measured itself.
Test(RateLimiter, restartsInTurnKeepSmallRatesServed) {
  for (double rate : {17, 34, 68}) {
    const RestartsInTurn it = playRestartsInTurn(rate, 20261205);
    cr_assert_leq(it.WorstWindow, 1);
    cr_assert_geq(it.Admitted, it.Asked * 95 / 100, "%zu of %zu at %.0f", it.Admitted, it.Asked,
                  rate);
  }
}
