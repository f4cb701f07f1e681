#pragma once

#include "decisions/fleet/fleet.h"

// A worker rejects orders under a lower fencing token than the highest that it
// has seen. Each term has a range of tokens of its own, which all workers
// share.

namespace daisyarch::fleet {

/// Returns the lowest fencing token of the term.
FencingToken FirstToken(Term term);
/// Gives the worker a token above all that workers were given in this term.
/// Orders under lower ones, and reports on them, count no longer.
void FenceWorker(Fleet& fleet, Worker& worker);
/// Gives the worker a higher token, while reports under the present one go on
/// counting.
void RaiseOrderToken(Fleet& fleet, Worker& worker);
/// Returns whether the term has few tokens left, so that a later term is due.
bool AreTokensUsedUp(const Fleet& fleet);

}  // namespace daisyarch::fleet
