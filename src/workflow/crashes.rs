//! The crashes of workers under a task, and what they say about the task.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// The time after which a run is no likely cause of a crash of its worker.
pub const SURVIVAL_TIME: Duration = Duration::from_millis(500);
/// The factor by which the time to survive grows with each later crash, so that a task
/// that crashes its workers late becomes a suspect as well.
const SURVIVAL_FACTOR: u32 = 6;
/// The limit on the later crashes that count.
const MAX_LATE_CRASHES: usize = 3;
/// The limit on the recorded crashes under runs that may not have begun.
const MAX_UNCERTAIN_CRASHES: usize = 3;
/// A run that survives for this long clears its task of all crashes.
const RECORD_RETENTION: Duration = Duration::from_secs(60);

/// The number of crashes after which a task is given up if it was the sole suspect of
/// the last one.
const MAX_SOLE_CRASHES: usize = 2;
/// The number of crashes after which a task is given up in any case.
const MAX_SUSPECTED_CRASHES: usize = 3;

/// A crash of a worker under a run that had begun and was a suspect.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectedCrash {
    /// The number of the run.
    pub run: u64,
    /// Whether no other run on the worker was a suspect.
    pub sole: bool,
}

/// The crashes of workers under one task. They are told apart by the numbers of the
/// runs that they ended, so that a crash counts once.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashRecord {
    suspected: Vec<SuspectedCrash>,
    late: Vec<u64>,
    /// The runs that may not have begun; records of earlier versions have none.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    uncertain: Vec<u64>,
}

impl CrashRecord {
    /// Returns the crashes under runs that had begun and were suspects, the oldest first.
    pub fn suspected(&self) -> &[SuspectedCrash] {
        &self.suspected
    }

    /// Returns the crashes under a gang, given the records of its members. Several members
    /// that are suspects in one run count as one crash, and none as the sole suspect.
    ///
    /// ```
    /// use lycheelock::workflow::CrashRecord;
    ///
    /// let mut members = [CrashRecord::default(), CrashRecord::default()];
    /// for (member, run) in [(0, 7), (1, 7), (1, 8)] {
    ///     members[member].record_suspected(run, true);
    /// }
    /// assert!(!CrashRecord::of_gang(members.iter()).is_hopeless());
    /// members[0].record_suspected(9, true);
    /// assert!(CrashRecord::of_gang(members.iter()).is_hopeless());
    /// ```
    pub fn of_gang<'a>(members: impl Iterator<Item = &'a Self>) -> Self {
        let mut gang = Self::default();
        for crash in members.flat_map(|member| &member.suspected) {
            gang.record_suspected(crash.run, false);
        }
        gang.suspected.sort_by_key(|crash| crash.run);
        gang
    }

    /// Whether no crash is recorded.
    pub const fn is_empty(&self) -> bool {
        self.count() == 0
    }

    /// Returns the number of recorded crashes.
    pub const fn count(&self) -> usize {
        self.suspected.len() + self.late.len() + self.uncertain.len()
    }

    /// Whether the task may be what crashed a worker.
    pub const fn is_suspect(&self) -> bool {
        !self.suspected.is_empty() || !self.uncertain.is_empty()
    }

    /// Whether the task is to be given up. Crashes under runs that may not have begun do
    /// not count, as a worker that crashes before the start order arrives gives no answer
    /// either.
    ///
    /// ```
    /// use lycheelock::workflow::CrashRecord;
    ///
    /// let mut crashes = CrashRecord::default();
    /// crashes.record_suspected(7, true);
    /// assert!(!crashes.is_hopeless());
    /// crashes.record_suspected(8, false);
    /// assert!(!crashes.is_hopeless());
    /// crashes.record_uncertain(9);
    /// assert!(!crashes.is_hopeless());
    /// crashes.record_suspected(10, true);
    /// assert!(crashes.is_hopeless());
    /// ```
    pub fn is_hopeless(&self) -> bool {
        let count = self.suspected.len();
        let sole = self.suspected.last().is_some_and(|crash| crash.sole);
        count >= MAX_SUSPECTED_CRASHES || (count >= MAX_SOLE_CRASHES && sole)
    }

    /// Returns for how long a run must survive to be no suspect.
    ///
    /// ```
    /// use std::time::Duration;
    /// use lycheelock::workflow::CrashRecord;
    ///
    /// let mut crashes = CrashRecord::default();
    /// assert_eq!(crashes.survival_time(), Duration::from_millis(500));
    /// crashes.record_late(7);
    /// assert_eq!(crashes.survival_time(), Duration::from_secs(3));
    /// ```
    pub fn survival_time(&self) -> Duration {
        let late = self.late.len().min(MAX_LATE_CRASHES);
        SURVIVAL_TIME * SURVIVAL_FACTOR.pow(late as u32)
    }

    /// Records a crash under a run that had begun and was a suspect.
    pub fn record_suspected(&mut self, run: u64, sole: bool) {
        if self.suspected.iter().all(|crash| crash.run != run) {
            self.suspected.push(SuspectedCrash { run, sole });
        }
    }

    /// Records a crash under a run that may not have begun.
    pub fn record_uncertain(&mut self, run: u64) {
        if !self.uncertain.contains(&run) && self.uncertain.len() < MAX_UNCERTAIN_CRASHES {
            self.uncertain.push(run);
        }
    }

    /// Records a crash under a run that had survived for long enough.
    pub fn record_late(&mut self, run: u64) {
        if !self.late.contains(&run) && self.late.len() < MAX_LATE_CRASHES {
            self.late.push(run);
        }
    }

    /// Forgets the crash under a run that has not ended, as its worker still reports it.
    /// Returns whether one was recorded.
    pub fn retract(&mut self, run: u64) -> bool {
        let before = self.count();
        self.suspected.retain(|crash| crash.run != run);
        self.late.retain(|late| *late != run);
        self.uncertain.retain(|uncertain| *uncertain != run);
        self.count() < before
    }

    /// Records for how long a run has survived.
    ///
    /// ```
    /// use std::time::Duration;
    /// use lycheelock::workflow::CrashRecord;
    ///
    /// let mut crashes = CrashRecord::default();
    /// crashes.record_suspected(7, false);
    /// crashes.record_uncertain(8);
    /// crashes.record_survival(Duration::from_millis(400));
    /// assert_eq!(crashes.count(), 2);
    /// crashes.record_survival(Duration::from_millis(500));
    /// assert!(crashes.is_empty());
    /// ```
    pub fn record_survival(&mut self, survived: Duration) {
        if survived >= RECORD_RETENTION {
            *self = Self::default();
        } else if survived >= self.survival_time() {
            self.suspected.retain(|crash| crash.sole);
            self.uncertain.clear();
        }
    }
}
