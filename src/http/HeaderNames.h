#pragma once

#include <string>

namespace briarspar::http {

/// Names of the headers that callers, targets and the system exchange. The defaults are the
/// project's own; a deployment that speaks other names replaces them.
struct HeaderNames {
  std::string RequestId = "Briarspar-Request-Id";  ///< Id of one attempt of a caller.
  std::string Deadline = "Briarspar-Deadline-Ms";  ///< Time for which the caller still waits, ms.
  std::string ObjectCookie = "briarspar-object";   ///< Cookie that names the object asked for.
  std::string Customer = "Briarspar-Customer";     ///< Customer of the key, set by the system.
  std::string ExpectedTarget = "Briarspar-Target"; ///< Target process that a request is meant for.
  std::string NotRun = "Briarspar-Not-Run";        ///< Set by a target that did not run a request.
  std::string TargetId = "Briarspar-Target-Id";    ///< Target process that answers a probe.
  std::string Load = "Briarspar-Load";             ///< "running,waiting,slots" of a target.
  std::string ColdRemaining = "Briarspar-Cold-Ms"; ///< How much longer a target is cold, ms.
  std::string ResponseSeal = "Briarspar-Answer-Seal"; ///< Mark of an answer made by a target.
};

} // namespace briarspar::http
