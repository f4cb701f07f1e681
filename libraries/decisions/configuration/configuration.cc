#include "decisions/configuration/configuration.h"

#include <algorithm>
#include <set>

namespace daisyarch {

namespace {

constexpr std::int64_t kFullPercent = 100;
constexpr std::size_t kMaximumNameLength = 128;

Error InvalidField(const std::string& field, const std::string& detail) {
  return Error{ErrorCode::kInvalidArgument, "check configuration", field,
               detail};
}

Result<void> CheckName(const std::string& field, const std::string& name) {
  if (name.empty() || name.size() > kMaximumNameLength) {
    return InvalidField(field, "name must have 1 to 128 characters");
  }
  return Success();
}

Result<void> CheckPercent(const std::string& field, std::int64_t percent) {
  if (percent < 0 || percent > kFullPercent) {
    return InvalidField(field, "must be between 0 and 100 percent");
  }
  return Success();
}

Result<void> CheckClass(const ClassTarget& target) {
  const std::string field = "classes." + target.m_class.value();
  TRY(CheckName(field, target.m_class.value()));
  if (target.m_within <= Duration::zero()) {
    return InvalidField(field + ".within_ms", "must be a positive duration");
  }
  TRY(CheckPercent(field + ".quantile_percent", target.m_quantile_percent));
  TRY(CheckPercent(field + ".finish_percent", target.m_finish_percent));
  return CheckPercent(field + ".keep_percent", target.m_keep_percent);
}

// Request classes share slots and task classes share workers, so each of the
// two sums is limited separately.
Result<void> CheckKeepPercentSum(const Configuration& configuration,
                                 bool for_requests) {
  std::int64_t sum = 0;
  for (const ClassTarget& target : configuration.m_classes) {
    const bool is_request = target.m_kind == ClassKind::kRequest;
    if (is_request == for_requests) sum += target.m_keep_percent;
  }
  if (sum > kFullPercent) {
    return InvalidField("classes.keep_percent",
                        "the guaranteed shares add up to " +
                            std::to_string(sum) + " percent; the limit is 100");
  }
  return Success();
}

}  // namespace

const char* ToString(ClassKind kind) {
  switch (kind) {
    case ClassKind::kRequest:
      return "request";
    case ClassKind::kBatch:
      return "batch";
    case ClassKind::kWatch:
      return "watch";
  }
  return "request";
}

bool operator==(const ClassTarget& left, const ClassTarget& right) {
  return left.m_class == right.m_class && left.m_kind == right.m_kind &&
         left.m_within == right.m_within &&
         left.m_quantile_percent == right.m_quantile_percent &&
         left.m_finish_percent == right.m_finish_percent &&
         left.m_keep_percent == right.m_keep_percent;
}

const ClassTarget* FindClass(const Configuration& configuration,
                             const ClassId& class_id) {
  for (const ClassTarget& target : configuration.m_classes) {
    if (target.m_class == class_id) return &target;
  }
  return nullptr;
}

TeamId TeamOf(const Configuration& configuration, const MemberId& member) {
  for (const MemberTeam& entry : configuration.m_members) {
    if (entry.m_member == member) return entry.m_team;
  }
  return TeamId(member.value());
}

const TeamQuota* FindQuota(const Configuration& configuration,
                           const TeamId& team) {
  for (const TeamQuota& quota : configuration.m_teams) {
    if (quota.m_team == team) return &quota;
  }
  return nullptr;
}

Result<void> ValidateConfiguration(const Configuration& configuration) {
  std::set<ClassId> seen;
  for (const ClassTarget& target : configuration.m_classes) {
    TRY(CheckClass(target));
    if (!seen.insert(target.m_class).second) {
      return InvalidField("classes." + target.m_class.value(),
                          "duplicate class");
    }
  }
  for (const TeamQuota& quota : configuration.m_teams) {
    TRY(CheckName("teams", quota.m_team.value()));
    if (!Fits(Resources{}, quota.m_limit)) {
      return InvalidField("teams." + quota.m_team.value(),
                          "quota must not be negative");
    }
  }
  TRY(CheckKeepPercentSum(configuration, true));
  return CheckKeepPercentSum(configuration, false);
}

}  // namespace daisyarch
