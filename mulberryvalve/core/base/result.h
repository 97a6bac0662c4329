// BasicResult: a value or a typed error (Boost.Outcome). The only header that
// includes Boost.Outcome; <boost/outcome/result.hpp> would bring Boost.System
// and Boost.Exception into most sources.
#ifndef MULBERRYVALVE_CORE_BASE_RESULT_H_
#define MULBERRYVALVE_CORE_BASE_RESULT_H_

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/policy/all_narrow.hpp>
#include <boost/outcome/success_failure.hpp>

namespace mulberryvalve {

// BasicResult holds a T or an Error. Check it before reading either.
template<typename T, typename Error>
using BasicResult = boost::outcome_v2::
  basic_result<T, Error, boost::outcome_v2::policy::all_narrow>;

} // namespace mulberryvalve

#endif // MULBERRYVALVE_CORE_BASE_RESULT_H_
