#include "mulberryvalve/adapters/json/learned_json.h"

#include "mulberryvalve/adapters/json/json_reader.h"

#include <cmath>
#include <string>

namespace mulberryvalve {
namespace {

using nlohmann::json;

constexpr size_t kMaxRows = 16384;
constexpr size_t kMaxNameLength = 4096;
constexpr double kMillion = 1e6;
// Greater than any weight, logarithm or sum of squares that is written.
constexpr int64_t kMaxMillionths = int64_t{ 1 } << 50;

int64_t Millionths(double aValue)
{
  return std::llround(aValue * kMillion);
}

double ReadFraction(JsonReader& aReader, const char* aName)
{
  const int64_t millionths =
    aReader.Number(aName, -kMaxMillionths, kMaxMillionths);
  return static_cast<double>(millionths) / kMillion;
}

json StatsToJson(const SeriesStats& aStats)
{
  return json{ { "count", aStats.mCount },
               { "mean", Millionths(aStats.mMean) },
               { "squares", Millionths(aStats.mSquares) } };
}

SeriesStats StatsFromJson(JsonReader& aReader, const char* aName)
{
  JsonReader reader(aReader.Object(aName));
  SeriesStats stats;
  stats.mCount = static_cast<int>(reader.Number("count", 0, INT32_MAX));
  stats.mMean = ReadFraction(reader, "mean");
  stats.mSquares = ReadFraction(reader, "squares");
  if (reader.Fault()) {
    aReader.RecordFault(*reader.Fault());
  }
  return stats;
}

LearnedInterference PairFromJson(JsonReader& aReader)
{
  LearnedInterference pair;
  pair.mServingImage = ImageId(aReader.Text("serving", kMaxNameLength));
  pair.mBestEffortImage = ImageId(aReader.Text("filling", kMaxNameLength));
  pair.mWeight = ReadFraction(aReader, "weight");
  pair.mObservations =
    static_cast<int>(aReader.Number("observations", 0, INT32_MAX));
  return pair;
}

LearnedMinTail TailFromJson(JsonReader& aReader)
{
  LearnedMinTail tail;
  tail.mServingImage = ImageId(aReader.Text("serving", kMaxNameLength));
  tail.mMinTail = aReader.Number("least_ms", 1);
  return tail;
}

LearnedRunTimes TimesFromJson(JsonReader& aReader)
{
  LearnedRunTimes times;
  times.mQueue = QueueId(aReader.Text("queue", kMaxNameLength));
  times.mDurations = StatsFromJson(aReader, "taken");
  times.mDeclarationErrors = StatsFromJson(aReader, "error");
  return times;
}

// Decodes each item of an array with aRead; aReader gets the first fault.
template<typename Row>
std::vector<Row> RowsFromJson(JsonReader& aReader,
                              const char* aName,
                              Row (*aRead)(JsonReader&))
{
  std::vector<Row> rows;
  for (const json& object : aReader.Array(aName, kMaxRows)) {
    JsonReader reader(object);
    rows.push_back(aRead(reader));
    if (reader.Fault()) {
      aReader.RecordFault(*reader.Fault());
    }
  }
  return rows;
}

} // namespace

json LearnedToJson(const LearnedRecord& aRecord)
{
  json object{ { "pairs", json::array() },
               { "tails", json::array() },
               { "times", json::array() } };
  for (const LearnedInterference& pair : aRecord.mPairs) {
    object["pairs"].push_back({ { "serving", pair.mServingImage.Text() },
                                { "filling", pair.mBestEffortImage.Text() },
                                { "weight", Millionths(pair.mWeight) },
                                { "observations", pair.mObservations } });
  }
  for (const LearnedMinTail& tail : aRecord.mTails) {
    object["tails"].push_back({ { "serving", tail.mServingImage.Text() },
                                { "least_ms", tail.mMinTail } });
  }
  for (const LearnedRunTimes& times : aRecord.mTimes) {
    object["times"].push_back(
      { { "queue", times.mQueue.Text() },
        { "taken", StatsToJson(times.mDurations) },
        { "error", StatsToJson(times.mDeclarationErrors) } });
  }
  return object;
}

Result<LearnedRecord> LearnedFromJson(const json& aObject)
{
  JsonReader reader(aObject);
  LearnedRecord record;
  record.mPairs = RowsFromJson(reader, "pairs", &PairFromJson);
  record.mTails = RowsFromJson(reader, "tails", &TailFromJson);
  record.mTimes = RowsFromJson(reader, "times", &TimesFromJson);
  if (reader.Fault()) {
    return *reader.Fault();
  }
  return record;
}

} // namespace mulberryvalve
