#include "quetzalhinge/routing/route.h"

#include <algorithm>

namespace qh::routing {
namespace {

constexpr std::size_t kMaxSegments = 8;
constexpr std::size_t kMaxSegmentLength = 32;
constexpr std::size_t kMaxMethodLength = 16;
/** A "v" and at most two digits. */
constexpr std::size_t kMaxVersionLength = 3;

bool IsDigit(char c) noexcept { return c >= '0' && c <= '9'; }

bool IsVersion(std::string_view segment) noexcept {
  return segment.size() >= 2 && segment.size() <= kMaxVersionLength && segment.front() == 'v' &&
         std::all_of(segment.begin() + 1, segment.end(), IsDigit);
}

bool LooksLikeIdentifier(std::string_view segment) noexcept {
  return segment.size() > kMaxSegmentLength ||
         (std::any_of(segment.begin(), segment.end(), IsDigit) && !IsVersion(segment));
}

}  // namespace

std::string PathTemplate(std::string_view path) {
  path = path.substr(0, path.find('?'));
  std::string result;
  for (std::size_t segments = 0; !path.empty(); ++segments) {
    if (path.front() == '/') {
      path.remove_prefix(1);
      result += '/';
    }
    const std::string_view segment = path.substr(0, path.find('/'));
    if (segments == kMaxSegments) {
      return result + "*";
    }
    result += LooksLikeIdentifier(segment) ? std::string_view("*") : segment;
    path.remove_prefix(segment.size());
  }
  return result;
}

Route RouteOf(std::string_view service, std::string_view method, std::string_view path) {
  return Route{std::string(service), std::string(method.substr(0, kMaxMethodLength)),
               PathTemplate(path)};
}

}  // namespace qh::routing
