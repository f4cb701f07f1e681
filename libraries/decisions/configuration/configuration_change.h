#pragma once

#include <string>
#include <variant>

#include "base/result.h"
#include "decisions/configuration/configuration.h"

namespace daisyarch {

/// Sets the target of one class, or adds the class.
struct SetClassTarget {
  ClassTarget m_target;
};

/// Sets the quota of one team, or adds the team.
struct SetTeamQuota {
  TeamQuota m_quota;
};

/// Sets the team of one member, or adds the member.
struct SetMemberTeam {
  MemberTeam m_entry;
};

/// A change requested by an operator.
struct ConfigurationChange {
  std::string m_id;  ///< Unique to the change; see AuditEntry.
  std::string m_operator;
  std::int64_t m_unix_milliseconds = 0;
  /// The version that the operator saw; version 0 applies the change whatever
  /// the current version is.
  ConfigurationVersion m_seen_version;
  std::variant<SetClassTarget, SetTeamQuota, SetMemberTeam> m_body;
};

/// Returns the configuration after the change, at the next version and with its
/// audit entry. kConflict, naming the current version and the field that it
/// changed: the operator saw the previous version and the current one changed
/// the same field, or the operator saw a still older version.
/// kInvalidArgument: the resulting configuration is invalid.
Result<Configuration> ApplyChange(const Configuration& current,
                                  const ConfigurationChange& change);

/// Whether a node replaces the configuration that it holds with an offered one.
enum class VersionDecision { kAdopt, kKeep };

/// Adopts only a higher version: a late message never lowers a node's version.
VersionDecision DecideVersion(ConfigurationVersion held,
                              ConfigurationVersion offered);

}  // namespace daisyarch
