use super::{Command, DrainAction, Options, ProfileBase};
use crate::Exit;
use bpaf::{OptionParser, Parser, construct, long, positional, pure};
use std::path::PathBuf;
use std::time::Duration;

/// Time for one attempt unless the caller sets another. A change waits for a majority, which an
/// election can delay by two seconds.
const DEFAULT_TIMEOUT_MS: u64 = 5_000;

// The parser library shows text after a blank line only in the long help, which needs the flag
// twice; lines that start with a space stay in the short help and keep their breaks.
const EXAMPLES: &str = "\n Examples:\n   \
    mangospindlectl -s http://10.0.0.1:8301,http://10.0.0.2:8301 status\n   \
    mangospindlectl profile show --json calm > calm.json\n   \
    mangospindlectl profile diff calm.json\n   \
    mangospindlectl profile put calm.json\n   \
    mangospindlectl drain start galeradas-3\n \
    Shell completion: mangospindlectl --bpaf-complete-style-bash (or zsh, fish, elvish)";

/// The parser of the arguments.
pub fn options() -> OptionParser<Options> {
    let servers = long("server")
        .short('s')
        .env("MANGOSPINDLE_SERVER")
        .help("Base URLs of control replicas, separated by commas, tried in this order")
        .argument::<String>("URL,..")
        .map(|list| list.split(',').map(|s| s.trim().to_string()).collect())
        .fallback(Vec::new());
    let token = long("token")
        .env("MANGOSPINDLE_TOKEN")
        .help("Bearer token; other users of this machine can see arguments, so prefer the file")
        .argument::<String>("SECRET")
        .optional();
    let token_file = long("token-file")
        .help("File that holds the bearer token")
        .argument::<PathBuf>("FILE")
        .optional();
    let timeout = long("timeout-ms")
        .help("Time for one attempt, in milliseconds")
        .argument::<u64>("MS")
        .fallback(DEFAULT_TIMEOUT_MS)
        .display_fallback()
        .map(Duration::from_millis);
    let request_id = long("request-id")
        .help("Repeats a change whose result was not known under its identifier")
        .argument::<String>("ID")
        .optional();
    let json = long("json").help("Prints JSON").switch();
    let command = command();
    construct!(Options {
        servers,
        token,
        token_file,
        timeout,
        request_id,
        json,
        command,
    })
    .to_options()
    .descr("Operates mangospindle through the administration API of its control replicas.")
    .footer(&*format!("{}{EXAMPLES}", Exit::HELP))
    .version(env!("CARGO_PKG_VERSION"))
}

/// One command with its own `--help`.
fn sub<P>(name: &'static str, help: &'static str, parser: P) -> impl Parser<Command> + use<P>
where
    P: Parser<Command> + 'static,
{
    parser.to_options().descr(help).command(name).help(help)
}

/// A command whose help has an example.
fn example<P>(
    name: &'static str,
    help: &'static str,
    example: &'static str,
    parser: P,
) -> impl Parser<Command> + use<P>
where
    P: Parser<Command> + 'static,
{
    let options = parser.to_options().descr(help);
    options.footer(example).command(name).help(help)
}

fn command() -> impl Parser<Command> {
    let profile = sub(
        "profile",
        "Lists, shows, compares and changes profiles",
        profiles(),
    );
    let service = sub("service", "Lists services and assigns profiles", services());
    let region = sub(
        "region",
        "Lists regions and changes their limits",
        regions(),
    );
    let drain = sub(
        "drain",
        "Starts, ends and shows drains of endpoints",
        drains(),
    );
    let endpoint = sub("endpoint", "Lists endpoints with their owners", {
        sub(
            "list",
            "Lists endpoints with their owners",
            pure(Command::EndpointList),
        )
    });
    let entry = sub("entry", "Lists entries with their status", {
        sub(
            "list",
            "Lists entries with their status",
            pure(Command::EntryList),
        )
    });
    let fence = fence();
    let status = sub(
        "status",
        "Shows the status of every replica and entry",
        pure(Command::Status),
    );
    let audit = audit();
    let action = action();
    let workspaces = sub(
        "workspaces",
        "Lists and shows workspaces with their usage",
        workspaces(),
    );
    let lookup = lookup();
    construct!([
        profile, service, region, drain, endpoint, entry, fence, status, audit, action, workspaces,
        lookup
    ])
}

fn name(help: &'static str) -> impl Parser<String> {
    positional::<String>("NAME").help(help)
}

fn file() -> impl Parser<PathBuf> {
    positional::<PathBuf>("FILE").help("JSON file, as `profile show --json` prints it")
}

