// RunSchedule: one seeded run of the decision core under faults.
#ifndef MULBERRYVALVE_TESTS_SCHEDULES_SCHEDULE_H_
#define MULBERRYVALVE_TESTS_SCHEDULES_SCHEDULE_H_

#include "tests/schedules/history.h"
#include "tests/schedules/world.h"

namespace schedules {

// RunSchedule returns the history of the schedule that aSeed gives.
History RunSchedule(uint64_t aSeed, DisabledMechanism aDisabledMechanism);

// CollectEnds notes in aHistory which ends of runs are durable in the log.
void CollectEnds(World& aWorld, History& aHistory);

// CollectConfig copies the configuration's records from the log.
void CollectConfig(World& aWorld, History& aHistory);

// AppendLoad is what an owner cost the log.
struct AppendLoad
{
  int64_t mStarts = 0;
  int64_t mAppendsPerSecond = 0;
  int64_t mRecordsPerAppend = 0;
};

// MeasureAppends submits aStartsPerSecond tasks a second to one owner for ten
// seconds without faults and counts the appends.
AppendLoad MeasureAppends(int64_t aStartsPerSecond);

} // namespace schedules

#endif // MULBERRYVALVE_TESTS_SCHEDULES_SCHEDULE_H_
