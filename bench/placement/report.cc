#include "bench/placement/report.h"

#include <algorithm>
#include <cstdio>

namespace mulberryvalve::bench {
namespace {

constexpr size_t kLearned = static_cast<size_t>(PolicyKind::kLearned);
constexpr int kCellWidth = 230;
constexpr int kCellHeight = 200;
constexpr int kPlotMargin = 40;
constexpr int kColumns = 4;
constexpr const char* kColours[] = { "#999999", "#4477aa", "#aa3377", "#66ccee",
                                     "#228833", "#ccbb44", "#ee6677" };

template<typename... Values>
std::string Format(const char* aFormat, Values... aValues)
{
  char text[512];
  std::snprintf(text, sizeof text, aFormat, aValues...);
  return text;
}

// Returns the strongest baseline. With aForTail, it is the one with the fewest
// late requests among those near the highest batch throughput; otherwise the
// one with the most batch among those near the fewest late requests.
const Cell& BestBaseline(const Row& aRow, bool aForTail)
{
  const auto weight = [&](const Cell& aCell) {
    const double late = aCell.LatePercent();
    const double batch = aCell.Mean(aCell.mSum.mCompleted);
    return aForTail ? late * 100 - batch * 0.01 : late - batch;
  };
  const Cell* best = aRow.mCells.data();
  for (size_t policy = 1; policy < kLearned; policy++) {
    const Cell& cell = aRow.mCells[policy];
    best = weight(cell) < weight(*best) ? &cell : best;
  }
  return *best;
}

double MaxMeanOf(const Row& aRow, double RunMetrics::*aFigure)
{
  double most = 0;
  for (size_t policy = 0; policy < kLearned; policy++) {
    const Cell& cell = aRow.mCells[policy];
    most = std::max(most, cell.Mean(cell.mSum.*aFigure));
  }
  return most;
}

double PercentChange(double aPart, double aWhole)
{
  return aWhole == 0 ? 0 : (aPart / aWhole - 1) * 100;
}

} // namespace

void Cell::Add(const RunMetrics& aRun)
{
  mRuns++;
  mSum.mRequests += aRun.mRequests;
  mSum.mLateRequests += aRun.mLateRequests;
  mSum.mP99Ms += aRun.mP99Ms;
  mSum.mCompleted += aRun.mCompleted;
  mSum.mTransitionCompleted += aRun.mTransitionCompleted;
  mSum.mRedoneSeconds += aRun.mRedoneSeconds;
  mSum.mEvictions += aRun.mEvictions;
  mSum.mFailed += aRun.mFailed;
  mSum.mOvercommitments += aRun.mOvercommitments;
}

double Cell::LatePercent() const
{
  return mSum.mRequests == 0 ? 0
                             : 100.0 * static_cast<double>(mSum.mLateRequests) /
                                 static_cast<double>(mSum.mRequests);
}

std::string MarkdownTable(const std::vector<Row>& aRows)
{
  std::string text =
    "| site | scenario | policy | in time % | p99 ms | batch core-s/s | "
    "work in transition core-s | redone s | evictions | tasks failed | "
    "commitments exceeded |\n|---|---|---|---|---|---|---|---|---|---|---|\n";
  for (const Row& row : aRows) {
    for (const auto& policy : kPolicyKindNames.mRows) {
      const Cell& cell = row.mCells[static_cast<size_t>(policy.mValue)];
      const RunMetrics& sum = cell.mSum;
      text += Format(
        "| %s | %s | %s | %.2f | %.0f | %.1f | %.0f | %.0f | %.1f | %.1f | "
        "%llu |\n",
        row.mSite.c_str(),
        row.mScenario.c_str(),
        std::string(policy.mName).c_str(),
        100 - cell.LatePercent(),
        cell.Mean(sum.mP99Ms),
        cell.Mean(sum.mCompleted),
        cell.Mean(sum.mTransitionCompleted),
        cell.Mean(sum.mRedoneSeconds),
        cell.Mean(static_cast<double>(sum.mEvictions)),
        cell.Mean(static_cast<double>(sum.mFailed)),
        static_cast<unsigned long long>(sum.mOvercommitments));
    }
  }
  return text;
}

std::string Verdicts(const std::vector<Row>& aRows)
{
  std::string text =
    "| site | scenario | late requests, ours / best baseline for the tail | "
    "batch, ours against the most of any baseline | "
    "work in transition, ours against the most | "
    "batch against the best baseline that is no later than ours |\n"
    "|---|---|---|---|---|---|\n";
  for (const Row& row : aRows) {
    const Cell& ours = row.mCells[kLearned];
    const Cell& tail = BestBaseline(row, true);
    double atTail = 0;
    for (size_t policy = 0; policy < kLearned; policy++) {
      const Cell& cell = row.mCells[policy];
      if (cell.LatePercent() <= ours.LatePercent() * 1.05) {
        atTail = std::max(atTail, cell.Mean(cell.mSum.mCompleted));
      }
    }
    const double batch = ours.Mean(ours.mSum.mCompleted);
    text +=
      Format("| %s | %s | %.2f%% / %.2f%% | %+.1f%% | %+.1f%% | ",
             row.mSite.c_str(),
             row.mScenario.c_str(),
             ours.LatePercent(),
             tail.LatePercent(),
             PercentChange(batch, MaxMeanOf(row, &RunMetrics::mCompleted)),
             PercentChange(ours.Mean(ours.mSum.mTransitionCompleted),
                           MaxMeanOf(row, &RunMetrics::mTransitionCompleted)));
    text += atTail == 0 ? std::string("none is |\n")
                        : Format("%+.1f%% |\n", PercentChange(batch, atTail));
  }
  return text;
}

std::string Plot(const std::vector<Row>& aRows)
{
  const int lines = (static_cast<int>(aRows.size()) + kColumns - 1) / kColumns;
  std::string svg = Format(
    "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%d\" height=\"%d\" "
    "font-family=\"sans-serif\" font-size=\"10\">\n",
    kColumns * kCellWidth,
    lines * kCellHeight + kPlotMargin);
  for (size_t index = 0; index < aRows.size(); index++) {
    const Row& row = aRows[index];
    const int column = static_cast<int>(index) % kColumns;
    const int line = static_cast<int>(index) / kColumns;
    double late = 0.01;
    double batch = 0.01;
    for (const Cell& cell : row.mCells) {
      late = std::max(late, cell.LatePercent());
      batch = std::max(batch, cell.Mean(cell.mSum.mCompleted));
    }
    const int left = column * kCellWidth + kPlotMargin;
    const int top = line * kCellHeight + kPlotMargin;
    const int width = kCellWidth - 2 * kPlotMargin;
    const int height = kCellHeight - 2 * kPlotMargin;
    svg += Format("<text x=\"%d\" y=\"%d\">%s, %s</text>\n",
                  left,
                  top - 8,
                  row.mSite.c_str(),
                  row.mScenario.c_str());
    svg += Format("<rect x=\"%d\" y=\"%d\" width=\"%d\" height=\"%d\" "
                  "fill=\"none\" stroke=\"#ccc\"/>\n",
                  left,
                  top,
                  width,
                  height);
    svg += Format("<text x=\"%d\" y=\"%d\">batch, up to %.1f core-s/s; "
                  "late, up to %.1f%%</text>\n",
                  left,
                  top + height + 14,
                  batch,
                  late);
    for (size_t policy = 0; policy < row.mCells.size(); policy++) {
      const Cell& cell = row.mCells[policy];
      svg += Format("<circle cx=\"%.1f\" cy=\"%.1f\" r=\"5\" fill=\"%s\"/>\n",
                    left + width * cell.Mean(cell.mSum.mCompleted) / batch,
                    top + height * (1 - cell.LatePercent() / late),
                    kColours[policy]);
    }
  }
  int x = kPlotMargin;
  for (const auto& policy : kPolicyKindNames.mRows) {
    svg += Format("<text x=\"%d\" y=\"%d\" fill=\"%s\">%s</text>\n",
                  x,
                  lines * kCellHeight + kPlotMargin - 10,
                  kColours[static_cast<size_t>(policy.mValue)],
                  std::string(policy.mName).c_str());
    x += 30 + 6 * static_cast<int>(policy.mName.size());
  }
  return svg + "</svg>\n";
}

} // namespace mulberryvalve::bench
