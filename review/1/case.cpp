// A proxy process is killed while its reads wait at the scheduler of "billing".
// The process that replaces it numbers its requests from 1 again. The scheduler
// grants the old reads to the new process, which applies the grants to the fee
// posts with the same numbers: workers of "billing" run posts of "ledger".

#include "../standin/Standin.h"

using namespace review;

namespace {

constexpr int kNodes = 4;
/** The slots of "billing": 4 workers with 3 each. */
constexpr int kReadsAtWork = 12;
constexpr int kReadsBefore = 14;
constexpr int kPosts = 12;
/** "A process that exits or is killed is restarted after a short delay." */
constexpr double kRestartDelay = 0.5;

double
WorkOf(const Message& aRequest)
{
  // The last part of the path says how long the work takes, in ms.
  std::string path = aRequest.mStart.substr(0, aRequest.mStart.rfind(' '));
  return atof(path.substr(path.rfind('/') + 1).c_str()) / 1000;
}

} // namespace

int
main(int, char** aArguments)
{
  Record record(aArguments[1]);
  auto place = Place::Make();
  if (!place) {
    return kCouldNotRun;
  }
  Store store(record);
  Runs runs;
  std::vector<RouteText> routes = {
    { "/fees/", "unsafe", "ledger", 2, 0.8, 1, 2 },
    { "/attendance/", "safe", "billing", 4, 2.5, 2, 2 },
  };
  store.Put("keyed.op",
            "config",
            ConfigText("00000007", routes, { "ledger", "billing" }));
  std::vector<std::unique_ptr<Worker>> workers;
  int address = 0;
  for (const char* service : { "ledger", "billing" }) {
    int count = std::string(service) == "ledger" ? 2 : 4;
    for (int i = 0; i < count; ++i) {
      WorkerOptions options;
      options.mId = std::string("i-") + service + std::to_string(i);
      options.mService = service;
      options.mAddress = { place->mPrefix + std::to_string(50 + ++address),
                           place->mPort + 5 };
      options.mZone = "zone-" + std::to_string(1 + i % 3);
      options.mWorkOf = WorkOf;
      workers.push_back(std::make_unique<Worker>(options, store, runs, record));
      if (!workers.back()->Start()) {
        return kCouldNotRun;
      }
    }
  }
  std::vector<std::unique_ptr<Node>> nodes;
  for (int i = 1; i <= kNodes; ++i) {
    nodes.push_back(
      std::make_unique<Node>(*place,
                             store,
                             record,
                             i,
                             "zone-" + std::to_string(1 + (i - 1) % 3),
                             SeedsOf(*place, kNodes)));
    if (!nodes.back()->HasStore() || !nodes.back()->Start(true)) {
      return kCouldNotRun;
    }
  }
  for (const auto& it : nodes) {
    if (!it->AwaitReady(20)) {
      return kCouldNotRun;
    }
  }
  Sleep(4);

  // A few calm requests through the first node, after which the logs tell which
  // nodes are schedulers. The process that is killed is another one.
  for (int i = 0; i < 3; ++i) {
    SendOne(
      record, *nodes[0], "POST", "/fees/50", NewRequestId(), 2000, "fee=1");
    SendOne(record, *nodes[0], "GET", "/attendance/50", NewRequestId(), 6000);
  }
  Sleep(0.5);
  Node* victim = nullptr;
  for (std::size_t i = 1; i < nodes.size(); ++i) {
    if (nodes[i]->Output().find("name=SchedulerStarted") == std::string::npos) {
      victim = nodes[i].get();
    }
  }
  if (!victim) {
    return kCouldNotRun;
  }
  std::vector<Node*> others;
  for (const auto& it : nodes) {
    if (it.get() != victim) {
      others.push_back(it.get());
    }
  }

  std::vector<std::thread> clients;
  std::mutex mutex;
  std::set<std::string> posts;
  auto send = [&](Node& aNode,
                  const char* aMethod,
                  const std::string& aPath,
                  int aDeadlineMs) {
    std::string id = NewRequestId();
    bool isPost = std::string(aMethod) == "POST";
    if (isPost) {
      std::lock_guard<std::mutex> lock(mutex);
      posts.insert(id);
    }
    clients.emplace_back(
      [&record, &aNode, aMethod, aPath, id, aDeadlineMs, isPost] {
        SendOne(record,
                aNode,
                aMethod,
                aPath,
                id,
                aDeadlineMs,
                isPost ? "fee=1" : "");
      });
  };

  // Many users come at once: reads take all slots of "billing", and more wait.
  double begin = Seconds();
  for (int i = 0; i < kReadsAtWork; ++i) {
    send(*others[static_cast<std::size_t>(i) % others.size()],
         "GET",
         "/attendance/" + std::to_string(900 + 50 * i),
         6000);
  }
  Sleep(0.1);
  for (int i = 0; i < kReadsBefore; ++i) {
    send(*victim, "GET", "/attendance/400", 6000);
  }
  Sleep(begin + 0.3 - Seconds());
  if (HasTrouble()) {
    victim->Signal(SIGKILL, "SIGKILL");
    victim->AwaitEnd(1);
    Sleep(kRestartDelay);
    if (!victim->Start(false) || !victim->AwaitReady(10)) {
      return kCouldNotRun;
    }
    record.Line("%s is ready again", victim->Name().c_str());
  } else {
    Sleep(kRestartDelay);
  }
  for (int i = 0; i < 12; ++i) {
    send(*others[static_cast<std::size_t>(i) % others.size()],
         "POST",
         "/fees/250",
         2000);
  }
  for (int i = 0; i < kPosts; ++i) {
    send(*victim, "POST", "/fees/250", 2000);
  }
  for (auto& it : clients) {
    it.join();
  }

  int foreign = 0;
  for (const Run& it : runs.All()) {
    bool isWrong =
      it.mStart.find("/fees/") != std::string::npos && it.mService != "ledger";
    bool isWrongRead = it.mStart.find("/attendance/") != std::string::npos &&
                       it.mService != "billing";
    if (isWrong || isWrongRead) {
      ++foreign;
      record.Line("ROUTE: request %s (%s) was run by %s of service %s",
                  it.mId.c_str(),
                  it.mStart.c_str(),
                  it.mWorker.c_str(),
                  it.mService.c_str());
    }
  }
  record.Line("%d of %zu runs were at a service to which no configuration "
              "allows them to go",
              foreign,
              runs.All().size());
  printf("requests run by a wrong service: %d\n", foreign);
  nodes.clear();
  fflush(stdout);
  _exit(foreign > 0 ? kBroken : kHeld);
}
