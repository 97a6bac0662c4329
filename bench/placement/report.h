// Report: aggregates runs by scenario and policy into a table and a plot.
#ifndef BENCH_PLACEMENT_REPORT_H_
#define BENCH_PLACEMENT_REPORT_H_

#include "bench/placement/world.h"

#include <array>
#include <string>
#include <vector>

namespace mulberryvalve::bench {

// Cell aggregates the runs of one policy in one scenario.
struct Cell
{
  int mRuns = 0;
  RunMetrics mSum;

  // Adds the metrics of one run.
  void Add(const RunMetrics& aRun);

  // Returns the percentage of requests that missed their deadline.
  double LatePercent() const;

  // Returns aSum divided by the number of runs.
  double Mean(double aSum) const { return mRuns == 0 ? 0 : aSum / mRuns; }
};

// Row holds the results of one scenario at one site.
struct Row
{
  std::string mSite;
  std::string mScenario;
  std::array<Cell, kPolicyKindNames.mRows.size()> mCells;
};

// Returns a Markdown table with the metrics of every policy.
std::string MarkdownTable(const std::vector<Row>& aRows);

// Compares the learned policy with the best baseline of each row and states
// which of the users' targets are met.
std::string Verdicts(const std::vector<Row>& aRows);

// Returns an SVG plot of late requests against batch throughput.
std::string Plot(const std::vector<Row>& aRows);

} // namespace mulberryvalve::bench

#endif // BENCH_PLACEMENT_REPORT_H_
