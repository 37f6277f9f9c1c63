//! Guards against example files that the checks refuse, and against refusals that do not point at
//! the offending place.

use mangospindle_settings::{ControlSettings, Deployment, EntrySettings};
use std::path::Path;

#[test]
fn examples_are_valid() {
    struct Case {
        file: &'static str,
        slots_of_third_service: u32,
    }
    let cases = [
        Case {
            file: "cantabrica",
            slots_of_third_service: 3,
        },
        Case {
            file: "cristallo",
            slots_of_third_service: 4,
        },
    ];
    for case in cases {
        let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
        let path = root.join(case.file).join("deployment.jsonc");
        let deployment = Deployment::load(&path).expect("the example is valid");
        let entry = EntrySettings::load(&path.with_file_name("entry.jsonc"));
        let entry = entry.expect("the entry example is valid");
        let control = ControlSettings::load(&path.with_file_name("control.jsonc"));
        let control = control.expect("the control example is valid");
        let known = |name: &str| {
            let mut domains = deployment.topology.failure_domains.iter();
            domains.any(|d| d.name == name)
        };
        assert!(known(&entry.failure_domain) && known(&control.failure_domain));
        assert!(deployment.topology.entry_by_name(&entry.name).is_some());
        let topology = &deployment.topology;
        assert_eq!(topology.regions.len(), 3, "{}", case.file);
        assert_eq!(topology.failure_domains.len(), 6, "{}", case.file);
        assert_eq!(topology.entries.len(), 9, "{}", case.file);
        assert_eq!(topology.endpoints.len(), 48, "{}", case.file);
        let slots = topology.endpoints[24].slots;
        assert_eq!(slots, case.slots_of_third_service, "{}", case.file);
    }
}

#[test]
fn refusals_point_at_the_place() {
    struct Case {
        name: &'static str,
        entry: bool,
        text: &'static str,
        marked: &'static str,
        message: &'static str,
    }
    const CONTROL: &str = r#""failure_domain":"d","data_dir":"x","deployment":"y","#;
    let cases = [
        Case {
            name: "unknown key",
            entry: true,
            text: r#"{"name":"e","failure_domain":"d","public_listen":"127.0.0.1:1","internal_listen":"127.0.0.1:2","control":["127.0.0.1:3"],"colour":1}"#,
            marked: "1",
            message: "unknown field `colour`",
        },
        Case {
            name: "duplicate listener",
            entry: true,
            text: r#"{"name":"e","failure_domain":"d","public_listen":"127.0.0.1:1","internal_listen":"127.0.0.1:1","control":["127.0.0.1:3"]}"#,
            marked: r#""127.0.0.1:1""#,
            message: "is used twice",
        },
        Case {
            name: "even number of replicas",
            entry: false,
            text: r#"{"replica":1,"rpc_listen":"127.0.0.1:1","admin_listen":"127.0.0.1:2","replicas":[{"replica":1,"address":"127.0.0.1:1"},{"replica":2,"address":"127.0.0.1:4"}]}"#,
            marked: r#"[{"replica":1,"address":"127.0.0.1:1"},{"replica":2,"address":"127.0.0.1:4"}]"#,
            message: "2 replicas are listed",
        },
        Case {
            name: "open administration listener",
            entry: false,
            text: r#"{"replica":1,"rpc_listen":"127.0.0.1:1","admin_listen":"0.0.0.0:2","replicas":[{"replica":1,"address":"127.0.0.1:1"}]}"#,
            marked: r#""0.0.0.0:2""#,
            message: "open to the network",
        },
    ];
    for case in cases {
        let text = match case.entry {
            true => case.text.to_string(),
            false => case.text.replacen('{', &format!("{{{CONTROL}"), 1),
        };
        let error = match case.entry {
            true => EntrySettings::parse("s.jsonc", &text).map(|_| ()),
            false => ControlSettings::parse("s.jsonc", &text).map(|_| ()),
        }
        .expect_err(case.name);
        assert!(
            error.to_string().contains(case.message),
            "{}: {error}",
            case.name
        );
        let span = error.span().expect(case.name);
        let marked = &text[span.offset()..span.offset() + span.len()];
        assert_eq!(marked, case.marked, "{}", case.name);
    }
}
