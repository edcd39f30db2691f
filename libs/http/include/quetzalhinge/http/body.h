#pragma once

#include <cstddef>
#include <limits>
#include <memory>
#include <string>
#include <string_view>

namespace qh::http {

/**
 * The body of a message. Copies share the bytes, so that a message takes the same memory however
 * many steps of a request hold it.
 */
class Body {
 public:
  Body() noexcept = default;

  // Implicit, so that a message can be written as a list of its parts.
  Body(std::string_view bytes);    // NOLINT(google-explicit-constructor)
  Body(const std::string& bytes);  // NOLINT(google-explicit-constructor)
  Body(const char* bytes);         // NOLINT(google-explicit-constructor)

  std::string_view Bytes() const noexcept;
  operator std::string_view() const noexcept { return Bytes(); }  // NOLINT

  std::size_t size() const noexcept { return Bytes().size(); }
  bool empty() const noexcept { return Bytes().empty(); }

  /** Returns the number of bytes that are allocated. */
  std::size_t capacity() const noexcept;

  /** Returns the capacity() that the body will have once it is `bytes` long. */
  std::size_t CapacityFor(std::size_t bytes) const noexcept;

  /** Announces that the body does not become longer than `bytes`, to allocate no more than that. */
  void SetMaxSize(std::size_t bytes) noexcept { m_max_size = bytes; }

  /** Appends `bytes`. The body must have no copies. */
  void Append(std::string_view bytes);

  /** Keeps `object`, such as a reservation of memory, as long as any copy of the body exists. */
  void Keep(std::shared_ptr<const void> object);

  /** Returns whether the body keeps an object. */
  bool HasKept() const noexcept;

  /** Returns an object that keeps Bytes() valid. */
  std::shared_ptr<const void> Owner() const noexcept { return m_content; }

  /** Compares with another body or with any text. */
  template <typename Text>
  friend bool operator==(const Body& body, const Text& text) {
    const std::string_view other = text;
    return body.Bytes() == other;
  }

 private:
  struct Content;

  Content& OwnContent();

  std::shared_ptr<Content> m_content;
  std::size_t m_max_size = std::numeric_limits<std::size_t>::max();
};

}  // namespace qh::http
