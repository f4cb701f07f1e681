#include "decisions/ownership/journal_record.h"

namespace daisyarch {

namespace {
/// Covers everything but the strings that EstimateSize adds.
constexpr std::size_t kFixedRecordBytes = 160;
}  // namespace

bool IsSameBatch(const JournalBatch& left, const JournalBatch& right) {
  return left.m_sequence == right.m_sequence && left.m_epoch == right.m_epoch &&
         left.m_writer == right.m_writer &&
         left.m_incarnation == right.m_incarnation;
}

std::size_t EstimateSize(const JournalRecord& record) {
  std::size_t size = kFixedRecordBytes;
  if (const auto* accepted = std::get_if<JobAccepted>(&record)) {
    size += accepted->m_request.m_member.value().size();
    size += accepted->m_request.m_class.value().size();
    size += accepted->m_request.m_key.value().size();
    size += accepted->m_request.m_team.value().size();
  }
  if (const auto* assigned = std::get_if<TaskAssigned>(&record)) {
    size += assigned->m_worker.value().size();
  }
  return size;
}

}  // namespace daisyarch
