#pragma once

#include <map>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/resources.h"
#include "base/result.h"
#include "decisions/configuration/class_target.h"

namespace daisyarch {

/// What a team may hold over all workers.
struct TeamQuota {
  TeamId m_team;
  Resources m_limit;
};

/// One member and the team whose quota its jobs use.
struct MemberTeam {
  MemberId m_member;
  TeamId m_team;
};

/// One accepted change, as it stands in the audit trail.
struct AuditEntry {
  ConfigurationVersion m_version;  ///< The version that the change made.
  std::string m_id;  ///< Tells changes apart whose answers were lost.
  std::string m_operator;
  std::int64_t m_unix_milliseconds = 0;
  std::string m_field;
  std::string m_before;
  std::string m_after;
};

/// The operators' document; a change is accepted once the store holds it.
struct Configuration {
  ConfigurationVersion m_version;
  std::vector<ClassTarget> m_classes;  ///< Ordered by class.
  std::vector<TeamQuota> m_teams;      ///< Ordered by team.
  std::vector<MemberTeam> m_members;   ///< Ordered by member.
  /// The change that made this version; it travels in the same value, so
  /// that no accepted change can miss its audit entry.
  AuditEntry m_change;
};

/// The target of a class; null when there is none.
const ClassTarget* FindClass(const Configuration& configuration,
                             const ClassId& class_id);

/// The team of a member; an unlisted member is a team of its own.
TeamId TeamOf(const Configuration& configuration, const MemberId& member);

/// The quota of a team; null when it is unlimited.
const TeamQuota* FindQuota(const Configuration& configuration,
                           const TeamId& team);

/// kInvalidArgument naming the field that cannot be met or is out of range.
Result<void> ValidateConfiguration(const Configuration& configuration);

}  // namespace daisyarch
