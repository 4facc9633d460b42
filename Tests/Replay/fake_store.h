#ifndef HYSSOPBARROW_TESTS_REPLAY_FAKE_STORE_H_
#define HYSSOPBARROW_TESTS_REPLAY_FAKE_STORE_H_

#include <cstdint>
#include <functional>
#include <random>
#include <string>

#include "Policy/effects.h"
#include "Replay/network.h"
#include "Standalone/table.h"

namespace hyssopbarrow {

/// How the store handles requests.
enum class StoreMode {
  kUp,
  kDown,    ///< Refuses connections.
  kSilent,  ///< Accepts requests, writes nothing and never answers.
  kSlow,    ///< Answers after up to three seconds.
  kLossy,   ///< Loses a third of the replies, at random, after the
            ///< request took effect.
};

/// Fake of the platform's store: a table with simulated latency and faults.
class FakeStore {
 public:
  using Reply = std::function<void(const StoreReply&)>;

  FakeStore(Schedule& schedule, std::mt19937_64& random)
      : schedule_(schedule), random_(random) {}

  void SetMode(StoreMode mode) { mode_ = mode; }
  /// Whether requests are answered without added delay, though replies may be
  /// lost.
  bool AnswersPromptly() const {
    return mode_ == StoreMode::kUp || mode_ == StoreMode::kLossy;
  }

  /// Serves `request`, whose deadline is in virtual time, and replies once.
  /// `reachable` returns whether the sender can reach the store at that time.
  void Serve(const StoreRequest& request,
             const std::function<bool()>& reachable, const Reply& reply);

  Table& table() { return table_; }
  std::int64_t reads() const { return reads_; }
  std::int64_t writes() const { return writes_; }

  /// Called after each commit of the table.
  std::function<void(const Transaction&)> on_commit;

 private:
  Duration Latency();
  StoreReply Execute(const StoreRequest& request);

  Schedule& schedule_;
  std::mt19937_64& random_;
  Table table_;
  StoreMode mode_ = StoreMode::kUp;
  std::int64_t reads_ = 0;
  std::int64_t writes_ = 0;
};

}  // namespace hyssopbarrow

#endif  // HYSSOPBARROW_TESTS_REPLAY_FAKE_STORE_H_
