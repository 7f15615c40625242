#include <string>
#include <string_view>
#include <vector>

#include "absl/strings/ascii.h"
#include "absl/strings/str_split.h"
#include "lexer_p.h"

namespace siskindrum::rules {

namespace {

void SplitWord(Word& word) {
  for (const std::string_view comparison : {">=", "<", "="}) {
    const std::size_t at = word.text_.find(comparison);
    if (at != std::string::npos && at > 0) {
      const std::size_t length = comparison.size();
      word.key_ = word.text_.substr(0, at);
      word.comparison_ = comparison;
      word.value_ = word.text_.substr(at + length);
      word.value_column_ = word.column_ + static_cast<int>(at + length);
      return;
    }
  }
  word.key_ = word.text_;
  word.value_column_ = word.column_;
}

void SplitWords(Line& line, std::string_view body) {
  std::size_t i = 0;
  while (i < body.size()) {
    if (absl::ascii_isspace(static_cast<unsigned char>(body[i]))) {
      ++i;
      continue;
    }
    Word word;
    word.column_ = static_cast<int>(i) + 1;
    const std::size_t start = i;
    while (i < body.size() &&
           !absl::ascii_isspace(static_cast<unsigned char>(body[i]))) {
      ++i;
    }
    word.text_ = body.substr(start, i - start);
    SplitWord(word);
    line.words_.push_back(std::move(word));
  }
}

}  // namespace

std::vector<Line> SplitLines(const std::string& text) {
  std::vector<Line> lines;
  int number = 0;
  for (absl::string_view raw : absl::StrSplit(text, '\n')) {
    Line line;
    line.number_ = ++number;
    line.text_ = std::string(absl::StripTrailingAsciiWhitespace(raw));
    const std::size_t hash = line.text_.find('#');
    std::string_view body = line.text_;
    if (hash != std::string::npos) {
      line.has_comment_ = true;
      line.comment_column_ = static_cast<int>(hash) + 1;
      line.comment_ =
          std::string(absl::StripAsciiWhitespace(line.text_.substr(hash + 1)));
      body = body.substr(0, hash);
    }
    SplitWords(line, body);
    lines.push_back(std::move(line));
  }
  return lines;
}

}  // namespace siskindrum::rules
