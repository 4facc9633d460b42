#include "Policy/claim_row.h"

#include <array>
#include <utility>

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

std::string StringField(const nlohmann::json& json, const char* field) {
  auto it = json.find(field);
  const bool found = it != json.end() && it->is_string();
  return found ? it->get<std::string>() : std::string();
}

std::int64_t IntegerField(const nlohmann::json& json, const char* field) {
  auto it = json.find(field);
  const bool found = it != json.end() && it->is_number_integer();
  return found ? it->get<std::int64_t>() : 0;
}

std::optional<RecordedAnswer> ParseAnswer(const nlohmann::json& json) {
  RecordedAnswer answer;
  answer.status = static_cast<int>(IntegerField(json, "status"));
  const bool decoded =
      absl::Base64Unescape(StringField(json, "type"), &answer.content_type) &&
      absl::Base64Unescape(StringField(json, "body"), &answer.body);
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
  row.state = StateOf(StringField(value, "state"));
  row.nonce = StringField(value, "nonce");
  row.period = IntegerField(value, "period");
  if (value.contains("answer")) row.answer = ParseAnswer(value["answer"]);
  return row;
}

}  // namespace hyssopbarrow
