#pragma once

#include <vector>

#include "gateway.h"

namespace daisyarch {

/// When due, returns idle loans, reports the others to their lenders and
/// borrows slots if requests are waiting.
void TickLoans(Gateway& gateway, TimePoint now);

/// Lends up to `wanted` idle slots to a peer, keeping those that this node
/// needs itself. `call` is the number of the borrower's loan call.
std::vector<SlotLoan> OnLoanRequest(Gateway& gateway, const Borrower& borrower,
                                    std::uint64_t call, Slots wanted);

/// Applies a borrower's report. Returns true if this node needs its loans back
/// because requests are waiting.
bool OnLoanReport(Gateway& gateway, const Borrower& borrower,
                  const LoanReport& report);

}  // namespace daisyarch
