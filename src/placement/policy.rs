//! The policies that can be compared.

use std::str::FromStr;

/// How workers and tasks are chosen.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Policy {
    /// The policy of the product.
    #[default]
    Shipped,
    /// Any worker with room.
    Random,
    /// The first worker with room, in the order of arrival.
    Fifo,
}

impl Policy {
    /// Every policy.
    pub const ALL: [Self; 3] = [Self::Shipped, Self::Random, Self::Fifo];

    /// The name on the command line.
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

    /// Whether the policy learns interference, sizes and run times.
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
