#pragma once

#include <functional>
#include <map>

#include "base/time.h"
#include "fakes/fake_loop.h"

namespace daisyarch {

/// The time that a node's loop takes for each operation.
struct LoopCosts {
  Duration m_turn{};           ///< Each event that the loop handles.
  Duration m_tick{};           ///< A tick, besides what it sends.
  Duration m_order{};          ///< Sending an order of any kind.
  Duration m_placed_run{};     ///< Choosing the worker of a start.
  Duration m_answer{};         ///< Reading a worker's answer.
  Duration m_report{};         ///< Applying an answer to a poll.
  Duration m_listed_end{};     ///< Each ended run in it.
  Duration m_store_call{};     ///< Sending a store call, or reading its answer.
  Duration m_message{};        ///< Sending or reading a message between nodes.
  Duration m_relayed_order{};  ///< Each order in a call to a relay.
  Duration m_relayed_outcome{};  ///< Each outcome in its answer.
};

/// Returns the costs on a machine that is slower by `factor`.
LoopCosts Scale(const LoopCosts& costs, double factor);

/// A loop that handles one event at a time. While it is busy, the events that
/// are due wait in the order of their due times. Without costs it is never
/// busy.
struct ChargedLoop {
  LoopCosts m_costs;
  TimePoint m_busy_until{};
  Duration m_busy_time{};  ///< All that was charged.
  std::multimap<TimePoint, std::function<void()>> m_waiting;
  bool m_is_turn_scheduled = false;
};

/// Makes the loop busy for the cost of an operation, `count` times.
void Charge(const FakeLoop& loop, ChargedLoop& charged,
            Duration LoopCosts::*cost, std::size_t count = 1);

/// Returns the time that the charged loop has reached: within a turn, the start
/// of the turn and what it has charged so far.
TimePoint TimeAt(const FakeLoop& loop, const ChargedLoop& charged);

/// Handles an event that was due at `due` once the charged loop is free and has
/// handled what was due before.
void HandleInTurn(FakeLoop& loop, ChargedLoop& charged, TimePoint due,
                  std::function<void()> event);

/// Runs `event` when the charged loop has done what is charged so far; at once
/// if it is not busy.
void RunWhenDone(FakeLoop& loop, const ChargedLoop& charged,
                 std::function<void()> event);

}  // namespace daisyarch
