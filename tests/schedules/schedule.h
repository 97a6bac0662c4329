// RunSchedule: one seeded simulation of the decision core under faults.
#ifndef MULBERRYVALVE_TESTS_SCHEDULES_SCHEDULE_H_
#define MULBERRYVALVE_TESTS_SCHEDULES_SCHEDULE_H_

#include "tests/schedules/history.h"
#include "tests/schedules/world.h"

namespace schedules {

// Runs the schedule that aSeed determines and returns its history.
History RunSchedule(uint64_t aSeed, DisabledMechanism aDisabled);

// Records in aHistory when the ends of runs became durable in the log.
void CollectEnds(World& aWorld, History& aHistory);

// Copies the configuration records from the log to aHistory.
void CollectConfig(World& aWorld, History& aHistory);

// AppendLoad holds the log appends of one owner at a given rate of starts.
struct AppendLoad
{
  int64_t mStarts = 0;
  int64_t mAppendsPerSecond = 0;
  int64_t mRecordsPerAppend = 0;
};

// Submits aStartsPerSecond tasks a second to one owner for ten seconds, without
// faults, and counts the appends.
AppendLoad MeasureAppends(int64_t aStartsPerSecond);

} // namespace schedules

#endif // MULBERRYVALVE_TESTS_SCHEDULES_SCHEDULE_H_
