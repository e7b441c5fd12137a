//! The phases of an experiment.

/// What happens to the deployment for a while.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// Both kinds of work well within what the fleet can take.
    Calm,
    /// Batch work at ten times what the fleet can take.
    BatchFlood,
    /// Interactive work at ten times what the fleet can take.
    InteractiveFlood,
    /// Batch tasks that use four times what they declare.
    NoisyWave,
    /// Ten workers fail everything.
    FailingWorkers,
    /// Run times are 0.2 to 5 times what is declared.
    WrongSizes,
}

impl Phase {
    /// Every phase, in the order of an experiment.
    pub const ALL: [Self; 6] = [
        Self::Calm,
        Self::BatchFlood,
        Self::InteractiveFlood,
        Self::NoisyWave,
        Self::FailingWorkers,
        Self::WrongSizes,
    ];

    /// The name in tables.
    ///
    /// ```
    /// assert_eq!(lycheelock::load::Phase::NoisyWave.name(), "noisy wave");
    /// ```
    pub const fn name(self) -> &'static str {
        match self {
            Self::Calm => "calm",
            Self::BatchFlood => "batch flood",
            Self::InteractiveFlood => "interactive flood",
            Self::NoisyWave => "noisy wave",
            Self::FailingWorkers => "failing workers",
            Self::WrongSizes => "wrong sizes",
        }
    }

    /// The phase with this name, dashes for spaces.
    ///
    /// ```
    /// use lycheelock::load::Phase;
    ///
    /// assert_eq!(Phase::find("batch-flood"), Some(Phase::BatchFlood));
    /// ```
    pub fn find(name: &str) -> Option<Self> {
        let name = name.replace('-', " ");
        Self::ALL.into_iter().find(|phase| phase.name() == name)
    }

    /// Interactive requests, in percent of what the fleet can take.
    pub const fn requests_percent(self) -> u32 {
        match self {
            Self::InteractiveFlood => 1000,
            Self::Calm
            | Self::BatchFlood
            | Self::NoisyWave
            | Self::FailingWorkers
            | Self::WrongSizes => 30,
        }
    }

    /// Batch work, in percent of what the fleet can take.
    pub const fn batch_percent(self) -> u32 {
        match self {
            Self::BatchFlood => 1000,
            Self::NoisyWave => 60,
            Self::Calm | Self::InteractiveFlood | Self::FailingWorkers | Self::WrongSizes => 40,
        }
    }

    /// What a task of this phase is given.
    pub fn payload(self, draw: u64) -> String {
        match self {
            Self::NoisyWave => "noise=400".to_owned(),
            Self::WrongSizes => {
                let percents = [20, 50, 100, 200, 500];
                format!("percent={}", percents[draw as usize % percents.len()])
            }
            Self::Calm | Self::BatchFlood | Self::InteractiveFlood | Self::FailingWorkers => {
                String::new()
            }
        }
    }

    /// How many workers fail everything.
    pub const fn failing(self) -> usize {
        match self {
            Self::FailingWorkers => 10,
            Self::Calm
            | Self::BatchFlood
            | Self::InteractiveFlood
            | Self::NoisyWave
            | Self::WrongSizes => 0,
        }
    }
}
