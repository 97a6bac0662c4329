// The HTTP status codes that adapters send and read.
#ifndef MULBERRYVALVE_ADAPTERS_HTTP_HTTP_STATUS_H_
#define MULBERRYVALVE_ADAPTERS_HTTP_HTTP_STATUS_H_

namespace mulberryvalve {

inline constexpr int kStatusOk = 200;
inline constexpr int kStatusBadRequest = 400;
inline constexpr int kStatusUnauthorized = 401;
inline constexpr int kStatusForbidden = 403;
inline constexpr int kStatusNotFound = 404;
inline constexpr int kStatusConflict = 409;
inline constexpr int kStatusGone = 410;
inline constexpr int kStatusLengthRequired = 411;
// The condition that the request names does not hold.
inline constexpr int kStatusPreconditionFailed = 412;
inline constexpr int kStatusTooLarge = 413;
inline constexpr int kStatusMisdirected = 421;
inline constexpr int kStatusTooMany = 429;
inline constexpr int kStatusBadGateway = 502;
inline constexpr int kStatusUnavailable = 503;
// Sent when it is unknown whether the request took effect.
inline constexpr int kStatusUnknown = 504;
inline constexpr int kStatusFull = 507;

} // namespace mulberryvalve

#endif // MULBERRYVALVE_ADAPTERS_HTTP_HTTP_STATUS_H_
