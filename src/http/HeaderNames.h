#pragma once

#include <string>

namespace briarspar::http {

/// Names of the headers and cookies exchanged between callers, targets and the system. A deployment
/// on a platform with its own names replaces the defaults.
struct HeaderNames {
  std::string RequestId = "Briarspar-Request-Id";  ///< Id of one attempt by a caller.
  std::string Deadline = "Briarspar-Deadline-Ms";  ///< Time left until the caller gives up, in ms.
  std::string ObjectCookie = "briarspar-object";   ///< Cookie with the key of the requested object.
  std::string Customer = "Briarspar-Customer";     ///< Customer of the API key; set by the system.
  std::string ExpectedTarget = "Briarspar-Target"; ///< Id of the target process that must run it.
  std::string NotRun = "Briarspar-Not-Run"; ///< Set by a target that did not run the request.
  std::string Leaving = "Briarspar-Target-Leaving"; ///< Set by a target that is about to end.
  std::string TargetId = "Briarspar-Target-Id";     ///< Id of the target process that responds.
  std::string Load = "Briarspar-Load";              ///< Load of a target: "running,waiting,slots".
  std::string ColdRemaining = "Briarspar-Cold-Ms"; ///< Time for which the target stays cold, in ms.
  std::string ResponseSeal = "Briarspar-Answer-Seal"; ///< Marks a response as produced by a target.
};

} // namespace briarspar::http
