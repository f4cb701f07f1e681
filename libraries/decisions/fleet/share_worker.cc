#include "decisions/fleet/share_worker.h"

#include <algorithm>

namespace daisyarch::fleet {

namespace {

// Maximum number of workers that try an unknown pair of images at a time.
constexpr int kMaximumTrialsPerPair = 2;

int& TrialsOf(ImageInPass& image, ServingNumber serving) {
  const std::size_t index = serving.value();
  if (image.m_trials.size() <= index) image.m_trials.resize(index + 1);
  return image.m_trials[index];
}

// Counts one more worker that an image shares with the worker's serving images.
void AddTrials(Interference& interference, const Worker& worker,
               ImageInPass& image) {
  if (!worker.m_headrooms.empty()) {
    for (const ServingHeadroom& serving : worker.m_headrooms) {
      ++TrialsOf(image, serving.m_number);
    }
    return;
  }
  for (const auto& serving : worker.m_serving) {
    ++TrialsOf(image, ServingNumberOf(interference, serving.first));
  }
}

void CountTrials(PlacementPass& pass) {
  pass.m_has_trials = true;
  for (const Worker* worker : pass.m_fleet.m_worker_index.m_mixed) {
    ++pass.m_fleet.m_work.m_workers;
    for (const auto& best_effort_image : worker->m_best_effort_images) {
      AddTrials(pass.m_fleet.m_interference, *worker,
                pass.m_images[best_effort_image.first]);
    }
  }
}

bool MayTryPair(PlacementPass& pass, const StepChoice& choice,
                const Worker& worker) {
  if (worker.m_best_effort_images.count(choice.m_step.m_image) > 0) {
    return false;
  }
  if (!pass.m_has_trials) CountTrials(pass);
  return std::none_of(worker.m_headrooms.begin(), worker.m_headrooms.end(),
                      [&](const ServingHeadroom& serving) {
                        return TrialsOf(*choice.m_image, serving.m_number) >=
                               kMaximumTrialsPerPair;
                      });
}

const std::vector<ServingHeadroom>& HeadroomsOf(PlacementPass& pass,
                                                Worker& worker) {
  Fleet& fleet = pass.m_fleet;
  if (worker.m_headrooms.empty()) {
    pass.m_computed_workers.push_back(&worker);
    worker.m_headrooms = ExpectedHeadrooms(
        fleet.m_interference, worker.m_serving, worker.m_best_effort_images,
        worker.m_listing.m_capacity.m_processors);
    for (ServingHeadroom& serving : worker.m_headrooms) {
      serving.m_number = ServingNumberOf(fleet.m_interference, serving.m_image);
    }
  }
  return worker.m_headrooms;
}

const PlannedEffect& EffectOn(const Fleet& fleet, const StepChoice& choice,
                              const ServingHeadroom& serving) {
  auto& effects = choice.m_image->m_effects;
  const std::size_t index = serving.m_number.value();
  if (effects.size() <= index) effects.resize(index + 1);
  std::optional<PlannedEffect>& effect = effects[index];
  if (!effect.has_value()) {
    effect = PlannedEffectOf(fleet.m_interference, serving.m_image,
                             choice.m_step.m_image);
  }
  return *effect;
}

}  // namespace

bool MayShareWorker(PlacementPass& pass, const StepChoice& choice,
                    Worker& worker) {
  if (worker.m_serving.empty()) return true;
  bool is_certain = true;
  for (const ServingHeadroom& serving : HeadroomsOf(pass, worker)) {
    const Compatibility compatibility = CompatibilityOf(
        serving.m_headroom, EffectOn(pass.m_fleet, choice, serving),
        choice.m_step.m_demand.m_processors,
        worker.m_listing.m_capacity.m_processors);
    if (compatibility == Compatibility::kIncompatible) return false;
    is_certain = is_certain && compatibility == Compatibility::kCompatible;
  }
  return is_certain || MayTryPair(pass, choice, worker);
}

void RecordTrial(PlacementPass& pass, const Worker& worker,
                 const StepPlan& step) {
  if (!pass.m_has_trials || step.m_processor_use != ProcessorUse::kBestEffort) {
    return;
  }
  AddTrials(pass.m_fleet.m_interference, worker, pass.m_images[step.m_image]);
}

}  // namespace daisyarch::fleet
