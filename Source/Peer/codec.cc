#include "Peer/codec.h"

#include <nlohmann/json.hpp>
#include <type_traits>
#include <utility>
#include <vector>

#include "Model/text.h"

namespace hyssopbarrow {
namespace {

// One Describe function for each message lists its fields; it serves both
// directions. A message that is added to PeerMessage needs one, and one NameOf.

template <typename Archive>
void Describe(Archive& ar, CellId& it) {
  ar("pool", it.pool);
  ar("data_centre", it.data_centre);
}

template <typename Archive>
void Describe(Archive& ar, CallId& it) {
  ar("gateway", it.gateway);
  ar("incarnation", it.incarnation);
  ar("number", it.number);
}

template <typename Archive>
void Describe(Archive& ar, GrantId& it) {
  ar("dispatcher", it.dispatcher);
  ar("incarnation", it.incarnation);
  ar("number", it.number);
}

template <typename Archive>
void Describe(Archive& ar, HeldSlot& it) {
  ar("grant", it.grant);
  ar("call", it.call);
  ar("ask", it.attempt);
  ar("team", it.team);
  ar("queue", it.queue);
  ar("host", it.host);
  ar("remaining", it.remaining);
}

template <typename Archive>
void Describe(Archive& ar, Row& it) {
  ar("key", it.key);
  ar("value", it.value);
  ar("revision", it.revision);
}

template <typename Archive>
void Describe(Archive& ar, MemberEntry& it) {
  ar("name", it.name);
  ar("data_centre", it.data_centre);
  ar("address", it.address);
  ar("incarnation", it.incarnation);
  ar("config_revision", it.config_revision);
  ar("store_reachable", it.store_reachable);
  ar("stopping", it.stopping);
  ar("age", it.age);
}

template <typename Archive>
void Describe(Archive& ar, Heartbeat& it) {
  ar("data_centre", it.data_centre);
  ar("config_revision", it.config_revision);
  ar("store_reachable", it.store_reachable);
  ar("stopping", it.stopping);
  ar("confirmed_age", it.confirmed_age);
}

template <typename Archive>
void Describe(Archive& ar, SlotRequest& it) {
  ar("call", it.call);
  ar("ask", it.attempt);
  ar("cell", it.cell);
  ar("team", it.team);
  ar("queue", it.queue);
  ar("remaining", it.remaining);
  ar("excluded", it.excluded);
}

template <typename Archive>
void Describe(Archive& ar, SlotGrant& it) {
  ar("call", it.call);
  ar("ask", it.attempt);
  ar("cell", it.cell);
  ar("grant", it.grant);
  ar("host", it.host);
}

template <typename Archive>
void Describe(Archive& ar, SlotRefusal& it) {
  ar("call", it.call);
  ar("ask", it.attempt);
  ar("cell", it.cell);
  ar("reason", it.reason);
}

template <typename Archive>
void Describe(Archive& ar, SlotRelease& it) {
  ar("cell", it.cell);
  ar("grant", it.grant);
  ar("result", it.result);
}

template <typename Archive>
void Describe(Archive& ar, SlotCancel& it) {
  ar("call", it.call);
  ar("ask", it.attempt);
  ar("cell", it.cell);
}

template <typename Archive>
void Describe(Archive& ar, SnapshotRequest& it) {
  ar("known_revision", it.known_revision);
}

template <typename Archive>
void Describe(Archive& ar, SnapshotReply& it) {
  ar("rows", it.rows);
  ar("confirmed_age", it.confirmed_age);
}

template <typename Archive>
void Describe(Archive& ar, MemberReport& it) {
  ar("members", it.members);
}

template <typename Archive>
void Describe(Archive& ar, SlotSummary& it) {
  ar("cell", it.cell);
  ar("asks", it.attempts);
  ar("digest", it.digest);
}

template <typename Archive>
void Describe(Archive& ar, SlotInventoryRequest& it) {
  ar("cell", it.cell);
}

template <typename Archive>
void Describe(Archive& ar, SlotInventory& it) {
  ar("cell", it.cell);
  ar("held", it.held);
  ar("waiting", it.waiting);
}

template <typename Archive>
void Describe(Archive& ar, ShareDigest& it) {
  ar("scope", it.scope);
  ar("shard", it.shard);
  ar("names", it.names_digest);
  ar("teams", it.teams);
  ar("centislots", it.centislots);
  ar("pools", it.pools);
  ar("data_centres", it.data_centres);
  ar("free_slots", it.free_slots);
  ar("waiting", it.waiting);
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

/// Appends fields to a CBOR array.
class Writer {
 public:
  template <typename T>
  void operator()(const char*, T& value) {
    out_.push_back(ToValue(value));
  }

  nlohmann::json Take() { return std::move(out_); }

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
      return nested.Take();
    }
  }

  template <typename T>
  static nlohmann::json ToValue(std::vector<T>& values) {
    nlohmann::json list = nlohmann::json::array();
    for (T& it : values) list.push_back(ToValue(it));
    return list;
  }

  nlohmann::json out_ = nlohmann::json::array();
};

/// Takes fields from a CBOR array and remembers the first error.
class Reader {
 public:
  Reader(const nlohmann::json& array, std::size_t first, std::string where)
      : array_(array), next_(first), where_(std::move(where)) {}

  template <typename T>
  void operator()(const char* field, T& value) {
    if (!status_.ok()) return;
    if (next_ >= array_.size()) return Fail(field, "is missing");
    ReadValue(field, array_[next_++], value);
  }

  absl::Status Finish() {
    if (status_.ok() && next_ != array_.size()) Fail("end", "has fields left");
    return status_;
  }

 private:
  void Fail(std::string_view field, std::string_view what) {
    status_ = absl::InvalidArgumentError(
        StrCat(where_, ": field '", field, "' ", what));
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
    if (too_large) return Fail(field, "must be an integer of 64 bits");
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
      Reader nested(in, 0, StrCat(where_, ".", field));
      Describe(nested, out);
      status_ = nested.Finish();
    }
  }

  const nlohmann::json& array_;
  std::size_t next_;
  std::string where_;
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

/// The library throws on absurd lengths even where it is told not to.
nlohmann::json ParseCbor(std::string_view bytes) {
  try {
    return nlohmann::json::from_cbor(bytes, true, false);
  } catch (const nlohmann::json::exception&) {
    return nullptr;
  }
}

}  // namespace

std::string EncodeMessage(const PeerMessage& message) {
  nlohmann::json array = nlohmann::json::array({message.index()});
  PeerMessage copy = message;
  std::visit(
      [&array](auto& it) {
        Writer writer;
        Describe(writer, it);
        for (nlohmann::json& field : writer.Take()) {
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
        "message: field 'kind' must come first in a CBOR array");
  }
  const auto kind = array[0].get<std::uint64_t>();
  if (kind >= kKinds) {
    return absl::InvalidArgumentError(
        StrCat("message: field 'kind' is not known: ", kind));
  }
  return DecodeKind(array, kind, std::make_index_sequence<kKinds>());
}

}  // namespace hyssopbarrow
