use crate::backend::{StateBackend, profile};
use crate::server::{run, start};
use mangospindle_cli::{Exit, options};
use mangospindle_control::admin::wire::ProfileWire;
use std::sync::Arc;

/// A command line, its exit code and a part of its text. `DIR` is a directory with `calm.json`
/// (changed content, read at version 1) and `new.json` (without a version).
struct Step(&'static str, Exit, &'static str);

struct Case {
    /// The failure that the case guards against.
    guards: &'static str,
    steps: Vec<Step>,
}

#[actix_web::test]
async fn commands() {
    use Exit::{Conflict, Different, Done, NotFound, Refused, Usage};
    let cases = [
        Case {
            guards: "an edit of a profile that overwrites another edit",
            steps: vec![
                Step("profile list", Done, "calm  1        10/s"),
                Step(
                    "profile diff DIR/calm.json",
                    Different,
                    "-cross_region_limit: 10\n+cross_region_limit: 99\n",
                ),
                Step(
                    "profile put DIR/calm.json",
                    Done,
                    "done; configuration version",
                ),
                Step("profile put DIR/calm.json", Conflict, "at version 2"),
                Step(
                    "profile diff DIR/calm.json",
                    Done,
                    "read at version 1; the present version is 2",
                ),
                Step("profile put DIR/calm.json --base-version 2", Done, "done"),
                Step("profile show calm", Done, "version             3"),
                Step("--json profile show calm", Done, "\"version\": 3"),
                Step(
                    "profile history calm",
                    Done,
                    "    -profile.cross_region_limit: 10\n    +profile.cross_region_limit: 99",
                ),
                Step("profile show none", NotFound, "no profile `none`"),
            ],
        },
        Case {
            guards: "a create that replaces, or a deletion of a profile in use",
            steps: vec![
                Step(
                    "profile put DIR/new.json",
                    Usage,
                    "--base-version or --create",
                ),
                Step("profile put DIR/new.json --create", Done, "done"),
                Step(
                    "profile put DIR/new.json --create",
                    Conflict,
                    "at version 1",
                ),
                Step(
                    "profile delete calm --base-version 1",
                    Refused,
                    "runs under",
                ),
                Step("service assign s new --base calm", Done, "done"),
                Step(
                    "service assign s new --base calm",
                    Conflict,
                    "runs under `new`",
                ),
                Step("service assign s calm", Done, "done"),
                Step(
                    "service list",
                    Done,
                    "s     calm     at_most_once  30000 ms",
                ),
                Step("profile delete new --base-version 1", Done, "done"),
                Step("profile put DIR/none.json", Usage, "none.json"),
            ],
        },
        Case {
            guards: "operations on VMs that do nothing or too much",
            steps: vec![
                Step("region limit r0 50", Done, "done"),
                Step("region limit r0 60 --base 100", Conflict, "is 50"),
                Step("region limit none 60", NotFound, "none"),
                Step("drain status", Done, "ENDPOINT"),
                Step("drain start x0", Done, "done"),
                Step("drain status", Different, "x0        e0     2            -"),
                Step("endpoint list", Done, "e0     1      clean     true"),
                Step("drain stop x0", Done, "done"),
                Step(
                    "fence e0 --powered-off --incarnation 00000000000000ac",
                    Done,
                    "done",
                ),
                Step("entry list", Done, "active  00000000000000ab"),
                Step("fence e0 --powered-off", Done, "done"),
                Step("entry list", Done, "fenced  -"),
                Step("fence none --powered-off", NotFound, "no such VM"),
            ],
        },
        Case {
            guards: "reads that show nothing",
            steps: vec![
                Step("status", Done, "c1       false  -       3     4"),
                Step("status", Done, "e0     c1       2                10 ms"),
                Step(
                    "audit --limit 1",
                    Done,
                    "1970-01-01T00:00:00.001Z  process test  bootstrap",
                ),
                Step(
                    "audit --limit 1",
                    Done,
                    "more: mangospindlectl audit --after 1",
                ),
                Step("action s k/1%", Done, "completed  201            5"),
                Step("action s k", NotFound, "Not found"),
                Step("region list", Done, "r0    100"),
            ],
        },
    ];
    let dir = tempfile::tempdir().unwrap();
    let mut wire = ProfileWire::from(&profile("calm"));
    wire.cross_region_limit = 99;
    let calm = serde_json::json!({ "version": 1, "profile": wire });
    std::fs::write(dir.path().join("calm.json"), calm.to_string()).unwrap();
    wire.name = "new".to_string();
    let new = serde_json::to_string(&wire).unwrap();
    std::fs::write(dir.path().join("new.json"), new).unwrap();
    for case in cases {
        let server = start(Arc::new(StateBackend::new()));
        for Step(line, exit, part) in case.steps {
            let line = line.replace("DIR", dir.path().to_str().unwrap());
            let args: Vec<&str> = line.split(' ').collect();
            let (code, text) = match run(&server, &args).await {
                Ok(done) => (done.exit, done.text),
                Err(failure) => (failure.exit, failure.message),
            };
            let at = format!("{line} ({}): {text}", case.guards);
            assert_eq!(code, exit, "{at}");
            assert!(text.contains(part), "{at}");
        }
    }
}

/// Guards against a command line that is accepted without what makes it safe, and against help
/// without examples and exit codes.
#[actix_web::test]
async fn arguments() {
    let refused = [
        "",
        "profile delete calm",
        "fence e0",
        "profile put a.json --create --base-version 1",
        "lookup --entry http://127.0.0.1:1 s not-an-address",
    ];
    for line in refused {
        let args: Vec<&str> = line.split_whitespace().collect();
        assert!(options().run_inner(args.as_slice()).is_err(), "{line}");
    }
    let help = options().run_inner(["--help"].as_slice()).unwrap_err();
    let help = help.unwrap_stdout();
    for part in [
        "Exit codes:\n  0 done\n",
        "\nExamples:\n  mangospindlectl -s",
    ] {
        assert!(help.contains(part), "{part}: {help}");
    }
}
