#include "decisions/configuration/configuration_change.h"

#include <algorithm>

namespace daisyarch {

namespace {

std::string Describe(const ClassTarget& target) {
  return std::string(ToString(target.m_kind)) + " within " +
         std::to_string(ToMilliseconds(target.m_within)) + " ms for " +
         std::to_string(target.m_quantile_percent) + "%, finish " +
         std::to_string(target.m_finish_percent) + "%, keep " +
         std::to_string(target.m_keep_percent) + "%";
}

std::string Describe(const TeamQuota& quota) {
  return std::to_string(quota.m_limit.m_processors.value()) + " millicores, " +
         std::to_string(quota.m_limit.m_memory.value()) + " MiB, " +
         std::to_string(quota.m_limit.m_accelerators.value()) + " accelerators";
}

std::string Describe(const MemberTeam& entry) { return entry.m_team.value(); }

// Replaces the entry with the same key, or inserts the entry in order. Returns
// the description of the replaced entry; empty when there was none.
template <typename Entry, typename Key>
std::string Upsert(std::vector<Entry>& entries, const Entry& entry, Key key) {
  const auto place =
      std::lower_bound(entries.begin(), entries.end(), entry,
                       [&](const Entry& left, const Entry& right) {
                         return left.*key < right.*key;
                       });
  if (place != entries.end() && (*place).*key == entry.*key) {
    std::string before = Describe(*place);
    *place = entry;
    return before;
  }
  entries.insert(place, entry);
  return "";
}

struct ChangeApplier {
  Configuration& m_configuration;

  void operator()(const SetClassTarget& body) const {
    Record(
        "classes." + body.m_target.m_class.value(),
        Upsert(m_configuration.m_classes, body.m_target, &ClassTarget::m_class),
        Describe(body.m_target));
  }

  void operator()(const SetTeamQuota& body) const {
    Record("teams." + body.m_quota.m_team.value(),
           Upsert(m_configuration.m_teams, body.m_quota, &TeamQuota::m_team),
           Describe(body.m_quota));
  }

  void operator()(const SetMemberTeam& body) const {
    Record(
        "members." + body.m_entry.m_member.value(),
        Upsert(m_configuration.m_members, body.m_entry, &MemberTeam::m_member),
        Describe(body.m_entry));
  }

  void Record(const std::string& field, const std::string& before,
              const std::string& after) const {
    AuditEntry& change = m_configuration.m_change;
    change.m_field = field;
    change.m_before = before;
    change.m_after = after;
  }
};

}  // namespace

Result<Configuration> ApplyChange(const Configuration& current,
                                  const ConfigurationChange& change) {
  const bool is_unconditional =
      change.m_seen_version == ConfigurationVersion(0);
  Configuration next = current;
  std::visit(ChangeApplier{next}, change.m_body);
  const bool is_stale = change.m_seen_version < current.m_version;
  // Only the last change is known here. A change based on an even older version
  // may conflict in any field, so it is refused too.
  const bool same_field = current.m_change.m_field == next.m_change.m_field;
  const bool is_far_behind = Next(change.m_seen_version) < current.m_version;
  if (!is_unconditional && is_stale && (same_field || is_far_behind)) {
    return Error{ErrorCode::kConflict, "change configuration",
                 current.m_change.m_operator,
                 "version " + std::to_string(current.m_version.value()) +
                     " changed " + current.m_change.m_field + " to " +
                     current.m_change.m_after};
  }
  next.m_version = Next(current.m_version);
  next.m_change.m_version = next.m_version;
  next.m_change.m_id = change.m_id;
  next.m_change.m_operator = change.m_operator;
  next.m_change.m_unix_milliseconds = change.m_unix_milliseconds;
  TRY(ValidateConfiguration(next));
  return next;
}

VersionDecision DecideVersion(ConfigurationVersion held,
                              ConfigurationVersion offered) {
  return offered > held ? VersionDecision::kAdopt : VersionDecision::kKeep;
}

}  // namespace daisyarch
