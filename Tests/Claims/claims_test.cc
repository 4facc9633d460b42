#include "Policy/claims.h"

#include <catch2/catch.hpp>
#include <utility>
#include <variant>

#include "Model/text.h"
#include "Standalone/table.h"

namespace hyssopbarrow {
namespace {

/// Claims of one host whose store requests a test sends and answers.
struct ClaimingHost {
  void Begin(std::int64_t call, const std::string& key) {
    const auto result = BeginClaim(state, {.call = call,
                                           .team = "lukla",
                                           .queue = "book",
                                           .idempotency_key = key,
                                           .nonce = StrCat(name, "-1-", call)});
    if (result.has_value()) results.push_back(*result);
  }

  std::vector<StoreRequest> Flush() {
    Outbox out;
    now += std::chrono::seconds(2);
    FlushClaims(state, next_request_id, now, out);
    return std::move(out.store_requests);
  }

  void Reply(const StoreRequest& request, const StoreReply& reply) {
    REQUIRE(HandleClaimReply(state, request.id, reply, now, results));
  }

  /// Answers store requests from the table until there are none. Returns their
  /// number.
  int Settle() {
    int request_count = 0;
    for (auto requests = Flush(); !requests.empty(); requests = Flush()) {
      for (const StoreRequest& request : requests) {
        ++request_count;
        const auto* read = std::get_if<StoreRead>(&request.operation);
        Reply(request,
              read == nullptr
                  ? table.Commit(std::get<Transaction>(request.operation))
                  : StoreReply{.status = StoreStatus::kOk,
                               .rows = table.Read(read->prefix)});
      }
    }
    Flush();
    return request_count;
  }

  std::string name;
  Table& table;
  ClaimsState state{};
  std::vector<ClaimResult> results{};
  std::int64_t next_request_id = 1;
  Instant now{};
};

const StoreReply kLostReply{.status = StoreStatus::kUnknown};

TEST_CASE("A batch with a conflict is split and the rest is claimed") {
  Table table;
  ClaimingHost first{.name = "a", .table = table};
  ClaimingHost second{.name = "b", .table = table};
  first.Begin(1, "refund");
  first.Settle();
  for (int n : {1, 2, 3}) second.Begin(n, n == 2 ? "refund" : StrCat(n));
  CHECK(second.Settle() == 2);
  REQUIRE(second.results.size() == 3);
  CHECK(second.results[0].reason == Reason::kDuplicate);
  CHECK(second.results[0].outcome == Outcome::kUnknown);
  CHECK(second.results[1].granted);
  CHECK(second.results[2].granted);
}

TEST_CASE("A claim whose replies are lost is read back until one arrives") {
  Table table;
  ClaimingHost holder{.name = "a", .table = table};
  holder.Begin(1, "refund");
  const StoreRequest write = holder.Flush().at(0);
  table.Commit(std::get<Transaction>(write.operation));
  holder.Reply(write, kLostReply);
  for (int lost = 0; lost < 3; ++lost) {
    holder.Reply(holder.Flush().at(0), kLostReply);
  }
  CHECK(holder.results.empty());
  holder.Settle();
  REQUIRE(holder.results.size() == 1);
  CHECK(holder.results[0].granted);
}

TEST_CASE("A claim that arrives after its release has no effect") {
  Table table;
  ClaimingHost first{.name = "a", .table = table};
  ClaimingHost second{.name = "b", .table = table};
  first.Begin(1, "refund");
  const StoreRequest late = first.Flush().at(0);
  first.Reply(late, kLostReply);
  EndClaim(first.state, 1, ClaimRowState::kReleased, std::nullopt);
  first.Settle();
  CHECK(AreClaimsSettled(first.state));
  second.Begin(1, "refund");
  second.Settle();
  REQUIRE(second.results.size() == 1);
  CHECK(second.results[0].granted);
  const StoreReply reply = table.Commit(std::get<Transaction>(late.operation));
  CHECK(reply.status == StoreStatus::kConflict);
  CHECK(first.results.empty());
}

TEST_CASE("A release whose reply was lost does not undo the next claim") {
  Table table;
  ClaimingHost first{.name = "a", .table = table};
  ClaimingHost second{.name = "b", .table = table};
  first.Begin(1, "refund");
  first.Settle();
  EndClaim(first.state, 1, ClaimRowState::kReleased, std::nullopt);
  const StoreRequest release = first.Flush().at(0);
  table.Commit(std::get<Transaction>(release.operation));
  second.Begin(1, "refund");
  second.Settle();
  CHECK(second.results.at(0).granted);
  first.Reply(release, kLostReply);
  first.Settle();
  CHECK(first.state.claims.empty());
  ClaimingHost third{.name = "c", .table = table};
  third.Begin(1, "refund");
  third.Settle();
  CHECK(third.results.at(0).reason == Reason::kDuplicate);
}

TEST_CASE("A claim of an outdated retention period is not committed") {
  Table table;
  ClaimingHost paused{.name = "a", .table = table};
  paused.Begin(1, "refund");
  const StoreRequest late = paused.Flush().at(0);
  table.Commit({.conditions = {},
                .writes = {{std::string(kClaimPeriodKey), {{"number", 30}}}}});
  paused.Reply(late, table.Commit(std::get<Transaction>(late.operation)));
  CHECK(paused.results.empty());
  paused.Settle();
  CHECK(paused.results.at(0).granted);
  const std::vector<Row> rows = table.Read(kClaimPrefix);
  REQUIRE(rows.size() == 1);
  CHECK(ParseClaimRow(rows[0].value).period == 30);
}

TEST_CASE("Only rows past their retention are deleted") {
  const auto row = [](ClaimRowState state, std::int64_t period) {
    return ToJson(ClaimRow{.state = state, .nonce = "a-1-1", .period = period});
  };
  const StoreReply shard{
      .status = StoreStatus::kOk,
      .rows = {{"claims/1", row(ClaimRowState::kAnswered, 175), 11},
               {"claims/2", row(ClaimRowState::kAnswered, 176), 12},
               {"claims/3", row(ClaimRowState::kClaimed, 175), 13},
               {"claims/4", row(ClaimRowState::kClaimed, 7), 14}}};
  ClaimRetention state;
  ApplyPeriodRow(state, {std::string(kClaimPeriodKey), {{"number", 200}}, 5},
                 {});
  Outbox out;
  std::int64_t next_request_id = 1;
  const Instant now{std::chrono::seconds(1)};
  TickRetention(state, true, next_request_id, now, out);
  HandleRetentionReply(state, state.pending_sweep_request, shard,
                       next_request_id, now, out);
  const auto& sent = std::get<Transaction>(out.store_requests.back().operation);
  CHECK(sent.conditions ==
        std::vector<RowCondition>{{"claims/1", 11}, {"claims/4", 14}});
}

TEST_CASE("A retention period lasts for one hour on a host's clock") {
  ClaimRetention state;
  std::int64_t next_request_id = 1;
  ApplyPeriodRow(state, {std::string(kClaimPeriodKey), {{"number", 7}}, 5}, {});
  const auto increments_at = [&](Duration age) {
    Outbox out;
    state.next_period_read = Instant(age) + std::chrono::seconds(1);
    TickRetention(state, false, next_request_id, Instant(age), out);
    return !out.store_requests.empty();
  };
  CHECK_FALSE(increments_at(std::chrono::minutes(59)));
  CHECK(increments_at(std::chrono::minutes(60)));
}

}  // namespace
}  // namespace hyssopbarrow
