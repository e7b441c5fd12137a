//! A fault found in a settings file or questionnaire.

use std::fmt;

/// One fault of a settings file or questionnaire.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// The name of the file.
    pub file: String,
    /// The section's name; empty for keys before the first section.
    pub section: String,
    /// The key; empty when the fault concerns the whole section.
    pub key: String,
    /// The value of the key; absent when the file gives none.
    pub value: Option<String>,
    /// What is wrong, and which values are accepted.
    pub message: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: [{}]", self.file, self.section)?;
        if !self.key.is_empty() {
            write!(f, " {}", self.key)?;
        }
        if let Some(value) = &self.value {
            write!(f, " = {value:?}")?;
        }
        write!(f, ": {}", self.message)
    }
}
