#include "Peer/codec.h"

#include <nlohmann/json.hpp>
#include <type_traits>
#include <utility>
#include <vector>

#include "Model/cbor.h"
#include "Model/text.h"

namespace hyssopbarrow {
namespace {

// Each message type has one Describe function, which lists its fields in wire
// order for both the encoder and the decoder. The order is part of the
// protocol. A type added to PeerMessage needs a Describe and a NameOf.

template <typename Archive>
void Describe(Archive& ar, CellId& value) {
  ar("pool", value.pool);
  ar("data_centre", value.data_centre);
}

template <typename Archive>
void Describe(Archive& ar, CallId& value) {
  ar("gateway", value.gateway);
  ar("incarnation", value.incarnation);
  ar("number", value.number);
}

template <typename Archive>
void Describe(Archive& ar, GrantId& value) {
  ar("dispatcher", value.dispatcher);
  ar("incarnation", value.incarnation);
  ar("number", value.number);
}

template <typename Archive>
void Describe(Archive& ar, HeldSlot& value) {
  ar("grant", value.grant);
  ar("call", value.call);
  ar("ask", value.attempt);
  ar("team", value.team);
  ar("queue", value.queue);
  ar("host", value.host);
  ar("remaining", value.remaining);
}

template <typename Archive>
void Describe(Archive& ar, Row& value) {
  ar("key", value.key);
  ar("value", value.value);
  ar("revision", value.revision);
}

template <typename Archive>
void Describe(Archive& ar, MemberEntry& value) {
  ar("name", value.name);
  ar("data_centre", value.data_centre);
  ar("address", value.address);
  ar("incarnation", value.incarnation);
  ar("config_revision", value.config_revision);
  ar("store_reachable", value.store_reachable);
  ar("stopping", value.stopping);
  ar("age", value.age);
}

template <typename Archive>
void Describe(Archive& ar, Heartbeat& message) {
  ar("data_centre", message.data_centre);
  ar("config_revision", message.config_revision);
  ar("store_reachable", message.store_reachable);
  ar("stopping", message.stopping);
  ar("confirmed_age", message.confirmed_age);
}

template <typename Archive>
void Describe(Archive& ar, SlotRequest& message) {
  ar("call", message.call);
  ar("ask", message.attempt);
  ar("cell", message.cell);
  ar("team", message.team);
  ar("queue", message.queue);
  ar("remaining", message.remaining);
  ar("excluded", message.excluded);
}

template <typename Archive>
void Describe(Archive& ar, SlotGrant& message) {
  ar("call", message.call);
  ar("ask", message.attempt);
  ar("cell", message.cell);
  ar("grant", message.grant);
  ar("host", message.host);
}

template <typename Archive>
void Describe(Archive& ar, SlotRefusal& message) {
  ar("call", message.call);
  ar("ask", message.attempt);
  ar("cell", message.cell);
  ar("reason", message.reason);
}

template <typename Archive>
void Describe(Archive& ar, SlotRelease& message) {
  ar("cell", message.cell);
  ar("grant", message.grant);
  ar("result", message.result);
}

template <typename Archive>
void Describe(Archive& ar, SlotCancel& message) {
  ar("call", message.call);
  ar("ask", message.attempt);
  ar("cell", message.cell);
}

template <typename Archive>
void Describe(Archive& ar, SnapshotRequest& message) {
  ar("known_revision", message.known_revision);
}

template <typename Archive>
void Describe(Archive& ar, SnapshotReply& message) {
  ar("rows", message.rows);
  ar("confirmed_age", message.confirmed_age);
}

template <typename Archive>
void Describe(Archive& ar, MemberReport& message) {
  ar("members", message.members);
}

template <typename Archive>
void Describe(Archive& ar, SlotSummary& message) {
  ar("cell", message.cell);
  ar("asks", message.attempts);
  ar("digest", message.digest);
}

template <typename Archive>
void Describe(Archive& ar, SlotInventoryRequest& message) {
  ar("cell", message.cell);
}

template <typename Archive>
void Describe(Archive& ar, SlotInventory& message) {
  ar("cell", message.cell);
  ar("held", message.held);
  ar("waiting", message.waiting);
}

template <typename Archive>
void Describe(Archive& ar, ShareDigest& message) {
  ar("scope", message.scope);
  ar("shard", message.shard);
  ar("names", message.names_digest);
  ar("teams", message.teams);
  ar("centislots", message.centislots);
  ar("pools", message.pools);
  ar("data_centres", message.data_centres);
  ar("free_slots", message.free_slots);
  ar("waiting", message.waiting);
}

const char* NameOf(const Heartbeat&) { return "heartbeat"; }
const char* NameOf(const SlotRequest&) { return "slot-request"; }
const char* NameOf(const SlotGrant&) { return "slot-grant"; }
const char* NameOf(const SlotRefusal&) { return "slot-refusal"; }
const char* NameOf(const SlotRelease&) { return "slot-release"; }
const char* NameOf(const SlotCancel&) { return "slot-cancel"; }
const char* NameOf(const SnapshotRequest&) { return "snapshot-request"; }
const char* NameOf(const SnapshotReply&) { return "snapshot-reply"; }
const char* NameOf(const MemberReport&) { return "member-report"; }
const char* NameOf(const SlotSummary&) { return "slot-summary"; }
const char* NameOf(const SlotInventoryRequest&) {
  return "slot-inventory-request";
}
const char* NameOf(const SlotInventory&) { return "slot-inventory"; }
const char* NameOf(const ShareDigest&) { return "share-digest"; }

bool IsValid(Reason reason) {
  return reason == Reason::kNone || ToString(reason) != ToString(Reason::kNone);
}

bool IsValid(SlotResult result) {
  return result >= SlotResult::kUnused && result <= SlotResult::kAbandoned;
}

bool IsValid(DigestScope scope) {
  return scope >= DigestScope::kHost && scope <= DigestScope::kFleet;
}

/// Encodes the fields listed by a Describe function as an array.
class Writer {
 public:
  template <typename T>
  void operator()(const char*, T& value) {
    out_.push_back(ToValue(value));
  }

