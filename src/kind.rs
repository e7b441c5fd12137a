//! The closed list of refusals, with a table from each kind to its answer.

use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// What is known about whether a request ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Run {
    /// It is proven that nothing ran.
    No,
    /// It may have run.
    Unknown,
    /// It ran, once.
    Yes,
}

impl Run {
    /// The word in bodies and headers.
    ///
    /// ```
    /// assert_eq!(lycheelock::kind::Run::No.name(), "no");
    /// ```
    pub const fn name(self) -> &'static str {
        match self {
            Self::No => "no",
            Self::Unknown => "unknown",
            Self::Yes => "yes",
        }
    }
}

/// Why a request was not answered by a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ErrorKind {
    /// A header, a path or a body is malformed.
    BadRequest,
    /// The service is not in the configuration.
    UnknownService,
    /// The team is not in the configuration.
    UnknownTeam,
    /// The job class is not in the configuration.
    UnknownClass,
    /// The token is missing or wrong.
    BadToken,
    /// A body or header is over its limit.
    TooLarge,
    /// The deadline would pass before the request could be answered.
    DeadlineTooShort,
    /// The team uses all of its quota.
    QuotaExceeded,
    /// All slots are taken and the queue is full.
    Overloaded,
    /// No worker may be used now.
    NoWorker,
    /// The platform's store is out of reach and the request needs it.
    StoreUnavailable,
    /// The entry host that owns the shard is out of reach.
    OwnerUnavailable,
    /// This entry host has no configuration yet.
    NotReady,
    /// This entry host is stopping.
    Stopping,
    /// A request with the same idempotency key is being carried out.
    InProgress,
    /// The idempotency key was used before with another request.
    KeyReused,
    /// No worker of the shard can hold a task of this job.
    FitsNoWorker,
    /// The job is unknown.
    UnknownJob,
    /// The deadline passed before anything was sent to a worker.
    DeadlinePassed,
    /// The answer of the worker was lost.
    AnswerLost,
    /// The keyed request ran, but its stored answer was too large to keep.
    AnswerNotKept,
    /// The worker's answer is over the limit.
    AnswerTooLarge,
    /// Another change of the configuration came first.
    Conflict,
    /// A fault in lycheelock.
    Internal,
}

/// The answer to a kind of refusal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Row {
    /// The kind's name in bodies, headers and counters.
    pub name: &'static str,
    /// The HTTP status.
    pub status: u16,
    /// What is known of the run.
    pub run: Run,
    /// How long a caller should wait before a retry; none where a retry cannot help.
    pub retry: Option<Duration>,
}

const SOON: Option<Duration> = Some(Duration::from_millis(200));
const LATER: Option<Duration> = Some(Duration::from_secs(2));

const fn row(name: &'static str, status: u16, run: Run, retry: Option<Duration>) -> Row {
    Row {
        name,
        status,
        run,
        retry,
    }
}

impl ErrorKind {
    /// Every kind, in the order of the counters.
    pub const ALL: [Self; 24] = [
        Self::BadRequest,
        Self::UnknownService,
        Self::UnknownTeam,
        Self::UnknownClass,
        Self::BadToken,
        Self::TooLarge,
        Self::DeadlineTooShort,
        Self::QuotaExceeded,
        Self::Overloaded,
        Self::NoWorker,
        Self::StoreUnavailable,
        Self::OwnerUnavailable,
        Self::NotReady,
        Self::Stopping,
        Self::InProgress,
        Self::KeyReused,
        Self::FitsNoWorker,
        Self::UnknownJob,
        Self::DeadlinePassed,
        Self::AnswerLost,
        Self::AnswerNotKept,
        Self::AnswerTooLarge,
        Self::Conflict,
        Self::Internal,
    ];

