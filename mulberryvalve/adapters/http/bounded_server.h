// BoundedServer: an httplib server that limits connections, header sizes and
// waiting times whatever its clients do. Include it in source files only, since
// it includes httplib.
#ifndef MULBERRYVALVE_ADAPTERS_HTTP_BOUNDED_SERVER_H_
#define MULBERRYVALVE_ADAPTERS_HTTP_BOUNDED_SERVER_H_

#include "mulberryvalve/adapters/http/bounded_thread_pool.h"
#include "mulberryvalve/core/base/mutex.h"
#include "mulberryvalve/core/base/time.h"
#include "mulberryvalve/core/model/worker.h"

#include <httplib.h>
#include <list>
#include <thread>

namespace mulberryvalve {

// BoundedServerOptions limits the resources of one server. An exchange, without
// the time of its handler, must end within mExchangeTimeout; a kept-alive
// connection is closed after mIdleTimeout.
struct BoundedServerOptions
{
  size_t mThreads = 128;
  size_t mMaxQueuedConnections = 512;
  size_t mMaxHeadBytes = 16 * 1024;
  size_t mMaxBodyBytes = 256 * 1024;
  Milliseconds mExchangeTimeout{ 10'000 };
  Milliseconds mIdleTimeout{ 30'000 };
};

// BoundedServer serves each connection on a thread of its pool, which grows up
// to mThreads with the connections that are open. When the queue is full, new
// connections get a 503 and are closed; when connections are queued, the
// longest idle one is closed to free its thread. The methods declared here are
// thread-safe.
class BoundedServer : public httplib::Server
{
public:
  explicit BoundedServer(BoundedServerOptions aOptions);

  // Bind starts to listen, with a backlog of mMaxQueuedConnections. Returns
  // false when aEndpoint cannot be bound. Call it once, before StartServing.
  bool Bind(const Endpoint& aEndpoint);

  // StartServing starts the accept loop on its own thread.
  void StartServing();

  // RequestStop closes idle connections at once and the others after their
  // current exchange. After StartServing it first waits until the accept loop
  // runs. Join waits until the server has stopped.
  void RequestStop();
  void Join();

  // CloseLongestIdle closes the longest idle connection, if any.
  void CloseLongestIdle();

private:
  class IdleEntry;

  bool process_and_close_socket(socket_t aSocket) override;
  void ServeConnection(socket_t aSocket);
  bool WaitForRequest(socket_t aSocket, bool aBuffered);

  void AwaitListening();

  const BoundedServerOptions mOptions;
  SystemThreadStarter mThreadStarter;
  std::thread mThread;
  Mutex mMutex;
  CondVar mListeningChanged;
  // mStarted: StartServing was called. mListening: its thread has started the
  // accept loop, so that stop() takes effect.
  bool mStarted MV_GUARDED_BY(mMutex) = false;
  bool mListening MV_GUARDED_BY(mMutex) = false;
  bool mStopping MV_GUARDED_BY(mMutex) = false;
  std::list<socket_t> mIdleConnections MV_GUARDED_BY(mMutex);
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_ADAPTERS_HTTP_BOUNDED_SERVER_H_
