#include "quetzalhinge/http/http_message.h"

#include <algorithm>
#include <array>
#include <cctype>

namespace qh::http {
namespace {

constexpr std::array<std::string_view, 9> kHopByHopNames{
    "connection",        "keep-alive", "proxy-connection", "te", "trailer", "trailers",
    "transfer-encoding", "upgrade",    "content-length"};

struct StatusReason {
  int status;
  const char* reason;
};
constexpr std::array<StatusReason, 22> kReasons{{{200, "OK"},
                                                 {201, "Created"},
                                                 {202, "Accepted"},
                                                 {204, "No Content"},
                                                 {301, "Moved Permanently"},
                                                 {302, "Found"},
                                                 {304, "Not Modified"},
                                                 {400, "Bad Request"},
                                                 {401, "Unauthorized"},
                                                 {403, "Forbidden"},
                                                 {404, "Not Found"},
                                                 {405, "Method Not Allowed"},
                                                 {408, "Request Timeout"},
                                                 {409, "Conflict"},
                                                 {413, "Payload Too Large"},
                                                 {422, "Unprocessable Entity"},
                                                 {429, "Too Many Requests"},
                                                 {431, "Request Header Fields Too Large"},
                                                 {500, "Internal Server Error"},
                                                 {502, "Bad Gateway"},
                                                 {503, "Service Unavailable"},
                                                 {504, "Gateway Timeout"}}};

std::string LowerWithoutBlanks(std::string_view text) {
  std::string lower;
  for (const char c : text) {
    if (c != ' ' && c != '\t') {
      lower += static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
    }
  }
  return lower;
}

std::vector<std::string> ConnectionOptionNames(const HttpHeaders& headers) {
  std::vector<std::string> names;
  for (const HttpHeader& header : headers) {
    if (header.name != "connection") {
      continue;
    }
    std::string_view rest = header.value;
    while (!rest.empty()) {
      const std::size_t comma = rest.find(',');
      names.push_back(LowerWithoutBlanks(rest.substr(0, comma)));
      rest = comma == std::string_view::npos ? "" : rest.substr(comma + 1);
    }
  }
  return names;
}

int HexDigit(char c) {
  if (c >= '0' && c <= '9') {
    return c - '0';
  }
  const int lower = std::tolower(static_cast<unsigned char>(c));
  return lower >= 'a' && lower <= 'f' ? lower - 'a' + 10 : -1;
}

std::string PercentDecode(std::string_view text) {
  std::string decoded;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size() && HexDigit(text[i + 1]) >= 0 &&
        HexDigit(text[i + 2]) >= 0) {
      decoded += static_cast<char>(HexDigit(text[i + 1]) * 16 + HexDigit(text[i + 2]));
      i += 2;
    } else {
      decoded += text[i] == '+' ? ' ' : text[i];
    }
  }
  return decoded;
}

}  // namespace

std::optional<std::string_view> FindHeader(const HttpHeaders& headers, std::string_view name) {
  for (const HttpHeader& header : headers) {
    if (header.name == name) {
      return header.value;
    }
  }
  return std::nullopt;
}

std::size_t CountHeaders(const HttpHeaders& headers, std::string_view name) {
  return static_cast<std::size_t>(
      std::count_if(headers.begin(), headers.end(),
                    [&](const HttpHeader& header) { return header.name == name; }));
}

std::string_view PathOnly(std::string_view path_and_query) noexcept {
  return path_and_query.substr(0, path_and_query.find('?'));
}

std::optional<std::string> QueryParameter(std::string_view path_and_query, std::string_view name) {
  const std::size_t start = path_and_query.find('?');
  std::string_view rest = start == std::string_view::npos ? "" : path_and_query.substr(start + 1);
  while (!rest.empty()) {
    const std::size_t end = rest.find('&');
    const std::string_view pair = rest.substr(0, end);
    const std::size_t equals = pair.find('=');
    if (pair.substr(0, equals) == name) {
      return equals == std::string_view::npos ? "" : PercentDecode(pair.substr(equals + 1));
    }
    rest = end == std::string_view::npos ? "" : rest.substr(end + 1);
  }
  return std::nullopt;
}

std::string PercentEncode(std::string_view text) {
  constexpr std::string_view kDigits = "0123456789ABCDEF";
  std::string encoded;
  for (const char c : text) {
    const auto byte = static_cast<unsigned char>(c);
    if (std::isalnum(byte) != 0 || c == '-' || c == '_' || c == '.' || c == '~') {
      encoded += c;
    } else {
      encoded += '%';
      encoded += kDigits[byte >> 4];
      encoded += kDigits[byte & 0xf];
    }
  }
  return encoded;
}

HttpHeaders WithoutHopByHop(const HttpHeaders& headers) {
  const std::vector<std::string> connection_options = ConnectionOptionNames(headers);
  HttpHeaders end_to_end;
  for (const HttpHeader& header : headers) {
    const bool hop_by_hop = std::find(kHopByHopNames.begin(), kHopByHopNames.end(), header.name) !=
                                kHopByHopNames.end() ||
                            std::find(connection_options.begin(), connection_options.end(),
                                      header.name) != connection_options.end();
    if (!hop_by_hop) {
      end_to_end.push_back(header);
    }
  }
  return end_to_end;
}

const char* ReasonPhrase(int status) noexcept {
  for (const StatusReason& row : kReasons) {
    if (row.status == status) {
      return row.reason;
    }
  }
  return "Unknown";
}

}  // namespace qh::http
