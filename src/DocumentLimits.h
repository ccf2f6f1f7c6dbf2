#ifndef VANILLASCALE_DOCUMENTLIMITS_H
#define VANILLASCALE_DOCUMENTLIMITS_H

#include <string>

namespace vanillascale {

/** The limits on the members of a document, whether it is parsed from JSON or
 * translated from a platform's format. */
inline constexpr unsigned kMaxPriority = 9;
inline constexpr unsigned kMaxPercent = 100;
inline constexpr unsigned kDefaultRetryPercent = 10;
inline constexpr unsigned kDefaultRetryBurst = 30;
inline constexpr unsigned kMaxRetryBurst = 10000;
/** In requests per second. */
inline constexpr unsigned kMaxAccountLimit = 1000000;
/** The maximum rate and burst of a client account, in requests per second and
 * requests. */
inline constexpr double kMaxAccountRate = 1e9;
/** Maximum length of an API key, in bytes, and number of keys of an account. */
inline constexpr std::size_t kMaxApiKeyBytes = 4096;
inline constexpr std::size_t kMaxApiKeys = 1000;
/** Bounds of deadlines and of the time limits for callers. */
inline constexpr unsigned kMinDeadlineMs = 10;
inline constexpr unsigned kMaxDeadlineMs = 600000;
inline constexpr unsigned kMaxAttempts = 10;
inline constexpr unsigned kDefaultAttempts = 3;
inline constexpr unsigned kMaxWeight = 1000000;
/** Maximum length of a string member other than a path or host, in bytes. */
inline constexpr std::size_t kMaxNameLength = 64;
/** Maximum length of a path or host, in bytes. */
inline constexpr std::size_t kMaxPathLength = 2048;
inline constexpr unsigned kMinHeadBytes = 256;
inline constexpr unsigned kMaxHeadBytes = 1024 * 1024;
inline constexpr unsigned kMaxBodyBytes = 1024 * 1024 * 1024;

inline constexpr const char* kPathProblem =
  "must start with a slash and have no empty segments";

inline constexpr const char* kHeaderTextProblem =
  "must have no control characters, and no blank at either end";

/** Returns whether a text can be sent as the value of a header unchanged: it
 * has no control characters and does not begin or end with a blank. Pure. */
inline bool
IsHeaderText(const std::string& aText)
{
  constexpr unsigned char kFirstPrintable = 0x20;
  constexpr unsigned char kDelete = 0x7f;
  for (char it : aText) {
    auto byte = static_cast<unsigned char>(it);
    if (byte < kFirstPrintable || byte == kDelete) {
      return false;
    }
  }
  return aText.empty() || (aText.front() != ' ' && aText.back() != ' ');
}

/** Returns whether a path is empty or starts with a slash and has no empty
 * segments. Pure. */
inline bool
IsWellFormedPath(const std::string& aPath)
{
  return aPath.empty() ||
         (aPath.front() == '/' && aPath.find("//") == std::string::npos);
}

} // namespace vanillascale

#endif
