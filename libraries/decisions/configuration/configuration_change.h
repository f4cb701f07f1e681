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

/// One change that an operator asks for.
struct ConfigurationChange {
  std::string m_id;  ///< Unique to the change; see AuditEntry.
  std::string m_operator;
  std::int64_t m_unix_milliseconds = 0;
  /// The version that the operator saw; version 0 changes whatever is there.
  ConfigurationVersion m_seen_version;
  std::variant<SetClassTarget, SetTeamQuota, SetMemberTeam> m_body;
};

/// The document after the change, one version on, with its audit entry.
/// kConflict with the version and field of the winner when the operator saw
/// an older version and the same field has changed since;
/// kInvalidArgument when the result could not be met.
Result<Configuration> ApplyChange(const Configuration& current,
                                  const ConfigurationChange& change);

/// Whether a node should replace the document that it holds.
enum class VersionDecision { kAdopt, kKeep };

/// A version never goes down at a node, whatever arrives late.
VersionDecision DecideVersion(ConfigurationVersion held,
                              ConfigurationVersion offered);

}  // namespace daisyarch
