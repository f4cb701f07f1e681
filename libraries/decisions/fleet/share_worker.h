#pragma once

#include "decisions/fleet/choose_worker.h"

namespace daisyarch::fleet {

/// Returns whether the serving tasks on the worker tolerate one more task of
/// the best-effort step. If that is not known, few workers may try.
bool MayShareWorker(PlacementPass& pass, const StepChoice& choice,
                    Worker& worker);

/// Counts the start of a best-effort task as a trial of its pairs.
void RecordTrial(PlacementPass& pass, const Worker& worker,
                 const StepPlan& step);

}  // namespace daisyarch::fleet
