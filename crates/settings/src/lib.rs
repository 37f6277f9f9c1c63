//! Settings files in JSON with comments.
//!
//! Files are strict: unknown keys, wrong units and impossible values are refused with a
//! [`SettingsError`] that points at the place in the file. The types that mirror a file are
//! converted to the types of [`mangospindle_model`] by `TryFrom`.

mod bandwidth_text;
mod control_settings;
mod deployment;
mod deployment_file;
mod duration_text;
mod entry_settings;
mod gateway_settings;
mod open_control_settings;
mod profile_file;
mod settings_command;
mod settings_error;
mod source;
mod token_settings;

pub use control_settings::{ControlSettings, ReplicaAddress};
pub use deployment::Deployment;
pub use entry_settings::EntrySettings;
pub use gateway_settings::GatewayFile;
pub use open_control_settings::{OpenControlFile, ReaderFile};
pub use settings_command::{CommandHelp, SettingsCommand};
pub use settings_error::SettingsError;
pub use token_settings::{TokenRole, TokenSettings};
