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

/// Reads typed fields of a JSON object and keeps the first error.
///
/// A field that is absent or null has its default value. One with the wrong
/// type, or a required one that is absent, sets the error. The object must
/// outlive this reader.
class Fields {
 public:
  /// `path` locates the object; errors prefix field names with it.
  Fields(const nlohmann::json& object, std::string path);

  /// Returns the value of a field, or `fallback` if it is absent. A number such
  /// as 600.0 is an integer, too.
  std::int64_t Integer(const char* name, std::int64_t fallback = 0);
  /// An integer from `low` to `high`.
  std::int64_t Bounded(const char* name, std::int64_t low, std::int64_t high,
                       std::int64_t fallback = 0);
  /// A finite number.
  double Number(const char* name, double fallback);
  /// Returns a boolean field, or false if it is absent.
  bool Flag(const char* name);
  /// Returns a string field, or an empty string if it is absent.
  std::string Text(const char* name, bool required = false);

  /// Returns a list field, or an empty list if it is absent.
  const nlohmann::json& List(const char* name, bool required = false);
  std::vector<std::string> Texts(const char* name);
  std::vector<std::int64_t> Integers(const char* name);

  /// Returns the value of a field; null if it is absent or JSON null.
  const nlohmann::json* Find(const char* name) const;

  /// Fails if the object has a field that is not in `known`.
  void RejectUnknown(std::initializer_list<std::string_view> known);

  /// Sets the error "field NAME must be EXPECTED", unless one is set.
  void Fail(const char* name, std::string_view expected);
  /// Sets the error to `status`, unless one is set.
  void UpdateStatus(const absl::Status& status) { status_.Update(status); }

  /// Errors: kInvalidArgument naming the first invalid field.
  const absl::Status& status() const { return status_; }

 private:
  const nlohmann::json& object_;
  std::string path_;
  absl::Status status_;
};

}  // namespace hyssopbarrow

#endif  // HYSSOPBARROW_MODEL_FIELDS_H_
