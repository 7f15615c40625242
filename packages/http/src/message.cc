#include "siskindrum/http/message.h"

#include <algorithm>

#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_split.h"

namespace siskindrum::http {

namespace {

constexpr std::string_view kConnectionFields[] = {"Connection",
                                                  "Keep-Alive",
                                                  "Proxy-Connection",
                                                  "Proxy-Authenticate",
                                                  "Proxy-Authorization",
                                                  "TE",
                                                  "Trailer",
                                                  "Transfer-Encoding",
                                                  "Upgrade",
                                                  "Content-Length",
                                                  "Expect"};

std::string FormatFields(const Head& head) {
  std::string text;
  for (const Field& field : head.fields_) {
    absl::StrAppend(&text, field.name_, ": ", field.value_, "\r\n");
  }
  text += "\r\n";
  return text;
}

}  // namespace

bool EqualsCaseInsensitive(std::string_view a, std::string_view b) {
  return absl::EqualsIgnoreCase(absl::string_view(a.data(), a.size()),
                                absl::string_view(b.data(), b.size()));
}

const std::string* FindField(const Head& head, std::string_view name) {
  for (const Field& field : head.fields_) {
    if (EqualsCaseInsensitive(field.name_, name)) {
      return &field.value_;
    }
  }
  return nullptr;
}

std::size_t HeadBytes(const Head& head) {
  std::size_t bytes = sizeof head + head.method_.size() + head.target_.size() +
                      head.reason_.size();
  for (const Field& field : head.fields_) {
    bytes += sizeof field + field.name_.size() + field.value_.size();
  }
  return bytes;
}

void RemoveField(Head& head, std::string_view name) {
  std::erase_if(head.fields_, [name](const Field& field) {
    return EqualsCaseInsensitive(field.name_, name);
  });
}

void SetField(Head& head, std::string_view name, std::string value) {
  RemoveField(head, name);
  head.fields_.push_back({std::string(name), std::move(value)});
}

void RemoveConnectionFields(Head& head) {
  std::vector<std::string> named;
  for (const Field& field : head.fields_) {
    if (!EqualsCaseInsensitive(field.name_, "Connection")) {
      continue;
    }
    for (absl::string_view token : absl::StrSplit(field.value_, ',')) {
      named.emplace_back(absl::StripAsciiWhitespace(token));
    }
  }
  for (const std::string_view name : kConnectionFields) {
    RemoveField(head, name);
  }
  for (const std::string& name : named) {
    RemoveField(head, name);
  }
}

bool HasListToken(const Head& head,
                  std::string_view name,
                  std::string_view token) {
  for (const Field& field : head.fields_) {
    if (!EqualsCaseInsensitive(field.name_, name)) {
      continue;
    }
    for (absl::string_view one : absl::StrSplit(field.value_, ',')) {
      const absl::string_view bare = absl::StripAsciiWhitespace(one);
      if (EqualsCaseInsensitive({bare.data(), bare.size()}, token)) {
        return true;
      }
    }
  }
  return false;
}

bool AllowsKeepAlive(const Head& head) {
  if (HasListToken(head, "Connection", "close")) {
    return false;
  }
  return head.version_ >= 11 || HasListToken(head, "Connection", "keep-alive");
}

bool AllowsBody(std::string_view method, int status) {
  constexpr int kNoContent = 204;
  constexpr int kNotModified = 304;
  return method != "HEAD" && status != kNoContent && status != kNotModified;
}

std::string_view ReasonPhrase(int status) {
  switch (status) {
    case 200:
      return "OK";
    case 400:
      return "Bad Request";
    case 404:
      return "Not Found";
    case 408:
      return "Request Timeout";
    case 413:
      return "Content Too Large";
    case 421:
      return "Misdirected Request";
    case 429:
      return "Too Many Requests";
    case 431:
      return "Request Header Fields Too Large";
    case 502:
      return "Bad Gateway";
    case 503:
      return "Service Unavailable";
    case 504:
      return "Gateway Timeout";
    default:
      return "Status";
  }
}

std::string FormatRequestHead(const Head& head) {
  return absl::StrCat(head.method_, " ", head.target_, " HTTP/1.1\r\n",
                      FormatFields(head));
}

std::string FormatResponseHead(const Head& head) {
  const std::string_view reason = ReasonPhrase(head.status_);
  return absl::StrCat("HTTP/1.1 ", head.status_, " ",
                      head.reason_.empty()
                          ? absl::string_view(reason.data(), reason.size())
                          : absl::string_view(head.reason_),
                      "\r\n", FormatFields(head));
}

std::string FormatChunk(std::string_view data) {
  return absl::StrCat(absl::Hex(data.size()), "\r\n",
                      absl::string_view(data.data(), data.size()), "\r\n");
}

}  // namespace siskindrum::http
