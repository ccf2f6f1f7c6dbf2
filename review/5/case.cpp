// An answer of the store to a worker's entry is lost, and the entry is written
// seconds later: after the worker has reported "draining". The proxies take the
// old entry, which has a lower `sequence`, for the newest and use the leaving
// worker again.

#include "../standin/Standin.h"

using namespace review;

namespace {

constexpr int kNodes = 3;
constexpr std::size_t kWorkers = 12;
/** A quarter of the workers: the largest share of `scale_in` on the site. */
constexpr std::size_t kLeaving = 3;
/** `heartbeat_s` of the settings. */
constexpr double kHeartbeat = 1.5;
/** The store has been stable for `stable_window_s` when the workers drain. */
constexpr double kStable = 3.05;
/** "A call that receives no response [...] may be executed seconds later"; 1 to
 * 6 s later by `fleetbench kinds`. */
constexpr double kWrittenLate = 5.15;
constexpr double kDrain = 2;
/** A worker that leaves exits a little later than `drain_s`. */
constexpr double kExit = 2.75;
constexpr double kBurst = 2.65;
constexpr int kPostsAtOnce = 30;

struct Sent
{
  std::string mId;
  double mSentAt = 0;
};

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
  store.Put(
    "keyed.op",
    "config",
    ConfigText("00000007",
               { { "/invoices/", "unsafe", "billing", 1.2, 0.5, 0, 2 } },
               { "billing" }));
  std::vector<std::unique_ptr<Worker>> workers;
  for (std::size_t i = 0; i < kWorkers; ++i) {
    WorkerOptions options;
    options.mId = "i-billing" + std::to_string(i);
    options.mService = "billing";
    options.mAddress = { place->mPrefix + std::to_string(50 + i),
                         place->mPort + 5 };
    options.mZone = "zone-" + std::to_string(1 + i % kNodes);
    options.mBeatsByHand = i >= kWorkers - 6 && i < kWorkers - 3;
    options.mWorkSeconds = 0.13;
    workers.push_back(std::make_unique<Worker>(options, store, runs, record));
    if (!workers.back()->Start()) {
      return kCouldNotRun;
    }
  }
  std::vector<std::unique_ptr<Node>> nodes;
  for (int i = 1; i <= kNodes; ++i) {
    nodes.push_back(std::make_unique<Node>(*place,
                                           store,
                                           record,
                                           i,
                                           "zone-" + std::to_string(i),
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

  std::mutex mutex;
  std::vector<Sent> sent;
  auto send = [&](Node& aNode) {
    std::string id = NewRequestId();
    {
      std::lock_guard<std::mutex> lock(mutex);
      sent.push_back({ id, Seconds() });
    }
    SendOne(record, aNode, "PUT", "/invoices/1", id, 1200, "invoice=1");
  };
  for (int i = 0; i < 3; ++i) {
    send(*nodes[static_cast<std::size_t>(i)]);
  }
  Sleep(0.3);
  // The workers that leave, a quarter of all.
  std::vector<Worker*> leavingWorkers;
  std::set<std::string> leaving;
  for (std::size_t i = 0; i < kLeaving; ++i) {
    // Not one of those that the first posts went to: they go there again.
    leavingWorkers.push_back(workers[kWorkers - kLeaving - 3 + i].get());
    leaving.insert(leavingWorkers.back()->Options().mId);
  }
  // Their next heartbeats go out, and the store's answers are lost.
  std::vector<std::string> delayed;
  for (Worker* it : leavingWorkers) {
    delayed.push_back(it->NextEntry());
    record.Line("worker %s writes %s and gets no answer",
                it->Options().mId.c_str(),
                delayed.back().c_str());
  }
  double lostAt = Seconds();
  std::vector<std::thread> threads;
  // Each goes on with its heartbeats as usual.
  for (Worker* it : leavingWorkers) {
    threads.emplace_back([it, lostAt] {
      for (int n = 1; n <= 3; ++n) {
        Sleep(lostAt + n * kHeartbeat - Seconds());
        it->Heartbeat();
      }
    });
  }
  threads.emplace_back([&] {
    Sleep(lostAt + kWrittenLate - Seconds());
    for (std::size_t i = 0; i < leavingWorkers.size() && HasTrouble(); ++i) {
      record.Line("the store executes the delayed write of %s",
                  leavingWorkers[i]->Options().mId.c_str());
      store.Put("keyed.servers", leavingWorkers[i]->Options().mId, delayed[i]);
    }
  });
  Sleep(lostAt + kStable - Seconds());
  for (Worker* it : leavingWorkers) {
    it->Drain();
  }
  double drainedAt = Seconds();
  // Clients send a few posts, and then many at once.
  std::vector<std::thread> clients;
  for (int i = 1; i <= 3; ++i) {
    Sleep(drainedAt + 0.5 * i - Seconds());
    clients.emplace_back(send, std::ref(*nodes[clients.size() % nodes.size()]));
  }
  Sleep(drainedAt + kBurst - Seconds());
  for (int i = 0; i < kPostsAtOnce; ++i) {
    clients.emplace_back(send, std::ref(*nodes[clients.size() % nodes.size()]));
  }
  Sleep(drainedAt + kExit - Seconds());
  for (Worker* it : leavingWorkers) {
    it->Exit();
  }
  for (auto& it : threads) {
    it.join();
  }
  for (auto& it : clients) {
    it.join();
  }

  int late = 0;
  int cut = 0;
  for (const Sent& it : sent) {
    for (const Run& run : runs.Of(it.mId)) {
      bool isLeaving = leaving.count(run.mWorker) > 0;
      if (isLeaving && run.mArrivedAt > drainedAt + kDrain) {
        ++late;
        cut += run.mIsAnswered ? 0 : 1;
        record.Line("DRAIN: post %s reached %s %.3f s after the store had "
                    "accepted that it is "
                    "draining; it was sent %.3f s after that%s",
                    it.mId.c_str(),
                    run.mWorker.c_str(),
                    run.mArrivedAt - drainedAt,
                    it.mSentAt - drainedAt,
                    run.mIsAnswered ? ""
                                    : ", and was cut when the worker exited");
      }
    }
  }
  record.Line("%d requests reached a leaving worker later than drain_s, %d of "
              "these were cut",
              late,
              cut);
  printf(
    "requests at leaving workers later than drain_s: %d, cut: %d\n", late, cut);
  nodes.clear();
  fflush(stdout);
  _exit(late > 0 ? kBroken : kHeld);
}
