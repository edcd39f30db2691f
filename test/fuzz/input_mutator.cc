#include "input_mutator.h"

#include <array>
#include <cctype>
#include <utility>

namespace qh::fuzz {
namespace {

constexpr std::size_t kMaxMutations = 4;
constexpr std::size_t kByteValues = 256;
/** Maximum length of a part that is erased, duplicated or moved. */
constexpr std::size_t kMaxPartLength = 40;

constexpr std::array<const char*, 10> kExtremeNumbers{
    "0",  "-1", "1e999", "2147483648", "18446744073709551616", "-9223372036854775809",
    "00", "+1", "0x10",  "nan"};

/** Tokens with a meaning in HTTP, JSON or INI syntax. */
constexpr std::array<const char*, 14> kSyntaxTokens{
    "\r\n", "\n", "\r", ":", " ", "\t", ",", "\"", "{}", "null", "[]", ";", "\\u0000", "chunked"};

bool IsDigit(char c) { return std::isdigit(static_cast<unsigned char>(c)) != 0; }

}  // namespace

InputMutator::InputMutator(std::vector<std::string> samples, std::uint64_t seed)
    : m_samples(std::move(samples)), m_random(seed) {}

std::size_t InputMutator::Draw(std::size_t bound) {
  return std::uniform_int_distribution<std::size_t>(0, bound - 1)(m_random);
}

std::string InputMutator::Next() {
  std::string input = m_samples[Draw(m_samples.size())];
  for (std::size_t mutations = Draw(kMaxMutations + 1); mutations > 0 && !input.empty();
       --mutations) {
    Mutate(input);
  }
  return input;
}

void InputMutator::Mutate(std::string& input) {
  enum Mutation {
    kByte,
    kBit,
    kErase,
    kDuplicate,
    kMove,
    kTruncate,
    kToken,
    kNumber,
    kMutationCount
  };
  const std::size_t position = Draw(input.size());
  const std::size_t length = 1 + Draw(kMaxPartLength);
  switch (Draw(kMutationCount)) {
    case kByte:
      input[position] = static_cast<char>(Draw(kByteValues));
      break;
    case kBit:
      input[position] =
          static_cast<char>(static_cast<unsigned char>(input[position]) ^ (1U << Draw(8)));
      break;
    case kErase:
      input.erase(position, length);
      break;
    case kDuplicate:
      input.insert(position, input.substr(position, length));
      break;
    case kMove: {
      const std::string part = input.substr(position, length);
      input.erase(position, length);
      input.insert(Draw(input.size() + 1), part);
      break;
    }
    case kTruncate:
      input.resize(position);
      break;
    case kToken:
      input.insert(position, kSyntaxTokens[Draw(kSyntaxTokens.size())]);
      break;
    default:
      ReplaceNumber(input, position);
  }
}

void InputMutator::ReplaceNumber(std::string& input, std::size_t position) {
  std::size_t begin = position;
  while (begin < input.size() && !IsDigit(input[begin])) {
    ++begin;
  }
  std::size_t end = begin;
  while (end < input.size() && IsDigit(input[end])) {
    ++end;
  }
  input.replace(begin, end - begin, kExtremeNumbers[Draw(kExtremeNumbers.size())]);
}

}  // namespace qh::fuzz
