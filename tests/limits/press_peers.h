#pragma once

#include "trial.h"

namespace daisyarch::limits {

/// Runs a daemon whose peers answer so; false if it fails, or if no peer came
/// to send.
bool RunFaultyPeers(Trial& trial, const FaultyAnswer& answer);

}  // namespace daisyarch::limits
