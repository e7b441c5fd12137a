//! What is wrong in a settings file.

use std::fmt;

/// One fault of a settings file or questionnaire.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// The file.
    pub file: String,
    /// The section; empty for keys before the first section.
    pub section: String,
    /// The key; empty when the section itself is at fault.
    pub key: String,
    /// The value, if there is one.
    pub value: Option<String>,
    /// What is wrong and what would be accepted.
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
