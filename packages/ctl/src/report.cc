#include "siskindrum/ctl/report.h"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"

namespace siskindrum::ctl {

namespace {

using Json = nlohmann::json;

constexpr double kMedian = 0.5;
constexpr double kMost = 0.95;
constexpr double kPlotWidth = 720;
constexpr double kPlotHeight = 400;
constexpr double kMargin = 50;
constexpr int kCurvePoints = 100;

std::string GroupRow(const std::string& name, const GroupResult& group) {
  const double share = group.offered_ == 0
                           ? 0
                           : static_cast<double>(group.good_) /
                                 static_cast<double>(group.offered_);
  return absl::StrFormat("  %-22s %8d %8.4f %8d %8d %8d %8d\n", name,
                         group.offered_, share, group.refused_, group.failed_,
                         group.unfinished_, group.cancelled_);
}

Json GroupJson(const GroupResult& group) {
  return {{"offered", group.offered_},    {"good", group.good_},
          {"whole", group.whole_},        {"refused", group.refused_},
          {"failed", group.failed_},      {"unfinished", group.unfinished_},
          {"cancelled", group.cancelled_}};
}

Json GroupsJson(const std::map<std::string, GroupResult>& groups) {
  Json json = Json::object();
  for (const auto& [name, group] : groups) {
    json[name] = GroupJson(group);
  }
  return json;
}

// Largest value on the time axis, in milliseconds.
double AxisEnd(const std::vector<PolicyResult>& results) {
  double end = 1;
  for (const PolicyResult& row : results) {
    end = std::max(end, Percentile(row.result_.first_token_ms_, 0.99));
  }
  return end;
}

std::string Curve(const ExperimentResult& result,
                  double axis_end,
                  const char* colour) {
  std::vector<double> values = result.first_token_ms_;
  std::sort(values.begin(), values.end());
  std::string points;
  for (int i = 0; i <= kCurvePoints && !values.empty(); ++i) {
    const double share = static_cast<double>(i) / kCurvePoints;
    const auto at = static_cast<std::size_t>(
        share * static_cast<double>(values.size() - 1));
    const double x = std::min(values[at] / axis_end, 1.0) * kPlotWidth;
    const double y = kPlotHeight * (1 - share);
    absl::StrAppendFormat(&points, "%.1f,%.1f ", x + kMargin, y + kMargin);
  }
  return absl::StrCat("<polyline fill=\"none\" stroke=\"", colour,
                      "\" stroke-width=\"2\" points=\"", points, "\"/>\n");
}

}  // namespace

std::string FormatTable(const std::string& scenario,
                        const std::vector<PolicyResult>& results) {
  std::string text = absl::StrCat("scenario ", scenario, "\n");
  absl::StrAppendFormat(
      &text, "%-12s %8s %8s %8s %9s %9s %9s %9s %7s %7s %7s %6s\n", "policy",
      "offered", "goodput", "good/s", "wasted %", "ttft p50", "ttft p95",
      "tbt p95", "refused", "failed", "unfin.", "late");
  for (const PolicyResult& row : results) {
    const ExperimentResult& r = row.result_;
    const double seconds = std::max(r.measured_seconds_, 1e-9);
    absl::StrAppendFormat(
        &text,
        "%-12s %8d %8.4f %8.2f %9.3f %9.1f %9.1f %9.1f %7d %7d %7d %6d\n",
        row.policy_, r.all_.offered_, r.GoodShare(),
        static_cast<double>(r.all_.good_) / seconds, 100 * r.WastedShare(),
        Percentile(r.first_token_ms_, kMedian),
        Percentile(r.first_token_ms_, kMost), Percentile(r.between_ms_, kMost),
        r.all_.refused_, r.all_.failed_, r.all_.unfinished_,
        r.refused_after_prefill_);
  }
  return text +
         "times in ms; late: told \"not run\" after a prefill was spent\n";
}

std::string FormatGroups(const PolicyResult& result) {
  std::string text = absl::StrFormat(
      "%s\n  %-22s %8s %8s %8s %8s %8s %8s\n", result.policy_, "group",
      "offered", "goodput", "refused", "failed", "unfin.", "cancel");
  for (const auto& [name, group] : result.result_.by_organisation_) {
    text += GroupRow(name, group);
  }
  for (const auto& [name, group] : result.result_.by_priority_) {
    text += GroupRow(absl::StrCat("priority ", name), group);
  }
  return text;
}

std::string FormatJson(const std::string& scenario,
                       const std::vector<PolicyResult>& results) {
  Json rows = Json::array();
  for (const PolicyResult& row : results) {
    const ExperimentResult& r = row.result_;
    rows.push_back({{"policy", row.policy_},
                    {"goodput_share", r.GoodShare()},
                    {"wasted_prefill_share", r.WastedShare()},
                    {"prefill_tokens", r.prefill_tokens_},
                    {"prefill_tokens_wasted", r.prefill_wasted_},
                    {"measured_seconds", r.measured_seconds_},
                    {"first_token_ms",
                     {{"p50", Percentile(r.first_token_ms_, kMedian)},
                      {"p95", Percentile(r.first_token_ms_, kMost)}}},
                    {"between_tokens_ms",
                     {{"p50", Percentile(r.between_ms_, kMedian)},
                      {"p95", Percentile(r.between_ms_, kMost)}}},
                    {"refused_after_prefill", r.refused_after_prefill_},
                    {"held_at_end", r.held_at_end_},
                    {"peer_messages", r.peer_messages_},
                    {"all", GroupJson(r.all_)},
                    {"by_organisation", GroupsJson(r.by_organisation_)},
                    {"by_priority", GroupsJson(r.by_priority_)}});
  }
  return Json{{"scenario", scenario}, {"policies", rows}}.dump(2) + "\n";
}

std::string FormatPlot(const std::string& scenario,
                       const std::vector<PolicyResult>& results) {
  static constexpr const char* kColours[] = {"#1b6ca8", "#c0392b", "#27ae60",
                                             "#8e44ad", "#7f8c8d", "#d35400"};
  const double end = AxisEnd(results);
  std::string svg = absl::StrFormat(
      "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%.0f\" "
      "height=\"%.0f\" font-family=\"sans-serif\" font-size=\"13\">\n"
      "<rect width=\"100%%\" height=\"100%%\" fill=\"white\"/>\n"
      "<text x=\"%.0f\" y=\"25\">Time to first token, share of whole answers: "
      "%s</text>\n"
      "<rect x=\"%.0f\" y=\"%.0f\" width=\"%.0f\" height=\"%.0f\" "
      "fill=\"none\" stroke=\"black\"/>\n",
      kPlotWidth + 2 * kMargin, kPlotHeight + 2 * kMargin, kMargin, scenario,
      kMargin, kMargin, kPlotWidth, kPlotHeight);
  absl::StrAppendFormat(
      &svg,
      "<text x=\"%.0f\" y=\"%.0f\">0</text>\n<text x=\"%.0f\" "
      "y=\"%.0f\" text-anchor=\"end\">%.0f ms</text>\n",
      kMargin, kPlotHeight + kMargin + 20, kPlotWidth + kMargin,
      kPlotHeight + kMargin + 20, end);
  for (std::size_t i = 0; i < results.size(); ++i) {
    const char* colour = kColours[i % std::size(kColours)];
    svg += Curve(results[i].result_, end, colour);
    absl::StrAppendFormat(
        &svg, "<text x=\"%.0f\" y=\"%.0f\" fill=\"%s\">%s</text>\n",
        kPlotWidth - 60, kPlotHeight - 20.0 * static_cast<double>(i), colour,
        results[i].policy_);
  }
  return svg + "</svg>\n";
}

}  // namespace siskindrum::ctl
