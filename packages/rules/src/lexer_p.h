#ifndef SISKINDRUM_RULES_LEXER_P_H_
#define SISKINDRUM_RULES_LEXER_P_H_

#include <string>
#include <vector>

namespace siskindrum::rules {

// A word of a rule line, split at the comparison if it has one.
struct Word {
  int column_ = 0;
  std::string text_;
  std::string key_;
  std::string comparison_;  // "=", ">=", "<" or empty.
  std::string value_;
  int value_column_ = 0;
};

struct Line {
  int number_ = 0;
  std::string text_;
  std::vector<Word> words_;
  bool has_comment_ = false;
  int comment_column_ = 0;
  std::string comment_;
};

// Splits a file into its lines and words. Thread-safe: yes.
std::vector<Line> SplitLines(const std::string& text);

}  // namespace siskindrum::rules

#endif  // SISKINDRUM_RULES_LEXER_P_H_
