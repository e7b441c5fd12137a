//! Reads an INI file and collects all of its faults.

use std::collections::BTreeSet;
use std::fs;
use std::path::Path;

use ini::{Ini, ParseOption, Properties};

use super::{Fault, form::Form};
use crate::{Error, Result};

/// An INI file under check, with the faults found so far.
#[derive(Debug)]
pub struct Source {
    file: String,
    ini: Ini,
    faults: Vec<Fault>,
    /// The names of all sections that were asked for; any other section is a fault.
    known: BTreeSet<String>,
}

impl Source {
    /// Reads a file.
    ///
    /// # Errors
    ///
    /// Fails when the file cannot be read or is not INI.
    pub fn read(path: &Path) -> Result<Self> {
        let text = fs::read_to_string(path).map_err(|source| Error::Read {
            path: path.to_owned(),
            source,
        })?;
        let file = path.file_name().unwrap_or(path.as_os_str());
        Self::parse(&file.to_string_lossy(), &text)
    }

    /// Parses a text; `file` is the file name shown in faults.
    ///
    /// # Errors
    ///
    /// Fails when the text is not INI.
    ///
    /// ```
    /// use lycheelock::settings::{Source, form};
    ///
    /// let mut source = Source::parse("a.ini", "[entry]\nzone = gt-a\n").unwrap();
    /// let mut section = source.section("entry").unwrap();
    /// assert_eq!(section.required("zone", &form::NAME), Some("gt-a".to_owned()));
    /// ```
    pub fn parse(file: &str, text: &str) -> Result<Self> {
        let option = ParseOption {
            enabled_quote: false,
            enabled_escape: false,
            ..ParseOption::default()
        };
        let ini = Ini::load_from_str_opt(text, option).map_err(|error| {
            Error::Settings(vec![Fault {
                file: file.to_owned(),
                section: String::new(),
                key: String::new(),
                value: None,
                message: format!("line {}: {}", error.line, error.msg),
            }])
        })?;
        Ok(Self {
            file: file.to_owned(),
            ini,
            faults: Vec::new(),
            known: BTreeSet::new(),
        })
    }

    /// Returns the section with this name, if the file has it.
    pub fn section(&mut self, name: &str) -> Option<Section<'_>> {
        self.known.insert(name.to_owned());
        let all: Vec<&Properties> = self.ini.section_all(Some(name)).collect();
        let properties = (*all.first()?).clone();
        if all.len() > 1 {
            self.faults.push(Fault {
                file: self.file.clone(),
                section: name.to_owned(),
                key: String::new(),
                value: None,
                message: "the section is given more than once".to_owned(),
            });
        }
        Some(Section {
            source: self,
            name: name.to_owned(),
            properties,
            known: BTreeSet::new(),
        })
    }

    /// Returns the section with this name and reports a fault if it is missing.
    pub fn required_section(&mut self, name: &str) -> Option<Section<'_>> {
        if self.ini.section(Some(name)).is_none() {
            self.report(name, "", None, "the section is missing");
        }
        self.section(name)
    }

    /// Returns the names in all section headers of the form `prefix:name`, such as
    /// `service:shortlist`.
    pub fn names_with_prefix(&self, prefix: &str) -> Vec<String> {
        let start = format!("{prefix}:");
        let sections = self.ini.sections().flatten();
        let mut names: Vec<String> = sections
            .filter_map(|section| section.strip_prefix(&start))
            .map(str::to_owned)
            .collect();
        names.dedup();
        names
    }

    /// Records a fault.
    pub fn report(&mut self, section: &str, key: &str, value: Option<&str>, message: &str) {
        self.faults.push(Fault {
            file: self.file.clone(),
            section: section.to_owned(),
            key: key.to_owned(),
            value: value.map(str::to_owned),
            message: message.to_owned(),
        });
    }

    /// Finishes the check; unknown sections are faults too.
    ///
    /// # Errors
    ///
    /// Fails with all faults of the file.
    pub fn finish(mut self) -> Result<()> {
        let sections: Vec<Option<String>> = self
            .ini
            .sections()
            .map(|name| name.map(str::to_owned))
            .collect();
        for name in sections {
            self.check_section(name.as_deref());
        }
        if self.faults.is_empty() {
            return Ok(());
        }
        Err(Error::Settings(self.faults))
    }

    fn check_section(&mut self, name: Option<&str>) {
        let Some(name) = name else {
            let keys = self.ini.general_section().iter();
            let keys: Vec<String> = keys.map(|(key, _)| key.to_owned()).collect();
            for key in keys {
                self.report("", &key, None, "the key precedes the first section");
            }
            return;
        };
        if !self.known.contains(name) {
            let known: Vec<&str> = self.known.iter().map(String::as_str).collect();
            let message = format!("unknown section; known: {}", known.join(", "));
            self.report(name, "", None, &message);
        }
    }
}

/// One section of a [`Source`].
#[derive(Debug)]
pub struct Section<'a> {
    source: &'a mut Source,
    name: String,
    properties: Properties,
    /// All keys that were asked for; any other key is a fault.
    known: BTreeSet<&'static str>,
}

impl Section<'_> {
    /// Returns a required value. A missing or invalid value is a fault.
    pub fn required<T>(&mut self, key: &'static str, form: &Form<T>) -> Option<T> {
        if !self.properties.contains_key(key) {
            self.known.insert(key);
            let message = format!("the key is missing; give {}", form.expected);
            self.source.report(&self.name, key, None, &message);
            return None;
        }
        self.optional(key, form)
    }

    /// Returns an optional value. An invalid or repeated value is a fault.
    pub fn optional<T>(&mut self, key: &'static str, form: &Form<T>) -> Option<T> {
        self.known.insert(key);
        let values: Vec<&str> = self.properties.get_all(key).collect();
        if values.len() > 1 {
            let message = "the key is given more than once";
            self.source
                .report(&self.name, key, Some(values[1]), message);
        }
        let value = values.first()?;
        let parsed = (form.parse)(value);
        if parsed.is_none() {
            let message = format!("not accepted; give {}", form.expected);
            self.source.report(&self.name, key, Some(value), &message);
        }
        parsed
    }

    /// Returns an optional value, or `default` if it is absent or invalid.
    pub fn value<T>(&mut self, key: &'static str, form: &Form<T>, default: T) -> T {
        self.optional(key, form).unwrap_or(default)
    }

    /// Records a fault of a key.
    pub fn report(&mut self, key: &str, message: &str) {
        let value = self.properties.get(key).map(str::to_owned);
        self.source
            .report(&self.name, key, value.as_deref(), message);
    }

    /// Finishes the section; unknown keys are faults.
    pub fn finish(self) {
        let unknown: Vec<(String, String)> = self
            .properties
            .iter()
            .filter(|(key, _)| !self.known.contains(key))
            .map(|(key, value)| (key.to_owned(), value.to_owned()))
            .collect();
        let known: Vec<&str> = self.known.iter().copied().collect();
        for (key, value) in unknown {
            let message = format!("unknown key; known: {}", known.join(", "));
            self.source.report(&self.name, &key, Some(&value), &message);
        }
    }
}
