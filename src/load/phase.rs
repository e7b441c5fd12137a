//! The phases of an experiment and the load in each.

/// The load and faults that the deployment is exposed to for one part of an experiment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// Interactive and batch work are well below the capacity of the fleet.
    Calm,
    /// Batch work is ten times the capacity of the fleet.
    BatchFlood,
    /// Interactive work is ten times the capacity of the fleet.
    InteractiveFlood,
    /// Batch tasks use four times the resources they declare.
    NoisyWave,
    /// Ten workers fail every request and task.
    FailingWorkers,
    /// Tasks run for 0.2 to 5 times their declared duration.
    WrongSizes,
}

impl Phase {
    /// All phases, in the order in which an experiment runs them.
    pub const ALL: [Self; 6] = [
        Self::Calm,
        Self::BatchFlood,
        Self::InteractiveFlood,
        Self::NoisyWave,
        Self::FailingWorkers,
        Self::WrongSizes,
    ];

    /// Returns the name that tables and plots show.
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

    /// Finds a phase by its name, in which dashes may stand for spaces.
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

    /// Returns the rate of interactive requests, in percent of the capacity of the fleet.
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

    /// Returns the amount of batch work, in percent of the capacity of the fleet.
    pub const fn batch_percent(self) -> u32 {
        match self {
            Self::BatchFlood => 1000,
            Self::NoisyWave => 60,
            Self::Calm | Self::InteractiveFlood | Self::FailingWorkers | Self::WrongSizes => 40,
        }
    }

    /// Returns the payload of a task, which tells the simulated worker how the task
    /// deviates from its declaration. `draw` selects one of several deviations.
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

    /// Returns the number of workers that fail every request and task.
    pub const fn failing_workers(self) -> usize {
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
