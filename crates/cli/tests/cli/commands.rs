use crate::backend::StateBackend;
use crate::server::{run, start};
use crate::support::profile;
use mangospindle_cli::options;
use mangospindle_control::admin::wire::ProfileWire;
use std::sync::Arc;

struct Case {
    /// The failure that the case guards against.
    guards: &'static str,
    /// Command lines, `=>`, the exit code and a part of the text. `DIR` is a directory with
    /// `p.json` (changed content, read at version 1) and `new.json` (without a version).
    lines: &'static [&'static str],
}

#[actix_web::test]
async fn commands() {
    let cases = [
        Case {
            guards: "an edit of a profile that overwrites another edit",
            lines: &[
                "profile list => Done p     1        10/s",
                "profile diff DIR/p.json => Different -cross_region_limit: 10\n+cross_region_limit: 99\n",
                "profile put DIR/p.json => Done done; configuration version",
                "profile put DIR/p.json => Conflict at version 2",
                "profile diff DIR/p.json => Done read at version 1; the present version is 2",
                "profile put DIR/p.json --base-version 2 => Done done",
                "profile show p => Done version             3",
                "--json profile show p => Done \"version\": 3",
                "profile history p => Done     -profile.cross_region_limit: 10\n    +profile.cross_region_limit: 99",
                "profile show none => NotFound no profile `none`",
            ],
        },
        Case {
            guards: "a create that replaces, or a deletion of a profile in use",
            lines: &[
                "profile put DIR/new.json => Usage --base-version or --create",
                "profile put DIR/new.json --create => Done done",
                "profile put DIR/new.json --create => Conflict at version 1",
                "profile delete p --base-version 1 => Refused runs under",
                "service assign s new --base p => Done done",
                "service assign s new --base p => Conflict runs under `new`",
                "service assign s p => Done done",
                "service list => Done s     p        at_most_once  30000 ms",
                "profile delete new --base-version 1 => Done done",
                "profile put DIR/none.json => Usage none.json",
            ],
        },
        Case {
            guards: "operations on VMs that do nothing or too much",
            lines: &[
                "region limit r0 50 => Done done",
                "region limit r0 60 --base 100 => Conflict is 50",
                "region limit none 60 => NotFound none",
                "drain status => Done ENDPOINT",
                "drain start x0 => Done done",
                "drain status => Different x0        a0     2            -",
                "endpoint list => Done a0     1      clean     true",
                "drain stop x0 => Done done",
                "fence a0 --powered-off --incarnation 00000000000000ac => Done done",
                "entry list => Done active  00000000000000ab",
                "fence a0 --powered-off => Done done",
                "entry list => Done fenced  -",
                "fence none --powered-off => NotFound no such VM",
            ],
        },
        Case {
            guards: "reads that show nothing",
            lines: &[
                "status => Done c1       false  -       3     4",
                "status => Done a0     c1       2                10 ms",
                "audit --limit 1 => Done 1970-01-01T00:00:00.001Z  process test  bootstrap",
                "audit --limit 1 => Done more: mangospindlectl audit --after 1",
                "action s k/1% => Done completed  201            5",
                "action s k => NotFound Not found",
                "region list => Done r0    100",
            ],
        },
    ];
    let dir = tempfile::tempdir().unwrap();
    let mut wire = ProfileWire::from(&profile("p", 99));
    let versioned = serde_json::json!({ "version": 1, "profile": wire });
    std::fs::write(dir.path().join("p.json"), versioned.to_string()).unwrap();
    wire.name = "new".to_string();
    let new = serde_json::to_string(&wire).unwrap();
    std::fs::write(dir.path().join("new.json"), new).unwrap();
    for case in cases {
        let server = start(Arc::new(StateBackend::new()));
        for line in case.lines {
            let (line, expect) = line.split_once(" => ").unwrap();
            let (exit, part) = expect.split_once(' ').unwrap();
            let line = line.replace("DIR", dir.path().to_str().unwrap());
            let args: Vec<&str> = line.split(' ').collect();
            let (code, text) = match run(&server, &args).await {
                Ok(done) => (done.exit, done.text),
                Err(failure) => (failure.exit, failure.message),
            };
            let at = format!("{line} ({}): {text}", case.guards);
            assert_eq!(format!("{code:?}"), exit, "{at}");
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
