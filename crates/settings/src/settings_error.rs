use miette::{Diagnostic, NamedSource, SourceSpan};
use std::fmt;
use std::sync::Arc;

/// Why a settings file is refused, with the place in the file.
#[derive(Debug, Diagnostic)]
#[diagnostic(code(mangospindle::settings))]
pub struct SettingsError {
    message: String,
    #[source_code]
    // Shared, so that the error stays small in results.
    source_code: Arc<NamedSource<String>>,
    #[label("here")]
    span: Option<SourceSpan>,
    #[help]
    help: Option<String>,
}

impl SettingsError {
    pub(crate) fn new(
        message: String,
        source_code: NamedSource<String>,
        span: Option<SourceSpan>,
        help: Option<String>,
    ) -> Self {
        SettingsError {
            message,
            source_code: Arc::new(source_code),
            span,
            help,
        }
    }

    /// Byte range of the offending text, if it is known.
    pub fn span(&self) -> Option<SourceSpan> {
        self.span
    }
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.message)
    }
}

impl std::error::Error for SettingsError {}
