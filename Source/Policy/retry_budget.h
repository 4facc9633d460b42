#ifndef HYSSOPBARROW_POLICY_RETRY_BUDGET_H_
#define HYSSOPBARROW_POLICY_RETRY_BUDGET_H_

#include <algorithm>

#include "Model/time.h"

namespace hyssopbarrow {

/// Bounds the retries of one gateway to a part of its calls, so that retries
/// cannot multiply the load of a fleet that fails.
struct RetryBudget {
  static constexpr double kMaxTokens = 20;
  static constexpr double kTokensPerCall = 0.1;
  static constexpr double kTokensPerSecond = 1;

  double tokens = kMaxTokens;
  Instant last_refill;
};

/// Credits a new call.
inline void CreditRetryBudget(RetryBudget& budget) {
  budget.tokens = std::min(RetryBudget::kMaxTokens,
                           budget.tokens + RetryBudget::kTokensPerCall);
}

/// Takes the price of one retry. False when the budget is spent.
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
