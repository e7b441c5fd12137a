//! The placement policies: the default and two baselines to compare it with.

use std::str::FromStr;

/// How a worker is chosen among those with free capacity.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Policy {
    /// The default: the worker with the lowest expected cost, which includes the
    /// learned interference.
    #[default]
    Shipped,
    /// A random worker with free capacity.
    Random,
    /// The first worker with free capacity, in the order in which workers were added.
    Fifo,
}

impl Policy {
    /// All policies, for parsing and comparison runs.
    pub const ALL: [Self; 3] = [Self::Shipped, Self::Random, Self::Fifo];

    /// Returns the name of the policy on the command line.
    ///
    /// ```
    /// assert_eq!(lycheelock::placement::Policy::Fifo.name(), "baseline-fifo");
    /// ```
    pub const fn name(self) -> &'static str {
        match self {
            Self::Shipped => "shipped",
            Self::Random => "baseline-random",
            Self::Fifo => "baseline-fifo",
        }
    }

    /// Whether the policy lowers the speed limit of batch tasks by the learned
    /// interference.
    pub const fn learns(self) -> bool {
        match self {
            Self::Shipped => true,
            Self::Random | Self::Fifo => false,
        }
    }
}

impl FromStr for Policy {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let found = Self::ALL.into_iter().find(|policy| policy.name() == text);
        found.ok_or_else(|| {
            let names: Vec<&str> = Self::ALL.iter().map(|policy| policy.name()).collect();
            format!("{text:?} is not one of {}", names.join(", "))
        })
    }
}
