#include "Policy/claim_row.h"

#include <array>
#include <utility>

#include "Model/json.h"
#include "Model/snapshot.h"
#include "Model/text.h"
#include "absl/strings/escaping.h"

namespace hyssopbarrow {
namespace {

constexpr std::array<std::pair<ClaimRowState, std::string_view>, 4>
    kClaimRowStateNames = {{
        {ClaimRowState::kClaimed, "claimed"},
        {ClaimRowState::kReleased, "released"},
        {ClaimRowState::kAnswered, "answered"},
        {ClaimRowState::kUnknown, "unknown"},
    }};

std::string_view NameOf(ClaimRowState state) {
  for (const auto& [named_state, name] : kClaimRowStateNames) {
    if (named_state == state) return name;
  }
  return "unknown";
}

ClaimRowState StateOf(std::string_view text) {
  for (const auto& [named_state, name] : kClaimRowStateNames) {
    if (name == text) return named_state;
  }
  return ClaimRowState::kUnknown;
}

std::string EncodeBase64(std::string_view bytes) {
  return absl::Base64Escape({bytes.data(), bytes.size()});
}

std::optional<RecordedAnswer> ParseAnswer(const nlohmann::json& json) {
  RecordedAnswer answer;
  answer.status = static_cast<int>(IntegerOrZero(json, "status"));
  const bool decoded =
      absl::Base64Unescape(TextOrEmpty(json, "type"), &answer.content_type) &&
      absl::Base64Unescape(TextOrEmpty(json, "body"), &answer.body);
  if (!decoded || answer.status == 0) return std::nullopt;
  return answer;
}

}  // namespace

std::string ClaimRowKey(std::string_view team, std::string_view queue,
                        std::string_view idempotency_key) {
  const std::string scope =
      team.empty() ? StrCat("queue ", queue) : StrCat("team ", team);
  return StrCat(kClaimPrefix, Sha256Hex(StrCat(scope, "\n", idempotency_key)));
}

nlohmann::json ToJson(const ClaimRow& row) {
  nlohmann::json json = {{"state", NameOf(row.state)},
                         {"nonce", row.nonce},
                         {"period", row.period}};
  if (row.answer.has_value()) {
    json["answer"] = {{"status", row.answer->status},
                      {"type", EncodeBase64(row.answer->content_type)},
                      {"body", EncodeBase64(row.answer->body)}};
  }
  return json;
}

ClaimRow ParseClaimRow(const nlohmann::json& value) {
  ClaimRow row;
  if (!value.is_object()) return row;
  row.state = StateOf(TextOrEmpty(value, "state"));
  row.nonce = TextOrEmpty(value, "nonce");
  row.period = IntegerOrZero(value, "period");
  if (value.contains("answer")) row.answer = ParseAnswer(value["answer"]);
  return row;
}

}  // namespace hyssopbarrow
