// TaskOf: the task that a record refers to.
#ifndef MULBERRYVALVE_CORE_RECORDS_TASK_OF_H_
#define MULBERRYVALVE_CORE_RECORDS_TASK_OF_H_

#include "mulberryvalve/core/records/record.h"

#include <type_traits>

namespace mulberryvalve {
namespace internal {

template<typename T, typename = void>
struct HasTask : std::false_type
{
};

template<typename T>
struct HasTask<T, std::void_t<decltype(T::mTask)>> : std::true_type
{
};

} // namespace internal

// TaskOf returns the id of the task that aRecord refers to, or an empty id if
// it refers to none.
inline TaskId TaskOf(const Record& aRecord)
{
  return std::visit(
    [](const auto& aBody) {
      if constexpr (internal::HasTask<std::decay_t<decltype(aBody)>>::value) {
        return aBody.mTask;
      } else {
        return TaskId();
      }
    },
    aRecord);
}

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_RECORDS_TASK_OF_H_
