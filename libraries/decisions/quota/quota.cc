#include "decisions/quota/quota.h"

namespace daisyarch {

namespace {

std::int64_t Divide(std::int64_t amount, std::size_t partitions) {
  return amount / static_cast<std::int64_t>(partitions);
}

}  // namespace

// FIXME: An even split wastes quota in partitions where the team has no work.
// Distribute it by demand through the configuration document.
Resources PartitionQuota(const TeamQuota& quota, std::size_t partitions) {
  return Resources{
      Millicores(Divide(quota.m_limit.m_processors.value(), partitions)),
      Mebibytes(Divide(quota.m_limit.m_memory.value(), partitions)),
      Accelerators(Divide(quota.m_limit.m_accelerators.value(), partitions))};
}

bool IsWithinQuota(const Configuration& configuration, const TeamId& team,
                   const Resources& held, const Resources& demand,
                   std::size_t partitions) {
  const TeamQuota* quota = FindQuota(configuration, team);
  if (quota == nullptr) return true;
  return Fits(held + demand, PartitionQuota(*quota, partitions));
}

}  // namespace daisyarch
