use crate::backend::{StateBackend, WORKSPACE_KEYS};
use crate::server::{run, start};
use mangospindle_cli::{Exit, options};
use std::sync::Arc;

struct Case {
    /// The failure that the case guards against.
    guards: &'static str,
    args: &'static [&'static str],
    exit: Exit,
    /// Parts of the text. Runs of spaces count as one space.
    contains: &'static [&'static str],
}

const CASES: &[Case] = &[
    Case {
        guards: "a list that omits a workspace or a column",
        args: &["workspaces", "list"],
        exit: Exit::Done,
        contains: &[
            "NAME PRIORITY HOME REGIONS KEYS RATE BURST OFFERED LEVEL REJECTED\n",
            "\na/b% 0 all 0 467.5/s 400 - - -\n",
            "\nopen 0 all 1 no limit - - - -\n",
            "\nyefi 1 r0,r1 2 467.5/s 400 512.2/s -3.5 42\n",
        ],
    },
    Case {
        guards: "JSON that is not the list that the API describes",
        args: &["--json", "workspaces", "list"],
        exit: Exit::Done,
        contains: &["[ { \"name\": \"a/b%\"", "\"rejected_over_allowance\": 42"],
    },
    Case {
        guards: "the option for JSON that is refused after the command, as the operators' pages write it",
        args: &["workspaces", "list", "--json"],
        exit: Exit::Done,
        contains: &["\"key_digests\": ["],
    },
    Case {
        guards: "a workspace that is shown without its digests or usage",
        args: &["workspaces", "show", "yefi"],
        exit: Exit::Done,
        contains: &[
            "home regions r0,r1\n",
            "rate 467.5/s\n",
            "level -3.5\n",
            "rejected over allowance 42\nkey digest ",
        ],
    },
    Case {
        guards: "a name with reserved characters that cannot be shown",
        args: &["--json", "workspaces", "show", "a/b%"],
        exit: Exit::Done,
        contains: &["\"name\": \"a/b%\"", "\"usage\": null"],
    },
    Case {
        guards: "an unknown workspace that looks like an empty one",
        args: &["workspaces", "show", "none"],
        exit: Exit::NotFound,
        contains: &["no workspace `none`"],
    },
];

/// Guards against output about workspaces that is incomplete or wrong, or that contains a key.
#[actix_web::test]
async fn workspaces_are_listed_and_shown() {
    let server = start(Arc::new(StateBackend::with_workspaces()));
    for case in CASES {
        let (exit, text) = match run(&server, case.args).await {
            Ok(done) => (done.exit, done.text),
            Err(failure) => (failure.exit, failure.message),
        };
        let at = format!("{:?} ({}): {text}", case.args, case.guards);
        assert_eq!(exit, case.exit, "{at}");
        let lines = text
            .lines()
            .map(|l| l.split_whitespace().collect::<Vec<_>>().join(" "));
        let separator = if case.args[0] == "--json" { " " } else { "\n" };
        let text = lines.collect::<Vec<_>>().join(separator) + separator;
        for part in case.contains {
            assert!(text.contains(part), "{part}: {at}");
        }
        for key in WORKSPACE_KEYS {
            assert!(!text.contains(key), "{at}");
        }
    }
}

/// Guards against a command line without the name or with an unknown action that is accepted.
#[test]
fn incomplete_commands_are_refused() {
    for args in [
        &["workspaces"][..],
        &["workspaces", "show"],
        &["workspaces", "put", "x"],
    ] {
        assert!(options().run_inner(args).is_err(), "{args:?}");
    }
}
