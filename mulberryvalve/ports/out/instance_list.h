// InstanceList: the platform's eventually consistent list of workers.
#ifndef MULBERRYVALVE_PORTS_OUT_INSTANCE_LIST_H_
#define MULBERRYVALVE_PORTS_OUT_INSTANCE_LIST_H_

#include "mulberryvalve/core/base/failure.h"
#include "mulberryvalve/core/model/worker.h"

#include <vector>

namespace mulberryvalve {

// InstanceList reads the platform's list of workers. Implementations are
// thread-safe and block. The result may be seconds out of date.
class InstanceList
{
public:
  virtual ~InstanceList() = default;

  // Workers returns every worker in the list. Errors: kLogUnavailable,
  // kLogAnswerLost, kMalformed.
  virtual Result<std::vector<WorkerSpec>> Workers() = 0;
};

} // namespace mulberryvalve

#endif // MULBERRYVALVE_PORTS_OUT_INSTANCE_LIST_H_
