//! Tests of the number of entries that are assumed to share the rate limits of a region.

use crate::support::{NOW, dispatcher, ms};

/// Guards against a single reply of a replica that knows few entries, which lets an entry use a cold
/// endpoint's rate by itself because a report of a minute ago was the last one of the highest number.
#[test]
fn lower_numbers_of_entries_count_only_when_all_reports_were_lower_for_a_minute() {
    struct Case {
        name: &'static str,
        /// Seconds after the first report, of 28 entries, and the numbers reported from then on in
        /// each second.
        reports: &'static [(u64, u32)],
        /// Seconds from the first report to the last one.
        until_s: u64,
        expected: u32,
    }
    let cases = [
        Case {
            name: "lower for half a minute",
            reports: &[(1, 2)],
            until_s: 30,
            expected: 28,
        },
        Case {
            name: "lower for more than a minute",
            reports: &[(1, 2)],
            until_s: 62,
            expected: 2,
        },
        Case {
            name: "one entry less for a minute, then two low reports",
            reports: &[(1, 27), (60, 2)],
            until_s: 61,
            expected: 27,
        },
        Case {
            name: "a low report after no news for longer than a minute",
            reports: &[(200, 1)],
            until_s: 200,
            expected: 28,
        },
        Case {
            name: "the highest number returns within the minute",
            reports: &[(1, 2), (50, 28), (51, 2)],
            until_s: 100,
            expected: 28,
        },
        Case {
            name: "more entries",
            reports: &[(1, 2), (20, 40)],
            until_s: 20,
            expected: 40,
        },
        Case {
            name: "lower in two steps",
            reports: &[(1, 20), (31, 10)],
            until_s: 92,
            expected: 10,
        },
    ];
    for case in cases {
        let mut dispatcher = dispatcher(&[]);
        dispatcher.update_region_entries(NOW, 28);
        for second in 1..=case.until_s {
            let reported = case.reports.iter().rfind(|(from, _)| *from <= second);
            if let Some((_, entries)) = reported {
                dispatcher.update_region_entries(NOW + ms(1_000 * second), *entries);
            }
        }
        assert_eq!(dispatcher.region_entries(), case.expected, "{}", case.name);
    }
}