fn profiles() -> impl Parser<Command> {
    let list = sub("list", "Lists profiles", pure(Command::ProfileList));
    let show = sub("show", "Shows a profile with its version", {
        let name = name("Name of the profile");
        construct!(Command::ProfileShow { name })
    });
    let diff = sub(
        "diff",
        "Compares a file with the present profile; exits with 7 if they differ",
        {
            let file = file();
            construct!(Command::ProfileDiff { file })
        },
    );
    let put = example(
        "put",
        "Creates or replaces a profile, if it has the version that the change is based on",
        "Without --base-version or --create, the file names the version that it was read at.\n \
         Example: mangospindlectl profile put calm.json --base-version 4",
        {
            let version = long("base-version")
                .help("Version that the change is based on")
                .argument::<u64>("N")
                .map(ProfileBase::Version);
            let create = long("create")
                .help("The profile must not exist yet")
                .req_flag(ProfileBase::Create);
            let base = construct!([version, create]).fallback(ProfileBase::InFile);
            let file = file();
            construct!(Command::ProfilePut { base, file })
        },
    );
    let history = sub("history", "Shows the changes of a profile", {
        let name = name("Name of the profile");
        construct!(Command::ProfileHistory { name })
    });
    let delete = sub("delete", "Deletes a profile that no service runs under", {
        let base = long("base-version")
            .help("Version that the deletion is based on")
            .argument::<u64>("N");
        let name = name("Name of the profile");
        construct!(Command::ProfileDelete { base, name })
    });
    construct!([list, show, diff, put, history, delete])
}

fn services() -> impl Parser<Command> {
    let list = sub(
        "list",
        "Lists services and their profiles",
        pure(Command::ServiceList),
    );
    let assign = example(
        "assign",
        "Makes a service run under another profile",
        "Example: mangospindlectl service assign galeradas calm --base busy",
        {
            let base = long("base")
                .help("Profile that the service must run under now; read first if not given")
                .argument::<String>("PROFILE")
                .optional();
            let service = positional::<String>("SERVICE").help("Name of the service");
            let profile = positional::<String>("PROFILE").help("Name of the profile");
            construct!(Command::ServiceAssign {
                base,
                service,
                profile
            })
        },
    );
    construct!([list, assign])
}

fn regions() -> impl Parser<Command> {
    let list = sub(
        "list",
        "Lists regions and their limits",
        pure(Command::RegionList),
    );
    let limit = example(
        "limit",
        "Changes the limit of requests in progress in a region",
        "Example: mangospindlectl region limit astur 80 --base 100",
        {
            let base = long("base")
                .help("Limit that the region must have now; read first if not given")
                .argument::<u32>("N")
                .optional();
            let region = positional::<String>("REGION").help("Name of the region");
            let limit = positional::<u32>("N").help("The new limit");
            construct!(Command::RegionLimit {
                base,
                region,
                limit
            })
        },
    );
    construct!([list, limit])
}

fn drains() -> impl Parser<Command> {
    let change = |action| {
        let action = pure(action);
        let endpoint = positional::<String>("ENDPOINT").help("Name of the endpoint");
        construct!(Command::DrainChange { action, endpoint })
    };
    let start = sub(
        "start",
        "Starts the drain of an endpoint",
        change(DrainAction::Start),
    );
    let stop = sub(
        "stop",
        "Ends the drain of an endpoint",
        change(DrainAction::Stop),
    );
    let status = sub(
        "status",
        "Shows the drained endpoints and their progress; exits with 7 while one is in progress",
        pure(Command::DrainStatus),
    );
    construct!([start, stop, status])
}

fn fence() -> impl Parser<Command> {
    let incarnation = long("incarnation")
        .help("Process that was seen on the VM, as `entry list` shows it")
        .argument::<String>("HEX")
        .optional();
    let powered_off = long("powered-off")
        .help("Confirms that the VM is powered off, not merely unreachable")
        .req_flag(());
    let vm = positional::<String>("VM").help("Name of the VM");
    let parser = construct!(incarnation, powered_off, vm)
        .map(|(incarnation, (), vm)| Command::Fence { vm, incarnation });
    example(
        "fence",
        "Declares the VM of an entry powered off, so that its endpoints get new owners",
        "Example: mangospindlectl fence entry-4 --powered-off --incarnation 00f3a1b2c3d4e5f6",
        parser,
    )
}

fn audit() -> impl Parser<Command> {
    let after = long("after")
        .help("Starts after this sequence number")
        .argument::<u64>("N")
        .fallback(0);
    let limit = long("limit")
        .help("Most records, 1 to 1000")
        .argument::<usize>("N")
        .fallback(100);
    let parser = construct!(Command::Audit { after, limit });
    sub("audit", "Shows a page of the audit trail", parser)
}

fn action() -> impl Parser<Command> {
    let service = positional::<String>("SERVICE").help("Name of the service");
    let key = positional::<String>("KEY").help("Idempotency key of the action");
    let parser = construct!(Command::Action { service, key });
    sub("action", "Looks up an at-most-once action", parser)
}

fn workspaces() -> impl Parser<Command> {
    let list = sub(
        "list",
        "Lists workspaces with their allowances and usage",
        pure(Command::WorkspacesList),
    );
    let show = example(
        "show",
        "Shows a workspace with its usage and the digests of its keys",
        "Example: mangospindlectl workspaces show yefi830",
        {
            let name = name("Name of the workspace");
            construct!(Command::WorkspacesShow { name })
        },
    );
    construct!([list, show])
}

fn lookup() -> impl Parser<Command> {
    let entry = long("entry")
        .help("Base URL of the entry to ask")
        .argument::<String>("URL");
    let service = positional::<String>("SERVICE").help("Name of the service");
    let client = positional("CLIENT").help("IP address of the client");
    let parser = construct!(Command::Lookup {
        entry,
        service,
        client
    });
    example(
        "lookup",
        "Asks an entry which entries a client should use",
        "Example: mangospindlectl lookup --entry http://10.0.0.1:8080 galeradas 192.0.2.7",
        parser,
    )
}
