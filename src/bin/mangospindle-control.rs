//! A control replica.

use bpaf::{Parser, long};
use mangospindle_settings::ControlSettings;
use std::path::PathBuf;

fn main() -> miette::Result<()> {
    let settings = long("settings")
        .help("Settings file, JSON with comments")
        .argument::<PathBuf>("FILE")
        .to_options()
        .descr("A control replica of mangospindle")
        .run();
    let settings = ControlSettings::load(&settings)?;
    let process = format!("control-{}", settings.replica);
    mangospindle_telemetry::init_logging(&process, &settings.log_level)?;
    actix_web::rt::System::new().block_on(mangospindle_control::run(settings))
}
