//! The queues of the operator's configuration.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// A queue of jobs with its terms.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Queue {
    /// Its name.
    pub name: String,
    /// The host name that callers use.
    pub host: String,
    /// What the path of its requests begins with.
    pub prefix: String,
    /// The pool of workers that runs its tasks.
    pub pool: String,
    /// The longest that a request may take.
    pub timeout: Duration,
    /// The latency that is allowed beside the stretched work.
    pub target: Duration,
    /// 0 comes first.
    pub priority: u32,
    /// How often a task may fail before its job does.
    pub attempts: u32,
    /// The allowed time as a multiple of the longest chain of work.
    pub stretch: f64,
}

/// All queues of one version of the configuration.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Queues {
    /// The version.
    pub version: u64,
    /// The queues.
    pub list: Vec<Queue>,
    /// The largest header, in bytes.
    pub header_limit: u64,
    /// The largest body, in bytes.
    pub body_limit: u64,
}

/// The queue that a request means, and the rest of its path.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Target<'a> {
    /// The queue.
    pub queue: &'a Queue,
    /// What follows the queue's prefix.
    pub rest: &'a str,
}

impl Queues {
    /// Finds the queue of the longest prefix for a host name and a path.
    ///
    /// ```
    /// use lycheelock::routing::{Queue, Queues};
    ///
    /// let queue = Queue { host: "a.example".into(), prefix: "/q/".into(), ..Queue::default() };
    /// let queues = Queues { list: vec![queue], ..Queues::default() };
    /// assert_eq!(queues.find("a.example", "/q/17").unwrap().rest, "17");
    /// assert!(queues.find("b.example", "/q/17").is_none());
    /// ```
    pub fn find<'a>(&'a self, host: &str, path: &'a str) -> Option<Target<'a>> {
        let matching = self
            .list
            .iter()
            .filter(|queue| queue.host.eq_ignore_ascii_case(host))
            .filter(|queue| path.starts_with(&queue.prefix));
        let queue = matching.max_by_key(|queue| queue.prefix.len())?;
        let rest = &path[queue.prefix.len()..];
        Some(Target { queue, rest })
    }

    /// The queue of this name.
    ///
    /// ```
    /// assert!(lycheelock::routing::Queues::default().named("a").is_none());
    /// ```
    pub fn named(&self, name: &str) -> Option<&Queue> {
        self.list.iter().find(|queue| queue.name == name)
    }
}
