#pragma once

#include <vector>

#include "gateway.h"

namespace daisyarch {

/// Borrows slots while requests wait, and gives idle loans back, as is due.
void TickLoans(Gateway& gateway, TimePoint now);

/// Lends slots to a peer beyond what this node needs itself.
std::vector<SlotLoan> OnLoanRequest(Gateway& gateway, const Borrower& borrower,
                                    std::uint64_t call, Slots wanted);

/// Takes a peer's report over; true when the loans are wanted back.
bool OnLoanReport(Gateway& gateway, const Borrower& borrower,
                  const LoanReport& report);

}  // namespace daisyarch
