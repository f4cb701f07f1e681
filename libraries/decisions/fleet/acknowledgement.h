#pragma once

#include "decisions/fleet/fleet.h"

// A start and a poll that acknowledges ends may both get no answer and reach
// the worker's next incarnation, the start first. That incarnation would then
// forget the end of a run that no leader has seen. So nothing is acknowledged
// while a start has no answer, and a start that follows an acknowledgement
// without an answer has a higher fencing token: whoever has taken the start
// rejects the acknowledgement.

namespace daisyarch::fleet {

/// Returns whether a start that was sent to the worker has no answer yet.
bool AwaitsStartAnswer(Fleet& fleet, Worker& worker);
/// Returns the last ended run that may be acknowledged to the worker; 0 if none
/// may be.
OutcomeNumber AcknowledgeableEnd(Fleet& fleet, Worker& worker, TimePoint now);
/// Returns the last ended run that the next poll acknowledges; 0: none.
OutcomeNumber EndToAcknowledge(Fleet& fleet, Worker& worker, TimePoint now);
/// Returns the time from the report to the next poll as far as the report's
/// ends require one.
Duration UnacknowledgedPollInterval(Fleet& fleet, Worker& worker,
                                    const WorkerReport& report, TimePoint now);
/// Returns whether a poll that is due waits for the answers to starts, as it
/// could acknowledge nothing before; sets when it is due again.
bool PostponePoll(Fleet& fleet, Worker& worker, TimePoint now);
/// Ends the wait of a poll if it could acknowledge ends by now.
void ResumePoll(Fleet& fleet, Worker& worker, TimePoint now);
/// Records that the worker gets the poll.
void RecordAcknowledgement(Worker& worker, const PollOrder& poll);
/// Records that the latest poll of the worker was answered.
void RecordAcknowledgementAnswered(Worker& worker);
/// Raises the worker's token above that of an acknowledgement that has no
/// answer, if there is one.
void OutrankAcknowledgement(Fleet& fleet, Worker& worker);

}  // namespace daisyarch::fleet
