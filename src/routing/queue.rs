//! Queues as the operator configures them.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// A queue of jobs and the settings with which its jobs run.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Queue {
    /// The name of the queue.
    pub name: String,
    /// The host name that callers send their requests to.
    pub host: String,
    /// The prefix of the request paths that belong to the queue.
    pub prefix: String,
    /// The pool of workers that runs the queue's tasks.
    pub pool: String,
    /// The time limit of a request.
    pub timeout: Duration,
    /// The latency allowed to a job in addition to its stretched critical path.
    #[serde(rename = "target")]
    pub latency_target: Duration,
    /// The priority of the queue; 0 is the highest.
    pub priority: u32,
    /// The number of failures of one task after which its job fails.
    pub attempts: u32,
    /// The factor by which the estimated critical path of a job is multiplied to get
    /// its allowed time, before the latency target is added.
    pub stretch: f64,
}

/// The limit on [`Queue::stretch`].
pub const MAX_STRETCH: f64 = 1000.0;
/// The limit on [`Queue::latency_target`].
const MAX_LATENCY_TARGET: Duration = Duration::from_hours(366 * 24);

impl Queue {
    /// Checks the settings with which times are calculated. A stored job holds them as they
    /// were when it was accepted.
    ///
    /// # Errors
    ///
    /// Fails with a sentence that names the field and the value.
    ///
    /// ```
    /// use lycheelock::routing::Queue;
    ///
    /// let odd = Queue { stretch: -1.0, ..Queue::default() };
    /// assert_eq!(odd.check().unwrap_err(), "stretch of -1: give 0 to 1000");
    /// assert!(Queue::default().check().is_ok());
    /// ```
    pub fn check(&self) -> Result<(), String> {
        let (stretch, target) = (self.stretch, self.latency_target);
        if !(0.0..=MAX_STRETCH).contains(&stretch) {
            return Err(format!("stretch of {stretch}: give 0 to {MAX_STRETCH}"));
        }
        if target > MAX_LATENCY_TARGET {
            return Err(format!(
                "latency target of {target:?}: give at most {MAX_LATENCY_TARGET:?}"
            ));
        }
        Ok(())
    }
}

/// The queues and limits of one version of the configuration.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Queues {
    /// The version of the configuration.
    pub version: u64,
    /// All configured queues.
    pub list: Vec<Queue>,
    /// The limit on the headers of a request, in bytes.
    pub header_limit: u64,
    /// The limit on the body of a request, in bytes.
    pub body_limit: u64,
}

/// The queue that a request belongs to, and the rest of its path.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QueueMatch<'a> {
    /// The queue whose prefix matched.
    pub queue: &'a Queue,
    /// The part of the path after the queue's prefix.
    pub rest: &'a str,
}

impl Queues {
    /// Finds the queue of a host name that has the longest matching path prefix.
    ///
    /// ```
    /// use lycheelock::routing::{Queue, Queues};
    ///
    /// let queue = Queue { host: "a.example".into(), prefix: "/q/".into(), ..Queue::default() };
    /// let queues = Queues { list: vec![queue], ..Queues::default() };
    /// assert_eq!(queues.find("a.example", "/q/17").unwrap().rest, "17");
    /// assert!(queues.find("b.example", "/q/17").is_none());
    /// ```
    pub fn find<'a>(&'a self, host: &str, path: &'a str) -> Option<QueueMatch<'a>> {
        let matching = self
            .list
            .iter()
            .filter(|queue| queue.host.eq_ignore_ascii_case(host))
            .filter(|queue| path.starts_with(&queue.prefix));
        let queue = matching.max_by_key(|queue| queue.prefix.len())?;
        let rest = &path[queue.prefix.len()..];
        Some(QueueMatch { queue, rest })
    }

    /// Returns the queue with this name.
    ///
    /// ```
    /// assert!(lycheelock::routing::Queues::default().named("a").is_none());
    /// ```
    pub fn named(&self, name: &str) -> Option<&Queue> {
        self.list.iter().find(|queue| queue.name == name)
    }
}
