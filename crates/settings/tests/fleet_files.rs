//! Settings of entries for routed hosts and of control replicas that are not listed.

#![allow(clippy::unwrap_used, reason = "a failed unwrap fails the test")]

use mangospindle_settings::{GatewayFile, OpenControlFile};
use std::path::Path;
use std::time::Duration;

const VALUES: [(&str, &str); 20] = [
    ("nodeName", r#""vm-1""#),
    ("zone", r#""aosta""#),
    ("zones", r#"{"aosta":"west","sondrio":"east"}"#),
    ("listen.front", r#""10.1.0.13:8641""#),
    ("listen.ready", r#""10.1.0.13:8640""#),
    ("listen.control", r#""10.1.0.13:8649""#),
    ("listen.directory", r#""10.1.0.13:8644""#),
    ("seeds", r#"["10.1.0.15:8649","10.2.0.20:8649"]"#),
    ("internalPorts", "[7620,7635]"),
    ("bounds.retryBudgetRatio", "0.2"),
    ("bounds.budgetSlack", "58"),
    ("bounds.grace", r#""6s""#),
    ("bootstrap", "true"),
    ("faultTolerance.machines", "2"),
    ("dataDir", r#""/data/control""#),
    ("cloud.address", r#""10.200.0.146:8642""#),
    ("cloud.ratePerS", "47.0"),
    ("ip", r#""10.1.0.13""#),
    ("heartbeat", r#""1500ms""#),
    ("region", r#""west""#),
];

/// A template of `deploy/` with its placeholders filled in.
fn rendered(file: &str) -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../deploy")
        .join(file);
    let mut text = std::fs::read_to_string(path).unwrap();
    for (name, value) in VALUES {
        text = text.replace(&format!("{{{{{name}|json}}}}"), value);
        text = text.replace(&format!("{{{{{name}}}}}"), value.trim_matches('"'));
    }
    assert!(!text.contains("{{"), "a placeholder is left: {text}");
    text
}

/// Guards against templates that no longer fit the settings.
#[test]
fn the_templates_are_valid() {
    let entry = GatewayFile::parse("entry", &rendered("entry.jsonc")).unwrap();
    assert_eq!(entry.stop_time(), Duration::from_secs(6));
    let rpc: Vec<String> = entry
        .control_rpc()
        .iter()
        .map(ToString::to_string)
        .collect();
    assert_eq!(rpc, ["10.1.0.15:7620", "10.2.0.20:7620"]);
    let control = OpenControlFile::parse("control", &rendered("control.jsonc")).unwrap();
    assert_eq!(control.lookup_lifetime(), Duration::from_secs(2));
    assert_eq!(control.seed_hosts().len(), 2);
    assert!(control.first_start);
    assert_eq!(control.tolerated_losses, Some(2));
}

/// Guards against a faulty file that is taken, or refused without a place and a reason.
#[test]
fn faulty_files_are_refused_with_a_place() {
    struct Case {
        name: &'static str,
        file: &'static str,
        from: &'static str,
        to: &'static str,
        says: &'static str,
    }
    let cases = [
        Case {
            name: "unknown key",
            file: "entry.jsonc",
            from: "\"name\":",
            to: "\"nmae\": 1, \"name\":",
            says: "nmae",
        },
        Case {
            name: "a failure domain without a region",
            file: "entry.jsonc",
            from: "\"failure_domain\": \"aosta\"",
            to: "\"failure_domain\": \"cogne\"",
            says: "cogne",
        },
        Case {
            name: "no replica",
            file: "entry.jsonc",
            from: r#"["10.1.0.15:8649","10.2.0.20:8649"]"#,
            to: "[]",
            says: "no control replica",
        },
        Case {
            name: "a time without a unit",
            file: "entry.jsonc",
            from: "\"6s\"",
            to: "\"6\"",
            says: "6",
        },
        Case {
            name: "a negative time",
            file: "entry.jsonc",
            from: "\"6s\"",
            to: "\"-6s\"",
            says: "-6s",
        },
        Case {
            name: "an address without a port",
            file: "control.jsonc",
            from: "\"10.1.0.13:8649\"",
            to: "\"10.1.0.13\"",
            says: "10.1.0.13",
        },
        Case {
            name: "a negative number of losses",
            file: "control.jsonc",
            from: "\"tolerated_losses\": 2",
            to: "\"tolerated_losses\": -1",
            says: "-1",
        },
        Case {
            name: "no seed",
            file: "control.jsonc",
            from: r#"["10.1.0.15:8649","10.2.0.20:8649"]"#,
            to: "[]",
            says: "no replica",
        },
    ];
    for case in cases {
        let text = rendered(case.file).replacen(case.from, case.to, 1);
        assert_ne!(text, rendered(case.file), "{}", case.name);
        let e = match case.file {
            "entry.jsonc" => GatewayFile::parse(case.file, &text).err(),
            _ => OpenControlFile::parse(case.file, &text).err(),
        };
        let e = e.unwrap_or_else(|| panic!("{} is refused", case.name));
        let place = e
            .span()
            .map(|s| text[s.offset()..s.offset() + s.len()].to_string());
        let told = format!("{e} {}", place.unwrap_or_default());
        assert!(e.span().is_some(), "{}: no place: {told}", case.name);
        assert!(told.contains(case.says), "{}: {told}", case.name);
    }
}
