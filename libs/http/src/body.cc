#include "quetzalhinge/http/body.h"

#include <algorithm>
#include <cstdlib>
#include <cstring>
#include <new>
#include <utility>

namespace qh::http {
namespace {

/** A body grows by this fraction of its size at least, to limit the number of reallocations. */
constexpr std::size_t kGrowthDivisor = 8;

}  // namespace

struct Body::Content {
  char* bytes = nullptr;
  std::size_t size = 0;
  std::size_t capacity = 0;
  std::shared_ptr<const void> kept;

  Content() = default;
  ~Content() { std::free(bytes); }
  Content(const Content&) = delete;
  Content& operator=(const Content&) = delete;

  void SetCapacity(std::size_t new_capacity) {
    // realloc() moves the pages of large blocks instead of copying them, so that a growing body
    // does not take its memory twice.
    char* const moved = static_cast<char*>(std::realloc(bytes, new_capacity));
    if (moved == nullptr) {
      throw std::bad_alloc();
    }
    bytes = moved;
    capacity = new_capacity;
  }
};

Body::Body(std::string_view bytes) {
  if (!bytes.empty()) {
    Append(bytes);
  }
}

Body::Body(const std::string& bytes) : Body(std::string_view{bytes}) {}
Body::Body(const char* bytes) : Body(std::string_view{bytes}) {}

std::string_view Body::Bytes() const noexcept {
  return m_content == nullptr ? std::string_view()
                              : std::string_view(m_content->bytes, m_content->size);
}

std::size_t Body::capacity() const noexcept {
  return m_content == nullptr ? 0 : m_content->capacity;
}

std::size_t Body::CapacityFor(std::size_t bytes) const noexcept {
  if (bytes <= capacity()) {
    return capacity();
  }
  return std::max(bytes, std::min(capacity() + capacity() / kGrowthDivisor, m_max_size));
}

void Body::Append(std::string_view bytes) {
  if (bytes.empty()) {
    return;
  }
  Content& content = OwnContent();
  if (content.size + bytes.size() > content.capacity) {
    content.SetCapacity(CapacityFor(content.size + bytes.size()));
  }
  std::memcpy(content.bytes + content.size, bytes.data(), bytes.size());
  content.size += bytes.size();
}

bool Body::HasKept() const noexcept { return m_content != nullptr && m_content->kept != nullptr; }

void Body::Keep(std::shared_ptr<const void> object) { OwnContent().kept = std::move(object); }

Body::Content& Body::OwnContent() {
  if (m_content == nullptr) {
    m_content = std::make_shared<Content>();
  }
  return *m_content;
}

}  // namespace qh::http