    /// The answer to this kind.
    ///
    /// ```
    /// use lycheelock::kind::{ErrorKind, Run};
    ///
    /// assert_eq!(ErrorKind::Overloaded.row().status, 503);
    /// assert_eq!(ErrorKind::AnswerLost.row().run, Run::Unknown);
    /// ```
    pub const fn row(self) -> Row {
        use Run::{No, Unknown, Yes};
        match self {
            Self::BadRequest => row("bad_request", 400, No, None),
            Self::UnknownService => row("unknown_service", 404, No, None),
            Self::UnknownTeam => row("unknown_team", 403, No, None),
            Self::UnknownClass => row("unknown_class", 404, No, None),
            Self::BadToken => row("bad_token", 401, No, None),
            Self::TooLarge => row("too_large", 413, No, None),
            Self::DeadlineTooShort => row("deadline_too_short", 503, No, SOON),
            Self::QuotaExceeded => row("quota_exceeded", 429, No, SOON),
            Self::Overloaded => row("overloaded", 503, No, SOON),
            Self::NoWorker => row("no_worker", 503, No, LATER),
            Self::StoreUnavailable => row("store_unavailable", 503, No, LATER),
            Self::OwnerUnavailable => row("owner_unavailable", 503, No, LATER),
            Self::NotReady => row("not_ready", 503, No, LATER),
            Self::Stopping => row("stopping", 503, No, SOON),
            Self::InProgress => row("in_progress", 409, Unknown, SOON),
            Self::KeyReused => row("key_reused", 422, No, None),
            Self::FitsNoWorker => row("fits_no_worker", 422, No, None),
            Self::UnknownJob => row("unknown_job", 404, No, None),
            Self::DeadlinePassed => row("deadline_passed", 504, No, SOON),
            Self::AnswerLost => row("answer_lost", 502, Unknown, None),
            Self::AnswerNotKept => row("answer_not_kept", 410, Yes, None),
            Self::AnswerTooLarge => row("answer_too_large", 502, Yes, None),
            Self::Conflict => row("conflict", 409, No, None),
            Self::Internal => row("internal", 500, Unknown, None),
        }
    }

    /// The kind's place in [`ErrorKind::ALL`].
    pub const fn index(self) -> usize {
        self as usize
    }
}

impl fmt::Display for ErrorKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.row().name)
    }
}

/// Why an attempt was followed by another one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RetryReason {
    /// No connection to the worker could be made.
    ConnectFailed,
    /// The worker refused and started nothing.
    WorkerRefused,
    /// The worker's answer was lost and the request is idempotent.
    AnswerLost,
    /// The worker answered with a failure and the request is idempotent.
    WorkerFailed,
    /// The answer named another request.
    WrongAnswer,
    /// The worker proved that a request in doubt never started.
    SettledNotRun,
    /// The peer refused the request as not run.
    PeerRefused,
    /// A batch task's worker failed or was lost.
    TaskLost,
    /// A batch task failed and has attempts left.
    TaskFailed,
    /// A batch task was evicted.
    TaskEvicted,
}

impl RetryReason {
    /// Every reason, in the order of the counters.
    pub const ALL: [Self; 10] = [
        Self::ConnectFailed,
        Self::WorkerRefused,
        Self::AnswerLost,
        Self::WorkerFailed,
        Self::WrongAnswer,
        Self::SettledNotRun,
        Self::PeerRefused,
        Self::TaskLost,
        Self::TaskFailed,
        Self::TaskEvicted,
    ];

    /// The name in counters.
    ///
    /// ```
    /// use lycheelock::kind::RetryReason;
    ///
    /// assert_eq!(RetryReason::TaskLost.name(), "task_lost");
    /// ```
    pub const fn name(self) -> &'static str {
        match self {
            Self::ConnectFailed => "connect_failed",
            Self::WorkerRefused => "worker_refused",
            Self::AnswerLost => "answer_lost",
            Self::WorkerFailed => "worker_failed",
            Self::WrongAnswer => "wrong_answer",
            Self::SettledNotRun => "settled_not_run",
            Self::PeerRefused => "peer_refused",
            Self::TaskLost => "task_lost",
            Self::TaskFailed => "task_failed",
            Self::TaskEvicted => "task_evicted",
        }
    }

    /// The reason's place in [`RetryReason::ALL`].
    pub const fn index(self) -> usize {
        self as usize
    }
}

/// A refusal: its kind and a sentence for people.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// The kind.
    pub kind: ErrorKind,
    /// What was wrong, naming the field and the value.
    pub message: String,
}

impl Refusal {
    /// A refusal with its sentence.
    ///
    /// ```
    /// use lycheelock::kind::{ErrorKind, Refusal};
    ///
    /// let refusal = Refusal::new(ErrorKind::UnknownTeam, "team \"x\" is not configured");
    /// assert_eq!(refusal.kind.row().status, 403);
    /// ```
    pub fn new(kind: ErrorKind, message: impl Into<String>) -> Self {
        Self {
            kind,
            message: message.into(),
        }
    }
}