  nlohmann::json ExtractArray() { return std::move(out_); }

 private:
  template <typename T>
  static nlohmann::json ToValue(T& value) {
    if constexpr (std::is_enum_v<T>) {
      return static_cast<int>(value);
    } else if constexpr (std::is_same_v<T, Duration>) {
      return value.count();
    } else if constexpr (!std::is_class_v<T> ||
                         std::is_same_v<T, std::string> ||
                         std::is_same_v<T, nlohmann::json>) {
      return value;
    } else {
      Writer nested;
      Describe(nested, value);
      return nested.ExtractArray();
    }
  }

  template <typename T>
  static nlohmann::json ToValue(std::vector<T>& values) {
    nlohmann::json list = nlohmann::json::array();
    for (T& value : values) list.push_back(ToValue(value));
    return list;
  }

  nlohmann::json out_ = nlohmann::json::array();
};

/// Leaves room to add it to the clock.
constexpr Duration kMaxDuration = std::chrono::hours(24 * 365 * 100);

/// Decodes the fields listed by a Describe function from an array, starting at
/// index `first`. Keeps the first error; later fields are then skipped.
class Reader {
 public:
  Reader(const nlohmann::json& array, std::size_t first, std::string where)
      : array_(array), next_index_(first), path_(std::move(where)) {}

  template <typename T>
  void operator()(const char* field, T& value) {
    if (!status_.ok()) return;
    if (next_index_ >= array_.size()) return Fail(field, "is missing");
    ReadValue(field, array_[next_index_++], value);
  }

  absl::Status Finish() {
    if (status_.ok() && next_index_ != array_.size()) {
      Fail("end", "is followed by extra fields");
    }
    return status_;
  }

 private:
  void Fail(std::string_view field, std::string_view what) {
    status_ = absl::InvalidArgumentError(
        StrCat(path_, ": field '", field, "' ", what));
  }

  void ReadValue(const char* field, const nlohmann::json& in,
                 std::string& out) {
    if (!in.is_string()) return Fail(field, "must be a string");
    out = in.get<std::string>();
  }

  void ReadValue(const char* field, const nlohmann::json& in, bool& out) {
    if (!in.is_boolean()) return Fail(field, "must be true or false");
    out = in.get<bool>();
  }

