//! Parsers for the values of settings files.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use crate::locality::RemoteFactor;

/// A parser for one kind of value, with a description of what it accepts.
pub struct Form<T> {
    /// A description of the accepted values, for error messages.
    pub expected: &'static str,
    /// The parser; it returns `None` for a value that it does not accept.
    pub parse: fn(&str) -> Option<T>,
}

impl<T> fmt::Debug for Form<T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Form")
            .field("expected", &self.expected)
            .finish()
    }
}

/// Any non-empty text.
pub const TEXT: Form<String> = Form {
    expected: "a text that is not empty",
    parse: |text| (!text.is_empty()).then(|| text.to_owned()),
};

/// A name of letters, digits, `-` and `_`.
pub const NAME: Form<String> = Form {
    expected: "a name of letters, digits, - and _",
    parse: |text| is_name(text).then(|| text.to_owned()),
};

/// Names separated by commas.
pub const NAMES: Form<Vec<String>> = Form {
    expected: "names of letters, digits, - and _, separated by commas",
    parse: parse_names,
};

/// Texts separated by commas; empty ones are left out.
pub const TEXTS: Form<Vec<String>> = Form {
    expected: "texts separated by commas",
    parse: |text| {
        let parts = text.split(',').map(|part| part.trim().to_owned());
        Some(parts.filter(|part| !part.is_empty()).collect())
    },
};

/// An IP address with a port.
pub const ADDRESS: Form<SocketAddr> = Form {
    expected: "an IP address and port such as 127.0.0.1:7000",
    parse: |text| text.parse().ok(),
};

/// A duration above zero, with its unit.
pub const DURATION: Form<Duration> = Form {
    expected: "a duration above zero with its unit, such as 250ms, 2s or 9h",
    parse: |text| {
        humantime::parse_duration(text)
            .ok()
            .filter(|duration| !duration.is_zero())
    },
};

/// A whole number above zero.
pub const COUNT: Form<u32> = Form {
    expected: "a whole number above 0",
    parse: |text| text.parse().ok().filter(|count| *count > 0),
};

/// A whole number, zero included.
pub const NUMBER: Form<u32> = Form {
    expected: "a whole number, 0 or more",
    parse: |text| text.parse().ok(),
};

/// A size above zero in bytes, with an optional unit: KB, MB or GB, in powers of
/// 1024.
pub const SIZE: Form<u64> = Form {
    expected: "a size such as 512KB, 16MB or 2GB",
    parse: parse_size,
};

/// `yes` or `no`.
pub const YES_NO: Form<bool> = Form {
    expected: "yes or no",
    parse: |text| match text {
        "yes" => Some(true),
        "no" => Some(false),
        _ => None,
    },
};

/// A number of processor cores, parsed into thousandths of a core.
pub const CORES: Form<u32> = Form {
    expected: "processor cores such as 2 or 0.5",
    parse: |text| {
        let cores: f64 = text.parse().ok()?;
        let accepted = cores > 0.0 && cores < 10_000.0;
        accepted.then_some((cores * 1000.0).round() as u32)
    },
};

/// How many times as long a task takes away from the rack of its data.
pub const REMOTE_FACTOR: Form<RemoteFactor> = Form {
    expected: "a number from 1 to 100 such as 2 or 2.5",
    parse: |text| {
        let factor: f64 = text.parse().ok()?;
        // Also false for a value that is not a number.
        let accepted = (1.0..=100.0).contains(&factor);
        let thousandths = accepted.then(|| (factor * 1000.0).round() as u32)?;
        RemoteFactor::from_thousandths(thousandths)
    },
};

fn is_name(text: &str) -> bool {
    let accepted = |c: char| c.is_ascii_alphanumeric() || c == '-' || c == '_';
    !text.is_empty() && text.chars().all(accepted)
}

fn parse_names(text: &str) -> Option<Vec<String>> {
    let names: Vec<&str> = text.split(',').map(str::trim).collect();
    let accepted = names.iter().all(|name| is_name(name));
    accepted.then(|| names.into_iter().map(str::to_owned).collect())
}

fn parse_size(text: &str) -> Option<u64> {
    const UNITS: [(&str, u64); 3] = [("KB", 1 << 10), ("MB", 1 << 20), ("GB", 1 << 30)];
    let found = UNITS
        .iter()
        .find_map(|(unit, factor)| Some((text.strip_suffix(unit)?, *factor)));
    let (digits, factor) = found.unwrap_or((text, 1));
    let count: u64 = digits.trim().parse().ok()?;
    count.checked_mul(factor).filter(|size| *size > 0)
}
