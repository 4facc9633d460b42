#ifndef HYSSOPBARROW_MODEL_FIELDS_H_
#define HYSSOPBARROW_MODEL_FIELDS_H_

#include <cstdint>
#include <initializer_list>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/status.h"

namespace hyssopbarrow {

/// Reads the fields of one object and keeps the first error.
class Fields {
 public:
  /// `at` is put before the names of fields in errors.
  Fields(const nlohmann::json& object, std::string at);

  /// The value of a field, or `fallback` if it is absent.
  std::int64_t Integer(const char* name, std::int64_t fallback = 0);
  double Number(const char* name, double fallback);
  bool Flag(const char* name);
  std::string Text(const char* name, bool required = false);

  /// A list; empty if it is absent.
  const nlohmann::json& List(const char* name, bool required = false);
  std::vector<std::string> Texts(const char* name);
  std::vector<std::int64_t> Integers(const char* name);

  /// Null if the field is absent.
  const nlohmann::json* Find(const char* name) const;

  /// Fails if the object has a field that is not in `known`.
  void RejectUnknown(std::initializer_list<std::string_view> known);

  /// Notes that a field is not what was expected.
  void Fail(const char* name, std::string_view expected);
  void UpdateStatus(const absl::Status& status) { status_.Update(status); }

  /// Errors: kInvalidArgument naming the first field that failed.
  const absl::Status& status() const { return status_; }

 private:
  const nlohmann::json& object_;
  std::string path_;
  absl::Status status_;
};

}  // namespace hyssopbarrow

#endif  // HYSSOPBARROW_MODEL_FIELDS_H_