  void ReadValue(const char* field, const nlohmann::json& in,
                 std::int64_t& out) {
    if (!in.is_number_integer()) return Fail(field, "must be an integer");
    const bool too_large =
        in.is_number_unsigned() && in.get<std::uint64_t>() > INT64_MAX;
    if (too_large) return Fail(field, "must be a signed 64-bit integer");
    out = in.get<std::int64_t>();
  }

  void ReadValue(const char* field, const nlohmann::json& in, double& out) {
    if (!in.is_number()) return Fail(field, "must be a number");
    out = in.get<double>();
  }

  void ReadValue(const char*, const nlohmann::json& in, nlohmann::json& out) {
    out = in;
  }

  void ReadValue(const char* field, const nlohmann::json& in, Duration& out) {
    std::int64_t n = 0;
    ReadValue(field, in, n);
    if (n < -kMaxDuration.count() || n > kMaxDuration.count()) {
      return Fail(field, "is out of range");
    }
    out = Duration(n);
  }

  template <typename T>
  void ReadValue(const char* field, const nlohmann::json& in,
                 std::vector<T>& out) {
    if (!in.is_array()) return Fail(field, "must be a list");
    out.resize(in.size());
    for (std::size_t n = 0; n < in.size(); ++n) {
      if (!status_.ok()) return;
      ReadValue(field, in[n], out[n]);
    }
  }

  template <typename T>
  void ReadValue(const char* field, const nlohmann::json& in, T& out) {
    if constexpr (std::is_enum_v<T>) {
      std::int64_t n = -1;
      ReadValue(field, in, n);
      out = static_cast<T>(n);
      if (status_.ok() && (n < 0 || !IsValid(out))) {
        Fail(field, "is out of range");
      }
    } else {
      if (!in.is_array()) return Fail(field, "must be a list of fields");
      Reader nested(in, 0, StrCat(path_, ".", field));
      Describe(nested, out);
      status_ = nested.Finish();
    }
  }

  const nlohmann::json& array_;
  std::size_t next_index_;
  std::string path_;
  absl::Status status_;
};

template <std::size_t kIndex>
absl::StatusOr<PeerMessage> DecodeAs(const nlohmann::json& array) {
  std::variant_alternative_t<kIndex, PeerMessage> message;
  Reader reader(array, 1, NameOf(message));
  Describe(reader, message);
  if (absl::Status s = reader.Finish(); !s.ok()) return s;
  return PeerMessage(std::move(message));
}

template <std::size_t... kIndices>
absl::StatusOr<PeerMessage> DecodeKind(const nlohmann::json& array,
                                       std::uint64_t kind,
                                       std::index_sequence<kIndices...>) {
  using Decoder = absl::StatusOr<PeerMessage> (*)(const nlohmann::json&);
  constexpr Decoder kDecoders[] = {&DecodeAs<kIndices>...};
  return kDecoders[kind](array);
}

}  // namespace

std::string EncodeMessage(const PeerMessage& message) {
  nlohmann::json array = nlohmann::json::array({message.index()});
  PeerMessage copy = message;
  std::visit(
      [&array](auto& alternative) {
        Writer writer;
        Describe(writer, alternative);
        for (nlohmann::json& field : writer.ExtractArray()) {
          array.push_back(std::move(field));
        }
      },
      copy);
  std::string bytes;
  nlohmann::json::to_cbor(array, bytes);
  return bytes;
}

absl::StatusOr<PeerMessage> DecodeMessage(std::string_view bytes) {
  constexpr std::size_t kKinds = std::variant_size_v<PeerMessage>;
  const nlohmann::json array = ParseCbor(bytes);
  if (!array.is_array() || array.empty() || !array[0].is_number_unsigned()) {
    return absl::InvalidArgumentError(
        "message: expected a CBOR array that starts with field 'kind'");
  }
  const auto kind = array[0].get<std::uint64_t>();
  if (kind >= kKinds) {
    return absl::InvalidArgumentError(
        StrCat("message: unknown value of field 'kind': ", kind));
  }
  return DecodeKind(array, kind, std::make_index_sequence<kKinds>());
}

}  // namespace hyssopbarrow
