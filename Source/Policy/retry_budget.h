#ifndef HYSSOPBARROW_POLICY_RETRY_BUDGET_H_
#define HYSSOPBARROW_POLICY_RETRY_BUDGET_H_

#include <algorithm>

#include "Model/time.h"

namespace hyssopbarrow {

/// Token bucket that limits the retries of one gateway to a fraction of its
/// calls, so that retries cannot multiply the load of a failing fleet.
struct RetryBudget {
  static constexpr double kMaxTokens = 20;
  static constexpr double kTokensPerCall = 0.1;
  static constexpr double kTokensPerSecond = 1;

  double tokens = kMaxTokens;
  Instant last_refill;
};

/// Adds the tokens of a new call.
inline void CreditRetryBudget(RetryBudget& budget) {
  budget.tokens = std::min(RetryBudget::kMaxTokens,
                           budget.tokens + RetryBudget::kTokensPerCall);
}

/// Takes one token for a retry. Returns false if there is none.
inline bool AcquireRetryToken(RetryBudget& budget, Instant now) {
  const double seconds =
      std::chrono::duration<double>(now - budget.last_refill).count();
  budget.last_refill = now;
  budget.tokens =
      std::min(RetryBudget::kMaxTokens,
               budget.tokens + seconds * RetryBudget::kTokensPerSecond);
  if (budget.tokens < 1) return false;
  budget.tokens -= 1;
  return true;
}

}  // namespace hyssopbarrow

#endif  // HYSSOPBARROW_POLICY_RETRY_BUDGET_H_
