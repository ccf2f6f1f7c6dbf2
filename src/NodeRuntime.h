#ifndef VANILLASCALE_NODERUNTIME_H
#define VANILLASCALE_NODERUNTIME_H

#include "PlatformPort.h"
#include "Settings.h"

#include <functional>
#include <memory>
#include <string>
#include <tl/expected.hpp>

namespace vanillascale {

/** A running node: the core's state and the one loop, on one thread, that feeds
 * it events and carries out its effects. SIGTERM and SIGINT make it leave,
 * SIGHUP makes it read its settings again. */
class NodeRuntime
{
public:
  /** Reads the settings once more, for SIGHUP. The error says what is wrong. */
  using Reload = std::function<tl::expected<Settings, std::string>()>;

  /** Opens the node's addresses. The error says what address can't be used and
   * why. Call from the thread that calls Run. */
  static tl::expected<std::unique_ptr<NodeRuntime>, std::string>
  Make(const Settings& aSettings, PlatformAdapter aAdapter, Reload aReload);

  ~NodeRuntime();
  NodeRuntime(const NodeRuntime&) = delete;
  NodeRuntime& operator=(const NodeRuntime&) = delete;

  /** Serves until the node has left, which it does when it has finished what it
   * has. */
  void Run();

private:
  struct Impl;
  explicit NodeRuntime(std::unique_ptr<Impl> aImpl);
  std::unique_ptr<Impl> mImpl;
};

} // namespace vanillascale

#endif
