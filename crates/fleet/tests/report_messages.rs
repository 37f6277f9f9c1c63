//! Tests of the messages with reports of lost connections to endpoints.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use mangospindle_fleet::{
    EntryAnnouncement, ExchangeRequest, FollowReports, KnownVersions, ReportPosition, ReportReply,
    ReportRequest,
};
use std::net::SocketAddr;
use std::time::Duration;

const POSITION: ReportPosition = ReportPosition {
    view: u64::MAX,
    count: 300,
};

fn report_requests() -> Vec<ReportRequest> {
    vec![
        ReportRequest::default(),
        ReportRequest {
            reports: vec!["i-0001".to_string(), "i-0002".to_string()],
            pass_on: true,
            ..ReportRequest::default()
        },
        ReportRequest {
            follow: Some(FollowReports {
                known: Some(POSITION),
                hold: Duration::from_millis(500),
            }),
            ..ReportRequest::default()
        },
        ReportRequest {
            reports: vec!["é".repeat(64)],
            pass_on: true,
            follow: Some(FollowReports {
                known: Some(ReportPosition::default()),
                hold: Duration::MAX,
            }),
        },
    ]
}

fn report_replies() -> Vec<ReportReply> {
    vec![
        ReportReply {
            position: ReportPosition::default(),
            complete: false,
            reports: Vec::new(),
        },
        ReportReply {
            position: POSITION,
            complete: true,
            reports: vec!["i-0001".to_string(), "i-0002".to_string()],
        },
    ]
}

fn view_requests() -> Vec<ExchangeRequest> {
    let entry = EntryAnnouncement {
        name: "front-bilbao-a-1".to_string(),
        address: SocketAddr::from(([10, 1, 0, 1], 8641)),
        failure_domain: "bilbao-a".to_string(),
        region: "vasco".to_string(),
        incarnation: 1,
        accepting: true,
    };
    let entries = [None, Some(entry)];
    let differences = [None, Some(KnownVersions::default())];
    let request = |entry: &Option<EntryAnnouncement>, differences| ExchangeRequest {
        entry: entry.clone(),
        wants_entries: true,
        known_list: u64::MAX,
        differences,
    };
    let with_entry = |entry| differences.map(|d| request(entry, d));
    entries.iter().flat_map(with_entry).collect()
}

/// Guards against reports and positions that change on their way.
#[test]
fn messages_keep_their_contents() {
    for request in report_requests() {
        let decoded = ReportRequest::decode(&request.encode());
        assert_eq!(decoded, Some(Ok(request)));
    }
    for reply in report_replies() {
        assert_eq!(ReportReply::decode(&reply.encode()), Ok(reply));
    }
}

/// Guards against messages that entries and replicas of the build before do not understand.
#[test]
fn messages_have_the_format_of_earlier_builds() {
    struct Case {
        name: &'static str,
        encoded: Vec<u8>,
        expected: &'static [u8],
    }
    let position = ReportPosition {
        view: 1,
        count: 300,
    };
    let cases = [
        Case {
            name: "report",
            encoded: ReportRequest {
                reports: vec!["a".to_string()],
                pass_on: true,
                ..ReportRequest::default()
            }
            .encode(),
            expected: &[2, 1, 1, b'a', 1, 0],
        },
        Case {
            name: "request for reports",
            encoded: ReportRequest {
                follow: Some(FollowReports {
                    known: Some(position),
                    hold: Duration::from_millis(500),
                }),
                ..ReportRequest::default()
            }
            .encode(),
            expected: &[2, 0, 0, 1, 1, 1, 0xac, 2, 0, 0x80, 0xca, 0xb5, 0xee, 1],
        },
        Case {
            name: "reply",
            encoded: ReportReply {
                position,
                complete: true,
                reports: vec!["a".to_string()],
            }
            .encode(),
            expected: &[1, 0xac, 2, 1, 1, 1, b'a'],
        },
    ];
    for case in cases {
        assert_eq!(case.encoded, case.expected, "{}", case.name);
    }
}

/// Guards against a replica or an entry that ends, or takes a part for the whole, when a message arrives
/// damaged.
#[test]
fn damaged_messages_are_errors() {
    for request in report_requests() {
        let bytes = request.encode();
        for length in 1..bytes.len() {
            let decoded = ReportRequest::decode(&bytes[..length]).unwrap();
            assert!(decoded.is_err(), "{length} bytes of {request:?}");
        }
        // Another byte may stand for another message, but must not end the process.
        for (index, byte) in (0..bytes.len()).flat_map(|i| (0..=255).map(move |b| (i, b))) {
            let mut damaged = bytes.clone();
            damaged[index] = byte;
            let _ = ReportRequest::decode(&damaged);
        }
    }
    for reply in report_replies() {
        let bytes = reply.encode();
        for length in 0..bytes.len() {
            let decoded = ReportReply::decode(&bytes[..length]);
            assert!(decoded.is_err(), "{length} bytes of {reply:?}");
        }
        for (index, byte) in (0..bytes.len()).flat_map(|i| (0..=255).map(move |b| (i, b))) {
            let mut damaged = bytes.clone();
            damaged[index] = byte;
            let _ = ReportReply::decode(&damaged);
        }
    }
    // A name that is not UTF-8, and a list that is longer than the message.
    let invalid = [
        &[2, 1, 1, 0xff, 0, 0, 0, 0][..],
        &[2, 0xff, 0xff, 0xff, 0x7f, 0, 0],
    ];
    for bytes in invalid {
        assert!(ReportRequest::decode(bytes).unwrap().is_err(), "{bytes:?}");
    }
}

/// Guards against an exchange of views that is answered as a request for reports, or the other way round, by
/// this build or an earlier one: an earlier build must refuse it, and its empty reply must not look like news.
#[test]
fn requests_of_one_kind_are_not_taken_for_the_other() {
    for request in report_requests() {
        let decoded = ExchangeRequest::decode(&request.encode());
        assert!(decoded.is_err(), "{request:?}");
    }
    for request in view_requests() {
        assert_eq!(ReportRequest::decode(&request.encode()), None);
    }
    assert_eq!(ReportRequest::decode(&[]), None);
    assert!(ReportReply::decode(&[]).is_err());
}
