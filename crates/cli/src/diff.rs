use serde_json::Value;
use std::collections::BTreeMap;

/// Lines for each field that differs, `-` for the old value and `+` for the new one. Empty if the
/// values are equal.
pub(crate) fn diff(old: &Value, new: &Value) -> String {
    let (old, new) = (fields(old), fields(new));
    let mut text = String::new();
    for path in old
        .keys()
        .chain(new.keys().filter(|k| !old.contains_key(*k)))
    {
        let (before, after) = (old.get(path), new.get(path));
        if before == after {
            continue;
        }
        if let Some(value) = before {
            text.push_str(&format!("-{path}: {value}\n"));
        }
        if let Some(value) = after {
            text.push_str(&format!("+{path}: {value}\n"));
        }
    }
    text
}

/// The values that are not objects, by their path.
fn fields(value: &Value) -> BTreeMap<String, &Value> {
    fn collect<'a>(path: &str, value: &'a Value, into: &mut BTreeMap<String, &'a Value>) {
        match value {
            Value::Object(object) => {
                for (name, value) in object {
                    let dot = if path.is_empty() { "" } else { "." };
                    collect(&format!("{path}{dot}{name}"), value, into);
                }
            }
            other => {
                into.insert(path.to_string(), other);
            }
        }
    }
    let mut found = BTreeMap::new();
    collect("", value, &mut found);
    found
}
