#pragma once

#include <cstdint>
#include <vector>

#include "site_worker.h"

namespace daisyarch {

/// One run of a gang: its tasks work from the moment when all are present, and
/// end together.
struct SiteGang {
  struct Member {
    SiteWorker* m_worker = nullptr;
    fleet::TaskReference m_task;
    Incarnation m_incarnation;
  };

  RunNumber m_run;
  std::uint32_t m_size = 0;
  Duration m_work{};
  bool m_fails = false;
  TimePoint m_began_at{};
  bool m_is_complete = false;
  std::vector<Member> m_members;
};

/// Starts the work of a complete gang, and ends the members of one that lost a
/// member or waited too long. Returns false once it has no member.
bool AdvanceGang(SiteGang& gang, TimePoint now);

}  // namespace daisyarch
