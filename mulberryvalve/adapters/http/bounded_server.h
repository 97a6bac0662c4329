// BoundedServer: an httplib server whose connections, heads and waits are
// bounded whatever its clients do. Include it in source files only, since it
// brings httplib with it.
#ifndef MULBERRYVALVE_ADAPTERS_HTTP_BOUNDED_SERVER_H_
#define MULBERRYVALVE_ADAPTERS_HTTP_BOUNDED_SERVER_H_

#include "mulberryvalve/core/base/mutex.h"
#include "mulberryvalve/core/base/time.h"
#include "mulberryvalve/core/model/worker.h"

#include <httplib.h>
#include <list>
#include <thread>

namespace mulberryvalve {

// BoundedServerOptions bound what one server spends on its clients. A whole
// exchange but for its handler must end within mExchange; a kept-alive
// connection is closed after mIdle.
struct BoundedServerOptions
{
  size_t mThreads = 128;
  size_t mWaitingConnections = 512;
  size_t mMaxHeadBytes = 16 * 1024;
  size_t mMaxBodyBytes = 256 * 1024;
  Milliseconds mExchange{ 10'000 };
  Milliseconds mIdle{ 30'000 };
};

// BoundedServer serves each connection on a thread of its pool. When more wait
// than may, new ones are answered 503 and closed; when some wait, the longest
// idle connection is closed for them. Its own methods are thread-safe.
class BoundedServer : public httplib::Server
{
public:
  explicit BoundedServer(BoundedServerOptions aOptions);

  // Bind begins to listen; as many connections wait for their acceptance as may
  // wait for a thread. It returns false when aEndpoint can not be bound. Call
  // it once, then Begin.
  bool Bind(const Endpoint& aEndpoint);

  // Begin serves on a thread of its own.
  void Begin();

  // End closes idle connections now and others after the exchange under way,
  // once the server's thread listens, if Begin was called;
  // Join waits until that is done.
  void End();
  void Join();

  // CloseOneIdle closes the connection that was idle longest, if any.
  void CloseOneIdle();

private:
  class IdleEntry;

  bool process_and_close_socket(socket_t aSocket) override;
  void Serve(socket_t aSocket);
  bool WaitForCall(socket_t aSocket, bool aBuffered);

  void AwaitListening();

  const BoundedServerOptions mOptions;
  std::thread mThread;
  Mutex mMutex;
  CondVar mCond;
  // Begin was called, and its thread has got so far that stop() has an effect.
  bool mBegun MV_GUARDED_BY(mMutex) = false;
  bool mListening MV_GUARDED_BY(mMutex) = false;
  bool mEnding MV_GUARDED_BY(mMutex) = false;
  std::list<socket_t> mIdle MV_GUARDED_BY(mMutex);
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_ADAPTERS_HTTP_BOUNDED_SERVER_H_
