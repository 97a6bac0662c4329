// ScriptedServer: a test upstream with a scripted behaviour for each request.
#ifndef MULBERRYVALVE_ADAPTERS_HTTP_SCRIPTED_SERVER_FAKE_H_
#define MULBERRYVALVE_ADAPTERS_HTTP_SCRIPTED_SERVER_FAKE_H_

#include "mulberryvalve/core/base/mutex.h"
#include "mulberryvalve/core/model/worker.h"

#include <deque>
#include <string>
#include <thread>
#include <vector>

namespace mulberryvalve {

// ServerStep is the behaviour of the server for one request.
enum class ServerStep
{
  kComplete,
  kDelayed,
  kTruncated,
  kNoContentLength,
  kNoResponse,
  kExtraResponse,
  kWrongEcho,
  kRefused,
  kCloseConnection,
  kTrickle,
};

// ScriptedServer is thread-safe. When the script is empty, it uses kComplete.
class ScriptedServer
{
public:
  ScriptedServer();
  ~ScriptedServer();

  // Address returns the endpoint that the server listens on.
  Endpoint Address() const;

  // Enqueue appends a step to the script.
  void Enqueue(ServerStep aStep);

  // Connections returns the number of accepted connections.
  size_t Connections();

private:
  void Accept();
  void Serve(int aSocket);
  bool ReadRequest(int aSocket, std::string& aEcho);
  bool Answer(int aSocket, ServerStep aStep, const std::string& aEcho);
  ServerStep NextStep();

  int mListener = -1;
  uint16_t mPort = 0;
  Mutex mMutex;
  std::deque<ServerStep> mSteps MV_GUARDED_BY(mMutex);
  std::vector<int> mSockets MV_GUARDED_BY(mMutex);
  std::vector<std::thread> mThreads MV_GUARDED_BY(mMutex);
  std::thread mAcceptor;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_ADAPTERS_HTTP_SCRIPTED_SERVER_FAKE_H_
