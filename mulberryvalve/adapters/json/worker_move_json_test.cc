// Tests of the records of moves.
#include "mulberryvalve/adapters/json/job_log_json.h"

#include "CppUTest/TestHarness.h"

namespace mulberryvalve {
namespace {

const WorkerMove kMove{ WorkerId("w1"), 1, 0, 2, 7, 1000 };

} // namespace

TEST_GROUP(WorkerMoveJsonTest)
{
  JobLogJson mCodec;

  static void CheckIsMove(const WorkerMove& aMove)
  {
    CHECK(kMove.mWorker == aMove.mWorker);
    CHECK_EQUAL(kMove.mFrom, aMove.mFrom);
    CHECK_EQUAL(kMove.mTo, aMove.mTo);
    CHECK_EQUAL(kMove.mHome, aMove.mHome);
    CHECK_EQUAL(kMove.mNumber, aMove.mNumber);
    CHECK_EQUAL(kMove.mTokenBase, aMove.mTokenBase);
  }
};

TEST(WorkerMoveJsonTest, MovesRoundTripOnBothTopics)
{
  const KeyedEntry entry = mCodec.Encode(kMove);
  CHECK(mCodec.IsMove(entry));
  CheckIsMove(std::get<WorkerMove>(mCodec.DecodeIntake(entry).value()));
  CheckIsMove(std::get<WorkerMove>(mCodec.DecodeProgress(entry).value()));
}

// Guards against a move that is taken for a job.
TEST(WorkerMoveJsonTest, AMoveIsNoJob)
{
  const KeyedEntry move = mCodec.Encode(kMove);
  CHECK_FALSE(mCodec.SubmittedJobId(move).has_value());
  const KeyedEntry job = mCodec.Encode(JobCancellation{ JobId("j") });
  CHECK_FALSE(mCodec.IsMove(job));
  CHECK_FALSE(mCodec.IsMove(KeyedEntry{ move.mKey, std::nullopt }));
}

TEST(WorkerMoveJsonTest, MalformedMovesAreRefused)
{
  const char* const kMalformed[] = {
    "",
    "{}",
    "[]",
    R"({"from":1,"to":0,"home":2,"number":7})",
    R"({"from":-1,"to":0,"home":2,"number":7,"token_base":1})",
    R"({"from":1,"to":4294967296,"home":2,"number":7,"token_base":1})",
    R"({"from":1,"to":0,"home":2,"number":0,"token_base":1})",
    R"({"from":1,"to":0,"home":2,"number":7,"token_base":"1"})",
    R"({"from":1,"to":0,"home":2,"number":7,"token_base":1)",
  };
  for (const char* value : kMalformed) {
    const KeyedEntry entry{ "move/w1", value };
    CHECK_FALSE(mCodec.DecodeIntake(entry).has_value());
    CHECK_FALSE(mCodec.DecodeProgress(entry).has_value());
  }
}

} // namespace mulberryvalve
