//! Measures a local deployment of real processes, and two baselines without entries, under the same
//! seeded load, and compares results.

mod case;
mod class_result;
mod compare;
mod measure;
mod options;
mod policy;
mod policy_result;
mod result;

use miette::{IntoDiagnostic, Result, WrapErr};
use options::Options;
use result::ExperimentResult;
use std::path::Path;

#[actix_rt::main]
async fn main() -> Result<()> {
    match options::parser().run() {
        Options::Run(run) => {
            let result = measure::measure(&run).await?;
            print!("{result}");
            if let Some(path) = &run.json {
                let text = serde_json::to_string_pretty(&result).into_diagnostic()?;
                std::fs::write(path, text).into_diagnostic()?;
            }
        }
        Options::Compare { before, after } => {
            compare::print(&read(&before)?, &read(&after)?);
        }
    }
    Ok(())
}

fn read(path: &Path) -> Result<ExperimentResult> {
    let text = std::fs::read_to_string(path)
        .into_diagnostic()
        .wrap_err_with(|| path.display().to_string())?;
    serde_json::from_str(&text)
        .into_diagnostic()
        .wrap_err_with(|| path.display().to_string())
}
