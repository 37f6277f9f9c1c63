use crate::Report;
use std::fmt::Write;

const WIDTH: f64 = 720.0;
const HEIGHT: f64 = 240.0;
const MARGIN: f64 = 40.0;
const COLORS: [&str; 3] = ["#1b6ca8", "#b5651d", "#4d7c0f"];

/// Plots the fraction of requests answered within the target latency for each second, as an SVG
/// document with one line per report.
pub fn plot_svg(title: &str, reports: &[(String, Report)]) -> String {
    let mut svg = format!(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{WIDTH}\" height=\"{HEIGHT}\" \
         font-family=\"sans-serif\" font-size=\"11\">\n\
         <rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n\
         <text x=\"{MARGIN}\" y=\"16\">{title}: share answered within the target latency</text>\n"
    );
    let seconds = reports
        .iter()
        .map(|(_, r)| r.on_target_fraction_by_second.len());
    let seconds = seconds.max().unwrap_or(1).max(2);
    let x = |i: usize| MARGIN + (WIDTH - 2.0 * MARGIN) * i as f64 / (seconds - 1) as f64;
    let y = |share: f64| HEIGHT - MARGIN - (HEIGHT - 2.0 * MARGIN) * share;
    for share in [0.0, 0.5, 1.0] {
        let at = y(share);
        // Writing to a `String` cannot fail.
        let _ = writeln!(
            svg,
            "<line x1=\"{MARGIN}\" x2=\"{}\" y1=\"{at}\" y2=\"{at}\" stroke=\"#ccc\"/>\
             <text x=\"8\" y=\"{at}\">{share}</text>",
            WIDTH - MARGIN
        );
    }
    for (n, (name, report)) in reports.iter().enumerate() {
        let color = COLORS[n % COLORS.len()];
        let shares = report.on_target_fraction_by_second.iter().enumerate();
        let points: Vec<String> = shares
            .map(|(i, share)| format!("{:.1},{:.1}", x(i), y(*share)))
            .collect();
        let _ = writeln!(
            svg,
            "<polyline fill=\"none\" stroke=\"{color}\" stroke-width=\"1.5\" points=\"{}\"/>\
             <text x=\"{}\" y=\"{}\" fill=\"{color}\">{name}</text>",
            points.join(" "),
            MARGIN + 110.0 * n as f64,
            HEIGHT - 10.0
        );
    }
    svg.push_str("</svg>\n");
    svg
}
