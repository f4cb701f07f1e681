#pragma once

#include "decisions/configuration/configuration.h"
#include "decisions/configuration/configuration_change.h"
#include "wire/placement_fields.h"

namespace daisyarch {

template <>
struct VariantKinds<std::variant<SetClassTarget, SetTeamQuota, SetMemberTeam>> {
  static constexpr const char* kNames[] = {"set_class", "set_team",
                                           "set_member"};
};

template <typename Visitor>
void VisitFields(Visitor& visit, ClassTarget& target) {
  visit("class", target.m_class);
  visit("kind_of_work", target.m_kind);
  visit("within_us", target.m_within);
  visit("quantile_percent", target.m_quantile_percent);
  visit("finish_percent", target.m_finish_percent);
  visit("keep_percent", target.m_keep_percent);
}

template <typename Visitor>
void VisitFields(Visitor& visit, TeamQuota& quota) {
  visit("team", quota.m_team);
  visit("limit", quota.m_limit);
}

template <typename Visitor>
void VisitFields(Visitor& visit, MemberTeam& entry) {
  visit("member", entry.m_member);
  visit("team", entry.m_team);
}

template <typename Visitor>
void VisitFields(Visitor& visit, AuditEntry& entry) {
  visit("version", entry.m_version);
  visit("id", entry.m_id);
  visit("operator", entry.m_operator);
  visit("unix_ms", entry.m_unix_milliseconds);
  visit("field", entry.m_field);
  visit("before", entry.m_before);
  visit("after", entry.m_after);
}

template <typename Visitor>
void VisitFields(Visitor& visit, Configuration& configuration) {
  visit("version", configuration.m_version);
  visit("classes", configuration.m_classes);
  visit("teams", configuration.m_teams);
  visit("members", configuration.m_members);
  visit("change", configuration.m_change);
}

template <typename Visitor>
void VisitFields(Visitor& visit, SetClassTarget& change) {
  visit("target", change.m_target);
}

template <typename Visitor>
void VisitFields(Visitor& visit, SetTeamQuota& change) {
  visit("quota", change.m_quota);
}

template <typename Visitor>
void VisitFields(Visitor& visit, SetMemberTeam& change) {
  visit("entry", change.m_entry);
}

template <typename Visitor>
void VisitFields(Visitor& visit, ConfigurationChange& change) {
  visit("id", change.m_id);
  visit("operator", change.m_operator);
  visit("unix_ms", change.m_unix_milliseconds);
  visit("seen_version", change.m_seen_version);
  visit("body", change.m_body);
}

}  // namespace daisyarch
