//! Parsing of a file and look-up of places in it.

use crate::SettingsError;
use jsonc_parser::ast::Value;
use jsonc_parser::common::Ranged;
use jsonc_parser::{CollectOptions, ParseOptions};
use miette::{NamedSource, SourceSpan};
use serde::de::DeserializeOwned;
use std::path::Path;

/// The text of a settings file.
pub(crate) struct Source {
    name: String,
    text: String,
}

/// A place in a file: object keys and array positions from the root.
pub(crate) type Place = Vec<Step>;

/// One step of a [`Place`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Step {
    Key(String),
    Index(usize),
}

/// JSON with comments and trailing commas, and nothing else beyond JSON.
const PARSE_OPTIONS: ParseOptions = ParseOptions {
    allow_comments: true,
    allow_loose_object_property_names: false,
    allow_trailing_commas: true,
    allow_missing_commas: false,
    allow_single_quoted_strings: false,
    allow_hexadecimal_numbers: false,
    allow_unary_plus_numbers: false,
    allow_bare_decimal_point_numbers: false,
    allow_extended_string_escapes: false,
    allow_non_finite_numbers: false,
};

impl Source {
    pub(crate) fn read(path: &Path) -> Result<Source, SettingsError> {
        let name = path.display().to_string();
        match std::fs::read_to_string(path) {
            Ok(text) => Ok(Source { name, text }),
            Err(e) => Err(SettingsError::new(
                format!("cannot read {name}: {e}"),
                NamedSource::new(name, String::new()),
                None,
                None,
            )),
        }
    }

    pub(crate) fn from_text(name: &str, text: &str) -> Source {
        Source {
            name: name.to_string(),
            text: text.to_string(),
        }
    }

    /// Parses the text into a type that mirrors the file.
    pub(crate) fn parse<T>(&self) -> Result<T, SettingsError>
    where
        T: DeserializeOwned,
    {
        let value: serde_json::Value =
            match jsonc_parser::parse_to_serde_value(&self.text, &PARSE_OPTIONS) {
                Ok(value) => value,
                Err(e) => {
                    let range = e.range();
                    let span = (range.start, range.end.saturating_sub(range.start)).into();
                    return Err(self.error_at(Some(span), e.kind().to_string(), None));
                }
            };
        serde_path_to_error::deserialize(value).map_err(|e| {
            let place = (e.path().iter()).filter_map(step_from_serde).collect();
            self.error(&place, e.inner().to_string(), None)
        })
    }

    /// Builds an error that points at a place. The nearest enclosing value is marked if the place
    /// itself is missing.
    pub(crate) fn error(
        &self,
        place: &Place,
        message: String,
        help: Option<String>,
    ) -> SettingsError {
        self.error_at(self.span(place), message, help)
    }

    fn error_at(
        &self,
        span: Option<SourceSpan>,
        message: String,
        help: Option<String>,
    ) -> SettingsError {
        let source = NamedSource::new(&self.name, self.text.clone()).with_language("json");
        SettingsError::new(message, source, span, help)
    }

    fn span(&self, place: &Place) -> Option<SourceSpan> {
        let parsed =
            jsonc_parser::parse_to_ast(&self.text, &CollectOptions::default(), &PARSE_OPTIONS)
                .ok()?;
        let root = parsed.value?;
        let mut value = &root;
        for step in place {
            let next = match (step, value) {
                (Step::Key(key), Value::Object(object)) => (object.properties.iter())
                    .find(|p| p.name.as_str() == key)
                    .map(|p| &p.value),
                (Step::Index(i), Value::Array(array)) => array.elements.get(*i),
                _ => None,
            };
            match next {
                Some(next) => value = next,
                None => break,
            }
        }
        let range = value.range();
        Some((range.start, range.end - range.start).into())
    }
}

fn step_from_serde(segment: &serde_path_to_error::Segment) -> Option<Step> {
    use serde_path_to_error::Segment;
    match segment {
        Segment::Seq { index } => Some(Step::Index(*index)),
        Segment::Map { key } => Some(Step::Key(key.clone())),
        Segment::Enum { .. } | Segment::Unknown => None,
    }
}

/// Builds a place from alternating keys and positions.
macro_rules! place {
    ($($step:expr),* $(,)?) => {
        vec![$($crate::source::Step::from($step)),*]
    };
}
pub(crate) use place;

impl From<&str> for Step {
    fn from(key: &str) -> Self {
        Step::Key(key.to_string())
    }
}

impl From<usize> for Step {
    fn from(index: usize) -> Self {
        Step::Index(index)
    }
}
