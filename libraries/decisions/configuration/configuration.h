#pragma once

#include <map>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/resources.h"
#include "base/result.h"
#include "decisions/configuration/class_target.h"

namespace daisyarch {

/// The resources that a team may hold over all workers.
struct TeamQuota {
  TeamId m_team;
  Resources m_limit;
};

/// One member and the team whose quota its jobs use.
struct MemberTeam {
  MemberId m_member;
  TeamId m_team;
};

/// One accepted change, as recorded in the audit trail.
struct AuditEntry {
  ConfigurationVersion m_version;  ///< The version that the change produced.
  /// Identifies the change, so that it can be found when its answer was lost.
  std::string m_id;
  std::string m_operator;
  std::int64_t m_unix_milliseconds = 0;
  std::string m_field;
  std::string m_before;
  std::string m_after;
};

/// The configuration set by the operators. A change is accepted once it is
/// stored.
struct Configuration {
  ConfigurationVersion m_version;
  std::vector<ClassTarget> m_classes;  ///< Ordered by class.
  std::vector<TeamQuota> m_teams;      ///< Ordered by team.
  std::vector<MemberTeam> m_members;   ///< Ordered by member.
  /// The change that produced this version. It is stored in the same value, so
  /// that every accepted change has its audit entry.
  AuditEntry m_change;
};

/// Returns the target of a class; null when there is none.
const ClassTarget* FindClass(const Configuration& configuration,
                             const ClassId& class_id);

/// Returns the team of a member; an unlisted member forms a team named after
/// it.
TeamId TeamOf(const Configuration& configuration, const MemberId& member);

/// Returns the quota of a team; null when the team is unlimited.
const TeamQuota* FindQuota(const Configuration& configuration,
                           const TeamId& team);

/// Returns kInvalidArgument with the name of the field when a value is out of
/// range or duplicate, or when the targets cannot be met together.
Result<void> ValidateConfiguration(const Configuration& configuration);

}  // namespace daisyarch
